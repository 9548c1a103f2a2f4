//! The measures, computed from recorded events. No test runs the demo itself, as its result can vary
//! with the load of the machine.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_demo::{
    measures::{
        DemoReport,
        RunRecords,
        TargetRecords,
        TeamRecords, //
    },
    plan::DemoPlan,
    records::{
        ArrivalRecord,
        CallKind,
        CallOutcome,
        CallRecord,
        FaultTimes, //
    },
    scenario::{
        CRASHED_HOST,
        GRAY_TARGET,
        STOPPED_HOST,
        TEAMS,
        ZONE_OUT,
        target_configs, //
    },
    table,
};
use indexmap::IndexMap;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn call(number: u64, sent: u64, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        sent: millis(sent),
        ended: millis(sent + 10),
        kind: CallKind::Purchase,
        name: format!("call-{number}").into(),
        host: HostId::new("entry-muscat-1-a").unwrap(),
        has_withdrawn_key: false,
        outcome,
    }
}

fn refused(reason: &str) -> CallOutcome {
    CallOutcome::Refused {
        reason: reason.into(),
        is_not_run: true,
    }
}

fn arrivals(count: u64, period: u64) -> Vec<ArrivalRecord> {
    let arrival = |number| ArrivalRecord {
        at: millis(number * period),
        concurrent: 1,
        is_cold: false,
        is_call: true,
    };
    (0..count).map(arrival).collect()
}

/// Returns a run without violations: `masirah-mail`, with a rate of 5 requests per second and a burst of
/// 5, sends 4 requests per second for 10 s, and all are answered.
fn records() -> RunRecords {
    let calls = (0..40).map(|number| call(number, number * 250, CallOutcome::Answered));
    let targets = target_configs().into_iter().map(|config| TargetRecords {
        arrivals: match (config.zone == ZONE_OUT, config.id == GRAY_TARGET) {
            (true, _) => Vec::new(),
            // The gray target gets no requests from 2 s on, half a second after it failed.
            (_, true) => arrivals(20, 100),
            _ => arrivals(200, 50),
        },
        config,
        runs: IndexMap::new(),
        key_heads: 0,
    });
    RunRecords {
        plan: DemoPlan::new(30, 7),
        load_start: Duration::ZERO,
        faults: FaultTimes {
            gray_from: millis(1500),
            gray_to: millis(6000),
            zone_from: millis(3000),
            zone_to: millis(9000),
            key_withdrawn: millis(2000),
            stop_from: millis(7000),
            stop_to: millis(8000),
            is_drained: true,
            crash: millis(9000),
        },
        teams: vec![TeamRecords {
            team: TEAMS[5],
            calls: calls.collect(),
        }],
        targets: targets.collect(),
        ejected: BTreeSet::new(),
        unsent: 0,
    }
}

/// Changes a run without violations and returns the ids of the invariants that it then violates.
fn violated_ids(change: impl Fn(&mut RunRecords)) -> Vec<&'static str> {
    let mut records = records();
    change(&mut records);
    let report = DemoReport::new(&records);
    report
        .violations
        .iter()
        .map(|violation| violation.id)
        .collect()
}

/// Guards against a table whose figures differ from the records.
#[test]
fn run_without_violations_prints_its_figures() {
    let report = DemoReport::new(&records());
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert_eq!(report.teams[0].within, 40);
    assert_eq!(report.teams[0].answered, 40);
    assert_eq!(report.detection, Some(millis(300)));
    let text = table::render_report(&report);
    assert!(text.contains("seed 7, 30 s of load"), "{text}");
    assert!(text.contains("100.0 % (masirah-mail)"), "{text}");
    assert!(text.contains("No invariant was broken."), "{text}");
    assert!(!text.contains('\u{1b}'), "{text}");
}

/// Guards against reporting a gray target as detected although it still gets requests.
#[test]
fn gray_target_in_use_is_not_detected() {
    let mut records = records();
    for target in &mut records.targets {
        target.arrivals = arrivals(200, 50);
    }
    let report = DemoReport::new(&records);
    assert_eq!(report.detection, None);
    assert!(table::render_report(&report).contains("not detected in this run"));
}

/// Guards against missing refusals within the rate, and against counting one lost token again for every
/// later refusal.
#[test]
fn refusals_are_counted_against_one_limiter() {
    let mut records = records();
    // Of 20 simultaneous requests, a burst of 5 allows 5, of which 3 are answered.
    let outcome = |number| match number {
        0..3 => CallOutcome::Answered,
        _ => refused("over-rate"),
    };
    records.teams[0].calls = (0..20)
        .map(|number| call(number, 5000, outcome(number)))
        .collect();
    let report = DemoReport::new(&records);
    let team = &report.teams[0];
    assert_eq!((team.within, team.answered, team.over_rate), (5, 3, 17));
    assert_eq!(team.false_refusals, 2);
    assert!((team.share() - 0.6).abs() < 1e-9, "{}", team.share());
}

/// Guards against a violation that the report misses. Each invariant is violated by changing a record.
#[test]
fn each_violated_invariant_is_reported() {
    let record_runs = |records: &mut RunRecords, name: &str, count: u32| {
        records.targets[0].runs.insert(name.into(), count);
    };
    assert_eq!(
        violated_ids(|records| records.targets[0].key_heads = 1),
        ["I3"]
    );
    let with_withdrawn_key =
        |records: &mut RunRecords| records.teams[0].calls[30].has_withdrawn_key = true;
    assert_eq!(violated_ids(with_withdrawn_key), ["I4"]);
    // 5 + 5 x 0.01 are allowed within 10 ms.
    let burst_exceeded = |records: &mut RunRecords| {
        records.teams[0].calls = (0..8)
            .map(|n| call(n, 1000, CallOutcome::Answered))
            .collect();
    };
    assert_eq!(violated_ids(burst_exceeded), ["I5"]);
    let cold_excess = |records: &mut RunRecords| {
        records.targets[0].arrivals[5].is_cold = true;
        records.targets[0].arrivals[5].concurrent = 2;
    };
    assert_eq!(violated_ids(cold_excess), ["I6"]);
    let late_in_zone = |records: &mut RunRecords| records.targets[1].arrivals = arrivals(70, 100);
    assert_eq!(violated_ids(late_in_zone), ["I7"]);
    assert_eq!(
        violated_ids(|records| records.teams[0].calls[3].outcome = CallOutcome::WrongAnswer),
        ["I8"]
    );
    assert_eq!(
        violated_ids(|records| records.teams[0].calls[3].outcome = CallOutcome::Cut),
        ["I8"]
    );
    let false_not_run = |records: &mut RunRecords| {
        records.teams[0].calls[3].outcome = refused("no-capacity");
        record_runs(records, "call-3", 1);
    };
    assert_eq!(violated_ids(false_not_run), ["I9"]);
    assert_eq!(
        violated_ids(|records| record_runs(records, "call-3", 2)),
        ["I10"]
    );
    let cut_at = |records: &mut RunRecords, host: &str, at: usize| {
        records.teams[0].calls[at].outcome = CallOutcome::Cut;
        records.teams[0].calls[at].host = HostId::new(host).unwrap();
    };
    assert_eq!(
        violated_ids(|records| cut_at(records, STOPPED_HOST, 29)),
        ["I12"]
    );
    assert!(violated_ids(|records| cut_at(records, CRASHED_HOST, 37)).is_empty());
    assert_eq!(
        violated_ids(|records| records.faults.is_drained = false),
        ["I12"]
    );
}
