//! The time by which bookings come into force.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// A UTC clock that never goes back.
///
/// Between two readings it goes on at least as far as the monotonic clock, so that a wall clock that
/// is stepped back holds no booking up. It follows the wall clock forward, because the monotonic one
/// stands still while a machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct BookingClock {
    mono: MonoTime,
    booked: UnixTime,
}

impl BookingClock {
    /// Starts the clock at a reading of both clocks.
    pub fn new(mono: MonoTime, wall: UnixTime) -> Self {
        Self { mono, booked: wall }
    }

    /// Reads the clock at a reading of both clocks.
    pub fn read(&mut self, mono: MonoTime, wall: UnixTime) -> UnixTime {
        let passed: Duration = mono.since(self.mono);
        // Parts of a millisecond stay for the next reading; otherwise frequent readings lose time.
        let millis = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
        let counted = UnixTime::from_millis(self.booked.as_millis().saturating_add(millis));
        self.mono = self.mono.after(Duration::from_millis(millis));
        self.booked = counted.max(wall);
        self.booked
    }

    /// Returns the time of the last reading.
    pub fn last(&self) -> UnixTime {
        self.booked
    }
}
