//! Retry budgets: how many requests of a service may be sent again.
//!
//! Retries are limited to a fraction of the requests of the last ten seconds, so that they do not multiply the load
//! on a service whose attempts all fail. A few retries are free, so that a service with few requests gets some.

use std::time::Duration;

use chicorycroft_core::prelude::*;

use crate::{
    deadline::DeadlineClock,
    decision::{
        GiveUpReason,
        RequestKind,
        RetryDecision, //
    },
    history::AttemptHistory,
    proof::RunProof,
};

/// Length of the sliding window over which requests and retries are counted, in seconds.
const WINDOW_SECONDS: usize = 10;

/// Parameters of a retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetTerms {
    /// Requests in the window that allow one retry.
    pub requests_per_retry: u64,
    /// Retries in ten seconds that are allowed regardless of the number of requests.
    pub free_retries: u64,
}

impl Default for BudgetTerms {
    /// One retry for ten requests bounds the load on a service that fails as a whole to 1.1 times its usual load.
    fn default() -> Self {
        Self {
            requests_per_retry: 10,
            free_retries: 10,
        }
    }
}

/// Most attempts of one request, including the first.
const ATTEMPTS_MAX: usize = 3;

/// Number of requests and retries in one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCount {
    second: u64,
    requests: u64,
    retries: u64,
}

/// Counts of one service, in a ring of one entry per second.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceBudget {
    seconds: [SecondCount; WINDOW_SECONDS],
}

impl ServiceBudget {
    /// Returns the counts of the present second, and resets an entry that belongs to an earlier one.
    fn count_at(&mut self, now: MonoTime) -> &mut SecondCount {
        let second = now.as_micros() / 1_000_000;
        let count = &mut self.seconds[second as usize % WINDOW_SECONDS];
        if count.second != second {
            *count = SecondCount {
                second,
                ..SecondCount::default()
            };
        }
        count
    }

    /// Returns `true` if the window allows one more retry.
    fn allows_retry(&mut self, terms: BudgetTerms, now: MonoTime) -> bool {
        let second = self.count_at(now).second;
        let is_recent = |count: &&SecondCount| count.second + WINDOW_SECONDS as u64 > second;
        let (requests, retries) = self
            .seconds
            .iter()
            .filter(is_recent)
            .fold((0, 0), |(requests, retries), count| {
                (requests + count.requests, retries + count.retries)
            });
        let allowed = requests / terms.requests_per_retry.max(1) + terms.free_retries;
        retries < allowed
    }

    /// Counts a retry if the window allows one more.
    fn try_spend(&mut self, terms: BudgetTerms, now: MonoTime) -> bool {
        let is_allowed = self.allows_retry(terms, now);
        if is_allowed {
            self.count_at(now).retries += 1;
        }
        is_allowed
    }
}

/// Retry budgets of all services on one host. Hedges count as retries.
#[derive(Debug, Default)]
pub struct RetryBudget {
    terms: BudgetTerms,
    services: ShardMap<ServiceId, ServiceBudget>,
}

impl RetryBudget {
    /// Creates the budgets of a host that has sent no requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the default parameters.
    pub fn with_terms(mut self, terms: BudgetTerms) -> Self {
        self.terms = terms;
        self
    }

    /// Counts a request. Call this once for each request and not for each attempt.
    pub fn record_request(&self, service: &ServiceId, now: MonoTime) {
        self.services
            .with_or_insert(service, ServiceBudget::default, |budget| {
                budget.count_at(now).requests += 1;
            });
    }

    /// Returns `true` if the budget of a service allows a retry now, with at most `free_max` free retries, without
    /// charging it.
    pub fn allows_retry(&self, service: &ServiceId, free_max: u64, now: MonoTime) -> bool {
        let terms = BudgetTerms {
            free_retries: self.terms.free_retries.min(free_max),
            ..self.terms
        };
        self.services
            .with_or_insert(service, ServiceBudget::default, |budget| {
                budget.allows_retry(terms, now)
            })
    }

    /// Charges one retry to a service, for a caller that asked [`Self::allows_retry`] before.
    pub fn record_retry(&self, service: &ServiceId, now: MonoTime) {
        self.services
            .with_or_insert(service, ServiceBudget::default, |budget| {
                budget.count_at(now).retries += 1;
            });
    }

    /// Charges one retry to a service; returns `false` if its budget is used up.
    pub fn try_spend(&self, service: &ServiceId, now: MonoTime) -> bool {
        self.services
            .with_or_insert(service, ServiceBudget::default, |budget| {
                budget.try_spend(self.terms, now)
            })
    }

    /// Decides whether a request whose last attempt failed is sent again. A retry is charged to the budget.
    pub fn decide_retry(
        &self,
        service: &ServiceId,
        kind: RequestKind,
        history: &AttemptHistory,
        deadline: &DeadlineClock,
        now: MonoTime,
    ) -> RetryDecision {
        let proof = history.proof();
        let is_safe = kind == RequestKind::Idempotent || proof == RunProof::NotRun;
        let reason = if proof == RunProof::Ran {
            GiveUpReason::Answered
        } else if !is_safe {
            GiveUpReason::MayHaveRun
        } else if history.len() >= ATTEMPTS_MAX {
            GiveUpReason::TooManyAttempts
        } else if deadline.for_next_hop(now).is_none() {
            GiveUpReason::NoTime
        } else if !self.try_spend(service, now) {
            GiveUpReason::NoBudget
        } else {
            return RetryDecision::RetryElsewhere;
        };
        RetryDecision::GiveUp {
            run: proof.into(),
            reason,
        }
    }

    /// Returns `true` and charges the budget if a request may be hedged: it is idempotent, and its only attempt
    /// has been open for at least `hedge_after`.
    pub fn try_hedge(
        &self,
        service: &ServiceId,
        kind: RequestKind,
        history: &AttemptHistory,
        (hedge_after, deadline): (Duration, &DeadlineClock),
        now: MonoTime,
    ) -> bool {
        let is_slow = history
            .sole_attempt_age(now)
            .is_some_and(|age| age >= hedge_after);
        kind == RequestKind::Idempotent
            && is_slow
            && deadline.for_next_hop(now).is_some()
            && self.try_spend(service, now)
    }
}
