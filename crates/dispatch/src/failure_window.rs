//! Part of the attempts of a pool that failed in the last two seconds.
//!
//! Load pattern: targets fail in part while others are healthy and idle. The platform asks that most healthy targets get
//! requests within two seconds if more than a tenth of a service's requests fails in them.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

use crate::messages::AttemptResult;

/// Time over which attempts are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Fewest attempts from which a part is computed. A small service has about two requests a second in each zone.
const COUNT_MIN: usize = 4;

/// Most attempts that are kept.
const COUNT_MAX: usize = 512;

/// Times and outcomes of the latest attempts.
#[derive(Clone, Debug, Default)]
pub struct FailureWindow {
    attempts: VecDeque<(MonoTime, bool)>,
}

impl FailureWindow {
    /// Creates a window without attempts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an attempt. One that was given up says nothing about its target.
    pub fn record(&mut self, result: AttemptResult, now: MonoTime) {
        let is_failed = match result {
            AttemptResult::Cancelled => return,
            AttemptResult::Good => false,
            _ => true,
        };
        self.attempts.push_back((now, is_failed));
        if self.attempts.len() > COUNT_MAX {
            self.attempts.pop_front();
        }
    }

    /// Returns `true` if at least `ratio` of the attempts in the window failed.
    pub fn has_failed(&self, ratio: CapacityRatio, now: MonoTime) -> bool {
        let latest = self.attempts.iter().rev();
        let latest = latest.take_while(|(at, _)| now.since(*at) < WINDOW);
        let (mut count, mut failed) = (0, 0);
        for (_, is_failed) in latest {
            count += 1;
            failed += u32::from(*is_failed);
        }
        count as usize >= COUNT_MIN && failed >= ratio.ceil_of(count)
    }
}
