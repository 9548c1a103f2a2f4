//! Completion rate of a pool over the last second.
//!
//! The expected wait in the queue follows from it: hung requests hold their slots, so that the number of slots
//! alone would predict too short a wait.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

/// Time over which completions are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Fewest completions from which a rate is computed.
const COUNT_MIN: u32 = 8;

/// Most completions that are kept.
const COUNT_MAX: usize = 256;

/// Times of the latest completed attempts, successful or not.
#[derive(Clone, Debug, Default)]
pub struct CompletionWindow {
    completed_at: VecDeque<MonoTime>,
}

impl CompletionWindow {
    /// Creates a window without completions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a completion.
    pub fn record(&mut self, now: MonoTime) {
        self.completed_at.push_back(now);
        if self.completed_at.len() > COUNT_MAX {
            self.completed_at.pop_front();
        }
    }

    /// Returns the mean time between completions; `None` if fewer than eight fall into the window.
    pub fn mean_interval(&self, now: MonoTime) -> Option<Duration> {
        let latest = self.completed_at.iter().rev();
        let latest = latest.take_while(|at| now.since(**at) < WINDOW);
        let count = u32::try_from(latest.count()).unwrap_or(u32::MAX);
        (count >= COUNT_MIN).then(|| WINDOW / count)
    }
}
