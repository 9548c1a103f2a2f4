//! Expected time until a pool has a slot for another request.
//!
//! Load pattern: hung requests hold slots, so that the number of slots alone would predict too short a wait, and a pool
//! that has been used in part completes fewer requests than it can.

use std::time::Duration;

use chicorycroft_core::prelude::*;

use crate::{
    completion_window::CompletionWindow,
    evidence::TargetTrust,
    target_slots::TargetSlots, //
};

/// Pace of a pool whose slots are all in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolPace {
    /// Mean time between two slots that become free.
    pub interval: Duration,
    /// Mean latency of the good answers.
    pub mean_latency: Duration,
}

impl PoolPace {
    /// Estimates the pace by the number of slots and by the requests that completed in the last second, if these are
    /// enough, and takes the slower one. Blocked and cold targets do not count, as they serve next to nothing.
    pub fn new<'a>(
        targets: impl Iterator<Item = &'a TargetSlots>,
        completions: &CompletionWindow,
        mean_latency: Duration,
        now: MonoTime,
    ) -> Self {
        let (mut rate, mut slot_count) = (0.0, 0u64);
        for target in targets {
            slot_count += u64::from(target.entry().slots.get());
            if !target.is_cold(now) && target.evidence().trust(now) != TargetTrust::Blocked {
                rate += target.capacity(mean_latency);
            }
        }
        let by_slots = match rate > 0.0 {
            true => Duration::from_secs_f64(rate.recip()),
            false => mean_latency,
        };
        let by_completions = completions.mean_interval(slot_count, now);
        Self {
            interval: by_slots.max(by_completions.unwrap_or_default()),
            mean_latency,
        }
    }

    /// Returns the expected time until a number of requests have got a slot.
    pub fn time_for(&self, count: u64) -> Duration {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.interval.saturating_mul(count)
    }
}
