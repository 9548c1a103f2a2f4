//! The requests of a pool that ended a moment ago.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

/// Time over which ended requests are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Fewest ended requests that tell a rate, and most that are kept.
const COUNT_MIN: u32 = 8;
const COUNT_MAX: usize = 256;

/// When the latest requests ended.
#[derive(Clone, Debug, Default)]
pub struct EndedRequests {
    ended_at: VecDeque<MonoTime>,
}

impl EndedRequests {
    /// Starts without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a request that has ended.
    pub fn record(&mut self, now: MonoTime) {
        self.ended_at.push_back(now);
        if self.ended_at.len() > COUNT_MAX {
            self.ended_at.pop_front();
        }
    }

    /// Returns the usual pause between ends; none where too few requests ended to tell.
    pub fn pause(&self, now: MonoTime) -> Option<Duration> {
        let latest = self.ended_at.iter().rev();
        let latest = latest.take_while(|at| now.since(**at) < SPAN);
        let count = u32::try_from(latest.count()).unwrap_or(u32::MAX);
        (count >= COUNT_MIN).then(|| SPAN / count)
    }
}
