//! How often a slot comes free.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Weight of the newest interval, as a divisor.
const SMOOTHING: u32 = 8;

/// Mean time between two slots while requests wait.
#[derive(Debug, Default)]
pub struct ServicePace {
    interval: Duration,
    last_at: Option<MonoTime>,
}

impl ServicePace {
    /// Notes that a waiting request got a slot.
    pub fn record_service(&mut self, now: MonoTime) {
        if let Some(last_at) = self.last_at {
            let interval = now.since(last_at);
            let rest = self.interval - self.interval / SMOOTHING;
            self.interval = rest + interval / SMOOTHING;
        }
        self.last_at = Some(now);
    }

    /// Notes that the queue went from empty to waiting, which starts a new interval.
    pub fn record_start(&mut self, now: MonoTime) {
        self.last_at = Some(now);
    }

    /// Returns how long a number of services is expected to take.
    ///
    /// While no slot comes free for longer than the mean, that longer time is the estimate.
    pub fn wait_for(&self, services: usize, now: MonoTime) -> Duration {
        let stalled = self.last_at.map_or(Duration::ZERO, |at| now.since(at));
        let services = u32::try_from(services).unwrap_or(u32::MAX);
        self.interval.max(stalled).saturating_mul(services)
    }
}
