//! Each check of a promise fires on the run that breaks it, and on no other.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

use std::time::Duration;

use chicorycroft_soak::prelude::*;

const HOST: HostIndex = HostIndex(0);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn answer(id: &str, status: u16, target: Option<&str>) -> CallEnd {
    CallEnd::Answered {
        status,
        is_signed: target.is_some(),
        request: id.into(),
        body: target
            .map(|target| format!("answer of {target}"))
            .unwrap_or_default(),
    }
}

fn call(id: &str, sent: u64, end: CallEnd) -> CallRecord {
    CallRecord {
        id: id.into(),
        host: HOST,
        is_idempotent: false,
        key: Some(0),
        sent_at: at(sent),
        ended_at: at(sent + 50),
        end,
    }
}

fn ran(id: &str, target: &str, millis: u64) -> RunRecord {
    RunRecord {
        id: id.into(),
        target: target.into(),
        at: at(millis),
        team: Some("weavers".into()),
        has_key: false,
    }
}

/// A run of ten seconds in which one call a second is served.
fn sound() -> SoakLedger {
    let mut ledger = SoakLedger {
        team: "weavers".into(),
        route_limit: at(1000),
        length: at(10_000),
        ..SoakLedger::default()
    };
    for second in 0..10 {
        let id = format!("s{second}");
        ledger
            .calls
            .push(call(&id, second * 1000, answer(&id, 200, Some("t-0"))));
        ledger.runs.push(ran(&id, "t-0", second * 1000 + 10));
    }
    ledger
}

fn with(calls: Vec<CallRecord>, runs: Vec<RunRecord>) -> SoakLedger {
    let mut ledger = sound();
    ledger.calls.extend(calls);
    ledger.runs.extend(runs);
    ledger
}

fn promises(ledger: &SoakLedger) -> Vec<&'static str> {
    ledger
        .broken()
        .iter()
        .map(|broken| broken.promise)
        .collect()
}

/// Guards against a check that sees faults in a sound run.
#[test]
fn sound_run_keeps_all_promises() {
    assert_eq!(promises(&sound()), [""; 0]);
}

/// Guards against checks that do not see what they are for.
#[test]
fn each_broken_promise_is_seen() {
    let served = |id: &str| call(id, 2000, answer(id, 200, Some("t-0")));
    let twice = with(
        vec![served("a")],
        vec![ran("a", "t-0", 2010), ran("a", "t-1", 2020)],
    );
    assert_eq!(promises(&twice), ["runs once at most"]);
    let refused = call("a", 2000, answer("a", 503, None));
    let false_refusal = with(vec![refused], vec![ran("a", "t-0", 2010)]);
    assert_eq!(promises(&false_refusal), ["refusals are true"]);
    let foreign = call("a", 2000, answer("b", 502, None));
    assert_eq!(
        promises(&with(vec![foreign], Vec::new())),
        ["answers belong to their request"]
    );
    let other_body = call("a", 2000, answer("a", 200, Some("t-1")));
    assert_eq!(
        promises(&with(vec![other_body], vec![ran("a", "t-0", 2010)])),
        ["answers are the target's"]
    );
    let cut = call("a", 2000, CallEnd::Cut);
    assert_eq!(
        promises(&with(vec![cut], vec![ran("a", "t-0", 2010)])),
        ["planned work loses no request"]
    );
    let denied = call("a", 2000, answer("a", 401, None));
    assert_eq!(
        promises(&with(vec![denied], Vec::new())),
        ["what is allowed is not denied"]
    );
    assert_eq!(
        promises(&with(Vec::new(), vec![ran("z", "t-0", 2010)])),
        ["only what was asked runs"]
    );
    let with_key = RunRecord {
        has_key: true,
        ..ran("a", "t-0", 2010)
    };
    assert_eq!(
        promises(&with(vec![served("a")], vec![with_key])),
        ["targets get the team and no key"]
    );
}

/// Guards against bounds in time that are not looked at, or hold a moment too early.
#[test]
fn withdrawn_keys_and_targets_that_left_have_their_time() {
    let sent = |millis| {
        with(
            vec![call("a", millis, answer("a", 200, Some("t-1")))],
            vec![ran("a", "t-1", millis + 10)],
        )
    };
    let withdrawn = |millis| SoakLedger {
        withdrawn: [(0, at(1000))].into_iter().collect(),
        calls: sent(millis).calls.split_off(10),
        runs: sent(millis).runs.split_off(10),
        ..sound()
    };
    assert!(!promises(&withdrawn(5900)).contains(&"withdrawn keys do not work"));
    assert!(promises(&withdrawn(6100)).contains(&"withdrawn keys do not work"));
    let gone = |millis| SoakLedger {
        gone: vec![("t-1".into(), at(1000), at(9000))],
        ..sent(millis)
    };
    assert_eq!(promises(&gone(2900)), [""; 0]);
    assert_eq!(promises(&gone(3100)), ["targets that left get nothing"]);
}

/// Guards against excuses that cover everything: only faults near a request excuse it, and planned work does
/// not.
#[test]
fn faults_excuse_only_what_is_near() {
    let lost = |fault: FaultSpan| SoakLedger {
        faults: vec![fault],
        ..with(
            vec![call("a", 2000, CallEnd::Cut)],
            vec![ran("a", "t-0", 2010)],
        )
    };
    let fault = FaultSpan {
        host: Some(HOST),
        from: at(500),
        to: at(1500),
        is_planned: false,
    };
    let seen = |ledger: &SoakLedger| promises(ledger).contains(&"planned work loses no request");
    assert!(!seen(&lost(fault)));
    assert!(seen(&lost(FaultSpan {
        is_planned: true,
        ..fault
    })));
    assert!(seen(&lost(FaultSpan {
        host: Some(HostIndex(1)),
        ..fault
    })));
    assert!(seen(&lost(FaultSpan {
        from: at(2100),
        to: at(2200),
        ..fault
    })));
}

/// Guards against a fleet that never recovers, or keeps callers waiting, without a word.
#[test]
fn late_answers_and_lasting_faults_are_seen() {
    let mut late = sound();
    for number in 0..8 {
        let mut slow = call(&format!("l{number}"), 1000, CallEnd::Unanswered);
        slow.ended_at = at(4000);
        late.calls.push(slow);
    }
    assert!(promises(&late).contains(&"answers come in the route's time"));
    let mut lost = sound();
    for call in &mut lost.calls {
        call.end = CallEnd::NoConnection;
    }
    lost.runs.clear();
    assert_eq!(promises(&lost), ["service is back after faults"]);
}
