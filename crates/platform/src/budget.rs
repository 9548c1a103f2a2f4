//! Limits the rate of calls to the platform.
//!
//! The platform allows about 2,000 reads per second across all callers, and each call and each
//! pending watch counts. The budget of all hosts together is half of that, 1,000 calls per second:
//!
//! | fleet | callers | calls/s each | calls/s in total |
//! |---|---|---|---|
//! | 48 hosts in 3 zones, readers only | 6 | 20 | 120 |
//! | 1,700 hosts in 10 zones, readers only | 20 | 20 | 400 |
//! | 1,700 hosts that all read at once | 1,700 | 0.588 | 1,000 |
//!
//! In the steady state a reader makes far fewer calls: it renews a watch every 8 s (two calls, and one
//! that is pending) and lists the hosts every few seconds.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;

/// Maximum rate of calls of all hosts together, in calls per second.
pub const FLEET_CALLS_PER_SECOND: u64 = 1000;

/// Maximum rate of calls of one host, in calls per second.
pub const HOST_CALLS_PER_SECOND: u64 = 20;

/// Maximum number of calls of a host in a burst, which covers the index and a few changed parts.
pub const BURST_CALLS_MAX: u64 = 10;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Limits the rate of calls of one host to its share of the fleet's budget.
#[derive(Debug)]
pub struct CallBudget {
    state: Mutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    period: Duration,
    /// Theoretical arrival time of the generic cell rate algorithm, which advances by one period per
    /// call.
    theoretical_arrival: MonoTime,
}

fn period_of(callers: usize) -> Duration {
    let callers = u64::try_from(callers).unwrap_or(u64::MAX).max(1);
    let shared = callers.saturating_mul(MICROS_PER_SECOND) / FLEET_CALLS_PER_SECOND;
    Duration::from_micros(shared.max(MICROS_PER_SECOND / HOST_CALLS_PER_SECOND))
}

impl CallBudget {
    /// Creates the budget of one of `callers` hosts that share the fleet's budget.
    pub fn new(callers: usize) -> Self {
        Self {
            state: Mutex::new(BudgetState {
                period: period_of(callers),
                theoretical_arrival: MonoTime::START,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the number of hosts that share the fleet's budget.
    pub fn set_callers(&self, callers: usize) {
        self.state().period = period_of(callers);
    }

    /// Takes one call from the budget.
    ///
    /// # Errors
    ///
    /// Returns the time until the next call is allowed and leaves the budget unchanged.
    pub fn try_take(&self, now: MonoTime) -> Result<(), Duration> {
        let mut state = self.state();
        let theoretical_arrival = state.theoretical_arrival.max(now).after(state.period);
        let burst = u32::try_from(BURST_CALLS_MAX).unwrap_or(u32::MAX);
        let ahead = theoretical_arrival.since(now);
        let allowed = state.period * burst;
        if ahead > allowed {
            return Err(ahead - allowed);
        }
        state.theoretical_arrival = theoretical_arrival;
        Ok(())
    }
}

/// Exponential backoff between failed calls, with jitter.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBackoff {
    failures: u32,
}

/// Pause after the first failure.
const PAUSE_MIN: Duration = Duration::from_millis(250);

/// Maximum pause. It lets a host detect the recovery of the platform well within 19 s.
const PAUSE_MAX: Duration = Duration::from_secs(8);

impl RetryBackoff {
    /// Creates a backoff without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a failure and returns the pause before the next call.
    ///
    /// Half of the pause varies with `jitter`, from 0 to `u16::MAX`, so that the hosts of a fleet do
    /// not all call at the same time when the platform recovers.
    pub fn on_failure(&mut self, jitter: u16) -> Duration {
        let full = PAUSE_MIN
            .saturating_mul(1 << self.failures.min(5))
            .min(PAUSE_MAX);
        self.failures = self.failures.saturating_add(1);
        let half = full / 2;
        half + half.mul_f64(f64::from(jitter) / f64::from(u16::MAX))
    }

    /// Records a success, which resets the pause to its minimum.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }
}
