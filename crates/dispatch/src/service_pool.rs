//! The targets of a service in a zone, and the requests that wait for one.
//!
//! Load pattern: about a third of the slots are in use, and for some seconds all of them are; requests then wait in
//! a queue. `target_selection` selects the target of a request.

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
        QueueChange, //
    },
    target_selection::{
        FAILING_RATIO_MIN,
        PoolState,
        SelectedTarget,
        TRIAL_IDLE,
        TargetSelection, //
    },
    target_slots::{
        ReleaseEffect,
        TargetSlots, //
    },
    waiting_queue::WaitingQueue,
};

/// Assumed mean latency before the first answer.
const INITIAL_LATENCY: Duration = Duration::from_millis(250);

/// A request in flight.
#[derive(Clone, Debug)]
struct OpenRequest {
    team: Option<TeamId>,
    /// Time at which its permit expires.
    ends_at: MonoTime,
}

/// The targets of one service in one zone.
#[derive(Clone, Debug)]
pub struct ServicePool {
    targets: IndexMap<TargetId, TargetSlots>,
    queue: WaitingQueue,
    /// Requests in flight, for fair queueing.
    open_requests: IndexMap<PermitNumber, OpenRequest>,
    /// Moving average over the good answers.
    mean_latency: Duration,
    cold_rate: RequestRate,
    share: FleetShare,
    /// Digest of the directory that the targets were last taken from.
    directory_digest: Option<ContentDigest>,
    /// Arrival of the last idempotent request.
    idempotent_at: Option<MonoTime>,
    completions: CompletionWindow,
    failures: FailureWindow,
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
            queue: WaitingQueue::new(),
            open_requests: IndexMap::new(),
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
        // Waiting requests of the same or a higher priority are served first.
        let is_first = self.queue.ahead_of(request.priority) == 0;
        if is_first && let Some(grant) = self.try_grant(request, next_number(), now) {
            return PoolAnswer::Granted(grant);
        }
        let expected_wait = self.expected_wait(request.priority, now);
        if request.wait_millis == 0 || expected_wait > request.wait() {
            let any_trust = AdmitRequest {
                least_trust: TargetTrust::Blocked,
                ..request.clone()
            };
            return PoolAnswer::Busy {
                expected_wait,
                has_less_trusted: self.select(&any_trust, now).is_some(),
            };
        }
        let ticket = TicketNumber::new(next_number());
        self.queue.push(ticket, request.clone(), now);
        PoolAnswer::Waiting(ticket)
    }

    /// Returns the expected time until a request of this priority gets a slot: the longer one of the estimates by
    /// the number of slots and by the requests that completed in the last second, if these are enough. Blocked and
    /// cold targets do not count, as they serve next to nothing.
    fn expected_wait(&self, priority: u8, now: MonoTime) -> Duration {
        let serving = self.targets.values().filter(|target| {
            !target.is_cold(now) && target.evidence().trust(now) != TargetTrust::Blocked
        });
        let rate: f64 = serving
            .map(|target| target.capacity(self.mean_latency))
            .sum();
        let interval = match rate > 0.0 {
            true => Duration::from_secs_f64(rate.recip()),
            false => self.mean_latency,
        };
        let interval = interval.max(self.completions.mean_interval(now).unwrap_or_default());
        let ahead = u32::try_from(self.queue.ahead_of(priority)).unwrap_or(u32::MAX);
        interval.saturating_mul(ahead.saturating_add(1))
    }

    fn try_grant(
        &mut self,
        request: &AdmitRequest,
        number: u64,
        now: MonoTime,
    ) -> Option<DispatchGrant> {
        let selected = self.select(request, now)?;
        let (trust, choice, id) = (selected.trust, selected.choice, selected.id.clone());
        let permit = PermitNumber::new(number);
        let target = self.targets.get_mut(&id)?;
        let rates = (self.cold_rate, self.share.zone_fraction);
        let ends_at = target.grant(permit, request.time_left(), rates, now);
        let limit = target.limit();
        let team = request.team.clone();
        self.open_requests
            .insert(permit, OpenRequest { team, ends_at });
        Some(DispatchGrant {
            permit,
            target: id,
            mean_latency_millis: whole_millis(self.mean_latency),
            trust,
            limit,
            choice,
        })
    }

    /// Returns the best target for a request; `None` if no acceptable target has a slot.
    fn select(&self, request: &AdmitRequest, now: MonoTime) -> Option<SelectedTarget<'_>> {
        let state = PoolState {
            mean_latency: self.mean_latency,
            share: self.share,
            is_failing: self.failures.has_failed(FAILING_RATIO_MIN, now),
            has_idempotent: self.has_idempotent(now),
        };
        TargetSelection::new(&self.targets, state, now).select(request)
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
        for target in self.targets.values_mut() {
            target.expire(now);
        }
        // A release that is lost must not count for the team for ever.
        self.open_requests
            .retain(|_, request| now < request.ends_at);
    }

    /// Grants free slots to waiting requests, and removes those whose wait is over.
    pub fn serve_queue(&mut self, next_number: impl Fn() -> u64, now: MonoTime) -> QueueChange {
        let mut change = QueueChange::default();
        if self.queue.is_empty() {
            return change;
        }
        self.expire(now);
        for (ticket, request) in self.queue.take_expired(now) {
            change
                .expired
                .push((ticket, self.expected_wait(u8::MAX, now)));
            change.expired_teams.extend(request.charged_team);
        }
        let open_requests = &self.open_requests;
        let open_of = |team: Option<&TeamId>| {
            open_requests
                .values()
                .filter(|request| request.team.as_ref() == team)
                .count()
        };
        for ticket in self.queue.in_order(open_of) {
            let Some(waiting) = self.queue.get(ticket) else {
                continue;
            };
            let mut request = waiting.request.clone();
            let waited = whole_millis(now.since(waiting.since));
            request.left_millis = request.left_millis.saturating_sub(waited);
            let Some(grant) = self.try_grant(&request, next_number(), now) else {
                break;
            };
            self.queue.remove(ticket);
            change.granted.push((ticket, grant));
        }
        change
    }

    /// Removes a waiting request from the queue, as its caller has disconnected, and returns the team that was charged
    /// for it.
    pub fn cancel(&mut self, ticket: TicketNumber) -> Option<TeamId> {
        self.queue.remove(ticket)?.request.charged_team
    }
}
