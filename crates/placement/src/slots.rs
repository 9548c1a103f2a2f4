//! Concurrency limits of the targets that this host owns.
//!
//! A target that this host has just started to use is cold: it gets one request at a time.
//! Consecutive good answers raise the limit one by one up to the slots of its service, but not
//! while the target reports that it is cold. A failure of a cold target resets the limit to one; a
//! shed answer of a warm target halves it.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;
use smol_str::SmolStr;
use thiserror::Error;

/// Time after its deadline at which a permit that was never released stops counting.
///
/// The target receives the deadline, so it has abandoned the request by then.
const RECLAIM_MARGIN: Duration = Duration::from_millis(500);

/// Outcome of an attempt at a target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptOutcome {
    /// Complete answer.
    Good,
    /// Complete answer, but much later than the service's median.
    Slow,
    /// The connection was refused.
    Refused,
    /// The target rejected the request because of load, without running it.
    Shed,
    /// No answer before the deadline.
    TimedOut,
    /// The connection broke before the end of the answer.
    Cut,
    /// The target answered with a server error.
    Wrong,
    /// The caller disconnected first, so the outcome says nothing about the target.
    Cancelled,
}

/// Status that a target reports about itself with an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetNotice {
    /// Start time of the target, as the target writes it.
    pub started_at: Option<SmolStr>,
    /// Whether the target reports that it is cold.
    pub is_cold: bool,
    /// Whether the target reports that it is about to stop.
    pub is_draining: bool,
}

/// Returned when a target accepts no further request now.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SlotRefusal {
    /// All slots that the target may use are in use.
    #[error("all {limit} slots are in use")]
    Full {
        /// Number of concurrent requests that the target may work on.
        limit: u16,
    },
    /// The target is about to stop.
    #[error("the target is about to stop")]
    Stopping,
    /// The pool does not contain the target.
    #[error("this host has no slots for the target")]
    UnknownTarget,
}

/// Permission for one request at a target, until it is released.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a permit that is dropped without release keeps its slot until after its deadline"]
pub struct SlotPermit {
    target: TargetId,
    epoch: u64,
    number: u64,
}

impl SlotPermit {
    /// Returns the target that the permit is for.
    pub fn target(&self) -> &TargetId {
        &self.target
    }
}

/// Slot usage of one target, as reported to other hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotUsage {
    /// Requests in flight.
    pub in_flight: u16,
    /// Number of concurrent requests that the target may work on.
    pub limit: u16,
    /// Whether the target has not reached its full number of slots since its last cold start.
    pub is_cold: bool,
    /// Whether the target gets no further requests.
    pub is_stopping: bool,
}

/// State of the slots of one target.
#[derive(Debug, Default)]
struct TargetSlots {
    limit: u16,
    slots_max: u16,
    is_cold: bool,
    is_stopping: bool,
    consecutive_good: u32,
    warm_up_answers: u32,
    was_disconnected: bool,
    /// Whether the last answer reported that the target is cold.
    reports_cold: bool,
    /// Number of the last permit before a connection was refused, broken or closed while idle. Until
    /// a later permit is answered, the target may have restarted and gets one request at a time.
    lost_after: Option<u64>,
    started_at: Option<SmolStr>,
    epoch: u64,
    last_number: u64,
    /// Deadlines of the permits in flight. Those of earlier epochs are included, because the target
    /// still works on them.
    in_flight: IndexMap<u64, MonoTime>,
}

impl TargetSlots {
    fn reset_to_cold(&mut self) {
        self.epoch += 1;
        self.limit = 1;
        self.is_cold = self.slots_max > 1;
        self.consecutive_good = 0;
        self.was_disconnected = false;
    }

    fn reclaim(&mut self, now: MonoTime) {
        self.in_flight
            .retain(|_, deadline| deadline.after(RECLAIM_MARGIN) > now);
    }

    /// Returns the number of concurrent requests that the target may work on.
    fn effective_limit(&self) -> u16 {
        match self.lost_after {
            Some(_) => 1,
            None => self.limit,
        }
    }

    /// Returns `true` if the target must not get two requests at a time.
    fn may_be_cold(&self) -> bool {
        self.is_cold || self.reports_cold || self.lost_after.is_some()
    }

    fn issue_permit(&mut self, target: &TargetId, deadline: MonoTime) -> SlotPermit {
        self.last_number += 1;
        self.in_flight.insert(self.last_number, deadline);
        SlotPermit {
            target: target.clone(),
            epoch: self.epoch,
            number: self.last_number,
        }
    }

    /// Updates whether the target may have restarted: this is assumed after a refused or broken
    /// connection until a request that was sent later is answered. The limit is kept, because a
    /// connection may also break for other reasons.
    fn update_lost_after(&mut self, number: u64, outcome: AttemptOutcome) {
        use AttemptOutcome::*;
        match outcome {
            Refused | Cut => self.lost_after = Some(self.last_number),
            Good | Slow | Shed | Wrong if self.lost_after.is_some_and(|lost| number > lost) => {
                self.lost_after = None;
            }
            _ => {}
        }
    }

    fn record(&mut self, outcome: AttemptOutcome) {
        use AttemptOutcome::*;
        match outcome {
            Cancelled => {}
            Good => self.record_good(),
            // A restarted target first breaks its connections and is then slow or sheds.
            Slow | Shed if self.was_disconnected => self.reset_to_cold(),
            Slow => self.consecutive_good = 0,
            _ if self.is_cold => {
                self.limit = 1;
                self.consecutive_good = 0;
                self.was_disconnected |= outcome == Cut;
            }
            Shed => {
                self.limit = (self.limit / 2).max(1);
                self.consecutive_good = 0;
            }
            _ => {
                self.consecutive_good = 0;
                self.was_disconnected |= outcome == Cut;
            }
        }
    }

    fn record_good(&mut self) {
        self.was_disconnected = false;
        // Only the target itself knows when it is warm; consecutive answers would raise its limit
        // too early.
        if self.limit >= self.slots_max || self.reports_cold {
            return;
        }
        self.consecutive_good += 1;
        if self.consecutive_good >= self.warm_up_answers {
            self.limit += 1;
            self.consecutive_good = 0;
            self.is_cold &= self.limit < self.slots_max;
        }
    }
}

/// Slots of all targets that this host owns.
#[derive(Debug, Default)]
pub struct SlotPool {
    targets: ShardMap<TargetId, TargetSlots>,
}

impl SlotPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a target in the cold state, or resets it to that state. Requests in flight keep their
    /// slots.
    pub fn start_cold(&self, target: &TargetId, slots: SlotCount, warm_up_answers: u32) {
        self.targets
            .with_or_insert(target, TargetSlots::default, |entry| {
                entry.slots_max = slots.get().max(1);
                entry.warm_up_answers = warm_up_answers;
                entry.is_stopping = false;
                entry.reset_to_cold();
            });
    }

    /// Returns `true` if the pool contains a target.
    pub fn is_known(&self, target: &TargetId) -> bool {
        self.targets.with(target, |_| ()).is_some()
    }

    /// Sets whether a target gets no further requests. Requests in flight finish.
    pub fn set_stopping(&self, target: &TargetId, is_stopping: bool) {
        self.targets
            .with(target, |slots| slots.is_stopping = is_stopping);
    }

    /// Returns the slot usage of a target, or `None` if the pool does not contain it.
    pub fn usage(&self, target: &TargetId, now: MonoTime) -> Option<SlotUsage> {
        self.targets.with(target, |slots| {
            slots.reclaim(now);
            SlotUsage {
                in_flight: u16::try_from(slots.in_flight.len()).unwrap_or(u16::MAX),
                limit: slots.effective_limit(),
                is_cold: slots.is_cold,
                is_stopping: slots.is_stopping,
            }
        })
    }

    /// Acquires a slot of a target for a request that ends by its deadline.
    ///
    /// # Errors
    ///
    /// Returns [`SlotRefusal`] if all slots that the target may use are in use, or if the target is
    /// stopping or not in the pool.
    pub fn try_acquire(
        &self,
        target: &TargetId,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Result<SlotPermit, SlotRefusal> {
        let permit = self.targets.with(target, |slots| {
            slots.reclaim(now);
            if slots.is_stopping {
                return Err(SlotRefusal::Stopping);
            }
            let limit = slots.effective_limit();
            if slots.in_flight.len() >= usize::from(limit) {
                return Err(SlotRefusal::Full { limit });
            }
            Ok(slots.issue_permit(target, deadline))
        });
        permit.unwrap_or(Err(SlotRefusal::UnknownTarget))
    }

    /// Acquires a slot for a probe of a target that is cold or may have restarted, because a probe
    /// is a request like any other. Returns `None` for a warm target, whose probes take no slot, so
    /// that it is probed also when all its slots are in use.
    ///
    /// # Errors
    ///
    /// Returns [`SlotRefusal::Full`] if the target already works on a request.
    pub fn try_acquire_probe(
        &self,
        target: &TargetId,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Result<Option<SlotPermit>, SlotRefusal> {
        let permit = self.targets.with(target, |slots| {
            slots.reclaim(now);
            if !slots.may_be_cold() {
                return Ok(None);
            }
            if !slots.in_flight.is_empty() {
                return Err(SlotRefusal::Full { limit: 1 });
            }
            Ok(Some(slots.issue_permit(target, deadline)))
        });
        permit.unwrap_or(Ok(None))
    }

    /// Applies the status that a target reports about itself. If it has restarted, or is warm here
    /// but reports that it is cold, it is reset to one request at a time.
    pub fn on_notice(&self, target: &TargetId, notice: &TargetNotice) {
        self.targets.with(target, |slots| {
            slots.is_stopping |= notice.is_draining;
            slots.reports_cold = notice.is_cold;
            let is_restarted = notice.started_at.is_some()
                && slots.started_at.is_some()
                && notice.started_at != slots.started_at;
            if notice.started_at.is_some() {
                slots.started_at.clone_from(&notice.started_at);
            }
            if is_restarted {
                slots.is_stopping = notice.is_draining;
            }
            if is_restarted || (notice.is_cold && !slots.is_cold) {
                slots.reset_to_cold();
            }
        });
    }

    /// Records that a target closed an idle connection. It may have restarted, and gets one request
    /// at a time until a later one is answered.
    pub fn on_connection_lost(&self, target: &TargetId) {
        self.targets
            .with(target, |slots| slots.lost_after = Some(slots.last_number));
    }

    /// Releases a slot and applies the outcome. The outcome of a permit from before the last cold
    /// start is ignored, because it says nothing about the present state of the target.
    pub fn release(&self, permit: SlotPermit, outcome: AttemptOutcome, now: MonoTime) {
        self.targets.with(&permit.target, |slots| {
            slots.reclaim(now);
            slots.in_flight.swap_remove(&permit.number);
            slots.update_lost_after(permit.number, outcome);
            if slots.epoch == permit.epoch {
                slots.record(outcome);
            }
        });
    }
}
