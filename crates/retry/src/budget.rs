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

/// Requests for each retry. One in ten bounds the load on a service that fails as a whole to 1.1
/// times its usual load.
const REQUESTS_PER_RETRY: u64 = 10;

/// Retries a second that are free, for services with few requests.
const FREE_PER_SECOND: u64 = 1;

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

    fn try_spend(&mut self, now: MonoTime) -> bool {
        let second = self.count_at(now).second;
        let is_recent = |count: &&SecondCount| count.second + WINDOW_SECONDS as u64 > second;
        let (requests, retries) = self
            .seconds
            .iter()
            .filter(is_recent)
            .fold((0, 0), |(requests, retries), count| {
                (requests + count.requests, retries + count.retries)
            });
        let allowed = requests / REQUESTS_PER_RETRY + FREE_PER_SECOND * WINDOW_SECONDS as u64;
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
    services: ShardMap<ServiceId, ServiceBudget>,
}

impl RetryBudget {
    /// Makes the budgets of a host that has sent nothing.
    pub fn new() -> Self {
        Self::default()
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
                budget.try_spend(now)
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
