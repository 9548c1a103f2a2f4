//! Recent demand of a team on one host.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Time over which demand is remembered, so that a host with a request a second keeps a token.
const DEMAND_MEMORY: Duration = Duration::from_secs(1);

/// Longest time that a host draws ahead of need. Refills of two thirds of it make about three
/// draws a second for a steady team, and six with a burst of one second.
const DRAW_AHEAD: Duration = Duration::from_millis(500);

/// Requests of the last second, older ones counting less.
#[derive(Debug, Default)]
pub struct DemandMeter {
    level: TokenAmount,
    measured_at: MonoTime,
}

impl DemandMeter {
    /// Returns the tokens that the demand of a second needs.
    pub fn level_at(&self, now: MonoTime) -> TokenAmount {
        let memory = DEMAND_MEMORY.as_micros();
        let left = memory.saturating_sub(now.since(self.measured_at).as_micros());
        let micros = u128::from(self.level.as_micros()) * left / memory;
        TokenAmount::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Counts tokens that were asked for.
    pub fn record(&mut self, amount: TokenAmount, now: MonoTime) {
        self.level = self.level_at(now).saturating_add(amount);
        self.measured_at = now;
    }

    /// Returns the number of tokens to hold: the demand ahead, within a quarter of a token's life.
    ///
    /// The host and the broker each hold as much. With half of the life they would together hold
    /// nearly the whole burst, and what one holds the next short host lacks.
    pub fn target(&self, life: Duration, now: MonoTime) -> TokenAmount {
        let ahead = (life / 4).min(DRAW_AHEAD).as_micros();
        let level = u128::from(self.level_at(now).as_micros());
        let micros = level * ahead / DEMAND_MEMORY.as_micros();
        TokenAmount::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
