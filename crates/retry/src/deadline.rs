//! Remaining time of a request on this host.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Least time that each hop reserves to return the answer.
const RESERVE_MIN: Duration = Duration::from_millis(2);

/// Fraction of the time left that each hop reserves for the answer, as a divisor: 2 %.
const RESERVE_DIVISOR: u32 = 50;

/// Deadline of a request on the clock of this host.
///
/// Hosts send each other the time left and not a point in time, because their clocks differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeadlineClock {
    ends_at: MonoTime,
}

impl DeadlineClock {
    /// Creates the deadline of a request that arrives at `now` with `time_left`.
    pub fn new(time_left: Duration, now: MonoTime) -> Self {
        Self {
            ends_at: now.after(time_left),
        }
    }

    /// Returns the deadline as a point in time of this host.
    pub fn ends_at(&self) -> MonoTime {
        self.ends_at
    }

    /// Returns the time left, or zero after the deadline.
    pub fn time_left(&self, now: MonoTime) -> Duration {
        self.ends_at.since(now)
    }

    /// Returns `true` if no time is left.
    pub fn is_over(&self, now: MonoTime) -> bool {
        self.time_left(now).is_zero()
    }

    /// Returns the time that the next hop may use: the time left minus the reserve for the answer. Returns `None`
    /// if the answer to an attempt could not arrive in time.
    pub fn for_next_hop(&self, now: MonoTime) -> Option<Duration> {
        let left = self.time_left(now);
        let reserve = (left / RESERVE_DIVISOR).max(RESERVE_MIN);
        left.checked_sub(reserve).filter(|time| !time.is_zero())
    }
}
