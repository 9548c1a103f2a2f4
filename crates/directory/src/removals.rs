//! Incarnations of targets whose entries were removed.
//!
//! The store may do a write that got no answer seconds later, after the target has removed its entry. The entry that
//! this leaves is that of a target which has left. A live target whose entry lapsed, because it could not renew it,
//! registers again with its next write. The two are told apart by the time since the last write before the removal:
//! the store lets an entry lapse only after some heartbeats without a write.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::targets::TargetEntry;

/// Period of a target's heartbeats unless the settings state another one.
const HEARTBEAT_DEFAULT: Duration = Duration::from_millis(1500);

/// Time without a write from which a removed entry may have lapsed, in thousandths of the heartbeat period. The store
/// waits for three periods; half a period covers the different delays with which this host reads the two changes. The
/// time counts from the answer before the one with the write.
const LAPSE_SILENCE_MILLE: u32 = 2500;

/// Time after a removal within which the store may still do a write that was sent before: the platform's six seconds
/// and one read of this host.
const LATE_WRITE_MAX: Duration = Duration::from_secs(7);

/// Time for which the removal of an entry that a target has removed itself is remembered. It is longer than the life of
/// an entry that was left by the latest late write.
const LEFT_MEMORY: Duration = Duration::from_secs(30);

/// Time for which the removal of an entry that may have lapsed is remembered. The hosts of a zone that was cut off may
/// still hold it, for some seconds after they read the store again.
const LAPSED_MEMORY: Duration = Duration::from_secs(10);

/// Why an entry was removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RemovalCause {
    /// The target removed its entry and will not register again.
    Left,
    /// The store may have removed the entry, because the target did not renew it.
    Lapsed,
}

/// An incarnation whose entry was removed.
#[derive(Clone, Copy, Debug)]
struct RemovedIncarnation {
    born: u64,
    /// Highest sequence number that was read of this incarnation.
    sequence: u64,
    at: MonoTime,
    cause: RemovalCause,
    /// Whether a write was read after the removal.
    was_written: bool,
}

impl RemovedIncarnation {
    fn memory(&self) -> Duration {
        match self.cause {
            RemovalCause::Left => LEFT_MEMORY,
            RemovalCause::Lapsed => LAPSED_MEMORY,
        }
    }
}

/// The removed incarnations, and the times of the latest writes of those that are registered.
#[derive(Debug)]
pub struct RemovalMemory {
    heartbeat: Duration,
    removed: IndexMap<TargetId, RemovedIncarnation>,
    /// Earliest possible times of these writes.
    written_at: IndexMap<TargetId, MonoTime>,
    /// Time of the latest failed call to the store.
    failed_at: Option<MonoTime>,
}

impl Default for RemovalMemory {
    fn default() -> Self {
        Self {
            heartbeat: HEARTBEAT_DEFAULT,
            removed: IndexMap::new(),
            written_at: IndexMap::new(),
            failed_at: None,
        }
    }
}

impl RemovalMemory {
    /// Creates the memory of a host that has read nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the period in which targets renew their entries.
    pub fn with_heartbeat(mut self, heartbeat: Duration) -> Self {
        self.heartbeat = heartbeat;
        self
    }

    /// Records that a target has written its entry, as read from the store. The write may have been done at any time since
    /// the previous answer of the store; `None` if there was none.
    pub fn on_write(&mut self, id: &TargetId, previous_answer: Option<MonoTime>) {
        match previous_answer {
            Some(answered_at) => {
                self.written_at.insert(id.clone(), answered_at);
            }
            None => {
                self.written_at.shift_remove(id);
            }
        }
    }

    /// Records a failed call to the store. Entries may lapse while the store is down.
    pub fn on_failure(&mut self, now: MonoTime) {
        self.failed_at = Some(now);
    }

    /// Records that the entry of a target was removed.
    pub fn on_removal(&mut self, entry: &TargetEntry, now: MonoTime) {
        let lapse_silence = self.heartbeat * LAPSE_SILENCE_MILLE / 1000;
        let written_at = self.written_at.shift_remove(&entry.id);
        // A host that did not read the writes itself cannot tell.
        let has_left = written_at.is_some_and(|written_at| {
            let is_served = self
                .failed_at
                .is_none_or(|failed_at| failed_at < written_at);
            is_served && now.since(written_at) < lapse_silence
        });
        let removed = RemovedIncarnation {
            born: entry.born,
            sequence: entry.sequence,
            at: now,
            cause: match has_left {
                true => RemovalCause::Left,
                false => RemovalCause::Lapsed,
            },
            was_written: false,
        };
        self.removed.insert(entry.id.clone(), removed);
    }

    /// Records a write of a target that is not registered. Returns `true` if the target is live, and `false` if the entry
    /// was left by a late write of a removed incarnation. An entry without the start of its incarnation cannot be told from that of a
    /// later one.
    pub fn on_registration(&mut self, entry: &TargetEntry, now: MonoTime) -> bool {
        let Some(removed) = self.removed.get_mut(&entry.id) else {
            return true;
        };
        if removed.born != entry.born || entry.born == 0 {
            return true;
        }
        if entry.sequence <= removed.sequence {
            return false;
        }
        let is_late = now.since(removed.at) < LATE_WRITE_MAX || !removed.was_written;
        if removed.cause == RemovalCause::Left && is_late {
            removed.sequence = entry.sequence;
            removed.was_written = true;
            return false;
        }
        true
    }

    /// Returns `true` if an entry in the directory of another host is that of a removed incarnation. A target that
    /// registers once more is learned from the store.
    pub fn is_removed(&self, entry: &TargetEntry) -> bool {
        let removed = self.removed.get(&entry.id);
        removed.is_some_and(|removed| removed.born == entry.born)
    }

    /// Returns `true` if an entry in the directory of the host that this one follows is older than the removal of its
    /// incarnation. A target that registers again has a higher sequence number, unless it states no start.
    pub fn is_outdated(&self, entry: &TargetEntry) -> bool {
        let removed = self.removed.get(&entry.id);
        let is_removed = removed.is_some_and(|removed| {
            removed.born == entry.born && entry.sequence <= removed.sequence
        });
        is_removed && entry.born != 0
    }

    /// Forgets the removals of targets that are registered again, and those that are no longer relevant.
    pub fn forget(&mut self, is_registered: impl Fn(&TargetId) -> bool, now: MonoTime) {
        self.removed
            .retain(|id, removed| now.since(removed.at) < removed.memory() && !is_registered(id));
        self.written_at.retain(|id, _| is_registered(id));
    }
}
