//! Recent demand of a team on one host.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Time over which demand decays to zero, so that a host with one request a second keeps a token.
const DEMAND_MEMORY: Duration = Duration::from_secs(1);

/// Longest time for which a host requests tokens in advance. Refills of two thirds of it cause
/// about three transfer requests a second for a steady team, and six with a burst of one second.
const REQUEST_AHEAD: Duration = Duration::from_millis(500);

/// Linearly decaying count of the requests of the last second.
#[derive(Debug, Default)]
pub struct DemandMeter {
    level: TokenAmount,
    measured_at: MonoTime,
}

impl DemandMeter {
    /// Returns the tokens that are needed for one second at the present demand.
    pub fn level_at(&self, now: MonoTime) -> TokenAmount {
        let memory = DEMAND_MEMORY.as_micros();
        let left = memory.saturating_sub(now.since(self.measured_at).as_micros());
        let micros = u128::from(self.level.as_micros()) * left / memory;
        TokenAmount::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Adds requested tokens to the demand.
    pub fn record(&mut self, amount: TokenAmount, now: MonoTime) {
        self.level = self.level_at(now).saturating_add(amount);
        self.measured_at = now;
    }

    /// Returns the number of tokens to hold in advance, for at most a quarter of a token's
    /// lifetime.
    ///
    /// The host and the broker each hold this amount. With half of the lifetime they would together
    /// hold nearly the whole burst, and other hosts would run short.
    pub fn desired_balance(&self, lifetime: Duration, now: MonoTime) -> TokenAmount {
        let ahead = (lifetime / 4).min(REQUEST_AHEAD).as_micros();
        let level = u128::from(self.level_at(now).as_micros());
        let micros = level * ahead / DEMAND_MEMORY.as_micros();
        TokenAmount::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
