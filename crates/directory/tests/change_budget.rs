//! Sums of the steps from a change in the store to its use.

use std::time::Duration;

use chicorycroft_directory::prelude::*;

/// Bounds of the users' deployments.
const BOUNDS: [Duration; 3] = [
    Duration::from_millis(2000),
    Duration::from_millis(2500),
    Duration::from_millis(3000),
];

/// Guards against steps that are each within their limit and together exceed the bound: a call that goes silent at the
/// worst moment may take half of the bound.
#[test]
fn silent_call_takes_half_of_the_bound_at_most() {
    for budget in BOUNDS.map(ChangeBudget::new) {
        for part in StorePart::ALL {
            let noticed =
                budget.watch_pause(part) + budget.watch_wait(part) + budget.silence_limit();
            let second_call = noticed + budget.answer_time() / 2;
            assert!(second_call <= budget.bound() / 2, "{part}: {second_call:?}");
        }
    }
}

/// Guards against a dispatcher without a served source for longer than the bound: the store does not answer it, and the
/// first hosts that it asks are refused, too.
#[test]
fn second_round_of_asked_readers_keeps_within_the_bound() {
    for budget in BOUNDS.map(ChangeBudget::new) {
        let pause = budget.watch_pause(StorePart::Targets);
        let overdue = pause + budget.watch_wait(StorePart::Targets) + budget.silence_limit();
        let asked_at = overdue + budget.check_period();
        let first_round = asked_at + budget.answer_time();
        assert!(first_round <= budget.bound() * 6 / 10, "{first_round:?}");
        let trial_time = budget.silence_limit() + budget.answer_time();
        let second_round = asked_at + trial_time + budget.check_period() + budget.answer_time();
        assert!(second_round <= budget.bound(), "{second_round:?}");
    }
}

/// Guards against a host without a dispatcher in reach that reads the store too late, and against followers that read
/// it in ordinary operation.
#[test]
fn followers_read_in_time_and_not_too_early() {
    for budget in BOUNDS.map(ChangeBudget::new) {
        let last = budget.read_age(usize::MAX) + budget.check_period() + budget.answer_time();
        assert!(last <= budget.bound(), "{last:?}");
        let usual = budget.current_age() + budget.follow_wait();
        assert!(usual < budget.read_age(1), "{usual:?}");
    }
}

/// Guards against a large configuration that is in force late because one of its sources fails: it passes from host to host in
/// four rounds, and the failed transfer is one more.
#[test]
fn failed_transfer_keeps_a_large_configuration_within_the_bound() {
    const ROUNDS: u32 = 4;
    for budget in BOUNDS.map(ChangeBudget::new) {
        let read = budget.answer_time();
        let failed = budget.chunk_limit() + budget.fetch_pause();
        let in_force = read + ROUNDS * budget.answer_time() + failed;
        assert!(in_force <= budget.bound() * 3 / 4, "{in_force:?}");
        // A host that awaits the configuration does not take the link with a read of its own meanwhile.
        assert!(in_force < budget.awaited_read_age(0));
    }
}

/// Guards against settings with a bound of zero, which would let a host call the store without a pause.
#[test]
fn bound_of_zero_leaves_pauses_between_calls() {
    let budget = ChangeBudget::new(Duration::ZERO);
    assert!(budget.watch_pause(StorePart::Targets) > Duration::from_millis(100));
    assert!(budget.check_period() > Duration::from_millis(20));
    assert!(budget.retry_pause(0) > Duration::from_millis(50));
}
