//! Time budget of a request.

use std::time::Duration;

use chicorycroft_dispatch::prelude::*;

/// Guards against answers that are sent at the caller's deadline, when the caller has disconnected already. Covers
/// deadlines with and without a route timeout.
#[test]
fn answer_is_sent_before_the_callers_deadline() {
    let millis = Duration::from_millis;
    // A crossing takes up to 8 ms, and the caller's timeout starts before its request arrives.
    let transit = millis(2 * 8);
    for deadline in [600, 1500, 4000] {
        let budget = TimeBudget::new(Some(millis(deadline)), None);
        assert!(budget.left + transit < millis(deadline), "{deadline} ms");
        assert!(budget.left + millis(50) > millis(deadline), "{deadline} ms");
    }
    let by_route = TimeBudget::new(Some(millis(4000)), Some(millis(1000)));
    assert_eq!(by_route.left, millis(1000));
    assert_eq!(TimeBudget::new(Some(millis(5)), None).left, Duration::ZERO);
}
