//! The slots of one target.

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
        PermitNumber, //
    },
    pacer::ColdPacer,
};

/// Time that a permit outlives its request, for a release that is on its way.
const PERMIT_MARGIN: Duration = Duration::from_millis(300);

/// Time between requests to a target that fails nearly all of them.
const TRY_PAUSE: Duration = Duration::from_millis(300);

/// A request under way.
#[derive(Clone, Copy, Debug)]
struct OpenPermit {
    granted_at: MonoTime,
    ends_at: MonoTime,
}

/// One target as its dispatcher sees it.
#[derive(Clone, Debug)]
pub struct TargetSlots {
    entry: TargetEntry,
    permits: IndexMap<PermitNumber, OpenPermit>,
    evidence: TargetEvidence,
    pacer: ColdPacer,
    listed_at: MonoTime,
    granted_at: Option<MonoTime>,
    is_misdirected: bool,
}

impl TargetSlots {
    /// Makes the slots of a target that has just been read.
    pub fn new(entry: TargetEntry, now: MonoTime) -> Self {
        let mut pacer = ColdPacer::new();
        if !entry.cold_left.is_zero() {
            pacer.set_cold(entry.cold_left, now);
        }
        Self {
            entry,
            permits: IndexMap::new(),
            evidence: TargetEvidence::new(),
            pacer,
            listed_at: now,
            granted_at: None,
            is_misdirected: false,
        }
    }

    /// Takes the present entry of the target. Another incarnation starts without evidence.
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
        if !entry.cold_left.is_zero() && !self.pacer.is_cold(now) {
            self.pacer.set_cold(entry.cold_left, now);
        }
        self.entry = entry.clone();
    }

    /// Returns the entry.
    pub fn entry(&self) -> &TargetEntry {
        &self.entry
    }

    /// Returns the number of requests under way.
    pub fn open_count(&self) -> usize {
        self.permits.len()
    }

    /// Tells whether the target is cold.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        self.pacer.is_cold(now)
    }

    /// Tells whether a request may be sent now.
    pub fn has_room(&self, now: MonoTime) -> bool {
        let limit = match self.pacer.is_cold(now) {
            true => 1,
            false => usize::from(self.entry.slots.get()),
        };
        !self.is_misdirected && self.permits.len() < limit && self.pacer.may_send(now)
    }

    /// Tells whether a blocked target may get a request now. One that fails nearly all of them at once has a
    /// free slot all the time and would draw the work of the whole pool; it gets one now and then.
    pub fn may_be_tried(&self, now: MonoTime) -> bool {
        let is_due = self.granted_at.is_none_or(|at| now.since(at) >= TRY_PAUSE);
        !self.evidence.is_failing() || is_due && self.permits.is_empty()
    }

    /// Returns how far the target is trusted. A request that has been under way for much longer than
    /// usual speaks against it before its outcome is known.
    pub fn trust(&self, stuck_after: Duration, now: MonoTime) -> TargetTrust {
        let trust = self.evidence.trust(now);
        let is_stuck = |permit: &OpenPermit| now.since(permit.granted_at) > stuck_after;
        match self.permits.values().any(is_stuck) {
            true => trust.max(TargetTrust::Doubtful),
            false => trust,
        }
    }

    /// Returns what is known about the target.
    pub fn evidence(&self) -> &TargetEvidence {
        &self.evidence
    }

    /// Returns when the last permit was granted.
    pub fn granted_at(&self) -> Option<MonoTime> {
        self.granted_at
    }

    /// Returns for how long the target got nothing, at most since it is known.
    pub fn idle_time(&self, now: MonoTime) -> Duration {
        now.since(self.granted_at.unwrap_or(self.listed_at))
    }

    /// Takes a slot.
    pub fn grant(
        &mut self,
        permit: PermitNumber,
        time_left: Duration,
        cold_rate: RequestRate,
        now: MonoTime,
    ) {
        let open = OpenPermit {
            granted_at: now,
            ends_at: now.after(time_left + PERMIT_MARGIN),
        };
        self.permits.insert(permit, open);
        self.granted_at = Some(now);
        self.pacer.on_sent(cold_rate, now);
    }

    /// Frees a slot and records what became of the request; returns whether the target is newly
    /// blocked.
    pub fn release(&mut self, permit: PermitNumber, result: AttemptResult, now: MonoTime) -> bool {
        if self.permits.swap_remove(&permit).is_none() {
            return false;
        }
        self.is_misdirected |= result == AttemptResult::Misdirected;
        self.evidence.record(result, now)
    }

    /// Frees the slots of hosts that never gave them back.
    pub fn expire(&mut self, now: MonoTime) {
        self.permits.retain(|_, permit| now < permit.ends_at);
    }
}
