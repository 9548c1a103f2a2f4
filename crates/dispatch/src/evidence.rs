//! Trust in a target, derived from the results of its recent attempts.
//!
//! Load pattern: targets fail part of their requests for some seconds while their health checks succeed
//! (gray failure), and each such failure loses a non-idempotent request. Non-idempotent requests
//! therefore go to targets with a recent good answer; a target without one is tried with an idempotent request.

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

/// Time for which a target counts as proven after a good answer. Gray failures last several seconds, so
/// an older answer says little about the present state.
const PROVEN_FOR: Duration = Duration::from_millis(3000);

/// Suspicion, in hundredths, from which a target is blocked: a hang, or two other failures without a good
/// answer between them.
const BLOCK_AT: u32 = 150;

/// Fraction of the suspicion, in hundredths, that remains after a good answer.
const SUSPICION_KEPT: u32 = 40;

/// Duration of the first block of a target; each further block doubles it.
const BLOCK_TIME_MIN: Duration = Duration::from_millis(1200);

/// Longest duration of a block. The platform counts a target that failed by itself as healthy again after two
/// seconds; from then on idempotent requests try it.
const BLOCK_TIME_MAX: Duration = Duration::from_millis(2000);

/// Time after its grant at which a request without an answer shows that its target hangs.
const HANG_NOTICE: Duration = Duration::from_millis(800);

/// Consecutive good answers after which the next block has the shortest duration again.
const BLOCK_RESET_STREAK: u32 = 6;

/// Success rate, in thousandths, below which a target counts as failing. A target with good answers only stays
/// above it after three failures in a row, and is below it after five.
const FAILING_BELOW_MILLE: u32 = 300;

/// Trust in a target, from the most to the least trusted; requests prefer the most trusted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum TargetTrust {
    /// Healthy: the last answer was good and is at most 3 s old, and earlier failures are outweighed.
    Proven,
    /// Untested: no good answer in the last 3 s, and no recent failure.
    Unknown,
    /// Doubtful: an attempt has just failed, a request has been open for much longer than usual, or a block has
    /// expired and no good answer has followed.
    Doubtful,
    /// Blocked: repeated failures or a hang took it out of use for 1.2 to 2 s.
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

/// Results of the recent attempts at one target.
#[derive(Clone, Copy, Debug)]
pub struct TargetEvidence {
    good_at: Option<MonoTime>,
    suspicion: u32,
    blocked_until: Option<MonoTime>,
    block_count: u32,
    good_streak: u32,
    /// Success rate over the latest good and failed answers, as a moving average in thousandths.
    success_mille: u32,
}

/// Returns the suspicion that a result adds, in hundredths.
fn suspicion_of(result: AttemptResult) -> u32 {
    match result {
        AttemptResult::Good | AttemptResult::Cancelled => 0,
        // In normal operation targets fail about one request in a hundred.
        AttemptResult::Failed => 80,
        AttemptResult::Shed => 50,
        AttemptResult::Broken => 90,
        // One failed connection may be a lost path of its host, see `path_reports`; what counts in spite of that makes the
        // target doubtful, and a second one in a row blocks it.
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
    /// Creates the state of a target without results.
    pub fn new() -> Self {
        Self {
            good_at: None,
            suspicion: 0,
            blocked_until: None,
            block_count: 0,
            good_streak: 0,
            success_mille: 1000,
        }
    }

    /// Records that a request got no answer until its deadline, and returns `true` if that blocks a target that was not
    /// blocked. The deadline may be seconds after the target began to hang, so that the block counts from then, and a
    /// good answer that came later outweighs it.
    pub fn record_hang(&mut self, granted_at: MonoTime, now: MonoTime) -> bool {
        let hung_at = granted_at.after(HANG_NOTICE).min(now);
        if self.good_at.is_some_and(|good_at| good_at > hung_at) {
            return false;
        }
        self.record_at(AttemptResult::Hung, hung_at, now)
    }

    /// Records the result of an attempt and returns `true` if it blocks a target that was not blocked.
    pub fn record(&mut self, result: AttemptResult, now: MonoTime) -> bool {
        self.record_at(result, now, now)
    }

    /// Records a result that shows the state of the target at `shown_at`.
    fn record_at(&mut self, result: AttemptResult, shown_at: MonoTime, now: MonoTime) -> bool {
        // Only fast failures lower the success rate, as they free their slot at once and so attract more requests.
        // A shed request costs its target nothing, and a hung one holds its slot.
        match result {
            AttemptResult::Good => self.success_mille = (self.success_mille * 3 + 1000) / 4,
            AttemptResult::Failed => self.success_mille = self.success_mille * 3 / 4,
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
        self.good_streak = 0;
        self.suspicion = (self.suspicion + suspicion_of(result)).min(2 * BLOCK_AT);
        if self.suspicion < BLOCK_AT || self.is_blocked(now) {
            return false;
        }
        let time = BLOCK_TIME_MIN.saturating_mul(1 << self.block_count.min(4));
        self.blocked_until = Some(shown_at.after(time.min(BLOCK_TIME_MAX)));
        self.block_count += 1;
        self.suspicion = 0;
        self.is_blocked(now)
    }

    fn on_good(&mut self, now: MonoTime) {
        self.good_at = Some(now);
        self.suspicion = self.suspicion * SUSPICION_KEPT / 100;
        self.good_streak += 1;
        if !self.is_blocked(now) {
            self.blocked_until = None;
        }
        if self.good_streak >= BLOCK_RESET_STREAK {
            self.block_count = 0;
        }
    }

    fn is_blocked(&self, now: MonoTime) -> bool {
        self.blocked_until.is_some_and(|until| now < until)
    }

    /// Returns the end of the latest block, which may have passed; `None` once a good answer has come
    /// after it.
    pub fn blocked_until(&self) -> Option<MonoTime> {
        self.blocked_until
    }

    /// Returns the time of the last good answer; `None` if a failure has followed it.
    pub fn good_at(&self) -> Option<MonoTime> {
        self.good_at
    }

    /// Returns `true` if nearly all of the latest answers were failures.
    pub fn is_failing(&self) -> bool {
        self.success_mille < FAILING_BELOW_MILLE
    }

    /// Returns the trust in the target from results only; open requests are not considered.
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
