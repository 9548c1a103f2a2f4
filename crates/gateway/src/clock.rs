//! A monotonic clock that includes time spent suspended.
//!
//! The runtime's clock stops while a machine is suspended, but the host's copy of the store still ages.
//! The duration of suspensions is therefore added.

use std::time::{
    Duration,
    SystemTime, //
};

use chicorycroft_core::prelude::*;
use rustix::time::{
    ClockId,
    clock_gettime, //
};
use tokio::time::Instant;

/// The monotonic clock of a gateway process.
#[derive(Clone, Copy, Debug)]
pub struct GatewayClock {
    started_at: Instant,
    /// Time the machine had spent suspended when the clock was started. `None` on clocks that do not count
    /// suspension, as in tests.
    suspended_at_start: Option<Duration>,
}

/// Returns the time the machine has spent suspended since boot: `CLOCK_BOOTTIME` minus `CLOCK_MONOTONIC`.
fn suspended_total() -> Duration {
    let read = |id| {
        let time = clock_gettime(id);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        Duration::from_secs(seconds)
            + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or(0))
    };
    let monotonic = read(ClockId::Monotonic);
    read(ClockId::Boottime).saturating_sub(monotonic)
}

impl GatewayClock {
    /// Starts a clock that follows the runtime's clock and does not count suspension.
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            suspended_at_start: None,
        }
    }

    /// Starts a clock that counts time spent suspended.
    pub fn with_suspension() -> Self {
        Self {
            suspended_at_start: Some(suspended_total()),
            ..Self::new()
        }
    }

    /// Returns the time since the clock was started.
    pub fn mono(&self) -> MonoTime {
        let suspended = self
            .suspended_at_start
            .map(|at_start| suspended_total().saturating_sub(at_start));
        MonoTime::START.after(self.started_at.elapsed() + suspended.unwrap_or_default())
    }

    /// Returns a number that distinguishes this process from earlier ones on the same host: the wall-clock
    /// time in milliseconds. Wall-clock time may step, so the order of two starts is only approximate.
    pub fn incarnation(&self) -> HostIncarnation {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let millis = since_epoch.map_or(0, |time| time.as_millis());
        HostIncarnation::new(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

impl Default for GatewayClock {
    fn default() -> Self {
        Self::new()
    }
}
