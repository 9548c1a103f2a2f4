//! Mean time between free slots.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Inverse weight of the newest interval in the exponential moving average.
const SMOOTHING: u32 = 8;

/// Mean time between two slots while requests wait, as an exponential moving average.
#[derive(Debug, Default)]
pub struct SlotInterval {
    mean: Duration,
    last_at: Option<MonoTime>,
}

impl SlotInterval {
    /// Records that a waiting request got a slot.
    pub fn record_slot(&mut self, now: MonoTime) {
        if let Some(last_at) = self.last_at {
            let interval = now.since(last_at);
            let rest = self.mean - self.mean / SMOOTHING;
            self.mean = rest + interval / SMOOTHING;
        }
        self.last_at = Some(now);
    }

    /// Records that the queue is no longer empty, which starts a new interval.
    pub fn start_interval(&mut self, now: MonoTime) {
        self.last_at = Some(now);
    }

    /// Returns the expected time until a number of slots have become free.
    ///
    /// If no slot has become free for longer than the mean, that longer time is the estimate for
    /// each.
    pub fn expected_wait(&self, slots: usize, now: MonoTime) -> Duration {
        let stalled = self.last_at.map_or(Duration::ZERO, |at| now.since(at));
        let slots = u32::try_from(slots).unwrap_or(u32::MAX);
        self.mean.max(stalled).saturating_mul(slots)
    }
}
