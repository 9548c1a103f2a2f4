//! The invariants hold within bounds that an unoptimized build explores in seconds.

use chicorycroft_model::{
    bounds::SMALL,
    ownership::owner_model,
    rates::rate_model,
    search::SearchReport,
    slots::slot_model,
    versions::version_model, //
};

/// Fails with the shortest path to a state that violates an invariant, or if the search reached fewer
/// states than expected and so has missed faults.
fn assert_holds(report: &SearchReport, states_min: usize) {
    if let Some(example) = &report.counter_example {
        panic!("an invariant does not hold:\n{example}");
    }
    assert!(report.states >= states_min, "only {report:?}");
}

/// Guards against hosts that together hold or spend more than the rate and burst of a team (I5).
#[test]
fn rate_shares_hold() {
    assert_holds(&rate_model(SMALL.rates, None).explore(), 1000);
}

/// Guards against hosts that revert to an older version, and hosts that serve an outdated version after a
/// restart or pause (I13).
#[test]
fn versions_hold() {
    assert_holds(&version_model(SMALL.versions, None).explore(), 1000);
}

/// Guards against two hosts that serve the same target at once (I6).
#[test]
fn ownership_holds() {
    assert_holds(&owner_model(SMALL.owners, None).explore(), 1000);
    assert_holds(&owner_model(SMALL.owner_pairs, None).explore(), 1000);
}

/// Guards against more concurrent requests at a cold target than its capacity (I6).
#[test]
fn slots_hold() {
    assert_holds(&slot_model(SMALL.slots, None).explore(), 1000);
}
