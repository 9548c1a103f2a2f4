//! Completion rate of a pool over the last second.
//!
//! The expected wait in the queue follows from it: hung requests hold their slots, so that the number of slots
//! alone would predict too short a wait.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

/// Length of a bucket.
const BUCKET: Duration = Duration::from_millis(50);

/// Number of buckets, which cover a second.
const BUCKET_COUNT: u64 = 20;

/// Fewest completions from which a rate is computed.
const COUNT_MIN: u32 = 8;

/// What happened in one bucket of time.
#[derive(Clone, Copy, Debug, Default)]
struct WindowBucket {
    number: u64,
    /// Completed attempts, successful or not.
    completed: u32,
    granted: u32,
    /// Sum of the requests in flight over the grants.
    open_sum: u64,
}

/// Completed attempts of the last second, and how many were in flight.
#[derive(Clone, Debug, Default)]
pub struct CompletionWindow {
    buckets: VecDeque<WindowBucket>,
}

/// Returns the number of the bucket that a time falls into.
fn number_of(time: MonoTime) -> u64 {
    time.as_micros() / (BUCKET.as_micros() as u64)
}

impl CompletionWindow {
    /// Creates a window without completions.
    pub fn new() -> Self {
        Self::default()
    }

    fn add(&mut self, now: MonoTime, change: impl FnOnce(&mut WindowBucket)) {
        let number = number_of(now);
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number < number)
        {
            self.buckets.push_back(WindowBucket {
                number,
                ..WindowBucket::default()
            });
        }
        if self.buckets.len() as u64 > BUCKET_COUNT {
            self.buckets.pop_front();
        }
        if let Some(bucket) = self.buckets.back_mut() {
            change(bucket);
        }
    }

    /// Records a completion.
    pub fn record(&mut self, now: MonoTime) {
        self.add(now, |bucket| bucket.completed += 1);
    }

    /// Records a grant, after which `open_count` requests are in flight.
    pub fn record_grant(&mut self, open_count: usize, now: MonoTime) {
        self.add(now, |bucket| {
            bucket.granted += 1;
            bucket.open_sum += open_count as u64;
        });
    }

    /// Returns the mean time between completions if all of `slot_count` slots were in use; `None` if fewer than eight
    /// attempts completed within the last second.
    pub fn mean_interval(&self, slot_count: usize, now: MonoTime) -> Option<Duration> {
        let oldest = number_of(now).saturating_sub(BUCKET_COUNT - 1);
        let (mut completed, mut granted, mut open_sum) = (0, 0, 0);
        for bucket in self.buckets.iter().filter(|bucket| bucket.number >= oldest) {
            completed += bucket.completed;
            granted += bucket.granted;
            open_sum += bucket.open_sum;
        }
        if completed < COUNT_MIN {
            return None;
        }
        let slots = u64::from(granted) * slot_count as u64;
        let in_use = match slots {
            0 => 1.0,
            _ => (open_sum as f64 / slots as f64).min(1.0),
        };
        let length = BUCKET * u32::try_from(BUCKET_COUNT).unwrap_or(u32::MAX);
        Some((length / completed).mul_f64(in_use))
    }
}
