//! Retry and hedging decisions.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_retry::prelude::*;
use quickcheck::{
    Gen,
    QuickCheck, //
};

const NOW: MonoTime = MonoTime::from_millis(5000);
const SECOND: Duration = Duration::from_secs(1);

fn service() -> ServiceId {
    ServiceId::new("rate").unwrap()
}

fn target(number: usize) -> TargetId {
    TargetId::new(&format!("rate-{number}")).unwrap()
}

fn ended(proofs: &[RunProof]) -> AttemptHistory {
    let mut history = AttemptHistory::new();
    for (number, &proof) in proofs.iter().enumerate() {
        let attempt = history.begin(target(number), NOW);
        history.end(attempt, proof);
    }
    history
}

fn decide(kind: RequestKind, history: &AttemptHistory) -> RetryDecision {
    let deadline = DeadlineClock::new(SECOND, NOW);
    RetryBudget::new().decide_retry(&service(), kind, history, &deadline, NOW)
}

/// Guards against a non-idempotent request that runs twice (I10) and against a wrong "not run" (I9).
#[test]
fn non_idempotent_request_is_retried_only_if_no_attempt_can_have_run() {
    fn check(codes: Vec<u8>) -> bool {
        let proof_of = |code: &u8| match code % 8 {
            0 => RunProof::Unknown,
            1 => RunProof::Ran,
            _ => RunProof::NotRun,
        };
        let proofs: Vec<RunProof> = codes.iter().take(4).map(proof_of).collect();
        let is_clean = proofs.iter().all(|&proof| proof == RunProof::NotRun);
        match decide(RequestKind::NonIdempotent, &ended(&proofs)) {
            RetryDecision::RetryElsewhere => is_clean,
            RetryDecision::GiveUp { run, .. } => is_clean == (run == RunVerdict::NotRun),
        }
    }
    let gen_of_seed = Gen::from_size_and_seed(6, 20_261_204);
    QuickCheck::new()
        .tests(500)
        .rng(gen_of_seed)
        .quickcheck(check as fn(Vec<u8>) -> bool);
}

/// Guards against sending a non-idempotent request again while its first attempt is still open.
#[test]
fn open_attempt_counts_as_one_that_may_have_run() {
    let mut history = ended(&[RunProof::NotRun]);
    let open = history.begin(target(7), NOW);
    let reason = GiveUpReason::MayHaveRun;
    let run = RunVerdict::Unknown;
    let refusal = RetryDecision::GiveUp { run, reason };
    assert_eq!(decide(RequestKind::NonIdempotent, &history), refusal);
    history.end(open, RunProof::Unknown);
    history.end(open, RunProof::NotRun);
    assert_eq!(decide(RequestKind::NonIdempotent, &history), refusal);
    assert_eq!(
        decide(RequestKind::Idempotent, &history),
        RetryDecision::RetryElsewhere
    );
    let tried: Vec<_> = history.targets().cloned().collect();
    assert_eq!(tried, [target(0), target(7)]);
}

/// Guards against retries that multiply the load on a service whose attempts all fail.
#[test]
fn failing_service_gets_little_more_than_its_usual_load() {
    for kind in [RequestKind::Idempotent, RequestKind::NonIdempotent] {
        let (budget, mut retries) = (RetryBudget::new(), 0);
        for request in 0..60_000_u64 {
            let now = MonoTime::from_millis(request);
            let deadline = DeadlineClock::new(SECOND, now);
            let mut history = AttemptHistory::new();
            budget.record_request(&service(), now);
            loop {
                let attempt = history.begin(target(history.len()), now);
                history.end(attempt, RunProof::NotRun);
                let decision = budget.decide_retry(&service(), kind, &history, &deadline, now);
                if decision != RetryDecision::RetryElsewhere {
                    break;
                }
                retries += 1;
            }
        }
        // One retry for ten of 60,000 requests, one free retry per second for 60 s, and ten at the start.
        assert!((1000..=6_070).contains(&retries), "{retries} retries");
    }
}

/// Guards against a service with few requests that gets no retry at all, and against a service that uses up the
/// retries of another.
#[test]
fn each_service_has_its_own_free_retries() {
    let (budget, deadline) = (RetryBudget::new(), DeadlineClock::new(SECOND, NOW));
    let history = ended(&[RunProof::NotRun]);
    let is_retried = |name: &str| {
        let service = ServiceId::new(name).unwrap();
        budget.decide_retry(&service, RequestKind::Idempotent, &history, &deadline, NOW)
            == RetryDecision::RetryElsewhere
    };
    assert_eq!((0..30).filter(|_| is_retried("rate")).count(), 10);
    assert!(is_retried("documents"));
}

/// Guards against hedges of non-idempotent requests, second hedges, and hedges beyond the budget.
#[test]
fn only_a_slow_idempotent_request_is_hedged_and_only_once() {
    let (budget, late) = (RetryBudget::new(), NOW.after(Duration::from_millis(50)));
    let deadline = DeadlineClock::new(SECOND, NOW);
    let mut history = AttemptHistory::new();
    history.begin(target(0), NOW);
    let hedge = |history: &AttemptHistory, kind: RequestKind, now: MonoTime| {
        let after = Duration::from_millis(40);
        budget.try_hedge(&service(), kind, history, (after, &deadline), now)
    };
    assert!(!hedge(&history, RequestKind::NonIdempotent, late));
    assert!(!hedge(&history, RequestKind::Idempotent, NOW));
    let granted = (0..30).filter(|_| hedge(&history, RequestKind::Idempotent, late));
    assert_eq!(granted.count(), 10);
    history.begin(target(1), late);
    let later = late.after(SECOND / 2);
    assert!(!hedge(&history, RequestKind::Idempotent, later));
}

/// Guards against deadlines that grow from hop to hop or underflow below zero.
#[test]
fn deadline_shrinks_at_each_hop_and_ends_at_zero() {
    let mut left = SECOND;
    for _ in 0..200 {
        let clock = DeadlineClock::new(left, NOW);
        assert_eq!(clock.time_left(NOW.after(left * 2)), Duration::ZERO);
        assert!(clock.is_over(NOW.after(left)));
        let Some(next) = clock.for_next_hop(NOW) else {
            break;
        };
        assert!(
            next + Duration::from_millis(2) <= left,
            "{next:?} of {left:?}"
        );
        left = next;
    }
    assert!(left <= Duration::from_millis(2));
    let deadline = DeadlineClock::new(Duration::from_millis(1), NOW);
    let history = ended(&[RunProof::NotRun]);
    let decision = RetryBudget::new().decide_retry(
        &service(),
        RequestKind::Idempotent,
        &history,
        &deadline,
        NOW,
    );
    let (run, reason) = (RunVerdict::NotRun, GiveUpReason::NoTime);
    assert_eq!(decision, RetryDecision::GiveUp { run, reason });
}

/// Guards against a promise of "not run" to callers for a request that may have run (I9), and against losing the proof that
/// a request did not run: each combination of what an answer can state.
#[test]
fn answer_that_promises_not_run_is_forwarded_only_with_proof() {
    let kinds = [
        AnswerKind::Success,
        AnswerKind::Rejection,
        AnswerKind::Failure,
        AnswerKind::TimedOut,
        AnswerKind::Misdirected,
        AnswerKind::NotFinal,
    ];
    for kind in kinds {
        for bits in 0..8 {
            let statement = AnswerStatement {
                kind,
                states_not_run: bits & 1 != 0,
                promises_not_run: bits & 2 != 0,
                is_signed: bits & 4 != 0,
            };
            let verdict = statement.verdict();
            let is_not_final = kind == AnswerKind::NotFinal;
            assert_eq!(
                verdict == AnswerVerdict::NotFinal,
                is_not_final,
                "{statement:?}"
            );
            let is_failure =
                ![AnswerKind::Success, AnswerKind::Misdirected].contains(&kind) && !is_not_final;
            if is_failure && statement.promises_not_run {
                assert_ne!(verdict, AnswerVerdict::Forwarded, "{statement:?}");
            }
            let is_proven =
                kind == AnswerKind::Misdirected || is_failure && statement.states_not_run;
            assert_eq!(
                verdict.proof() == RunProof::NotRun,
                is_proven,
                "{statement:?}"
            );
            let is_unsigned_success = kind == AnswerKind::Success && !statement.is_signed;
            assert_eq!(
                verdict == AnswerVerdict::Invalid,
                is_unsigned_success,
                "{statement:?}"
            );
        }
    }
}
