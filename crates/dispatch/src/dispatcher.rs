//! Entry point of the dispatcher: combines pools, buckets and budgets for all services and teams.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_retry::prelude::*;

use crate::{
    fleet_share::FleetShare,
    messages::{
        AdmitRequest,
        ReleaseNotice,
        TicketNumber, //
    },
    pool_answer::{
        PoolAnswer,
        QueueChange,
        QueueTotals, //
    },
    pool_load::PoolLoad,
    service_pool::ServicePool,
    target_slots::ReleaseEffect,
    team_tokens::{
        TeamBuckets,
        limit_of, //
    },
};

/// Free retries of a service at a host that decides for itself. All hosts may do so at once, and the platform's allowance
/// is larger than their number.
const UNFOLLOWED_FREE_RETRIES: u64 = 1;

type PoolKey = (ServiceId, Option<ZoneId>);

/// Grants permits for the targets of all services, and enforces team rates and retry budgets.
#[derive(Debug, Default)]
pub struct ZoneDispatcher {
    pools: ShardMap<PoolKey, ServicePool>,
    teams: TeamBuckets,
    retries: RetryBudget,
    numbers: AtomicU64,
}

impl ZoneDispatcher {
    /// Creates a dispatcher without state. Its permit and ticket numbers start at `seed`, which differs between
    /// processes, so that a permit of an earlier process is not mistaken for one of this process.
    pub fn new(seed: u64) -> Self {
        Self {
            numbers: AtomicU64::new(seed),
            ..Self::default()
        }
    }

    /// Replaces the default retry budget of a service.
    pub fn with_retry_terms(mut self, terms: BudgetTerms) -> Self {
        self.retries = self.retries.with_terms(terms);
        self
    }

    fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Charges a request to its team. Teams without a rate and requests that were charged before pass.
    ///
    /// # Errors
    ///
    /// Returns the delay before a retry if the team is over its rate.
    fn charge(
        &self,
        request: &AdmitRequest,
        config: &GatewayConfig,
        share: FleetShare,
        now: MonoTime,
    ) -> Result<(), Duration> {
        let Some(team) = &request.charged_team else {
            return Ok(());
        };
        match limit_of(team, config) {
            Some(limit) => self.teams.try_take(team, limit, share.fraction, now),
            None => Ok(()),
        }
    }

    /// Returns the token of a request that is not sent with a permit of this dispatcher.
    fn give_back<'a>(&self, teams: impl IntoIterator<Item = &'a TeamId>) {
        for team in teams {
            self.teams.give_back(team);
        }
    }

    /// Selects a target for a request, queues the request, or refuses it. The request is charged to its team only if it
    /// is granted or waits, as another dispatcher charges it otherwise.
    pub fn admit(
        &self,
        request: &AdmitRequest,
        config: &GatewayConfig,
        directory: &TargetDirectory,
        share: FleetShare,
        now: MonoTime,
    ) -> PoolAnswer {
        let free_max = match share.is_followed {
            true => u64::MAX,
            false => UNFOLLOWED_FREE_RETRIES,
        };
        if request.is_repeat && !self.retries.allows_retry(&request.service, free_max, now) {
            return PoolAnswer::NoBudget;
        }
        if let Err(retry_after) = self.charge(request, config, share, now) {
            return PoolAnswer::OverRate { retry_after };
        }
        let terms = config.service(&request.service);
        let cold_rate = terms.map_or(RequestRate::ZERO, |terms| terms.cold_rate);
        let key = (request.service.clone(), request.zone.clone());
        let answer = self.pools.with_or_insert(&key, ServicePool::new, |pool| {
            pool.set_terms(cold_rate, share);
            pool.update(directory, (&request.service, request.zone.as_ref()), now);
            pool.admit(request, || self.next_number(), now)
        });
        match &answer {
            // A retry that waits is counted at once, as others ask for the budget before it gets its slot.
            PoolAnswer::Granted(_) | PoolAnswer::Waiting(_) if request.is_repeat => {
                self.retries.record_retry(&request.service, now);
            }
            PoolAnswer::Granted(_) => self.retries.record_request(&request.service, now),
            PoolAnswer::Waiting(_) => {}
            _ => self.give_back(&request.charged_team),
        }
        answer
    }

    /// Returns the load of the pool of a service in a zone; `None` if no request for it has arrived yet.
    pub fn load(
        &self,
        service: &ServiceId,
        zone: Option<&ZoneId>,
        now: MonoTime,
    ) -> Option<PoolLoad> {
        let key = (service.clone(), zone.cloned());
        self.pools.with(&key, |pool| pool.load(now))
    }

    /// Releases a permit and serves the queue of its pool. The first value tells what the release changed about the
    /// target.
    pub fn release(&self, notice: &ReleaseNotice, now: MonoTime) -> (ReleaseEffect, QueueChange) {
        let key = (notice.service.clone(), notice.zone.clone());
        let released = self.pools.with(&key, |pool| {
            let effect = pool.release(notice, now);
            (effect, pool.serve_queue(|| self.next_number(), now))
        });
        let (effect, change) = released.unwrap_or_default();
        self.give_back(&change.expired_teams);
        (effect, change)
    }

    /// Serves all queues with the targets of a directory. Called periodically, because waits and blocks end without a
    /// message, and because targets leave while requests wait for them.
    pub fn serve_queues(&self, directory: &TargetDirectory, now: MonoTime) -> QueueChange {
        let mut all = QueueChange::default();
        self.pools.for_each(|(service, zone), pool| {
            pool.update(directory, (service, zone.as_ref()), now);
            let change = pool.serve_queue(|| self.next_number(), now);
            all.granted.extend(change.granted);
            all.expired.extend(change.expired);
            all.expired_teams.extend(change.expired_teams);
        });
        self.give_back(&all.expired_teams);
        all
    }

    /// Returns what happened in the queues of all pools since their start, and what waits.
    pub fn queue_totals(&self) -> QueueTotals {
        let mut totals = QueueTotals::default();
        self.pools
            .for_each(|_, pool| totals.add(&pool.queue_totals()));
        totals
    }

    /// Removes a waiting request from its queue, as its caller has disconnected.
    pub fn cancel(&self, service: &ServiceId, zone: Option<&ZoneId>, ticket: TicketNumber) {
        let key = (service.clone(), zone.cloned());
        let team = self.pools.with(&key, |pool| pool.cancel(ticket));
        self.give_back(&team.flatten());
    }

    /// Returns the buckets of the teams.
    pub fn teams(&self) -> &TeamBuckets {
        &self.teams
    }
}
