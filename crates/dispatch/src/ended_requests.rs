//! The requests of a pool that ended a moment ago: how many, and whether too many of them failed.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

use crate::messages::AttemptResult;

/// Time over which ended requests are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Fewest ended requests that tell a rate, and most that are kept.
const COUNT_MIN: u32 = 8;
const COUNT_MAX: usize = 256;

/// Part of the ended requests from which a pool counts as failing. The platform asks for work at most of the
/// sound targets where more than a tenth fails; about one in twenty fails at any time.
const FAILING_FROM: CapacityRatio = CapacityRatio::from_mille(100);

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
struct EndedRequest {
    at: MonoTime,
    is_failed: bool,
}

/// The latest requests that ended.
#[derive(Clone, Debug, Default)]
pub struct EndedRequests {
    latest: VecDeque<EndedRequest>,
}

impl EndedRequests {
    /// Starts without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a request that has ended.
    pub fn record(&mut self, result: AttemptResult, now: MonoTime) {
        let is_failed = !matches!(result, AttemptResult::Good | AttemptResult::Cancelled);
        self.latest.push_back(EndedRequest { at: now, is_failed });
        if self.latest.len() > COUNT_MAX {
            self.latest.pop_front();
        }
    }

    /// Returns the usual pause between ends; none where too few requests ended to tell.
    pub fn pause(&self, now: MonoTime) -> Option<Duration> {
        let (ended, _) = self.counts(now);
        (ended >= COUNT_MIN).then(|| SPAN / ended)
    }

    /// Tells whether so many requests fail that the targets in use are no longer the better ones.
    pub fn is_failing(&self, now: MonoTime) -> bool {
        let (ended, failed) = self.counts(now);
        ended >= COUNT_MIN && failed >= FAILING_FROM.ceil_of(ended)
    }

    /// Counts the requests that ended a moment ago, and those of them that failed.
    fn counts(&self, now: MonoTime) -> (u32, u32) {
        let lately = self.latest.iter().rev();
        let lately = lately.take_while(|request| now.since(request.at) < SPAN);
        lately.fold((0, 0), |(ended, failed), request| {
            (ended + 1, failed + u32::from(request.is_failed))
        })
    }
}
