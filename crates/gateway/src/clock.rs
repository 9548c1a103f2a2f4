//! Time that goes on during suspension.
//!
//! The runtime's clock stops while a machine is suspended. What a host knows grows old meanwhile, so the
//! time of the suspension is added.

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

/// The clock of a gateway process.
#[derive(Clone, Copy, Debug)]
pub struct GatewayClock {
    started_at: Instant,
    /// Difference of the two clocks at the start; none on a clock for tests, which is never suspended.
    offset: Option<Duration>,
}

/// Returns by how much the clock that counts suspension is ahead of the one that does not.
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
    /// Starts a clock that goes with the runtime's only.
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            offset: None,
        }
    }

    /// Starts a clock that counts suspension.
    pub fn with_suspension() -> Self {
        Self {
            offset: Some(suspended_total()),
            ..Self::new()
        }
    }

    /// Returns the time since the start.
    pub fn mono(&self) -> MonoTime {
        let suspended = self
            .offset
            .map(|offset| suspended_total().saturating_sub(offset));
        MonoTime::START.after(self.started_at.elapsed() + suspended.unwrap_or_default())
    }

    /// Returns a number that tells this process from an earlier one on the same host. The time of day
    /// may step, so that it orders starts only roughly.
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
