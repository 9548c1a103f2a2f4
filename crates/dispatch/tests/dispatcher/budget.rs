//! The time that a request has.

use std::time::Duration;

use chicorycroft_dispatch::prelude::*;

/// Guards against answers that leave at the caller's deadline, and find that it has left: replays requests that
/// hang, with deadlines before and after the route's time.
#[test]
fn answer_leaves_before_the_caller_does() {
    let millis = Duration::from_millis;
    // One way takes up to 8 ms, and the caller counts from before its request arrives.
    let ways = millis(2 * 8);
    for deadline in [600, 1500, 4000] {
        let budget = RequestBudget::new(Some(millis(deadline)), None);
        assert!(budget.left + ways < millis(deadline), "{deadline} ms");
        assert!(budget.left + millis(50) > millis(deadline), "{deadline} ms");
    }
    let by_route = RequestBudget::new(Some(millis(4000)), Some(millis(1000)));
    assert_eq!(by_route.left, millis(1000));
    assert_eq!(
        RequestBudget::new(Some(millis(5)), None).left,
        Duration::ZERO
    );
}
