//! Retry budget of one dispatcher, derived from what the platform allows all of them together.
//!
//! Load pattern: a service fails as a whole, and every request is sent again. Each dispatcher counts the requests that it
//! grants, so that a part of them is the same part over all dispatchers, while the retries beyond that part are divided
//! among the zones.

use chicorycroft_core::prelude::*;
use chicorycroft_retry::prelude::*;

/// Part of the platform's allowance that the dispatchers of all zones use, in thousandths. The rest is for dispatchers
/// beyond one in each zone: those that have not discovered each other, and hosts that decide for themselves.
const USED_MILLE: u64 = 720;

/// Returns the budget of a service at one of `zone_count` dispatchers. The platform allows `ratio` of the requests as
/// retries, and `slack` retries in ten seconds beyond that.
pub fn retry_terms(ratio: CapacityRatio, slack: u32, zone_count: usize) -> BudgetTerms {
    let whole = u64::from(CapacityRatio::MAX_MILLE);
    let ratio = u64::from(ratio.as_mille());
    let zones = u64::try_from(zone_count.max(1)).unwrap_or(u64::MAX);
    BudgetTerms {
        requests_per_retry: match ratio {
            0 => u64::MAX,
            // Rounding to whole requests must not halve a large ratio.
            ratio => (whole * whole)
                .div_ceil(ratio * USED_MILLE)
                .min(2 * whole / ratio),
        },
        free_retries: u64::from(slack) * USED_MILLE / (whole * zones),
    }
}
