//! Completions of a pool over the last second, and the time for which its slots were in use.
//!
//! Load pattern: hung requests hold their slots, so that the number of slots alone would predict too short a wait, and a
//! burst meets a pool that was idle before, so that the completions of a second alone would predict too long a one.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

/// Length of a bucket in microseconds.
const BUCKET_MICROS: u64 = 50_000;

/// Number of buckets, which cover a second.
const BUCKET_COUNT: u64 = 20;

/// Fewest completions from which a rate is computed.
const COUNT_MIN: u64 = 8;

/// What happened in one bucket of time.
#[derive(Clone, Copy, Debug, Default)]
struct WindowBucket {
    number: u64,
    /// Completed attempts, successful or not.
    completed: u64,
    /// Time for which slots were in use, summed over the slots, in microseconds.
    used_micros: u64,
}

/// Completed attempts of the last second, and the use of the slots.
#[derive(Clone, Debug, Default)]
pub struct CompletionWindow {
    buckets: VecDeque<WindowBucket>,
    open_count: u64,
    /// Time up to which the use of the slots is counted, in microseconds.
    counted_until: u64,
}

/// Returns the start of the first bucket of the window, in microseconds.
fn window_start(now: MonoTime) -> u64 {
    let number = now.as_micros() / BUCKET_MICROS;
    number.saturating_sub(BUCKET_COUNT - 1) * BUCKET_MICROS
}

impl CompletionWindow {
    /// Creates a window without completions.
    pub fn new() -> Self {
        Self::default()
    }

    fn add(&mut self, number: u64, completed: u64, used_micros: u64) {
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
            bucket.completed += completed;
            bucket.used_micros += used_micros;
        }
    }

    /// Counts the use of the slots up to `now`, in at most one step for each bucket.
    fn advance(&mut self, now: MonoTime) {
        let mut from = self.counted_until.max(window_start(now));
        while from < now.as_micros() {
            let number = from / BUCKET_MICROS;
            let to = now.as_micros().min((number + 1) * BUCKET_MICROS);
            if self.open_count > 0 {
                self.add(number, 0, (to - from) * self.open_count);
            }
            from = to;
        }
        self.counted_until = self.counted_until.max(now.as_micros());
    }

    /// Records a completion.
    pub fn record(&mut self, now: MonoTime) {
        self.advance(now);
        self.open_count = self.open_count.saturating_sub(1);
        self.add(now.as_micros() / BUCKET_MICROS, 1, 0);
    }

    /// Records the number of requests in flight after a grant, or after permits expired.
    pub fn record_open(&mut self, open_count: usize, now: MonoTime) {
        self.advance(now);
        self.open_count = open_count as u64;
    }

    /// Returns the mean time between completions if all of `slot_count` slots were in use; `None` if fewer than eight
    /// attempts completed within the last second.
    pub fn mean_interval(&self, slot_count: u64, now: MonoTime) -> Option<Duration> {
        let start = window_start(now);
        let buckets = self.buckets.iter();
        let buckets = buckets.filter(|bucket| bucket.number * BUCKET_MICROS >= start);
        let (completed, used) = buckets.fold((0, 0), |(completed, used), bucket| {
            (completed + bucket.completed, used + bucket.used_micros)
        });
        if completed < COUNT_MIN || slot_count == 0 {
            return None;
        }
        let uncounted = now
            .as_micros()
            .saturating_sub(self.counted_until.max(start));
        let used = used + uncounted * self.open_count;
        Some(Duration::from_micros(used / completed / slot_count))
    }
}
