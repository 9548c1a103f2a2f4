//! How many requests of a service may be sent again.

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

/// Seconds that count as recent.
const WINDOW_SECONDS: usize = 10;

/// How many retries a number of requests allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetTerms {
    /// Requests for each retry.
    pub requests_per_retry: u64,
    /// Retries in ten seconds that are free, for services with few requests.
    pub free_retries: u64,
}

impl Default for BudgetTerms {
    /// One in ten bounds the load on a service that fails as a whole to 1.1 times its usual load.
    fn default() -> Self {
        Self {
            requests_per_retry: 10,
            free_retries: 10,
        }
    }
}

/// Most attempts of one request.
const ATTEMPTS_MAX: usize = 3;

/// Requests and retries of one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCount {
    second: u64,
    requests: u64,
    retries: u64,
}

/// Counts of one service over the last seconds.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceBudget {
    seconds: [SecondCount; WINDOW_SECONDS],
}

impl ServiceBudget {
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

    fn try_spend(&mut self, terms: BudgetTerms, now: MonoTime) -> bool {
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
        let is_allowed = retries < allowed;
        if is_allowed {
            self.count_at(now).retries += 1;
        }
        is_allowed
    }
}

/// Retries and hedges of each service on this host.
#[derive(Debug, Default)]
pub struct RetryBudget {
    terms: BudgetTerms,
    services: ShardMap<ServiceId, ServiceBudget>,
}

impl RetryBudget {
    /// Makes the budgets of a host that has sent nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Uses other terms.
    pub fn with_terms(mut self, terms: BudgetTerms) -> Self {
        self.terms = terms;
        self
    }

    /// Counts a request, once however often it is sent.
    pub fn record_request(&self, service: &ServiceId, now: MonoTime) {
        self.services
            .with_or_insert(service, ServiceBudget::default, |budget| {
                budget.count_at(now).requests += 1;
            });
    }

    /// Spends one retry of a service, and tells whether the budget had it.
    pub fn try_spend(&self, service: &ServiceId, now: MonoTime) -> bool {
        self.services
            .with_or_insert(service, ServiceBudget::default, |budget| {
                budget.try_spend(self.terms, now)
            })
    }

    /// Decides about a request whose last attempt failed, and charges the budget for a retry.
    pub fn may_retry(
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

    /// Tells whether an idempotent request may be sent a second time while its only attempt has
    /// been open for at least `hedge_after`, and charges the budget if so.
    pub fn may_hedge(
        &self,
        service: &ServiceId,
        kind: RequestKind,
        history: &AttemptHistory,
        (hedge_after, deadline): (Duration, &DeadlineClock),
        now: MonoTime,
    ) -> bool {
        let is_slow = history
            .sole_open_for(now)
            .is_some_and(|open| open >= hedge_after);
        kind == RequestKind::Idempotent
            && is_slow
            && deadline.for_next_hop(now).is_some()
            && self.try_spend(service, now)
    }
}
