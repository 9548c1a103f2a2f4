//! How often a cold target gets a request.
//!
//! Load pattern: a zone comes back with all of its targets cold while the others are full. A cold
//! target bears a few requests a second and crashes well above; two dispatchers that do not know of
//! each other must stay within what it bears.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Part of the rate that one dispatcher uses, as a divisor and a multiple of the pause: 0.8 of it.
const PAUSE_FACTOR: (u32, u32) = (5, 4);

/// Longest pause, where a service states no rate.
const PAUSE_MAX: Duration = Duration::from_millis(1000);

/// Time added to what a target says, because its entry takes a while to be read.
const COLD_MARGIN: Duration = Duration::from_millis(700);

/// Spaces the requests to one cold target.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdPacer {
    cold_until: Option<MonoTime>,
    next_at: Option<MonoTime>,
}

impl ColdPacer {
    /// Makes the pacer of a warm target.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the target is cold for a time from now on.
    pub fn set_cold(&mut self, left: Duration, now: MonoTime) {
        self.cold_until = Some(now.after(left + COLD_MARGIN));
    }

    /// Tells whether the target is cold.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Tells whether a request may go now.
    pub fn may_send(&self, now: MonoTime) -> bool {
        !self.is_cold(now) || self.next_at.is_none_or(|at| now >= at)
    }

    /// Notes that a request goes now.
    pub fn on_sent(&mut self, rate: RequestRate, now: MonoTime) {
        let micros = 1_000_000_000_000_u64.checked_div(rate.as_micros());
        let pause = micros.map_or(PAUSE_MAX, Duration::from_micros);
        let pause = pause * PAUSE_FACTOR.0 / PAUSE_FACTOR.1;
        self.next_at = Some(now.after(pause));
    }
}
