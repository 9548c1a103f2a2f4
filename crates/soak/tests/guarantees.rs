//! Each check reports the histories that violate its guarantee, and no others.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use std::time::Duration;

use chicorycroft_soak::prelude::*;

const HOST: HostIndex = HostIndex(0);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn answer(id: &str, status: u16, target: Option<&str>) -> CallOutcome {
    CallOutcome::Answered {
        status,
        is_signed: target.is_some(),
        request: id.into(),
        body: target
            .map(|target| format!("answer of {target}"))
            .unwrap_or_default(),
    }
}

fn call(id: &str, sent: u64, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        id: id.into(),
        host: HOST,
        is_idempotent: false,
        key: Some(0),
        sent_at: at(sent),
        ended_at: at(sent + 50),
        outcome,
    }
}

fn execution(id: &str, target: &str, millis: u64) -> ExecutionRecord {
    ExecutionRecord {
        id: id.into(),
        target: target.into(),
        at: at(millis),
        team: Some("weavers".into()),
        has_key: false,
    }
}

/// Returns a history of ten seconds in which one call a second is served.
fn valid_history() -> SoakHistory {
    let mut history = SoakHistory {
        team: "weavers".into(),
        route_limit: at(1000),
        length: at(10_000),
        ..SoakHistory::default()
    };
    for second in 0..10 {
        let id = format!("s{second}");
        history
            .calls
            .push(call(&id, second * 1000, answer(&id, 200, Some("t-0"))));
        history
            .executions
            .push(execution(&id, "t-0", second * 1000 + 10));
    }
    history
}

fn history_with(calls: Vec<CallRecord>, executions: Vec<ExecutionRecord>) -> SoakHistory {
    let mut history = valid_history();
    history.calls.extend(calls);
    history.executions.extend(executions);
    history
}

fn violated(history: &SoakHistory) -> Vec<&'static str> {
    history
        .violations()
        .iter()
        .map(|violation| violation.guarantee)
        .collect()
}

/// Guards against checks that report violations in a valid history.
#[test]
fn valid_history_has_no_violations() {
    assert_eq!(violated(&valid_history()), [""; 0]);
}

/// Guards against checks that miss a violation of their guarantee.
#[test]
fn each_violation_is_reported() {
    let served = |id: &str| call(id, 2000, answer(id, 200, Some("t-0")));
    let executed_twice = history_with(
        vec![served("a")],
        vec![execution("a", "t-0", 2010), execution("a", "t-1", 2020)],
    );
    assert_eq!(violated(&executed_twice), ["runs once at most"]);
    let refused = call("a", 2000, answer("a", 503, None));
    let false_refusal = history_with(vec![refused], vec![execution("a", "t-0", 2010)]);
    assert_eq!(violated(&false_refusal), ["refusals are true"]);
    let foreign = call("a", 2000, answer("b", 502, None));
    assert_eq!(
        violated(&history_with(vec![foreign], Vec::new())),
        ["answers belong to their request"]
    );
    let other_body = call("a", 2000, answer("a", 200, Some("t-1")));
    assert_eq!(
        violated(&history_with(
            vec![other_body],
            vec![execution("a", "t-0", 2010)]
        )),
        ["answers are the target's"]
    );
    let cut = call("a", 2000, CallOutcome::Cut);
    assert_eq!(
        violated(&history_with(vec![cut], vec![execution("a", "t-0", 2010)])),
        ["planned work loses no request"]
    );
    let denied = call("a", 2000, answer("a", 401, None));
    assert_eq!(
        violated(&history_with(vec![denied], Vec::new())),
        ["what is allowed is not denied"]
    );
    assert_eq!(
        violated(&history_with(Vec::new(), vec![execution("z", "t-0", 2010)])),
        ["only what was asked runs"]
    );
    let with_key = ExecutionRecord {
        has_key: true,
        ..execution("a", "t-0", 2010)
    };
    assert_eq!(
        violated(&history_with(vec![served("a")], vec![with_key])),
        ["targets get the team and no key"]
    );
}

/// Guards against time bounds that are not checked, or are applied too early.
#[test]
fn withdrawn_keys_and_removed_targets_may_be_used_until_their_time_bound() {
    let sent = |millis| {
        history_with(
            vec![call("a", millis, answer("a", 200, Some("t-1")))],
            vec![execution("a", "t-1", millis + 10)],
        )
    };
    let with_withdrawal = |millis| SoakHistory {
        withdrawn_keys: [(0, at(1000))].into_iter().collect(),
        calls: sent(millis).calls.split_off(10),
        executions: sent(millis).executions.split_off(10),
        ..valid_history()
    };
    assert!(!violated(&with_withdrawal(5900)).contains(&"withdrawn keys do not work"));
    assert!(violated(&with_withdrawal(6100)).contains(&"withdrawn keys do not work"));
    let with_removal = |millis| SoakHistory {
        removed_entries: vec![("t-1".into(), at(1000), at(9000))],
        ..sent(millis)
    };
    assert_eq!(violated(&with_removal(2900)), [""; 0]);
    assert_eq!(
        violated(&with_removal(3100)),
        ["targets that left get nothing"]
    );
}

/// Guards against faults that excuse too much: only a fault on the same host and near the request in time excuses a
/// lost request, and planned maintenance does not.
#[test]
fn faults_excuse_only_nearby_requests() {
    let lost = |fault: FaultSpan| SoakHistory {
        faults: vec![fault],
        ..history_with(
            vec![call("a", 2000, CallOutcome::Cut)],
            vec![execution("a", "t-0", 2010)],
        )
    };
    let fault = FaultSpan {
        host: Some(HOST),
        from: at(500),
        to: at(1500),
        is_planned: false,
    };
    let is_reported =
        |history: &SoakHistory| violated(history).contains(&"planned work loses no request");
    assert!(!is_reported(&lost(fault)));
    assert!(is_reported(&lost(FaultSpan {
        is_planned: true,
        ..fault
    })));
    assert!(is_reported(&lost(FaultSpan {
        host: Some(HostIndex(1)),
        ..fault
    })));
    assert!(is_reported(&lost(FaultSpan {
        from: at(2100),
        to: at(2200),
        ..fault
    })));
}

/// Guards against late answers and missing recovery that are not reported.
#[test]
fn late_answers_and_missing_recovery_are_reported() {
    let mut late = valid_history();
    for number in 0..8 {
        let mut slow = call(&format!("l{number}"), 1000, CallOutcome::Unanswered);
        slow.ended_at = at(4000);
        late.calls.push(slow);
    }
    assert!(violated(&late).contains(&"answers come in the route's time"));
    let mut lost = valid_history();
    for call in &mut lost.calls {
        call.outcome = CallOutcome::NoConnection;
    }
    lost.executions.clear();
    assert_eq!(violated(&lost), ["service is back after faults"]);
}
