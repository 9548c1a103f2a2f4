//! How long a host waits for a request, and when it repeats one.

use std::time::Duration;

/// Multiple of the usual time of an answer, in tenths, after which a request that may be repeated is
/// also sent to a second target. Ordinary work exceeds it a few times in a hundred.
const HEDGE_TENTHS: u32 = 22;

/// Shortest time before a second target is asked.
const HEDGE_MIN: Duration = Duration::from_millis(80);

/// Part of the objective that a wait may take, in tenths; the rest is for the work. An answer after the
/// objective is worth little, and a request that is refused after a long wait was held for nothing.
const WAIT_TENTHS: u32 = 6;

/// Part of the time left that a wait may take, in tenths, where the objective allows more.
const LEFT_TENTHS: u32 = 5;

/// Time of a request for which neither its caller nor its route states one.
const TIME_DEFAULT: Duration = Duration::from_secs(30);

/// Part of the caller's time that its answer needs to arrive: two crossings between caller and host, of up to
/// 8 ms each on the users' deployments, and a late turn of a host with a part of a core.
const ANSWER_WAY: Duration = Duration::from_millis(30);

/// Least time with which a request is still sent to a target.
const SEND_MIN: Duration = Duration::from_millis(20);

/// The time that a request has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestBudget {
    /// Time until the answer must be on its way.
    pub left: Duration,
}

impl RequestBudget {
    /// Takes the lower one of what the caller and the route allow. A caller leaves at its deadline, so that
    /// its answer goes out before.
    ///
    /// Load pattern: targets hang on work that must not run twice until its caller's deadline.
    pub fn new(caller: Option<Duration>, route: Option<Duration>) -> Self {
        let caller = caller.map(|time| time.saturating_sub(ANSWER_WAY));
        let left = caller.into_iter().chain(route).min();
        Self {
            left: left.unwrap_or(TIME_DEFAULT),
        }
    }

    /// Returns the budget after some of it was used.
    pub fn after(self, used: Duration) -> Self {
        Self {
            left: self.left.saturating_sub(used),
        }
    }

    /// Returns how long a request with this objective may wait for a slot.
    ///
    /// Load pattern: more requests come for some seconds than all slots bear.
    pub fn wait_max(self, objective: Duration) -> Duration {
        let by_time = self.left * LEFT_TENTHS / 10;
        match objective.is_zero() {
            true => by_time,
            false => by_time.min(objective * WAIT_TENTHS / 10),
        }
    }

    /// Tells whether the request is still worth sending.
    pub fn is_sendable(self) -> bool {
        self.left >= SEND_MIN
    }
}

/// Returns when a request that may be repeated is also sent to a second target.
///
/// Load pattern: a target hangs while all others answer as usual, and the caller's objective is two
/// to four times the usual time.
pub fn hedge_delay(usual: Duration) -> Duration {
    (usual * HEDGE_TENTHS / 10).max(HEDGE_MIN)
}
