//! Time limits of the steps from a change in the store to its use on the last host.
//!
//! A change must be in use everywhere within one bound, of which each step gets a share. A fault at the worst moment
//! costs one step more, so that a change that meets one fault is in use within about half of the bound, and one that
//! meets another fault on its way still within it.
//!
//! | step | share of the bound |
//! |---|---|
//! | the targets' watch collects changes, or the operators' watch may still wait for one | 0.25 |
//! | a call without an answer counts as silent, and a second source is asked | 0.125 |
//! | the check that notices it, or the wait of the targets' watch | 0.05 |
//! | the second source answers and the change is applied | 0.1 |
//! | a host sends a chunk of a large configuration | 0.2 |

use std::time::Duration;

use crate::contact::StorePart;

/// Parts into which the bound is divided.
const WHOLE_MILLE: u32 = 1000;

/// Lowest bound. Shares of a lower one would be below the time of a call, and the pauses between calls next to nothing.
const BOUND_MIN: Duration = Duration::from_millis(500);

/// Maximum number of failures after which the pause of a follower no longer doubles.
const DOUBLINGS_MAX: u32 = 2;

/// Share for collecting changes between two calls, in thousandths.
const COLLECT_MILLE: u32 = 250;

/// Share for waiting for an answer that is due, in thousandths.
const SILENCE_MILLE: u32 = 125;

/// Share after which an unanswered call has failed, in thousandths: long enough for the second call, too.
const CALL_MILLE: u32 = 350;

/// Share for the period of checks, in thousandths.
const CHECK_MILLE: u32 = 50;

/// Share for the answer of a source of a configuration, in thousandths.
const CHUNK_MILLE: u32 = 200;

/// Share for the answer of a second source, in thousandths.
const ANSWER_MILLE: u32 = 100;

/// Share from which the first host in rank reads the store itself, in thousandths: more than the age of a copy that a
/// follower gets from its dispatcher by a long poll as usual.
const READ_MILLE: u32 = 700;

/// Addition to [`READ_MILLE`] for each host of the zone that started earlier, in thousandths.
const READ_STEP_MILLE: u32 = 25;

/// Maximum number of [`READ_STEP_MILLE`]s that are added.
const READ_STEPS_MAX: u32 = 4;

/// Addition to the age from which a follower reads the store itself, while a later version is on its way to it, in
/// thousandths.
const AWAITED_MILLE: u32 = 300;

/// Time limits that follow from the bound for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChangeBudget {
    bound: Duration,
}

impl ChangeBudget {
    /// Creates the limits for a bound, which counts as at least half a second.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound: bound.max(BOUND_MIN),
        }
    }

    fn share(self, mille: u32) -> Duration {
        self.bound * mille / WHOLE_MILLE
    }

    /// Returns the time from the acknowledgement of a change until every host must use it.
    pub fn bound(self) -> Duration {
        self.bound
    }

    /// Returns the pause between calls of a watch. Targets write many times a second, and each answer counts as a paid
    /// call.
    pub fn watch_pause(self, part: StorePart) -> Duration {
        match part {
            StorePart::Operator => Duration::ZERO,
            StorePart::Targets => self.share(COLLECT_MILLE),
        }
    }

    /// Returns the time for which the store delays the answer to a watch while nothing changes. After the pause of the
    /// targets' watch there is nearly always a change, so that an answer is due soon.
    pub fn watch_wait(self, part: StorePart) -> Duration {
        match part {
            StorePart::Operator => self.share(COLLECT_MILLE),
            StorePart::Targets => self.share(CHECK_MILLE),
        }
    }

    /// Returns the time after which a call whose answer is due counts as silent.
    pub fn silence_limit(self) -> Duration {
        self.share(SILENCE_MILLE)
    }

    /// Returns the time after which a call whose answer is due has failed.
    pub fn call_limit(self) -> Duration {
        self.share(CALL_MILLE)
    }

    /// Returns the age that a copy has at most while nothing changes and the store serves it as usual.
    pub fn current_age(self) -> Duration {
        self.share(COLLECT_MILLE + CHECK_MILLE)
    }

    /// Returns the age from which a copy shows that the store has not served it as usual. The operators' watch confirms a
    /// copy as of the time of its call, so that a copy may be two waits old.
    pub fn late_age(self) -> Duration {
        self.share(2 * COLLECT_MILLE + SILENCE_MILLE)
    }

    /// Returns the long-poll wait of a follower.
    pub fn follow_wait(self) -> Duration {
        self.share(COLLECT_MILLE)
    }

    /// Returns the long-poll wait of a dispatcher that asks another host to read the store.
    pub fn ask_wait(self) -> Duration {
        self.share(CHECK_MILLE)
    }

    /// Returns the age from which a follower reads the store itself. The hosts that started first read first, so that
    /// few calls are made while the store is down; `rank` is the number of hosts that started earlier.
    pub fn read_age(self, rank: usize) -> Duration {
        let steps = u32::try_from(rank).map_or(READ_STEPS_MAX, |rank| rank.min(READ_STEPS_MAX));
        self.share(READ_MILLE + READ_STEP_MILLE * steps)
    }

    /// Returns the age from which a follower reads the store itself although its dispatcher has or reads a later version: a
    /// read would take the link from the transfer that brings it.
    pub fn awaited_read_age(self, rank: usize) -> Duration {
        self.read_age(rank) + self.share(AWAITED_MILLE)
    }

    /// Returns the time in which a host answers with a chunk of a configuration. The chunks of other transfers take its link,
    /// too.
    pub fn chunk_limit(self) -> Duration {
        self.share(CHUNK_MILLE)
    }

    /// Returns the pause after a failed fetch, before the dispatcher is asked for another source.
    pub fn fetch_pause(self) -> Duration {
        self.share(CHECK_MILLE)
    }

    /// Returns the pause of a follower after a number of failed reads in a row. In an outage of the store every host reads,
    /// and each call is paid; the dispatchers notice its end.
    pub fn retry_pause(self, failures: u32) -> Duration {
        self.silence_limit() * (1 << failures.min(DOUBLINGS_MAX))
    }

    /// Returns the interval at which a host checks whether its sources are served.
    pub fn check_period(self) -> Duration {
        self.share(CHECK_MILLE)
    }

    /// Returns the time that the answer of a second source and its use take.
    pub fn answer_time(self) -> Duration {
        self.share(ANSWER_MILLE)
    }
}
