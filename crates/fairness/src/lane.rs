//! The waiting requests of one team.

use std::collections::VecDeque;

use chicorycroft_core::prelude::*;

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEntry {
    pub(crate) number: u64,
    pub(crate) deadline: MonoTime,
}

/// The waiting requests of one team, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct TeamLane {
    pub(crate) entries: VecDeque<QueueEntry>,
    /// Number of the last service that this team received; zero for none.
    pub(crate) served: u64,
}

impl TeamLane {
    pub(crate) fn remove(&mut self, number: u64) -> bool {
        let at = self.entries.iter().position(|entry| entry.number == number);
        at.and_then(|at| self.entries.remove(at)).is_some()
    }

    /// Removes the entries whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: MonoTime) -> Vec<QueueEntry> {
        let is_over = |entry: &QueueEntry| entry.deadline <= now;
        let expired = self.entries.iter().copied().filter(is_over).collect();
        self.entries.retain(|entry| !is_over(entry));
        expired
    }
}
