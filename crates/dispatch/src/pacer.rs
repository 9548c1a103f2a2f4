//! Request rate of a cold target.
//!
//! Load pattern: all targets of a zone are cold after its return while the other zones run at capacity. A cold
//! target handles a few requests per second and crashes well above that rate. Two dispatchers that have not
//! discovered each other must stay within that rate together.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Factor on the pause between two requests, as numerator and denominator: one dispatcher uses 0.8 of the rate.
const PAUSE_FACTOR: (u32, u32) = (5, 4);

/// Pause between two requests, before [`PAUSE_FACTOR`], if the service sets no rate for cold targets.
const DEFAULT_PAUSE: Duration = Duration::from_millis(1000);

/// Time added to the remaining cold time in a target's entry, because the entry is read with a delay.
const COLD_MARGIN: Duration = Duration::from_millis(700);

/// Rate limiter of one target while it is cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdPacer {
    cold_until: Option<MonoTime>,
    next_at: Option<MonoTime>,
}

impl ColdPacer {
    /// Creates the pacer of a warm target.
    pub fn new() -> Self {
        Self::default()
    }

    /// Marks the target as cold for `left` from `now` on, plus a margin for the delay of its entry. A target that is cold
    /// for longer stays so.
    pub fn set_cold(&mut self, left: Duration, now: MonoTime) {
        self.cold_until = self.cold_until.max(Some(now.after(left + COLD_MARGIN)));
    }

    /// Returns `true` if the target is cold.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns `true` if the target is warm or its pause since the last request is over.
    pub fn may_send(&self, now: MonoTime) -> bool {
        !self.is_cold(now) || self.next_at.is_none_or(|at| now >= at)
    }

    /// Records a request and starts the pause that `rate` requires after it.
    pub fn on_sent(&mut self, rate: RequestRate, now: MonoTime) {
        let micros = 1_000_000_000_000_u64.checked_div(rate.as_micros());
        let pause = micros.map_or(DEFAULT_PAUSE, Duration::from_micros);
        let pause = pause * PAUSE_FACTOR.0 / PAUSE_FACTOR.1;
        self.next_at = Some(now.after(pause));
    }
}
