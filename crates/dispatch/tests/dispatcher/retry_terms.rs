//! Retry budgets of all dispatchers together.

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;
use quickcheck::quickcheck;

use crate::common::*;

/// Fewest free retries for which the rounding at ten dispatchers stays small.
const SLACK_MIN: u32 = 30;

quickcheck! {
    /// Guards against dispatchers that together retry more than the platform allows in a deployment with more zones than
    /// three, and against a budget that uses less than half of what is allowed.
    fn budgets_of_all_zones_stay_within_the_allowance(mille: u16, slack: u16, zones: u8) -> bool {
        let ratio = CapacityRatio::from_mille(mille % 1000 + 1);
        let slack = SLACK_MIN + u32::from(slack);
        let zones = usize::from(zones % 10) + 1;
        let terms = retry_terms(ratio, slack, zones);
        let free = terms.free_retries * zones as u64;
        let allowed = f64::from(ratio.as_mille()) / 1000.0;
        let used = (terms.requests_per_retry as f64).recip();
        free <= u64::from(slack)
            && free * 2 >= u64::from(slack)
            && used <= allowed
            && used * 2.0 >= allowed
    }
}

/// Guards against retries where the platform allows none.
#[test]
fn no_allowance_means_no_retry() {
    let terms = retry_terms(CapacityRatio::from_mille(0), 0, 3);
    assert_eq!(
        (terms.requests_per_retry, terms.free_retries),
        (u64::MAX, 0)
    );
}

/// Guards against hosts that each use the free retries of a dispatcher while all of them decide for themselves.
#[test]
fn host_that_decides_for_itself_has_one_free_retry() {
    let alone = FleetShare {
        is_followed: false,
        ..WHOLE
    };
    let terms = retry_terms(CapacityRatio::from_mille(200), 430, 5);
    let dispatcher = ZoneDispatcher::new(0).with_retry_terms(terms);
    let retry = AdmitRequest {
        is_repeat: true,
        ..request("1")
    };
    let directory = directory_of(10);
    let admit = || dispatcher.admit(&retry, &config(), &directory, alone, at(1000));
    assert!(matches!(admit(), PoolAnswer::Granted(_)));
    assert_eq!(admit(), PoolAnswer::NoBudget);
}
