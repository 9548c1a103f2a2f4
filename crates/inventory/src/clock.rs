//! Clock that decides when bookings are in force.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// A UTC clock that never goes back.
///
/// Between two readings it advances at least as far as the monotonic clock, so that no booking is
/// delayed when the wall clock is set back. It follows the wall clock forward, because the
/// monotonic clock stops while a machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct BookingClock {
    mono: MonoTime,
    utc: UnixTime,
}

impl BookingClock {
    /// Starts the clock at a reading of both clocks.
    pub fn new(mono: MonoTime, wall: UnixTime) -> Self {
        Self { mono, utc: wall }
    }

    /// Advances the clock to a reading of both clocks and returns the time.
    pub fn read(&mut self, mono: MonoTime, wall: UnixTime) -> UnixTime {
        let elapsed: Duration = mono.since(self.mono);
        // Fractions of a millisecond are kept for the next reading; otherwise frequent readings
        // would lose time.
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let advanced = UnixTime::from_millis(self.utc.as_millis().saturating_add(millis));
        self.mono = self.mono.after(Duration::from_millis(millis));
        self.utc = advanced.max(wall);
        self.utc
    }

    /// Returns the time of the last reading.
    pub fn last(&self) -> UnixTime {
        self.utc
    }
}
