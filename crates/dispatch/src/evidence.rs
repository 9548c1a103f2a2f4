//! What the answers of a target say about it.
//!
//! Load pattern: targets fail a part of their requests for some seconds while their health path says
//! that all is well, and a request that must not run twice is lost with each such failure. Work
//! therefore stays with targets that answered well a moment ago; a target without a recent good answer
//! is tried with a request that may be repeated.

use std::{
    fmt,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::messages::AttemptResult;

/// Time for which a good answer speaks for a target. Gray failures last several seconds, so that an
/// older answer says little.
const PROVEN_FOR: Duration = Duration::from_millis(3000);

/// Suspicion, in hundredths, from which a target is blocked: a hang, or two failures of
/// another kind without good answers between them.
const BLOCK_AT: u32 = 150;

/// Part of the suspicion, in hundredths, that stays after a good answer.
const KEPT_AFTER_GOOD: u32 = 40;

/// First time for which a target is blocked; each relapse doubles it.
const BLOCK_BASE: Duration = Duration::from_millis(1200);

/// Longest time for which a target is blocked. The platform counts a target that failed by itself as sound
/// after two seconds; from then on requests that may run twice try it.
const BLOCK_MAX: Duration = Duration::from_millis(2000);

/// Good answers in a row after which earlier blocks are forgotten.
const FORGIVEN_AFTER: u32 = 6;

/// Part of good answers, in thousandths, below which a target counts as failing: three failures after good
/// ones still pass, five do not.
const FAILING_BELOW: u32 = 300;

/// How far a target is trusted; a lower value is preferred.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum TargetTrust {
    /// It answered well a moment ago.
    Proven,
    /// Nothing is known.
    Unknown,
    /// Its block is over and no good answer has come yet, or an answer has just failed.
    Doubtful,
    /// It is blocked.
    Blocked,
}

impl fmt::Display for TargetTrust {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Proven => "proven",
            Self::Unknown => "unknown",
            Self::Doubtful => "doubtful",
            Self::Blocked => "blocked",
        })
    }
}

/// What is known about one target.
#[derive(Clone, Copy, Debug)]
pub struct TargetEvidence {
    good_at: Option<MonoTime>,
    suspicion: u32,
    blocked_until: Option<MonoTime>,
    block_count: u32,
    good_row: u32,
    /// Part of good ones among the latest good and failed answers, in thousandths.
    good_mille: u32,
}

/// Suspicion that a result adds, in hundredths.
fn weight_of(result: AttemptResult) -> u32 {
    match result {
        AttemptResult::Good | AttemptResult::Cancelled => 0,
        // Targets fail about one request in a hundred in ordinary operation.
        AttemptResult::Failed => 80,
        AttemptResult::Shed => 50,
        AttemptResult::Broken => 90,
        // One host may have lost its path; two that fail to connect speak against the target.
        AttemptResult::Unreachable => 80,
        AttemptResult::Hung | AttemptResult::Misdirected => BLOCK_AT,
    }
}

impl Default for TargetEvidence {
    fn default() -> Self {
        Self::new()
    }
}

impl TargetEvidence {
    /// Makes the evidence of a target without answers.
    pub fn new() -> Self {
        Self {
            good_at: None,
            suspicion: 0,
            blocked_until: None,
            block_count: 0,
            good_row: 0,
            good_mille: 1000,
        }
    }

    /// Takes the result of an attempt; returns whether the target is newly blocked.
    pub fn record(&mut self, result: AttemptResult, now: MonoTime) -> bool {
        // A shed request costs its target nothing, and one that hangs holds a slot; neither draws work.
        match result {
            AttemptResult::Good => self.good_mille = (self.good_mille * 3 + 1000) / 4,
            AttemptResult::Failed => self.good_mille = self.good_mille * 3 / 4,
            _ => {}
        }
        match result {
            AttemptResult::Cancelled => return false,
            AttemptResult::Good => {
                self.on_good(now);
                return false;
            }
            _ => {}
        }
        self.good_at = None;
        self.good_row = 0;
        self.suspicion = (self.suspicion + weight_of(result)).min(2 * BLOCK_AT);
        if self.suspicion < BLOCK_AT || self.is_blocked(now) {
            return false;
        }
        let time = BLOCK_BASE.saturating_mul(1 << self.block_count.min(4));
        self.blocked_until = Some(now.after(time.min(BLOCK_MAX)));
        self.block_count += 1;
        self.suspicion = 0;
        true
    }

    fn on_good(&mut self, now: MonoTime) {
        self.good_at = Some(now);
        self.suspicion = self.suspicion * KEPT_AFTER_GOOD / 100;
        self.good_row += 1;
        if !self.is_blocked(now) {
            self.blocked_until = None;
        }
        if self.good_row >= FORGIVEN_AFTER {
            self.block_count = 0;
        }
    }

    fn is_blocked(&self, now: MonoTime) -> bool {
        self.blocked_until.is_some_and(|until| now < until)
    }

    /// Returns when the block ends; none for a target that is not blocked.
    pub fn blocked_until(&self) -> Option<MonoTime> {
        self.blocked_until
    }

    /// Returns the time of the last good answer.
    pub fn good_at(&self) -> Option<MonoTime> {
        self.good_at
    }

    /// Tells whether hardly any of the latest answers were good.
    pub fn is_failing(&self) -> bool {
        self.good_mille < FAILING_BELOW
    }

    /// Returns how far the target is trusted.
    pub fn trust(&self, now: MonoTime) -> TargetTrust {
        if self.is_blocked(now) {
            return TargetTrust::Blocked;
        }
        if self.blocked_until.is_some() || self.suspicion >= BLOCK_AT / 3 {
            return TargetTrust::Doubtful;
        }
        match self.good_at {
            Some(at) if now.since(at) < PROVEN_FOR => TargetTrust::Proven,
            _ => TargetTrust::Unknown,
        }
    }
}
