//! Joins pools, buckets and budgets for all services and teams.

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
    messages::{
        AdmitRequest,
        AttemptResult,
        ReleaseNotice,
        TeamUsage,
        TicketNumber, //
    },
    service_pool::{
        PoolAnswer,
        QueueChange,
        ServicePool, //
    },
    team_bucket::TeamBucket,
};

/// Which part of the fleet a dispatcher speaks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetShare {
    /// Part of the hosts whose use of rates it knows.
    pub part: CapacityRatio,
    /// Whether other hosts ask it.
    pub is_followed: bool,
}

/// Repeats of a service at one dispatcher: with three zones, 15 in a hundred and 39 in ten seconds, below the
/// fifth and the 56 that the platform allows.
const REPEAT_TERMS: BudgetTerms = BudgetTerms {
    requests_per_retry: 7,
    free_retries: 13,
};

type PoolKey = (ServiceId, Option<ZoneId>);

/// Grants permits for the targets of a zone.
#[derive(Debug, Default)]
pub struct ZoneDispatcher {
    pools: ShardMap<PoolKey, ServicePool>,
    buckets: ShardMap<TeamId, TeamBucket>,
    repeats: RetryBudget,
    numbers: AtomicU64,
}

impl ZoneDispatcher {
    /// Makes a dispatcher that knows nothing. Its numbers start at a seed of its own, so that a permit
    /// of an earlier process is not taken for one of this process.
    pub fn new(seed: u64) -> Self {
        Self {
            numbers: AtomicU64::new(seed),
            repeats: RetryBudget::new().with_terms(REPEAT_TERMS),
            ..Self::default()
        }
    }

    fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Charges a team for a request.
    ///
    /// # Errors
    ///
    /// Fails with the time to come back when the team is over its rate.
    pub fn charge(
        &self,
        request: &AdmitRequest,
        config: &GatewayConfig,
        share: FleetShare,
        now: MonoTime,
    ) -> Result<(), Duration> {
        let Some(team) = &request.charged else {
            return Ok(());
        };
        let terms = config.team(team);
        let Some((rate, burst)) = terms.and_then(|terms| Some((terms.rate?, terms.burst))) else {
            return Ok(());
        };
        self.buckets
            .with_or_insert(team, TeamBucket::new, |bucket| {
                bucket.try_take(rate, burst, share.part, now)
            })
    }

    /// Finds a target for a request, or lets it wait.
    pub fn admit(
        &self,
        request: &AdmitRequest,
        config: &GatewayConfig,
        directory: &TargetDirectory,
        share: FleetShare,
        now: MonoTime,
    ) -> PoolAnswer {
        let terms = config.service(&request.service);
        let cold_rate = terms.map_or(RequestRate::ZERO, |terms| terms.cold_rate);
        let key = (request.service.clone(), request.zone.clone());
        let answer = self.pools.with_or_insert(&key, ServicePool::new, |pool| {
            let scope = (&request.service, request.zone.as_ref());
            pool.update(directory, scope, (cold_rate, share.is_followed), now);
            pool.admit(request, || self.next_number(), now)
        });
        self.count(request, answer, now)
    }

    /// Counts a request that is sent, and takes a repeat back that the budget does not allow.
    fn count(&self, request: &AdmitRequest, answer: PoolAnswer, now: MonoTime) -> PoolAnswer {
        let PoolAnswer::Granted(grant) = &answer else {
            return answer;
        };
        if !request.is_repeat {
            self.repeats.record_request(&request.service, now);
            return answer;
        }
        if self.repeats.try_spend(&request.service, now) {
            return answer;
        }
        let notice = ReleaseNotice {
            service: request.service.clone(),
            zone: request.zone.clone(),
            target: grant.target.clone(),
            permit: grant.permit,
            result: AttemptResult::Cancelled,
            elapsed_millis: 0,
        };
        self.release(&notice, now);
        PoolAnswer::NoBudget
    }

    /// Takes a permit back and serves those that wait; tells whether the target is newly blocked.
    pub fn release(&self, notice: &ReleaseNotice, now: MonoTime) -> (bool, QueueChange) {
        let key = (notice.service.clone(), notice.zone.clone());
        let released = self.pools.with(&key, |pool| {
            let is_blocked = pool.release(notice, now);
            (is_blocked, pool.serve_queue(|| self.next_number(), now))
        });
        released.unwrap_or_default()
    }

    /// Serves all queues; called now and then for waits that end and blocks that are over.
    pub fn serve_queues(&self, now: MonoTime) -> QueueChange {
        let mut all = QueueChange::default();
        self.pools.for_each(|_, pool| {
            let change = pool.serve_queue(|| self.next_number(), now);
            all.granted.extend(change.granted);
            all.expired.extend(change.expired);
        });
        all
    }

    /// Takes a request whose caller has left out of its queue.
    pub fn cancel(&self, service: &ServiceId, zone: Option<&ZoneId>, ticket: TicketNumber) {
        let key = (service.clone(), zone.cloned());
        self.pools.with(&key, |pool| pool.cancel(ticket));
    }

    fn usage_by(&self, count_of: impl Fn(&TeamBucket) -> u64) -> Vec<TeamUsage> {
        let mut usage = Vec::new();
        self.buckets.for_each(|team, bucket| {
            usage.push(TeamUsage {
                team: team.clone(),
                spent: count_of(bucket),
            });
        });
        usage
    }

    /// Returns what each team has spent here since the start, for the other dispatchers.
    pub fn usage(&self) -> Vec<TeamUsage> {
        self.usage_by(TeamBucket::spent)
    }

    /// Returns what each team has spent here and elsewhere, for the host that would take over.
    pub fn total_usage(&self) -> Vec<TeamUsage> {
        self.usage_by(TeamBucket::total)
    }

    /// Takes what another dispatcher's teams have spent.
    pub fn on_usage(
        &self,
        host: &HostId,
        incarnation: HostIncarnation,
        usage: &[TeamUsage],
        now: MonoTime,
    ) {
        for report in usage {
            self.buckets
                .with_or_insert(&report.team, TeamBucket::new, |bucket| {
                    bucket.on_report(host, incarnation, report.spent, now);
                });
        }
    }
}
