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
