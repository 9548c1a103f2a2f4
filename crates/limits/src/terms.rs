//! The limits of a team as one host sees them.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Rate and burst of a team over the whole fleet, and the number of hosts that share them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LimitTerms {
    /// Requests per second in the long run.
    pub rate: RequestRate,
    /// Requests beyond the rate at once.
    pub burst: BurstSize,
    /// Hosts that may mint at once.
    pub minters: u32,
}

impl LimitTerms {
    /// Makes the terms from the published bound on hosts and the live hosts of the roster.
    ///
    /// More live hosts than the bound divide the rate further, so that the sum stays the rate.
    pub fn new(rate: RequestRate, burst: BurstSize, host_bound: u32, live_hosts: u32) -> Self {
        Self {
            rate,
            burst,
            minters: host_bound.max(live_hosts).max(1),
        }
    }

    /// Returns the rate that one host mints.
    pub fn share(&self) -> RequestRate {
        self.rate.divided_by(self.minters)
    }

    /// Returns how long a token lives; zero when the rate is zero.
    pub fn life(&self) -> Duration {
        self.burst.accrual_time(self.rate).unwrap_or(Duration::ZERO)
    }
}
