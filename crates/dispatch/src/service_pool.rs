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
        QueueChange,
        QueueTotals, //
    },
    pool_queue::PoolQueue,
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
    wait_estimate::PoolPace,
};

/// Assumed mean latency before the first answer.
const INITIAL_LATENCY: Duration = Duration::from_millis(250);

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
        if self.directory_digest == Some(directory.local_content) {
            return;
        }
        self.directory_digest = Some(directory.local_content);
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
        let selected = self.select(request, now)?;
        let (trust, choice, id) = (selected.trust, selected.choice, selected.id.clone());
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
