//! With a rule omitted, the checker finds a shortest path that violates the invariant that the rule protects.
//!
//! The snapshots contain these paths. Each test guards against a model or search that misses violations.

use chicorycroft_model::{
    bounds::SMALL,
    ownership::{
        OwnerBound,
        OwnerRule,
        owner_model, //
    },
    rates::{
        RateBound,
        RateRule,
        rate_model, //
    },
    search::SearchReport,
    slots::{
        SlotRule,
        slot_model, //
    },
    versions::{
        VersionBound,
        VersionRule,
        version_model, //
    },
};

fn trace(report: SearchReport) -> String {
    let example = report.counter_example;
    example.map_or("no counterexample".into(), |example| example.to_string())
}

macro_rules! assert_traces {
    ($model:expr, $($name:literal: $rule:expr),+ $(,)?) => {
        $(insta::assert_snapshot!($name, trace($model($rule).explore()));)+
    };
}

#[test]
fn rate_rules() {
    let bound = RateBound {
        steps: 2,
        draws: 1,
        doubles: 1,
        faults: 0,
    };
    let moving = |rule| rate_model(bound, Some(rule));
    assert_traces!(
        moving,
        "token_life": RateRule::TokenLife,
        "deduct_first": RateRule::DeductFirst,
        "one_grant": RateRule::OneGrant,
    );
    let bound = RateBound {
        steps: 4,
        draws: 0,
        doubles: 0,
        faults: 1,
    };
    let failing = |rule| rate_model(bound, Some(rule));
    assert_traces!(
        failing,
        "empty_start": RateRule::EmptyStart,
        "sleep_gate": RateRule::SleepGate,
        "live_hosts": RateRule::LiveHosts,
    );
}

#[test]
fn version_rules() {
    let bound = |messages| VersionBound {
        messages,
        ..SMALL.versions
    };
    let model = |rule| version_model(bound(2), Some(rule));
    assert_traces!(
        model,
        "version_order": VersionRule::VersionOrder,
        "digest_conflict": VersionRule::DigestConflict,
    );
    let without_twins = VersionBound {
        twins: 0,
        ..bound(2)
    };
    let model = |rule| version_model(without_twins, Some(rule));
    assert_traces!(
        model,
        "ready_first": VersionRule::ReadyFirst,
        "version_wake_refresh": VersionRule::WakeRefresh,
        "fresh_reports": VersionRule::FreshReports,
    );
    let stale = VersionBound {
        twins: 0,
        ..bound(3)
    };
    let model = |rule| version_model(stale, Some(rule));
    assert_traces!(model, "peers_first": VersionRule::PeersFirst);
}

#[test]
fn owner_rules() {
    let model = |rule| owner_model(SMALL.owners, Some(rule));
    assert_traces!(
        model,
        "contact_fence": OwnerRule::ContactFence,
        "takeover_wait": OwnerRule::TakeoverWait,
        "owner_wake_refresh": OwnerRule::WakeRefresh,
    );
    let bound = OwnerBound {
        steps: 6,
        handovers: 1,
        ..SMALL.owners
    };
    let model = |rule| owner_model(bound, Some(rule));
    assert_traces!(
        model,
        "handover_age": OwnerRule::HandoverAge,
        "stop_first": OwnerRule::StopFirst,
    );
}

#[test]
fn slot_rules() {
    let model = |rule| slot_model(SMALL.slots, Some(rule));
    assert_traces!(
        model,
        "cold_start": SlotRule::ColdStart,
        "old_permits": SlotRule::OldPermits,
        "deadline_counts": SlotRule::DeadlineCounts,
        "restart_notice": SlotRule::RestartNotice,
    );
}
