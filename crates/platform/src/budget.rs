//! Bounds on calls to the platform.
//!
//! The platform allows about 2,000 reads a second across all callers, and each call and each waiting
//! watch counts. All hosts together are given half of that, 1,000 calls a second:
//!
//! | fleet | callers | calls/s each | calls/s in all |
//! |---|---|---|---|
//! | 48 hosts in 3 zones, readers only | 6 | 20 | 120 |
//! | 1,700 hosts in 10 zones, readers only | 20 | 20 | 400 |
//! | 1,700 hosts that all read at once | 1,700 | 0.588 | 1,000 |
//!
//! A reader in its usual state makes far fewer: a watch that is renewed every 8 s (two calls, and one
//! that waits), and a list of hosts every few seconds.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;

/// Calls a second that all hosts together may make.
pub const FLEET_CALLS_PER_SECOND: u64 = 1000;

/// Most calls a second of one host.
pub const HOST_CALLS_PER_SECOND: u64 = 20;

/// Calls that a host may make at once: the index and a few changed parts.
pub const CALLS_AT_ONCE: u64 = 10;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Bounds the calls of one host.
#[derive(Debug)]
pub struct CallBudget {
    state: Mutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    period: Duration,
    /// Time at which all calls made so far are paid for.
    paid_at: MonoTime,
}

fn period_of(callers: usize) -> Duration {
    let callers = u64::try_from(callers).unwrap_or(u64::MAX).max(1);
    let shared = callers.saturating_mul(MICROS_PER_SECOND) / FLEET_CALLS_PER_SECOND;
    Duration::from_micros(shared.max(MICROS_PER_SECOND / HOST_CALLS_PER_SECOND))
}

impl CallBudget {
    /// Makes a budget for one of so many callers.
    pub fn new(callers: usize) -> Self {
        Self {
            state: Mutex::new(BudgetState {
                period: period_of(callers),
                paid_at: MonoTime::START,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the number of callers.
    pub fn set_callers(&self, callers: usize) {
        self.state().period = period_of(callers);
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// Fails with the time until the next call is allowed; nothing is taken then.
    pub fn try_take(&self, now: MonoTime) -> Result<(), Duration> {
        let mut state = self.state();
        let paid_at = state.paid_at.max(now).after(state.period);
        let at_once = u32::try_from(CALLS_AT_ONCE).unwrap_or(u32::MAX);
        let ahead = paid_at.since(now);
        let allowed = state.period * at_once;
        if ahead > allowed {
            return Err(ahead - allowed);
        }
        state.paid_at = paid_at;
        Ok(())
    }
}

/// Pauses between failed calls, which double up to a limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBackoff {
    failures: u32,
}

/// First pause.
const PAUSE_MIN: Duration = Duration::from_millis(250);

/// Longest pause. With it, the return of the platform is noticed well within 19 s.
const PAUSE_MAX: Duration = Duration::from_secs(8);

impl RetryBackoff {
    /// Makes a backoff without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a failure and returns the pause before the next call.
    ///
    /// Half of the pause varies with `jitter`, from 0 to `u16::MAX`, so that the readers of a fleet
    /// do not call all at once when the platform returns.
    pub fn on_failure(&mut self, jitter: u16) -> Duration {
        let full = PAUSE_MIN
            .saturating_mul(1 << self.failures.min(5))
            .min(PAUSE_MAX);
        self.failures = self.failures.saturating_add(1);
        let half = full / 2;
        half + half.mul_f64(f64::from(jitter) / f64::from(u16::MAX))
    }

    /// Notes a success.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }
}
