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
    /// This host did not read the writes of the target itself and cannot tell.
    Unknown,
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
    /// Whether entries of earlier incarnations do not count, because an older copy of the store may hold them.
    rejects_earlier: bool,
    /// Start and sequence number of the entry in the older copy from which the store has come back.
    copied: Option<(u64, u64)>,
    /// Time from which the removal is remembered: that of the removal, or of the latest return of the store.
    remembered_from: MonoTime,
}

impl RemovedIncarnation {
    /// Returns `true` if the entry was written before the removal, as it is in the older copy or of an earlier incarnation
    /// which the copy may hold.
    fn is_from_copy(&self, entry: &TargetEntry) -> bool {
        let is_earlier = entry.born != 0 && entry.born < self.born;
        self.copied == Some((entry.born, entry.sequence)) || self.rejects_earlier && is_earlier
    }

    fn memory(&self) -> Duration {
        match self.cause {
            RemovalCause::Left => LEFT_MEMORY,
            RemovalCause::Lapsed | RemovalCause::Unknown => LAPSED_MEMORY,
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
    /// Time at which this host learned that the store has come back from an older copy.
    returned_at: Option<MonoTime>,
}

impl Default for RemovalMemory {
    fn default() -> Self {
        Self {
            heartbeat: HEARTBEAT_DEFAULT,
            removed: IndexMap::new(),
            written_at: IndexMap::new(),
            failed_at: None,
            returned_at: None,
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
        let cause = match written_at {
            // Other hosts may still hold an entry of the copy with a higher sequence number.
            None if self.has_returned_lately(now) => RemovalCause::Left,
            None => RemovalCause::Unknown,
            Some(written_at) => {
                let failed_at = self.failed_at;
                let is_served = failed_at.is_none_or(|failed_at| failed_at < written_at);
                match is_served && now.since(written_at) < lapse_silence {
                    true => RemovalCause::Left,
                    false => RemovalCause::Lapsed,
                }
            }
        };
        self.insert(entry, cause, false, now);
    }

    fn has_returned_lately(&self, now: MonoTime) -> bool {
        let returned_at = self.returned_at;
        returned_at.is_some_and(|returned_at| now.since(returned_at) < LATE_WRITE_MAX)
    }

    /// Records that an entry is no longer kept, as its target did not register again in time.
    pub fn on_lapse(&mut self, entry: &TargetEntry, now: MonoTime) {
        self.written_at.shift_remove(&entry.id);
        self.insert(entry, RemovalCause::Lapsed, true, now);
    }

    fn insert(
        &mut self,
        entry: &TargetEntry,
        cause: RemovalCause,
        rejects_earlier: bool,
        now: MonoTime,
    ) {
        let removed = RemovedIncarnation {
            born: entry.born,
            sequence: entry.sequence,
            at: now,
            cause,
            was_written: false,
            rejects_earlier,
            copied: None,
            remembered_from: now,
        };
        self.removed.insert(entry.id.clone(), removed);
    }

    /// Records that the store has come back from an older copy, which may hold the entries of removed incarnations. Late
    /// writes count from now.
    pub fn on_era(&mut self, now: MonoTime) {
        self.returned_at = Some(now);
        for removed in self.removed.values_mut() {
            if removed.cause != RemovalCause::Lapsed {
                (removed.cause, removed.at) = (RemovalCause::Left, now);
            }
            removed.rejects_earlier = true;
            removed.remembered_from = now;
        }
    }

    /// Records an entry of the older copy from which the store has come back. Returns `true` if its incarnation was removed.
    pub fn on_copy(&mut self, entry: &TargetEntry) -> bool {
        let Some(removed) = self.removed.get_mut(&entry.id) else {
            return false;
        };
        let is_earlier = entry.born != 0 && entry.born < removed.born;
        if removed.born != entry.born && !is_earlier {
            return false;
        }
        if !is_earlier {
            removed.sequence = removed.sequence.max(entry.sequence);
        }
        removed.copied = Some((entry.born, entry.sequence));
        true
    }

    /// Records a write of a target that is not registered. Returns `true` if the target is live, and `false` if the entry
    /// was left by a late write of a removed incarnation. An entry without the start of its incarnation cannot be told
    /// from that of a later one.
    pub fn on_registration(&mut self, entry: &TargetEntry, now: MonoTime) -> bool {
        let Some(removed) = self.removed.get_mut(&entry.id) else {
            return true;
        };
        if removed.is_from_copy(entry) {
            return false;
        }
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
        removed.is_some_and(|removed| removed.born == entry.born || removed.is_from_copy(entry))
    }

    /// Returns `true` if an entry in the directory of the host that this one follows is older than the removal of its
    /// incarnation, or comes from a late write. A target that registers again has a higher sequence number, unless it states
    /// no start.
    pub fn is_outdated(&self, entry: &TargetEntry, now: MonoTime) -> bool {
        let Some(removed) = self.removed.get(&entry.id) else {
            return false;
        };
        if removed.is_from_copy(entry) {
            return true;
        }
        let is_late = removed.cause == RemovalCause::Left && now.since(removed.at) < LATE_WRITE_MAX;
        let is_removed = removed.born == entry.born && entry.born != 0;
        is_removed && (is_late || entry.sequence <= removed.sequence)
    }

    /// Forgets the removals of targets that are registered again, and those that are no longer relevant.
    pub fn forget(&mut self, is_registered: impl Fn(&TargetId) -> bool, now: MonoTime) {
        self.removed.retain(|id, removed| {
            now.since(removed.remembered_from) < removed.memory() && !is_registered(id)
        });
        self.written_at.retain(|id, _| is_registered(id));
    }
}
