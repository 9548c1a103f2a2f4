//! The time that a request has left on this host.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Least time that each hop keeps for carrying the answer back.
const RESERVE_LEAST: Duration = Duration::from_millis(2);

/// Part of the time left that each hop keeps for the answer, as a divisor.
const RESERVE_DIVISOR: u32 = 50;

/// Counts down the time that a request has left.
///
/// Hosts send each other time left and not points in time, because their clocks differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeadlineClock {
    ends_at: MonoTime,
}

impl DeadlineClock {
    /// Starts the clock when a request arrives with a time left.
    pub fn new(time_left: Duration, now: MonoTime) -> Self {
        Self {
            ends_at: now.after(time_left),
        }
    }

    /// Returns the end as a point in this host's time.
    pub fn ends_at(&self) -> MonoTime {
        self.ends_at
    }

    /// Returns the time left, which is never negative.
    pub fn time_left(&self, now: MonoTime) -> Duration {
        self.ends_at.since(now)
    }

    /// Tells whether no time is left.
    pub fn is_over(&self, now: MonoTime) -> bool {
        self.time_left(now).is_zero()
    }

    /// Returns the time that the next hop may use, which is the time left without the reserve for
    /// the answer. `None` means that an attempt could not be answered in time.
    pub fn for_next_hop(&self, now: MonoTime) -> Option<Duration> {
        let left = self.time_left(now);
        let reserve = (left / RESERVE_DIVISOR).max(RESERVE_LEAST);
        left.checked_sub(reserve).filter(|time| !time.is_zero())
    }
}
