//! The targets of a service in a zone, and target selection.
//!
//! Load pattern: about a third of the slots are in use, at any time a third of the targets fails for some
//! seconds, and each host sends one or two requests per second. Non-idempotent requests go to targets with a
//! recent good answer, first to those that the host has an idle connection to. Idempotent requests also try
//! targets without a recent answer. When all slots are in use, requests wait in a queue.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use indexmap::IndexMap;

use crate::{
    completion_window::CompletionWindow,
    evidence::TargetTrust,
    failure_window::FailureWindow,
    fleet_share::FleetShare,
    messages::{
        AdmitRequest,
        AttemptResult,
        DispatchGrant,
        PermitNumber,
        ReleaseNotice,
        TicketNumber,
        whole_millis, //
    },
    pool_answer::{
        PoolAnswer,
        QueueChange,
        QueueTotals, //
    },
    pool_queue::PoolQueue,
    target_slots::{
        ReleaseEffect,
        TargetSlots, //
    },
    wait_estimate::PoolPace,
};

/// Assumed mean latency before the first answer.
const INITIAL_LATENCY: Duration = Duration::from_millis(250);

/// Multiple of the mean latency after which an open request makes its target doubtful. Fewer than one ordinary
/// request in a hundred takes longer.
pub(crate) const STUCK_FACTOR: u32 = 3;

/// Time without a request after which a host tries a target that it has an idle connection to. The platform asks
/// that most healthy targets get a request within two seconds while others fail.
pub(crate) const TRIAL_IDLE_CONNECTED: Duration = Duration::from_millis(1000);

/// Time without a request after which any host tries a target. It is longer than [`TRIAL_IDLE_CONNECTED`], as a
/// trial without an idle connection costs a new one.
const TRIAL_IDLE: Duration = Duration::from_millis(1600);

/// Fraction of the unblocked targets that must get a request within [`TRIAL_IDLE`]. The platform asks for 0.7 within
/// two seconds, over all zones together, and checks the past two seconds when a tenth of the requests fails at once.
const USED_RATIO_MIN: CapacityRatio = CapacityRatio::from_mille(800);

/// The same while many requests fail. The platform looks at the healthy targets only, so that most of those without
/// requests may be among them.
const USED_RATIO_FAILING: CapacityRatio = CapacityRatio::from_mille(950);

/// Fraction of failed attempts from which many requests fail: somewhat less than the tenth from which the platform
/// checks, as each dispatcher sees the failures of its own zone only.
pub(crate) const FAILING_RATIO_MIN: CapacityRatio = CapacityRatio::from_mille(90);

/// Fraction of a pool that may be blocked. Beyond it, blocked targets get requests again, so that the rest
/// does not carry the whole load.
pub(crate) const BLOCKED_RATIO_MAX: CapacityRatio = CapacityRatio::from_mille(400);

/// Age up to which a good answer is fresh. A third of the targets begin a gray failure within nine seconds, so a
/// target with a good answer of this age has failed since in one of twenty cases, and with one that is three
/// seconds old in one of three.
const FRESH_FOR: Duration = Duration::from_millis(400);

/// Most waiting requests that are passed over in turn because no free slot suits them.
const UNSUITED_MAX: usize = 4;

/// The targets of one service in one zone.
#[derive(Clone, Debug)]
pub struct ServicePool {
    pub(crate) targets: IndexMap<TargetId, TargetSlots>,
    pub(crate) queue: PoolQueue,
    /// Requests in flight, and the time at which their permits expire.
    open_requests: IndexMap<PermitNumber, MonoTime>,
    /// Time before which no permit expires.
    expires_at: MonoTime,
    /// Moving average over the good answers.
    pub(crate) mean_latency: Duration,
    cold_rate: RequestRate,
    pub(crate) share: FleetShare,
    /// Digest of the directory that the targets were last taken from.
    directory_digest: Option<ContentDigest>,
    /// Arrival of the last idempotent request.
    idempotent_at: Option<MonoTime>,
    pub(crate) completions: CompletionWindow,
    pub(crate) failures: FailureWindow,
}

/// Sort key of a target for a request; the lowest is selected.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct TargetRank {
    /// `None` for a trial, which goes before all others.
    trust: Option<TargetTrust>,
    /// Step of the age of the last good answer for non-idempotent requests, see [`staleness_of`]; 0 for others.
    staleness: u32,
    is_unconnected: bool,
    open_count: usize,
    /// Time since the last good answer.
    answer_age: Duration,
}

/// Returns `true` if a request is a trial of a target that got none for a while, or none ever. A host with an idle
/// connection to the target tries it earlier, because that costs no new connection. Non-idempotent requests try
/// targets only if too few are in use, as in a service without idempotent requests.
fn is_trial(
    request: &AdmitRequest,
    (id, target): (&TargetId, &TargetSlots),
    (trust, is_coverage_low): (TargetTrust, bool),
    now: MonoTime,
) -> bool {
    let is_due = match request.is_idempotent {
        true if target.granted_at().is_none() => true,
        true if request.connected.contains(id) => target.idle_time(now) > TRIAL_IDLE_CONNECTED,
        true => target.idle_time(now) > TRIAL_IDLE,
        false => is_coverage_low && target.idle_time(now) > TRIAL_IDLE,
    };
    is_due && trust != TargetTrust::Blocked && !request.is_repeat
}

/// Returns the step that an age falls into. Step 0 ends at [`FRESH_FOR`], and each further step ends at twice the
/// age of the one before.
fn staleness_of(age: Duration) -> u32 {
    let steps = age.as_millis() / FRESH_FOR.as_millis();
    steps.checked_ilog2().map_or(0, |step| step + 1)
}

impl Default for ServicePool {
    fn default() -> Self {
        Self::new()
    }
}

impl ServicePool {
    /// Creates a pool without targets.
    pub fn new() -> Self {
        Self {
            targets: IndexMap::new(),
            queue: PoolQueue::new(),
            open_requests: IndexMap::new(),
            expires_at: MonoTime::START,
            mean_latency: INITIAL_LATENCY,
            cold_rate: RequestRate::ZERO,
            share: FleetShare::default(),
            directory_digest: None,
            idempotent_at: None,
            completions: CompletionWindow::new(),
            failures: FailureWindow::new(),
        }
    }

    /// Sets the request rate of cold targets and the part of the fleet that the dispatcher decides for.
    pub fn set_terms(&mut self, cold_rate: RequestRate, share: FleetShare) {
        (self.cold_rate, self.share) = (cold_rate, share);
    }

    /// Replaces the targets by those that the directory lists for the service and zone, if its content has changed.
    /// `None` as the zone means all zones.
    pub fn update(
        &mut self,
        directory: &TargetDirectory,
        (service, zone): (&ServiceId, Option<&ZoneId>),
        now: MonoTime,
    ) {
        if self.directory_digest == Some(directory.content) {
            return;
        }
        self.directory_digest = Some(directory.content);
        let is_in_zone = |entry: &TargetEntry| zone.is_none_or(|zone| entry.zone == *zone);
        let open: IndexMap<&TargetId, &TargetEntry> = directory
            .open_targets(service)
            .filter(|entry| is_in_zone(entry))
            .map(|entry| (&entry.id, entry))
            .collect();
        self.targets.retain(|id, _| open.contains_key(id));
        for (id, entry) in open {
            match self.targets.get_mut(id) {
                Some(target) => target.update(entry, now),
                None => {
                    let target = TargetSlots::new(entry.clone(), now);
                    self.targets.insert(id.clone(), target);
                }
            }
        }
    }

    /// Grants a permit for a request, queues the request, or refuses it.
    pub fn admit(
        &mut self,
        request: &AdmitRequest,
        next_number: impl Fn() -> u64,
        now: MonoTime,
    ) -> PoolAnswer {
        self.expire(now);
        if self.targets.is_empty() {
            return PoolAnswer::NoTarget;
        }
        if request.is_idempotent {
            self.idempotent_at = Some(now);
        }
        if self.queue.is_next(request, now)
            && let Some(grant) = self.try_grant(request, next_number(), now)
        {
            self.queue.record_grant(request, now);
            return PoolAnswer::Granted(grant);
        }
        let (pace, ticket) = (self.pace(now), || TicketNumber::new(next_number()));
        match self.queue.enter(request, ticket, pace, now) {
            Ok(ticket) => PoolAnswer::Waiting(ticket),
            Err(terms) => {
                let any_trust = AdmitRequest {
                    least_trust: TargetTrust::Blocked,
                    ..request.clone()
                };
                PoolAnswer::Busy {
                    expected_wait: terms.expected_wait,
                    return_after: terms.return_after,
                    has_less_trusted: self.select(&any_trust, now).is_some(),
                }
            }
        }
    }

    pub(crate) fn pace(&self, now: MonoTime) -> PoolPace {
        let targets = self.targets.values();
        PoolPace::new(targets, &self.completions, self.mean_latency, now)
    }

    fn try_grant(
        &mut self,
        request: &AdmitRequest,
        number: u64,
        now: MonoTime,
    ) -> Option<DispatchGrant> {
        let (trust, id) = self.select(request, now)?;
        let id = id.clone();
        let permit = PermitNumber::new(number);
        let target = self.targets.get_mut(&id)?;
        let rates = (self.cold_rate, self.share.zone_fraction);
        let ends_at = target.grant(permit, request.time_left(), rates, now);
        let limit = target.limit();
        self.open_requests.insert(permit, ends_at);
        self.expires_at = self.expires_at.min(ends_at);
        self.completions.record_open(self.open_requests.len(), now);
        Some(DispatchGrant {
            permit,
            target: id,
            mean_latency_millis: whole_millis(self.mean_latency),
            trust,
            limit,
        })
    }

    /// Returns the best target for a request, and the trust in it; `None` if no acceptable target has a slot.
    fn select(&self, request: &AdmitRequest, now: MonoTime) -> Option<(TargetTrust, &TargetId)> {
        let stuck_after = self.mean_latency.saturating_mul(STUCK_FACTOR);
        let blocked = self.targets.values();
        let blocked = blocked.filter(|target| target.evidence().trust(now) == TargetTrust::Blocked);
        let blocked_max = BLOCKED_RATIO_MAX.ceil_of(u32::try_from(self.targets.len()).unwrap_or(0));
        let may_use_blocked = u32::try_from(blocked.count()).unwrap_or(0) > blocked_max;
        let is_failing = self.failures.has_failed(FAILING_RATIO_MIN, now);
        let is_coverage_low = self.is_coverage_low(is_failing, now);
        // While many requests fail, the platform also wants requests to a target that has recovered since it left
        // some without an answer. At other times these show that it still hangs.
        let idle_after = match is_failing {
            true => stuck_after,
            false => Duration::MAX,
        };
        let share = self.share.zone_fraction;
        let candidates = self.targets.iter().filter_map(|(id, target)| {
            let is_paced = target.is_cold(now) || target.is_limited();
            let trust = target.trust(stuck_after, now);
            let is_trial = target.is_idle(idle_after, now)
                && is_trial(request, (id, target), (trust, is_coverage_low), now);
            let has_slot = match is_trial {
                true => target.has_trial_slot(share, now),
                false => target.has_free_slot(share, now),
            };
            let is_usable =
                has_slot && (self.share.is_followed || !is_paced) && !request.tried.contains(id);
            let is_excluded =
                trust == TargetTrust::Blocked && !(may_use_blocked && target.allows_trial(now));
            let rank = match is_trial {
                true => TargetRank::default(),
                false => self.rank(request, (id, target), trust, now),
            };
            let is_acceptable = trust <= request.least_trust || is_trial;
            (is_usable && is_acceptable && !is_excluded).then_some((rank, id, trust))
        });
        let (_, id, trust) = candidates.min()?;
        Some((trust, id))
    }

    /// Returns `true` if too few of the unblocked targets got a request within [`TRIAL_IDLE`].
    fn is_coverage_low(&self, is_failing: bool, now: MonoTime) -> bool {
        let (mut usable, mut used) = (0, 0);
        for target in self.targets.values() {
            if target.evidence().trust(now) != TargetTrust::Blocked {
                usable += 1;
                used += u32::from(target.idle_time(now) < TRIAL_IDLE);
            }
        }
        let ratio_min = match is_failing {
            true => USED_RATIO_FAILING,
            false => USED_RATIO_MIN,
        };
        used < ratio_min.ceil_of(usable)
    }

    fn rank(
        &self,
        request: &AdmitRequest,
        (id, target): (&TargetId, &TargetSlots),
        trust: TargetTrust,
        now: MonoTime,
    ) -> TargetRank {
        // Without idempotent requests, others spread over targets without a recent answer.
        let counts_as_proven = !self.has_idempotent(now) && trust == TargetTrust::Unknown;
        let trust = match counts_as_proven {
            true => TargetTrust::Proven,
            false => trust,
        };
        let answer_age = target.evidence().good_at().map(|at| now.since(at));
        let answer_age = answer_age.unwrap_or(Duration::MAX);
        let staleness = match request.is_idempotent {
            true => 0,
            false => staleness_of(answer_age),
        };
        TargetRank {
            trust: Some(trust),
            staleness,
            is_unconnected: !request.connected.contains(id),
            open_count: target.open_count(),
            answer_age,
        }
    }

    /// Returns `true` if idempotent requests arrive often enough to try targets with them.
    fn has_idempotent(&self, now: MonoTime) -> bool {
        self.idempotent_at
            .is_some_and(|at| now.since(at) < TRIAL_IDLE)
    }

    /// Releases a permit and records its result and what the target said about itself.
    pub fn release(&mut self, notice: &ReleaseNotice, now: MonoTime) -> ReleaseEffect {
        self.open_requests.swap_remove(&notice.permit);
        self.completions.record(now);
        self.failures.record(notice.result, now);
        if notice.result == AttemptResult::Good {
            let elapsed = Duration::from_millis(notice.elapsed_millis.into());
            self.mean_latency = (self.mean_latency * 15 + elapsed) / 16;
        }
        let target = self.targets.get_mut(&notice.target);
        target
            .map(|target| target.release(notice, now))
            .unwrap_or_default()
    }

    fn expire(&mut self, now: MonoTime) {
        if now < self.expires_at {
            return;
        }
        for target in self.targets.values_mut() {
            target.expire(now);
        }
        self.open_requests.retain(|_, ends_at| now < *ends_at);
        self.completions.record_open(self.open_requests.len(), now);
        let next = self.open_requests.values().min();
        self.expires_at = next.copied().unwrap_or(MonoTime::from_micros(u64::MAX));
    }

    /// Grants free slots to waiting requests, and removes those that will not be served in time.
    pub fn serve_queue(&mut self, next_number: impl Fn() -> u64, now: MonoTime) -> QueueChange {
        let mut change = QueueChange::default();
        if self.queue.is_empty() {
            return change;
        }
        self.expire(now);
        let pace = self.pace(now);
        while let Some((ticket, waiting, terms)) = self.queue.take_late(pace, now) {
            change.expired.push((ticket, terms));
            change.expired_teams.extend(waiting.request.charged_team);
        }
        let mut unsuited = Vec::new();
        while unsuited.len() < UNSUITED_MAX
            && let Some((ticket, request)) = self.queue.first(now)
        {
            match self.try_grant(&request, next_number(), now) {
                Some(grant) => {
                    self.queue.grant(ticket, now);
                    change.granted.push((ticket, grant));
                }
                // A request without targets to exclude finds none only if no slot is free.
                None if request.tried.is_empty() => break,
                None => unsuited.extend(self.queue.set_aside(ticket)),
            }
        }
        for (ticket, waiting) in unsuited {
            self.queue.put_back(ticket, waiting);
        }
        change
    }

    /// Returns what happened in the queue since its start, and what waits.
    pub fn queue_totals(&self) -> QueueTotals {
        self.queue.totals()
    }

    /// Removes a waiting request from the queue, as its caller has disconnected, and returns the team that was charged
    /// for it.
    pub fn cancel(&mut self, ticket: TicketNumber) -> Option<TeamId> {
        self.queue.remove(ticket)?.request.charged_team
    }
}
