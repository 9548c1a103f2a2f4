//! How many requests each owned target works on, and how many it may.
//!
//! A target that has just come to this host is cold: it gets one request at a time. Good answers in
//! a row raise the number by one each, up to the slots of its service. A failure of a cold target
//! takes it back to one.

use chicorycroft_core::prelude::*;
use thiserror::Error;

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptOutcome {
    /// The target answered in full.
    Good,
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

/// Why a target takes no further request now.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SlotRefusal {
    /// All slots that the target may use are taken.
    #[error("all {limit} slots are taken")]
    Full {
        /// Requests that the target may work on at once.
        limit: u16,
    },
}

/// Right to one request at a target, until it is released.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a permit that is dropped without release keeps its slot"]
pub struct SlotPermit {
    target: TargetId,
    epoch: u64,
}

impl SlotPermit {
    /// Returns the target.
    pub fn target(&self) -> &TargetId {
        &self.target
    }
}

/// Slots of one target.
#[derive(Debug)]
struct TargetSlots {
    limit: u16,
    ceiling: u16,
    in_use: u16,
    good_in_row: u32,
    warm_up_answers: u32,
    epoch: u64,
}

impl TargetSlots {
    fn record(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Good if self.limit < self.ceiling => {
                self.good_in_row += 1;
                if self.good_in_row >= self.warm_up_answers {
                    self.limit += 1;
                    self.good_in_row = 0;
                }
            }
            AttemptOutcome::Good | AttemptOutcome::Cancelled => {}
            _ if self.limit < self.ceiling => {
                self.limit = 1;
                self.good_in_row = 0;
            }
            _ => {}
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

    /// Starts a target in the cold state. Permits of an earlier start no longer count.
    pub fn start_cold(&self, target: &TargetId, slots: SlotCount, warm_up_answers: u32) {
        let epoch = self.targets.with(target, |old| old.epoch + 1).unwrap_or(0);
        let fresh = TargetSlots {
            limit: 1,
            ceiling: slots.get().max(1),
            in_use: 0,
            good_in_row: 0,
            warm_up_answers,
            epoch,
        };
        self.targets.insert(target.clone(), fresh);
    }

    /// Tells whether the pool knows a target.
    pub fn is_known(&self, target: &TargetId) -> bool {
        self.targets.with(target, |_| ()).is_some()
    }

    /// Takes a slot of a target.
    ///
    /// # Errors
    ///
    /// Fails when all slots that the target may use are taken, or the target is not started.
    pub fn try_acquire(&self, target: &TargetId) -> Result<SlotPermit, SlotRefusal> {
        let taken = self.targets.with(target, |slots| {
            if slots.in_use >= slots.limit {
                return Err(SlotRefusal::Full { limit: slots.limit });
            }
            slots.in_use += 1;
            Ok(SlotPermit {
                target: target.clone(),
                epoch: slots.epoch,
            })
        });
        taken.unwrap_or(Err(SlotRefusal::Full { limit: 0 }))
    }

    /// Gives a slot back and learns from the outcome.
    pub fn release(&self, permit: SlotPermit, outcome: AttemptOutcome) {
        self.targets.with(&permit.target, |slots| {
            if slots.epoch == permit.epoch {
                slots.in_use = slots.in_use.saturating_sub(1);
                slots.record(outcome);
            }
        });
    }
}
