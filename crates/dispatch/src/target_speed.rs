//! Speed of a target, from the times of its answers and of the requests that it has open.
//!
//! Load pattern: the targets of one service differ in speed by three to four times, and a slow spell multiplies the time of
//! one target by four to ten for some seconds. Its open requests show that before its answers do.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Part of an answer in the moving mean: a mean over about eight answers.
const MEAN_SHARE: u32 = 8;

/// Part of an answer that differs from the mean by more than [`JUMP_FACTOR`]: a spell has begun or ended.
const JUMP_SHARE: u32 = 2;

/// Multiple of the mean, or its inverse, that ordinary answers seldom reach.
const JUMP_FACTOR: u32 = 3;

/// Moving mean of the answer times of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetSpeed {
    mean: Option<Duration>,
}

impl TargetSpeed {
    /// Creates the state of a target without answers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time of a good answer.
    pub fn record(&mut self, time: Duration) {
        self.mean = Some(self.mean.map_or(time, |mean| mean_with(mean, time)));
    }

    /// Records that a request was given up after `time` without an answer, which says something only if that is longer than
    /// the mean.
    pub fn record_unanswered(&mut self, time: Duration) {
        if self.mean.is_some_and(|mean| time > mean) {
            self.record(time);
        }
    }

    /// Returns the mean time of an answer; that of the pool before the first one.
    pub fn mean(&self, pool_mean: Duration) -> Duration {
        self.mean.unwrap_or(pool_mean)
    }

    /// Returns the expected time to the answer of a further request, if the target has `slots` and its open requests are as
    /// old as `ages`. Each that is older than the mean counts as an answer of that time.
    pub fn expected_time(
        &self,
        pool_mean: Duration,
        slots: SlotCount,
        ages: impl Iterator<Item = Duration>,
    ) -> Duration {
        let (mut mean, mut open) = (self.mean(pool_mean), 0_u32);
        for age in ages {
            open += 1;
            if age > mean {
                mean = mean_with(mean, age);
            }
        }
        mean.max(mean.saturating_mul(open + 1) / u32::from(slots.get()).max(1))
    }
}

/// Returns the mean after a further time.
fn mean_with(mean: Duration, time: Duration) -> Duration {
    let is_jump =
        time > mean.saturating_mul(JUMP_FACTOR) || time.saturating_mul(JUMP_FACTOR) < mean;
    let share = match is_jump {
        true => JUMP_SHARE,
        false => MEAN_SHARE,
    };
    mean.saturating_mul(share - 1).saturating_add(time) / share
}
