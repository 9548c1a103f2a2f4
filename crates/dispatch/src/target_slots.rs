//! The concurrency limit of one target: its slots and the permits that hold them.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use indexmap::IndexMap;

use crate::{
    evidence::{
        TargetEvidence,
        TargetTrust, //
    },
    messages::{
        AttemptResult,
        PermitNumber,
        ReleaseNotice, //
    },
    pacer::ColdPacer,
    path_reports::PathReports,
    target_limit::{
        LimitState,
        TargetLimiter, //
    },
    target_speed::TargetSpeed,
};

/// Time for which a permit outlives its request, so that a release in transit still finds it.
const PERMIT_MARGIN: Duration = Duration::from_millis(300);

/// Time without an answer from which a request no longer counts against the slots for a trial. The target may have lost
/// it; a target that still works on it sheds or queues the trial.
const LOST_AFTER: Duration = Duration::from_millis(1600);

/// Time between requests to a blocked target that fails nearly all of them.
const TRIAL_PAUSE: Duration = Duration::from_millis(300);

/// What a release changed about its target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReleaseEffect {
    /// Whether the result blocks a target that was not blocked.
    pub is_blocked: bool,
    /// What is known about the rate limit, if that has changed.
    pub limit: Option<LimitState>,
}

/// A permit whose request is in flight.
#[derive(Clone, Copy, Debug)]
struct OpenPermit {
    granted_at: MonoTime,
    ends_at: MonoTime,
}

/// State of one target at a dispatcher: its directory entry, open permits and evidence.
#[derive(Clone, Debug)]
pub struct TargetSlots {
    entry: TargetEntry,
    permits: IndexMap<PermitNumber, OpenPermit>,
    evidence: TargetEvidence,
    path_reports: PathReports,
    speed: TargetSpeed,
    pacer: ColdPacer,
    limiter: TargetLimiter,
    /// Time at which the directory listed this incarnation.
    listed_at: MonoTime,
    granted_at: Option<MonoTime>,
    /// Latest grant whose request has ended and did reach the target.
    reached_at: Option<MonoTime>,
    /// Whether the address belongs to another target by now.
    is_misdirected: bool,
    /// Whether the target said that it leaves, which the directory may show later.
    is_leaving: bool,
}

impl TargetSlots {
    /// Creates the state of a target that the directory lists for the first time.
    pub fn new(entry: TargetEntry, now: MonoTime) -> Self {
        let mut pacer = ColdPacer::new();
        if entry.is_cold() {
            pacer.set_cold(entry.cold_left, now);
        }
        Self {
            entry,
            permits: IndexMap::new(),
            evidence: TargetEvidence::new(),
            path_reports: PathReports::new(),
            speed: TargetSpeed::new(),
            pacer,
            limiter: TargetLimiter::new(),
            listed_at: now,
            granted_at: None,
            reached_at: None,
            is_misdirected: false,
            is_leaving: false,
        }
    }

    /// Replaces the entry. A new incarnation or address starts without evidence, but keeps the open permits, as
    /// their requests may still hold slots.
    pub fn update(&mut self, entry: &TargetEntry, now: MonoTime) {
        if self.entry == *entry {
            return;
        }
        if self.entry.born != entry.born || self.entry.address != entry.address {
            let permits = std::mem::take(&mut self.permits);
            *self = Self::new(entry.clone(), now);
            self.permits = permits;
            return;
        }
        let is_later_write = !self.entry.is_cold() || self.entry.sequence != entry.sequence;
        if entry.is_cold() && is_later_write {
            self.pacer.set_cold(entry.cold_left, now);
        }
        self.entry = entry.clone();
    }

    /// Returns the directory entry of the target.
    pub fn entry(&self) -> &TargetEntry {
        &self.entry
    }

    /// Returns the number of requests in flight.
    pub fn open_count(&self) -> usize {
        self.permits.len()
    }

    /// Returns `true` if the target is cold.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        self.pacer.is_cold(now)
    }

    /// Returns what is known about the rate limit that the target states.
    pub fn limit(&self) -> LimitState {
        self.limiter.state()
    }

    /// Returns `true` if the target states a rate limit.
    pub fn is_limited(&self) -> bool {
        matches!(self.limit(), LimitState::Limited(_))
    }

    /// Returns the requests per second that the target can serve with a mean latency.
    pub fn capacity(&self, mean_latency: Duration) -> f64 {
        let by_slots = f64::from(self.entry.slots.get()) / mean_latency.as_secs_f64().max(1e-6);
        match self.limit() {
            LimitState::Limited(rate) => by_slots.min(rate.as_micros() as f64 / 1e6),
            LimitState::Unknown | LimitState::Unlimited => by_slots,
        }
    }

    /// Returns `true` if the target has a free slot for a dispatcher with `share` of the rate that the target may state.
    /// A cold target gets one request at a time, paced; a limited one gets its rate; a target
    /// that leaves or whose address belongs to another one gets none.
    pub fn has_free_slot(&self, share: CapacityRatio, now: MonoTime) -> bool {
        self.has_slot_beside(self.permits.len(), share, now)
    }

    /// Returns `true` if the target has a free slot for a trial, for which requests that got no answer for long do not
    /// count.
    pub fn has_trial_slot(&self, share: CapacityRatio, now: MonoTime) -> bool {
        let open_count = self.permits.len() - self.stuck_count(LOST_AFTER, now);
        self.has_slot_beside(open_count, share, now)
    }

    /// Returns `true` if the target may get a request beside a number of others.
    fn has_slot_beside(&self, open_count: usize, share: CapacityRatio, now: MonoTime) -> bool {
        let limit = match self.pacer.is_cold(now) {
            true => 1,
            false => usize::from(self.entry.slots.get()),
        };
        let is_usable = !self.is_misdirected && !self.is_leaving;
        let may_send = self.pacer.may_send(now) && self.limiter.may_send(share, now);
        is_usable && open_count < limit && may_send
    }

    /// Returns `true` if a blocked target may get a request now. A target that fails nearly all requests at once
    /// always has a free slot and would attract the load of the whole pool, so it gets at most one request each
    /// 300 ms.
    pub fn allows_trial(&self, now: MonoTime) -> bool {
        !self.evidence.is_failing() || self.is_trial_due(now) && self.permits.is_empty()
    }

    /// Returns the mean time of an answer; that of the pool before the first one.
    pub fn mean_time(&self, pool_mean: Duration) -> Duration {
        self.speed.mean(pool_mean)
    }

    /// Returns the expected time to the answer of a further request.
    pub fn expected_time(&self, pool_mean: Duration, now: MonoTime) -> Duration {
        let permits = self.permits.values();
        let ages = permits.map(|permit| now.since(permit.granted_at));
        self.speed.expected_time(pool_mean, self.entry.slots, ages)
    }

    /// Returns the trust in the target. A request that has been open for longer than `stuck_after` makes the
    /// target doubtful before the result is known.
    pub fn trust(&self, stuck_after: Duration, now: MonoTime) -> TargetTrust {
        let trust = self.evidence.trust(now);
        match self.stuck_count(stuck_after, now) {
            0 => trust,
            _ => trust.max(TargetTrust::Doubtful),
        }
    }

    /// Returns the number of requests that have been open for longer than `stuck_after`.
    fn stuck_count(&self, stuck_after: Duration, now: MonoTime) -> usize {
        let permits = self.permits.values();
        let stuck = permits.filter(|permit| now.since(permit.granted_at) > stuck_after);
        stuck.count()
    }

    /// Returns `true` if no request is open that may still get its answer soon.
    pub fn is_idle(&self, stuck_after: Duration, now: MonoTime) -> bool {
        self.stuck_count(stuck_after, now) == self.permits.len()
    }

    /// Returns the results of the recent attempts.
    pub fn evidence(&self) -> &TargetEvidence {
        &self.evidence
    }

    /// Returns the time of the last grant; `None` before the first one.
    pub fn granted_at(&self) -> Option<MonoTime> {
        self.granted_at
    }

    /// Returns the time since the last grant or, before the first one, since the directory lists the target. A grant whose
    /// host found no connection does not count, as the target got no request.
    pub fn idle_time(&self, now: MonoTime) -> Duration {
        let open = self.permits.values().map(|permit| permit.granted_at);
        let used_at = open.max().max(self.reached_at);
        now.since(used_at.unwrap_or(self.listed_at))
    }

    /// Returns `true` if the latest grant is long enough ago for a trial. Those whose hosts found no connection leave the
    /// target idle, and must not draw every request.
    pub fn is_trial_due(&self, now: MonoTime) -> bool {
        self.granted_at
            .is_none_or(|at| now.since(at) >= TRIAL_PAUSE)
    }

    /// Occupies a slot with a permit that expires shortly after the request's time is over, and returns the time at
    /// which it does. `cold_rate` is the request rate that the target handles while it is cold, and `share` the
    /// dispatcher's part of a stated rate.
    pub fn grant(
        &mut self,
        permit: PermitNumber,
        time_left: Duration,
        (cold_rate, share): (RequestRate, CapacityRatio),
        now: MonoTime,
    ) -> MonoTime {
        let open = OpenPermit {
            granted_at: now,
            ends_at: now.after(time_left + PERMIT_MARGIN),
        };
        self.permits.insert(permit, open);
        self.granted_at = Some(now);
        self.pacer.on_sent(cold_rate, now);
        self.limiter.on_sent(share, now);
        open.ends_at
    }

    /// Frees a slot and records the result of its request and what the target said about itself. A permit that is not
    /// open, such as an expired one, has no effect.
    pub fn release(&mut self, notice: &ReleaseNotice, now: MonoTime) -> ReleaseEffect {
        let Some(permit) = self.permits.swap_remove(&notice.permit) else {
            return ReleaseEffect::default();
        };
        let mut effect = ReleaseEffect::default();
        if let Some(signals) = notice.signals {
            self.is_leaving |= signals.is_leaving;
            let is_changed = self
                .limiter
                .on_answer(signals.rate_limit, permit.granted_at, now);
            effect.limit = is_changed.then_some(self.limit());
        }
        self.is_misdirected |= notice.result == AttemptResult::Misdirected;
        effect.is_blocked = match notice.result {
            AttemptResult::Hung => self.evidence.record_hang(permit.granted_at, now),
            AttemptResult::Unreachable => self.on_unreached(notice.host.as_ref(), now),
            result => self.evidence.record(result, now),
        };
        if notice.result != AttemptResult::Unreachable {
            self.reached_at = self.reached_at.max(Some(permit.granted_at));
        }
        let elapsed = Duration::from_millis(notice.elapsed_millis.into());
        match notice.result {
            AttemptResult::Good => {
                self.path_reports.clear();
                self.speed.record(elapsed);
            }
            AttemptResult::Hung | AttemptResult::Cancelled => self.speed.record_unanswered(elapsed),
            _ => {}
        }
        effect
    }

    /// Records that a host found no connection, and returns `true` if that blocks a target that was not blocked.
    fn on_unreached(&mut self, host: Option<&HostId>, now: MonoTime) -> bool {
        self.path_reports.record(host, now) && self.evidence.record(AttemptResult::Unreachable, now)
    }

    /// Frees the slots of expired permits, whose hosts did not release them.
    pub fn expire(&mut self, now: MonoTime) {
        self.permits.retain(|_, permit| now < permit.ends_at);
    }
}
