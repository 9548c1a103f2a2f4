//! The models hold within a bound that a build without optimisation explores in seconds.

use chicorycroft_model::{
    bounds::SMALL,
    ownership::owner_model,
    rates::rate_model,
    search::SearchReport,
    slots::slot_model,
    versions::version_model, //
};

/// Fails with the shortest path to a bad state, and when the search has not seen a state that a
/// fault leads to.
fn assert_holds(report: &SearchReport, states_least: usize) {
    if let Some(example) = &report.counter_example {
        panic!("an invariant does not hold:\n{example}");
    }
    assert!(report.states >= states_least, "only {report:?}");
}

/// Guards against hosts that together hold or spend more than the rate and burst of a team (I5).
#[test]
fn rate_shares_hold() {
    assert_holds(&rate_model(SMALL.rates, None).explore(), 1000);
}

/// Guards against versions that go back and hosts that serve an old one after a start or pause (I13).
#[test]
fn versions_hold() {
    assert_holds(&version_model(SMALL.versions, None).explore(), 1000);
}

/// Guards against two hosts that serve one target at once (I6).
#[test]
fn ownership_holds() {
    assert_holds(&owner_model(SMALL.owners, None).explore(), 1000);
    assert_holds(&owner_model(SMALL.owner_pairs, None).explore(), 1000);
}

/// Guards against more requests at a cold target than it can take (I6).
#[test]
fn slots_hold() {
    assert_holds(&slot_model(SMALL.slots, None).explore(), 1000);
}
