//! The measures, computed from recorded events. A run of the demo itself is no test: its verdict
//! may vary with the load of the machine.

#![expect(
    clippy::unwrap_used,
    reason = "a test fails on what it does not expect"
)]

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
        CallEnd,
        CallKind,
        CallRecord,
        FaultTimes, //
    },
    setting::{
        CRASHED_HOST,
        GRAY_TARGET,
        STOPPED_HOST,
        TEAMS,
        ZONE_OUT,
        target_places, //
    },
    table,
};
use indexmap::IndexMap;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn call(number: u64, sent: u64, end: CallEnd) -> CallRecord {
    CallRecord {
        sent: millis(sent),
        ended: millis(sent + 10),
        kind: CallKind::Purchase,
        name: format!("call-{number}").into(),
        host: HostId::new("entry-muscat-1-a").unwrap(),
        has_old_key: false,
        end,
    }
}

fn refused(reason: &str) -> CallEnd {
    CallEnd::Refused {
        reason: reason.into(),
        is_not_run: true,
    }
}

fn arrivals(count: u64, period: u64) -> Vec<ArrivalRecord> {
    let at = |number| ArrivalRecord {
        at: millis(number * period),
        at_once: 1,
        is_cold: false,
        is_call: true,
    };
    (0..count).map(at).collect()
}

/// A run in which nothing is broken: `masirah-mail`, with 5 requests a second and a burst of 5,
/// sends 4 a second for 10 s, and all are answered.
fn records() -> RunRecords {
    let calls = (0..40).map(|number| call(number, number * 250, CallEnd::Answered));
    let targets = target_places().into_iter().map(|place| TargetRecords {
        arrivals: match (place.zone == ZONE_OUT, place.id == GRAY_TARGET) {
            (true, _) => Vec::new(),
            // Out of use from 2 s on, half a second after it failed.
            (_, true) => arrivals(20, 100),
            _ => arrivals(200, 50),
        },
        place,
        runs: IndexMap::new(),
        key_heads: 0,
    });
    RunRecords {
        plan: DemoPlan::new(30, 7),
        from: Duration::ZERO,
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

fn broken(change: impl Fn(&mut RunRecords)) -> Vec<&'static str> {
    let mut records = records();
    change(&mut records);
    let report = DemoReport::new(&records);
    report.broken.iter().map(|broken| broken.id).collect()
}

/// Guards against a table that shows other figures than the records hold.
#[test]
fn whole_run_breaks_nothing_and_prints_its_figures() {
    let report = DemoReport::new(&records());
    assert!(report.broken.is_empty(), "{:?}", report.broken);
    assert_eq!(report.teams[0].within, 40);
    assert_eq!(report.teams[0].answered, 40);
    assert_eq!(report.detection, Some(millis(300)));
    let text = table::text_of(&report);
    assert!(text.contains("seed 7, 30 s of load"), "{text}");
    assert!(text.contains("100.0 % (masirah-mail)"), "{text}");
    assert!(text.contains("No invariant was broken."), "{text}");
    assert!(!text.contains('\u{1b}'), "{text}");
}

/// Guards against a gray target that counts as detected although it stays in use.
#[test]
fn target_that_stays_in_use_is_not_detected() {
    let mut records = records();
    for target in &mut records.targets {
        target.arrivals = arrivals(200, 50);
    }
    let report = DemoReport::new(&records);
    assert_eq!(report.detection, None);
    assert!(table::text_of(&report).contains("not detected in this run"));
}

/// Guards against refusals within the rate that are not counted, and against one lost token that
/// counts for every refusal after it.
#[test]
fn refusals_are_counted_against_one_limiter() {
    let mut records = records();
    // 20 at once: a burst of 5 allows 5, of which 3 are answered.
    let end = |number| match number {
        0..3 => CallEnd::Answered,
        _ => refused("over-rate"),
    };
    records.teams[0].calls = (0..20)
        .map(|number| call(number, 5000, end(number)))
        .collect();
    let report = DemoReport::new(&records);
    let team = &report.teams[0];
    assert_eq!((team.within, team.answered, team.over_rate), (5, 3, 17));
    assert_eq!(team.refused_within, 2);
    assert!((team.share() - 0.6).abs() < 1e-9, "{}", team.share());
}

/// Guards against a broken invariant that the verdict passes over: each one is broken by a record.
#[test]
fn each_broken_invariant_is_named() {
    let first = |records: &mut RunRecords, name: &str, count: u32| {
        records.targets[0].runs.insert(name.into(), count);
    };
    assert_eq!(broken(|it| it.targets[0].key_heads = 1), ["I3"]);
    let with_old_key = |it: &mut RunRecords| it.teams[0].calls[30].has_old_key = true;
    assert_eq!(broken(with_old_key), ["I4"]);
    // 5 + 5 x 0.01 are allowed within 10 ms.
    let at_once = |it: &mut RunRecords| {
        it.teams[0].calls = (0..8).map(|n| call(n, 1000, CallEnd::Answered)).collect();
    };
    assert_eq!(broken(at_once), ["I5"]);
    let cold = |it: &mut RunRecords| {
        it.targets[0].arrivals[5].is_cold = true;
        it.targets[0].arrivals[5].at_once = 2;
    };
    assert_eq!(broken(cold), ["I6"]);
    let late = |it: &mut RunRecords| it.targets[1].arrivals = arrivals(70, 100);
    assert_eq!(broken(late), ["I7"]);
    assert_eq!(
        broken(|it| it.teams[0].calls[3].end = CallEnd::Foreign),
        ["I8"]
    );
    assert_eq!(broken(|it| it.teams[0].calls[3].end = CallEnd::Cut), ["I8"]);
    let false_not_run = |it: &mut RunRecords| {
        it.teams[0].calls[3].end = refused("no-capacity");
        first(it, "call-3", 1);
    };
    assert_eq!(broken(false_not_run), ["I9"]);
    assert_eq!(broken(|it| first(it, "call-3", 2)), ["I10"]);
    let cut_at = |it: &mut RunRecords, host: &str, at: usize| {
        it.teams[0].calls[at].end = CallEnd::Cut;
        it.teams[0].calls[at].host = HostId::new(host).unwrap();
    };
    assert_eq!(broken(|it| cut_at(it, STOPPED_HOST, 29)), ["I12"]);
    assert!(broken(|it| cut_at(it, CRASHED_HOST, 37)).is_empty());
    assert_eq!(broken(|it| it.faults.is_drained = false), ["I12"]);
}
