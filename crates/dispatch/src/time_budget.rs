//! Time limits of a request on its host: its deadline, its wait in a queue, and the hedging delay.
//!
//! The limits assume that single targets hang while all others answer as usual, and that for some seconds
//! more requests arrive than all slots can serve.

use std::time::Duration;

/// Multiple of the mean latency, in tenths, after which an idempotent request is also sent to a second
/// target. A few in a hundred ordinary requests take longer.
const HEDGE_FACTOR_TENTHS: u32 = 22;

/// Shortest delay before a request is also sent to a second target.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(80);

/// Fraction of the latency objective that a request may wait for a slot, in tenths; the rest is for the work.
/// An answer after the objective has little value, and a request that is refused after a long wait could have
/// been refused at once.
const WAIT_OBJECTIVE_TENTHS: u32 = 6;

/// Fraction of the time left that a request may wait for a slot, in tenths, if the objective allows more.
const WAIT_LEFT_TENTHS: u32 = 5;

/// Timeout of a request for which neither its caller nor its route sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Part of the caller's timeout that is reserved for the answer to arrive: two crossings between caller and
/// host, of up to 8 ms each in the users' deployments, and a scheduling delay on a host with a fraction of a core.
const ANSWER_RESERVE: Duration = Duration::from_millis(30);

/// Least time left with which a request is still sent to a target.
const SEND_TIME_MIN: Duration = Duration::from_millis(20);

/// Time that a request has left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeBudget {
    /// Time until the host must start to send the answer.
    pub left: Duration,
}

impl TimeBudget {
    /// Creates a budget from the lower of the timeouts of the caller and the route, or from a default of 30 s
    /// if neither is set. A caller disconnects at its deadline, so its answer must be sent before.
    ///
    /// Load pattern: targets hang on non-idempotent requests until their callers' deadline.
    pub fn new(caller: Option<Duration>, route: Option<Duration>) -> Self {
        let caller = caller.map(|time| time.saturating_sub(ANSWER_RESERVE));
        let left = caller.into_iter().chain(route).min();
        Self {
            left: left.unwrap_or(DEFAULT_TIMEOUT),
        }
    }

    /// Returns the budget that remains after `used` has passed; never negative.
    pub fn after(self, used: Duration) -> Self {
        Self {
            left: self.left.saturating_sub(used),
        }
    }

    /// Returns how long a request with this latency objective may wait for a slot. An objective of zero means
    /// that the route has none.
    ///
    /// Load pattern: for some seconds more requests arrive than all slots can serve.
    pub fn wait_max(self, objective: Duration) -> Duration {
        let by_time = self.left * WAIT_LEFT_TENTHS / 10;
        match objective.is_zero() {
            true => by_time,
            false => by_time.min(objective * WAIT_OBJECTIVE_TENTHS / 10),
        }
    }

    /// Returns `true` if enough time is left for a target to answer.
    pub fn is_sendable(self) -> bool {
        self.left >= SEND_TIME_MIN
    }
}

/// Returns the part of a wait that a request may still use `elapsed` after its arrival, so that also a retry waits
/// only for as long as its objective allows. An objective of zero means that the route has none.
pub fn wait_after(wait: Duration, objective: Duration, elapsed: Duration) -> Duration {
    let wait_max = objective * WAIT_OBJECTIVE_TENTHS / 10;
    match objective.is_zero() {
        true => wait,
        false => wait.min(wait_max.saturating_sub(elapsed)),
    }
}

/// Returns the delay after which an idempotent request is also sent to a second target.
///
/// Load pattern: a target hangs while all others answer as usual, and the caller's objective is two
/// to four times the mean latency.
pub fn hedge_delay(mean_latency: Duration) -> Duration {
    (mean_latency * HEDGE_FACTOR_TENTHS / 10).max(HEDGE_DELAY_MIN)
}
