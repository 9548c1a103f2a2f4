//! How many requests each owned target works on, and how many it may.
//!
//! A target that has just come to this host is cold: it gets one request at a time. Good answers in
//! a row raise the number by one each, up to the slots of its service, but not while the target says
//! that it is cold. A failure of a cold target takes it back to one; a shed answer of a warm one
//! halves the number.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;
use smol_str::SmolStr;
use thiserror::Error;

/// Time after its deadline at which a permit that was never released stops counting.
///
/// The target is told the deadline, so that it has given the request up by then.
const RECLAIM_MARGIN: Duration = Duration::from_millis(500);

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptOutcome {
    /// The target answered in full.
    Good,
    /// The target answered in full, but much later than the service's median.
    Slow,
    /// The connection was refused.
    Refused,
    /// The target refused the request under load, without running it.
    Shed,
    /// No answer came in time.
    TimedOut,
    /// The connection broke before the end of the answer.
    Cut,
    /// The target answered with a server error.
    Wrong,
    /// The caller went away first, which tells nothing about the target.
    Cancelled,
}

/// What a target says about itself with an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetNotice {
    /// When the target started, as it writes it.
    pub started_at: Option<SmolStr>,
    /// Whether it says that it is cold.
    pub is_cold: bool,
    /// Whether it says that it is about to stop.
    pub is_draining: bool,
}

/// Why a target takes no further request now.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SlotRefusal {
    /// All slots that the target may use are taken.
    #[error("all {limit} slots are taken")]
    Full {
        /// Requests that the target may work on at once.
        limit: u16,
    },
    /// The target is about to stop.
    #[error("the target is about to stop")]
    Stopping,
    /// The pool does not know the target.
    #[error("the target was not started here")]
    Unknown,
}

/// Right to one request at a target, until it is released.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a permit that is dropped without release keeps its slot until after its deadline"]
pub struct SlotPermit {
    target: TargetId,
    epoch: u64,
    number: u64,
}

impl SlotPermit {
    /// Returns the target.
    pub fn target(&self) -> &TargetId {
        &self.target
    }
}

/// Slots of one target as they are reported to other hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotUsage {
    /// Requests in flight.
    pub in_flight: u16,
    /// Requests that the target may work on at once.
    pub limit: u16,
    /// Whether the target has not yet reached its slots since its last cold start.
    pub is_cold: bool,
    /// Whether the target gets no further request.
    pub is_stopping: bool,
}

/// Slots of one target.
#[derive(Debug, Default)]
struct TargetSlots {
    limit: u16,
    ceiling: u16,
    is_cold: bool,
    is_stopping: bool,
    good_in_row: u32,
    warm_up_answers: u32,
    was_cut: bool,
    /// Whether the last answer said that the target is cold.
    says_cold: bool,
    /// Last permit before a connection was refused or broke. Until an answer to a later one, the target may
    /// have restarted and gets one request at once.
    lost_at: Option<u64>,
    started_at: Option<SmolStr>,
    epoch: u64,
    last_number: u64,
    /// Deadlines of the permits in flight, those of earlier epochs included: the target still
    /// works on them.
    in_flight: IndexMap<u64, MonoTime>,
}

impl TargetSlots {
    fn turn_cold(&mut self) {
        self.epoch += 1;
        self.limit = 1;
        self.is_cold = self.ceiling > 1;
        self.good_in_row = 0;
        self.was_cut = false;
    }

    fn reclaim(&mut self, now: MonoTime) {
        self.in_flight
            .retain(|_, deadline| deadline.after(RECLAIM_MARGIN) > now);
    }

    /// Returns the requests that the target may work on at once.
    fn effective_limit(&self) -> u16 {
        match self.lost_at {
            Some(_) => 1,
            None => self.limit,
        }
    }

    /// Tells whether the target must not get two requests at once.
    fn may_be_cold(&self) -> bool {
        self.is_cold || self.says_cold || self.lost_at.is_some()
    }

    fn take(&mut self, target: &TargetId, deadline: MonoTime) -> SlotPermit {
        self.last_number += 1;
        self.in_flight.insert(self.last_number, deadline);
        SlotPermit {
            target: target.clone(),
            epoch: self.epoch,
            number: self.last_number,
        }
    }

    /// Notes whether the target may have restarted: a refused or broken connection says so until a
    /// request that was sent after it is answered. The earned limit stays, because a connection may
    /// also break for other reasons.
    fn note_presence(&mut self, number: u64, outcome: AttemptOutcome) {
        use AttemptOutcome::*;
        match outcome {
            Refused | Cut => self.lost_at = Some(self.last_number),
            Good | Slow | Shed | Wrong if self.lost_at.is_some_and(|lost| number > lost) => {
                self.lost_at = None;
            }
            _ => {}
        }
    }

    fn record(&mut self, outcome: AttemptOutcome) {
        use AttemptOutcome::*;
        match outcome {
            Cancelled => {}
            Good => self.record_good(),
            // A restarted target cuts its connections first and is slow or sheds next.
            Slow | Shed if self.was_cut => self.turn_cold(),
            Slow => self.good_in_row = 0,
            _ if self.is_cold => {
                self.limit = 1;
                self.good_in_row = 0;
                self.was_cut |= outcome == Cut;
            }
            Shed => {
                self.limit = (self.limit / 2).max(1);
                self.good_in_row = 0;
            }
            _ => {
                self.good_in_row = 0;
                self.was_cut |= outcome == Cut;
            }
        }
    }

    fn record_good(&mut self) {
        self.was_cut = false;
        // A target knows best when it is warm; answers in a row would raise its limit before.
        if self.limit >= self.ceiling || self.says_cold {
            return;
        }
        self.good_in_row += 1;
        if self.good_in_row >= self.warm_up_answers {
            self.limit += 1;
            self.good_in_row = 0;
            self.is_cold &= self.limit < self.ceiling;
        }
    }
}

/// The slots of all targets that this host owns.
#[derive(Debug, Default)]
pub struct SlotPool {
    targets: ShardMap<TargetId, TargetSlots>,
}

impl SlotPool {
    /// Makes an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a target in the cold state. Requests that are still in flight keep their slots.
    pub fn start_cold(&self, target: &TargetId, slots: SlotCount, warm_up_answers: u32) {
        self.targets
            .with_or_insert(target, TargetSlots::default, |entry| {
                entry.ceiling = slots.get().max(1);
                entry.warm_up_answers = warm_up_answers;
                entry.is_stopping = false;
                entry.turn_cold();
            });
    }

    /// Tells whether the pool knows a target.
    pub fn is_known(&self, target: &TargetId) -> bool {
        self.targets.with(target, |_| ()).is_some()
    }

    /// Sets whether a target gets no further request. Those in flight finish.
    pub fn set_stopping(&self, target: &TargetId, is_stopping: bool) {
        self.targets
            .with(target, |slots| slots.is_stopping = is_stopping);
    }

    /// Returns the slots of a target for a report.
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

    /// Takes a slot of a target for a request that ends by its deadline.
    ///
    /// # Errors
    ///
    /// Fails when all slots that the target may use are taken, or it is stopping or not started.
    pub fn try_acquire(
        &self,
        target: &TargetId,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Result<SlotPermit, SlotRefusal> {
        let taken = self.targets.with(target, |slots| {
            slots.reclaim(now);
            if slots.is_stopping {
                return Err(SlotRefusal::Stopping);
            }
            let limit = slots.effective_limit();
            if slots.in_flight.len() >= usize::from(limit) {
                return Err(SlotRefusal::Full { limit });
            }
            Ok(slots.take(target, deadline))
        });
        taken.unwrap_or(Err(SlotRefusal::Unknown))
    }

    /// Takes a slot for a probe of a target that is cold or may have restarted, because a probe is a
    /// request to it like any other. A probe of a warm target goes beside its slots: one whose slots
    /// are all taken is probed too.
    ///
    /// # Errors
    ///
    /// Fails when the target already works on a request.
    pub fn try_acquire_probe(
        &self,
        target: &TargetId,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Result<Option<SlotPermit>, SlotRefusal> {
        let taken = self.targets.with(target, |slots| {
            slots.reclaim(now);
            if !slots.may_be_cold() {
                return Ok(None);
            }
            if !slots.in_flight.is_empty() {
                return Err(SlotRefusal::Full { limit: 1 });
            }
            Ok(Some(slots.take(target, deadline)))
        });
        taken.unwrap_or(Ok(None))
    }

    /// Learns from what a target says about itself. A restart or a cold notice of a warm target
    /// takes it back to one request at once.
    pub fn on_notice(&self, target: &TargetId, notice: &TargetNotice) {
        self.targets.with(target, |slots| {
            slots.is_stopping |= notice.is_draining;
            slots.says_cold = notice.is_cold;
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
                slots.turn_cold();
            }
        });
    }

    /// Notes that a target closed a connection that was kept for later requests. It may have restarted,
    /// and gets one request at once until a later one is answered.
    pub fn on_connection_lost(&self, target: &TargetId) {
        self.targets
            .with(target, |slots| slots.lost_at = Some(slots.last_number));
    }

    /// Gives a slot back and learns from the outcome. The outcome of a permit from before the last
    /// cold start tells nothing about the target as it is now.
    pub fn release(&self, permit: SlotPermit, outcome: AttemptOutcome, now: MonoTime) {
        self.targets.with(&permit.target, |slots| {
            slots.reclaim(now);
            slots.in_flight.swap_remove(&permit.number);
            slots.note_presence(permit.number, outcome);
            if slots.epoch == permit.epoch {
                slots.record(outcome);
            }
        });
    }
}
