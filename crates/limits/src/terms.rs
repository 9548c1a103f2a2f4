//! Limits of a team, as applied on one host.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Rate and burst of a team in the whole fleet, and the number of hosts that share them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LimitTerms {
    /// Sustained requests per second.
    pub rate: RequestRate,
    /// Requests that are allowed at once on top of the rate.
    pub burst: BurstSize,
    /// Number of hosts among which the rate is divided for minting.
    pub minters: u32,
}

impl LimitTerms {
    /// Creates the limits from the published bound on hosts and the number of live hosts in the
    /// roster.
    ///
    /// More live hosts than the bound divide the rate further, so that the sum remains the rate.
    pub fn new(rate: RequestRate, burst: BurstSize, host_bound: u32, live_hosts: u32) -> Self {
        Self {
            rate,
            burst,
            minters: host_bound.max(live_hosts).max(1),
        }
    }

    /// Returns the rate at which one host mints.
    pub fn host_rate(&self) -> RequestRate {
        self.rate.divided_by(self.minters)
    }

    /// Returns how long a token is valid; zero if the rate is zero.
    pub fn token_lifetime(&self) -> Duration {
        self.burst.accrual_time(self.rate).unwrap_or(Duration::ZERO)
    }
}
