//! Waiting requests of one team.

use std::collections::VecDeque;

use chicorycroft_core::prelude::*;

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEntry {
    pub(crate) number: u64,
    pub(crate) deadline: MonoTime,
}

/// Waiting requests of one team, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    pub(crate) entries: VecDeque<QueueEntry>,
    /// Sequence number of the last slot that this team got; zero for none.
    pub(crate) last_slot: u64,
}

impl TeamQueue {
    pub(crate) fn remove(&mut self, number: u64) -> bool {
        let at = self.entries.iter().position(|entry| entry.number == number);
        at.and_then(|at| self.entries.remove(at)).is_some()
    }

    /// Removes and returns the entries whose deadline has passed.
    pub(crate) fn remove_expired(&mut self, now: MonoTime) -> Vec<QueueEntry> {
        let is_expired = |entry: &QueueEntry| entry.deadline <= now;
        let expired = self.entries.iter().copied().filter(is_expired).collect();
        self.entries.retain(|entry| !is_expired(entry));
        expired
    }
}
