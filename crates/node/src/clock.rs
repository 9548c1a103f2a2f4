//! Monotonic time and Unix time of a host.

use std::time::SystemTime;

use chicorycroft_core::prelude::*;
use tokio::time::Instant;

/// A clock on top of the runtime's clock, which tests can pause and advance.
///
/// Unix time is read once at the start and then advances with the runtime's clock, so that a
/// backward step of the system clock never undoes a booked change.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    started_at: Instant,
    started_unix: UnixTime,
    has_system_time: bool,
}

fn system_time() -> UnixTime {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |time| time.as_millis());
    UnixTime::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}

impl HostClock {
    /// Creates a clock that starts at a given Unix time.
    pub fn new(started_unix: UnixTime) -> Self {
        Self {
            started_at: Instant::now(),
            started_unix,
            has_system_time: false,
        }
    }

    /// Creates a clock that starts at the system time.
    pub fn with_system_time() -> Self {
        Self {
            has_system_time: true,
            ..Self::new(system_time())
        }
    }

    /// Returns the monotonic time since the start of the clock.
    pub fn mono(&self) -> MonoTime {
        MonoTime::START.after(self.started_at.elapsed())
    }

    /// Returns the current system time, which may step.
    ///
    /// Unlike the runtime's clock, it advances while a machine is suspended. A clock that was created
    /// with a given time returns the same as [`HostClock::unix`].
    pub fn wall(&self) -> UnixTime {
        match self.has_system_time {
            true => system_time(),
            false => self.unix(),
        }
    }

    /// Returns the Unix time, which advances with the runtime's clock.
    pub fn unix(&self) -> UnixTime {
        self.started_unix.after(self.started_at.elapsed())
    }
}
