//! The targets of a service in a zone, and the choice among them.
//!
//! Load pattern: about a third of the slots are in use, a third of the targets fails for some seconds
//! at any time, and each host sends one or two requests a second. Work that must not run twice goes to
//! targets that answered well a moment ago, first to those that the host is connected to; work that
//! may be repeated also tries the targets that nothing is known about. When all slots are taken, work
//! waits in a queue.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use indexmap::IndexMap;

use crate::{
    ended_requests::EndedRequests,
    evidence::TargetTrust,
    messages::{
        AdmitRequest,
        AttemptResult,
        DispatchGrant,
        PermitNumber,
        ReleaseNotice,
        TicketNumber, //
        whole_millis,
    },
    target_slots::TargetSlots,
    waiting_queue::WaitingQueue,
};

/// Usual time of an answer before any came.
const USUAL_TIME_START: Duration = Duration::from_millis(250);

/// Multiple of the usual time after which a request under way speaks against its target. With the spread
/// of ordinary work, fewer than one request in a hundred takes longer.
const STUCK_FACTOR: u32 = 3;

/// Time without a request after which a target is tried by a host that is connected to it, and by any host.
/// The platform asks that most sound targets get a request within two seconds while others fail.
const TRY_DUE: Duration = Duration::from_millis(1000);
const TRY_OVERDUE: Duration = Duration::from_millis(1600);

/// Part of the targets that take work which must get some within [`TRY_OVERDUE`]. The platform asks for 0.7 within
/// two seconds, over all zones together, and looks back when a tenth of the requests fails at once.
const USED_PART_MIN: CapacityRatio = CapacityRatio::from_mille(800);

/// Part of a pool that may be blocked; beyond it, blocked targets get work again, so that the rest
/// does not carry all of it.
const BLOCKED_PART_MAX: CapacityRatio = CapacityRatio::from_mille(400);

/// Age up to which a good answer is fresh. A third of the targets turn gray within nine seconds, so that an
/// answer of this age is wrong once in twenty times, and one of three seconds once in three.
const FRESH_FOR: Duration = Duration::from_millis(400);

/// What a pool answers to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoolAnswer {
    /// It may be sent.
    Granted(DispatchGrant),
    /// It waits.
    Waiting(TicketNumber),
    /// No slot becomes free in time.
    Busy {
        /// Time after which one may be free.
        drain: Duration,
        /// Whether a target of less trust than asked for has a slot.
        has_lesser: bool,
    },
    /// The service was sent as many repeats as its budget allows.
    NoBudget,
    /// No target takes work.
    NoTarget,
}

/// What became of waiting requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QueueChange {
    /// Requests that may be sent now.
    pub granted: Vec<(TicketNumber, DispatchGrant)>,
    /// Requests whose wait is over, and the time after which a slot may be free.
    pub expired: Vec<(TicketNumber, Duration)>,
}

/// The targets of one service in one zone.
#[derive(Clone, Debug)]
pub struct ServicePool {
    targets: IndexMap<TargetId, TargetSlots>,
    queue: WaitingQueue,
    holders: IndexMap<PermitNumber, Option<TeamId>>,
    usual_time: Duration,
    cold_rate: RequestRate,
    may_use_cold: bool,
    seen: Option<ContentDigest>,
    idempotent_at: Option<MonoTime>,
    ended: EndedRequests,
}

/// How a target is ranked for a request; the lowest goes first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct TargetRank {
    /// None for a target that is to be tried.
    trust: Option<TargetTrust>,
    /// Steps of the age of the last good answer, for requests that must not run twice.
    staleness: u32,
    is_far: bool,
    open_count: usize,
    /// Time since the last good answer.
    evidence_age: Duration,
}

/// Tells whether a request tries a target that got none for a while. A host that is connected to the target
/// tries it earlier, because that costs no connection. Requests that must not run twice try targets only
/// where few are in use, as in a service that has no other requests.
fn is_trial(
    request: &AdmitRequest,
    (id, target): (&TargetId, &TargetSlots),
    (trust, is_narrow): (TargetTrust, bool),
    now: MonoTime,
) -> bool {
    let is_due = match request.is_idempotent {
        true if target.granted_at().is_none() => true,
        true if request.connected.contains(id) => target.idle_time(now) > TRY_DUE,
        true => target.idle_time(now) > TRY_OVERDUE,
        false => is_narrow && target.idle_time(now) > TRY_OVERDUE,
    };
    let is_open = target.open_count() == 0 && trust != TargetTrust::Blocked;
    is_due && is_open && !request.is_repeat
}

/// Returns the step that an age is in; the first ends at [`FRESH_FOR`], and each further one takes twice as
/// long.
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
    /// Makes a pool without targets.
    pub fn new() -> Self {
        Self {
            targets: IndexMap::new(),
            queue: WaitingQueue::new(),
            holders: IndexMap::new(),
            usual_time: USUAL_TIME_START,
            cold_rate: RequestRate::ZERO,
            may_use_cold: true,
            seen: None,
            idempotent_at: None,
            ended: EndedRequests::new(),
        }
    }

    /// Takes the targets as the directory lists them.
    pub fn update(
        &mut self,
        directory: &TargetDirectory,
        (service, zone): (&ServiceId, Option<&ZoneId>),
        (cold_rate, may_use_cold): (RequestRate, bool),
        now: MonoTime,
    ) {
        (self.cold_rate, self.may_use_cold) = (cold_rate, may_use_cold);
        if self.seen == Some(directory.content) {
            return;
        }
        self.seen = Some(directory.content);
        let is_ours = |entry: &TargetEntry| zone.is_none_or(|zone| entry.zone == *zone);
        let open: IndexMap<&TargetId, &TargetEntry> = directory
            .open_targets(service)
            .filter(|entry| is_ours(entry))
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

    /// Decides about a request.
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
        // Those that wait already go first, unless this one ranks above them.
        let is_first = self.queue.ahead_of(request.priority) == 0;
        if is_first && let Some(grant) = self.try_grant(request, next_number(), now) {
            return PoolAnswer::Granted(grant);
        }
        let drain = self.drain_time(request.priority, now);
        if request.wait_millis == 0 || drain > request.wait() {
            let lesser = AdmitRequest {
                trust: TargetTrust::Blocked,
                ..request.clone()
            };
            return PoolAnswer::Busy {
                drain,
                has_lesser: self.choose(&lesser, now).is_some(),
            };
        }
        let ticket = TicketNumber::new(next_number());
        self.queue.push(ticket, request.clone(), now);
        PoolAnswer::Waiting(ticket)
    }

    /// Returns the time until a slot is free for a request of this rank, by the requests that ended in the
    /// last second, or by the slots where too few did. Blocked and cold targets serve next to nothing.
    fn drain_time(&self, priority: u8, now: MonoTime) -> Duration {
        let serving = self.targets.values().filter(|target| {
            !target.is_cold(now) && target.evidence().trust(now) != TargetTrust::Blocked
        });
        let slots: u32 = serving
            .map(|target| u32::from(target.entry().slots.get()))
            .sum();
        let pause = self.usual_time / slots.max(1);
        let pause = pause.max(self.ended.pause(now).unwrap_or_default());
        let ahead = u32::try_from(self.queue.ahead_of(priority)).unwrap_or(u32::MAX);
        pause.saturating_mul(ahead.saturating_add(1))
    }

    fn try_grant(
        &mut self,
        request: &AdmitRequest,
        number: u64,
        now: MonoTime,
    ) -> Option<DispatchGrant> {
        let (trust, id) = self.choose(request, now)?;
        let id = id.clone();
        let permit = PermitNumber::new(number);
        let target = self.targets.get_mut(&id)?;
        target.grant(permit, request.time_left(), self.cold_rate, now);
        self.holders.insert(permit, request.team.clone());
        Some(DispatchGrant {
            permit,
            target: id,
            usual_millis: whole_millis(self.usual_time),
            trust,
        })
    }

    /// Returns the target that suits a request best, and how far it is trusted.
    fn choose(&self, request: &AdmitRequest, now: MonoTime) -> Option<(TargetTrust, &TargetId)> {
        let stuck_after = self.usual_time.saturating_mul(STUCK_FACTOR);
        let blocked = self.targets.values();
        let blocked = blocked.filter(|target| target.evidence().trust(now) == TargetTrust::Blocked);
        let blocked_max = BLOCKED_PART_MAX.ceil_of(u32::try_from(self.targets.len()).unwrap_or(0));
        let may_use_blocked = u32::try_from(blocked.count()).unwrap_or(0) > blocked_max;
        let is_narrow = self.is_narrow(now);
        let candidates = self.targets.iter().filter_map(|(id, target)| {
            let is_usable = target.has_room(now)
                && (self.may_use_cold || !target.is_cold(now))
                && !request.tried.contains(id);
            let trust = target.trust(stuck_after, now);
            let is_trial = is_trial(request, (id, target), (trust, is_narrow), now);
            let is_shut =
                trust == TargetTrust::Blocked && !(may_use_blocked && target.may_be_tried(now));
            let rank = match is_trial {
                true => TargetRank::default(),
                false => self.rank(request, (id, target), trust, now),
            };
            let is_wanted = trust <= request.trust || is_trial;
            (is_usable && is_wanted && !is_shut).then_some((rank, id, trust))
        });
        let (_, id, trust) = candidates.min()?;
        Some((trust, id))
    }

    /// Tells whether too few of the targets that take work got some lately.
    fn is_narrow(&self, now: MonoTime) -> bool {
        let (mut usable, mut used) = (0, 0);
        for target in self.targets.values() {
            if target.evidence().trust(now) != TargetTrust::Blocked {
                usable += 1;
                used += u32::from(target.idle_time(now) < TRY_OVERDUE);
            }
        }
        used < USED_PART_MIN.ceil_of(usable)
    }

    fn rank(
        &self,
        request: &AdmitRequest,
        (id, target): (&TargetId, &TargetSlots),
        trust: TargetTrust,
        now: MonoTime,
    ) -> TargetRank {
        let is_spread = !self.has_idempotent(now) && trust == TargetTrust::Unknown;
        let trust = match is_spread {
            true => TargetTrust::Proven,
            false => trust,
        };
        let evidence_age = target.evidence().good_at().map(|at| now.since(at));
        let evidence_age = evidence_age.unwrap_or(Duration::MAX);
        let staleness = match request.is_idempotent {
            true => 0,
            false => staleness_of(evidence_age),
        };
        TargetRank {
            trust: Some(trust),
            staleness,
            is_far: !request.connected.contains(id),
            open_count: target.open_count(),
            evidence_age,
        }
    }

    /// Tells whether requests that may run twice come often enough to try targets with them.
    fn has_idempotent(&self, now: MonoTime) -> bool {
        self.idempotent_at
            .is_some_and(|at| now.since(at) < TRY_OVERDUE)
    }

    /// Gives a slot back and serves those that wait; returns whether the target is newly blocked.
    pub fn release(&mut self, notice: &ReleaseNotice, now: MonoTime) -> bool {
        self.holders.swap_remove(&notice.permit);
        self.ended.record(now);
        if notice.result == AttemptResult::Good {
            let elapsed = Duration::from_millis(notice.elapsed_millis.into());
            self.usual_time = (self.usual_time * 15 + elapsed) / 16;
        }
        let target = self.targets.get_mut(&notice.target);
        target.is_some_and(|target| target.release(notice.permit, notice.result, now))
    }

    fn expire(&mut self, now: MonoTime) {
        for target in self.targets.values_mut() {
            target.expire(now);
        }
    }

    /// Serves the queue and drops those whose wait is over.
    pub fn serve_queue(&mut self, next_number: impl Fn() -> u64, now: MonoTime) -> QueueChange {
        let mut change = QueueChange::default();
        if self.queue.is_empty() {
            return change;
        }
        self.expire(now);
        for ticket in self.queue.take_expired(now) {
            change.expired.push((ticket, self.drain_time(u8::MAX, now)));
        }
        let holders = &self.holders;
        let open_of = |team: Option<&TeamId>| {
            holders
                .values()
                .filter(|held| held.as_ref() == team)
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

    /// Takes a request whose caller has left out of the queue.
    pub fn cancel(&mut self, ticket: TicketNumber) {
        self.queue.remove(ticket);
    }
}
