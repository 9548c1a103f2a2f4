//! Order of the writes of targets, and incarnations whose entries were removed.
//!
//! The store may do a write that got no answer seconds later: after later writes of the target, after the target has
//! removed its entry, or after a later incarnation has started. The entry that this leaves is not that of a live target.
//! A live target whose entry lapsed, because it could not renew it, registers again with its next write. Renewals that
//! change nothing but the sequence number are not delivered, so that neither the silence before a removal nor that after
//! a registration tells the two apart. Two things do:
//!
//! - The store does a write at most some seconds late. What is written later than that after a removal was sent after it.
//! - The store removes the entry of a target that is silent. An entry that stays for longer is renewed.
//!
//! The same order holds between incarnations: a write of an earlier one is late.

use std::{
    cmp::Ordering,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::targets::{
    TargetEntry,
    WritePlace, //
};

/// Period of a target's heartbeats unless the settings state another one.
const HEARTBEAT_DEFAULT: Duration = Duration::from_millis(1500);

/// Heartbeat periods after which the store lets the entry of a silent target lapse.
const LAPSE_HEARTBEATS: u32 = 3;

/// Heartbeat periods, in tenths, after the last write that may be late, from which an entry that is still there is
/// renewed. The store lets an entry lapse after three; half a period is for the delay with which that is read.
const RENEWED_HEARTBEAT_TENTHS: u32 = 35;

/// Time after a removal or the start of an incarnation within which the store may still do a write that was sent before:
/// the platform's six seconds and one read of this host.
const LATE_WRITE_MAX: Duration = Duration::from_secs(7);

/// Difference of the delays with which this host reads two writes of a cold target. It is that which dispatchers add to a
/// cold time.
const COUNTDOWN_DELAY_MAX: Duration = Duration::from_millis(700);

/// Time for which the removal of an entry that a target has removed itself is remembered. It is longer than the life of
/// an entry that was left by the latest late write.
const LEFT_MEMORY: Duration = Duration::from_secs(30);

/// Time for which the removal of an entry that may have lapsed is remembered. The hosts of a zone that was cut off may
/// still hold it, for some seconds after they read the store again.
const LAPSED_MEMORY: Duration = Duration::from_secs(10);

/// Why an entry was removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RemovalCause {
    /// The target removed its entry, or was silent for some heartbeats.
    Removed,
    /// The store may have removed the entry, because the target could not renew it in an outage.
    Lapsed,
}

/// How this host learned of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntrySource {
    /// From a watch, which delivers writes as they are done.
    Watch,
    /// From a full read, which does not tell when the entry was written.
    Listing,
}

/// An incarnation whose entry was removed.
#[derive(Clone, Debug)]
struct RemovedIncarnation {
    /// Place of the latest write that was read of this incarnation.
    place: WritePlace,
    at: MonoTime,
    cause: RemovalCause,
    /// The entry that was written after the removal, until it is known whether the target is live.
    pending: Option<TargetEntry>,
    /// Place of the latest write of an earlier incarnation that was late.
    late: Option<WritePlace>,
    /// Whether entries of earlier incarnations do not count, because an older copy of the store may hold them.
    rejects_earlier: bool,
    /// Place of the entry in the older copy from which the store has come back.
    copied: Option<WritePlace>,
    /// Time from which the removal is remembered: that of the removal, or of the latest return of the store.
    remembered_from: MonoTime,
}

impl RemovedIncarnation {
    /// Returns `true` if the entry was written before the removal, as it is in the older copy or of an earlier incarnation
    /// which the copy may hold.
    fn is_from_copy(&self, entry: &TargetEntry) -> bool {
        let is_earlier = entry.place().is_of_earlier_start(self.place);
        self.copied == Some(entry.place()) || self.rejects_earlier && is_earlier
    }

    /// Returns `true` if a write that was sent before the removal may still be done.
    fn may_be_late(&self, now: MonoTime) -> bool {
        now.since(self.at) < LATE_WRITE_MAX
    }

    /// Records that the entry is gone once more. Late writes may be done for some time from now.
    fn on_gone(&mut self, now: MonoTime) {
        if let Some(pending) = self.pending.take() {
            self.place = self.place.max(pending.place());
            self.remembered_from = now;
        }
        self.at = now;
    }

    fn is_relevant(&self, now: MonoTime) -> bool {
        let memory = match self.cause {
            RemovalCause::Removed => LEFT_MEMORY,
            RemovalCause::Lapsed => LAPSED_MEMORY,
        };
        // A target whose pending entry is forgotten would get no work until it changes its entry.
        let is_pending = self.pending.is_some() && now.since(self.at) < LEFT_MEMORY;
        is_pending || now.since(self.remembered_from) < memory
    }

    /// Records a write, and returns `true` if the target is live.
    fn on_write(&mut self, entry: &TargetEntry, source: EntrySource, now: MonoTime) -> bool {
        if self.is_from_copy(entry) {
            return false;
        }
        if entry.place().is_of_earlier_start(self.place) {
            return self.on_earlier(entry.place(), source, now);
        }
        if self.place.born != entry.born || entry.born == 0 {
            return true;
        }
        if entry.place() < self.place {
            return false;
        }
        match self.cause {
            RemovalCause::Lapsed => entry.place() > self.place,
            // The removal may have been learned from a host on which the entry is pending, so that the store has it still.
            RemovalCause::Removed => self.on_later(entry, source, now),
        }
    }

    /// Records a write of an earlier incarnation, and returns `true` if it cannot be late. The clock of a target may have
    /// gone back between two starts.
    fn on_earlier(&mut self, place: WritePlace, source: EntrySource, now: MonoTime) -> bool {
        let is_known = self.late.is_some_and(|late| place <= late);
        if source == EntrySource::Watch && !is_known && !self.may_be_late(now) {
            return true;
        }
        self.late = self.late.max(Some(place));
        false
    }

    /// Records a later write of the removed incarnation, and returns `true` if it cannot be late. After a full read, the
    /// entry may have been there and removed again since this host last read the store.
    fn on_later(&mut self, entry: &TargetEntry, source: EntrySource, now: MonoTime) -> bool {
        let pending = self.pending.as_ref().map(TargetEntry::place);
        let is_known = pending.is_some_and(|pending| entry.place() <= pending);
        if is_known {
            // An earlier write has taken the place of the pending one while this host did not read the store, so that the
            // entry may have been removed in between.
            if source == EntrySource::Listing && pending != Some(entry.place()) {
                self.at = now;
            }
            return false;
        }
        match source {
            EntrySource::Watch if !self.may_be_late(now) => return true,
            EntrySource::Watch => {}
            EntrySource::Listing => self.at = now,
        }
        self.pending = Some(entry.clone());
        false
    }
}

/// The incarnation of a registered target.
#[derive(Clone, Copy, Debug)]
struct RegisteredIncarnation {
    /// Place of the latest write that was read.
    latest: WritePlace,
    /// Place of the entry in use, and the end of the cold time that it states.
    entry: (WritePlace, MonoTime),
    /// When this host learned of the incarnation.
    since: MonoTime,
    /// Place of the latest write of an earlier incarnation that was late.
    late: Option<WritePlace>,
}

/// The removed incarnations, and what tells late writes of the registered ones.
#[derive(Debug)]
pub struct RemovalMemory {
    heartbeat: Duration,
    removed: IndexMap<TargetId, RemovedIncarnation>,
    registered: IndexMap<TargetId, RegisteredIncarnation>,
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
            registered: IndexMap::new(),
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

    /// Records a failed call to the store. Entries may lapse while the store is down.
    pub fn on_failure(&mut self, now: MonoTime) {
        self.failed_at = Some(now);
    }

    /// Records that the entry of a target was removed. `has_outage` states whether the store was away lately, as far as
    /// this host knows.
    pub fn on_removal(&mut self, entry: &TargetEntry, has_outage: bool, now: MonoTime) {
        let lapse_time = self.heartbeat * LAPSE_HEARTBEATS;
        let has_failed = |failed_at: MonoTime| now.since(failed_at) < lapse_time;
        let has_outage = has_outage || self.failed_at.is_some_and(has_failed);
        // Other hosts may still hold an entry of the copy with a higher sequence number.
        let cause = match has_outage && !self.has_returned_lately(now) {
            true => RemovalCause::Lapsed,
            false => RemovalCause::Removed,
        };
        self.insert(entry, cause, false, now);
    }

    fn has_returned_lately(&self, now: MonoTime) -> bool {
        let returned_at = self.returned_at;
        returned_at.is_some_and(|returned_at| now.since(returned_at) < LATE_WRITE_MAX)
    }

    /// Records that an entry is no longer kept, as its target did not register again in time.
    pub fn on_lapse(&mut self, entry: &TargetEntry, now: MonoTime) {
        self.insert(entry, RemovalCause::Lapsed, true, now);
    }

    fn insert(
        &mut self,
        entry: &TargetEntry,
        cause: RemovalCause,
        rejects_earlier: bool,
        now: MonoTime,
    ) {
        let registered = self.registered.get(&entry.id);
        let latest = registered.map(|registered| registered.latest);
        let latest = latest.filter(|latest| latest.born == entry.born);
        let removed = RemovedIncarnation {
            place: entry.place().max(latest.unwrap_or(entry.place())),
            at: now,
            cause,
            pending: None,
            late: None,
            rejects_earlier,
            copied: None,
            remembered_from: now,
        };
        self.removed.insert(entry.id.clone(), removed);
    }

    /// Records that the entry of a target that is not in use was removed.
    pub fn on_pending_removal(&mut self, id: &TargetId, now: MonoTime) {
        if let Some(removed) = self.removed.get_mut(id) {
            removed.on_gone(now);
        }
    }

    /// Records a full read. An entry that it lacks may have been there again since this host last read the store, and
    /// removed shortly before.
    pub fn on_listing(&mut self, is_listed: impl Fn(&TargetId) -> bool, now: MonoTime) {
        let removed = self.removed.iter_mut();
        for (_, removed) in removed.filter(|(id, _)| !is_listed(id)) {
            removed.on_gone(now);
        }
    }

    /// Returns the targets whose entries may have been left by a late write.
    pub fn pending_targets(&self) -> impl Iterator<Item = &TargetId> {
        let pending = self.removed.iter();
        let pending = pending.filter(|(_, removed)| removed.pending.is_some());
        pending.map(|(id, _)| id)
    }

    /// Returns the pending entries that have stayed for so long that their targets must have renewed them. Only an answer
    /// of the store shows that they have.
    pub fn take_renewed(&mut self, now: MonoTime) -> Vec<TargetEntry> {
        let renewed_after = LATE_WRITE_MAX + self.heartbeat * RENEWED_HEARTBEAT_TENTHS / 10;
        let removed = self.removed.values_mut();
        let renewed = removed.filter(|removed| now.since(removed.at) >= renewed_after);
        renewed
            .filter_map(|removed| removed.pending.take())
            .collect()
    }

    /// Records that the store has come back from an older copy, which may hold the entries of removed incarnations. Late
    /// writes count from now.
    pub fn on_era(&mut self, now: MonoTime) {
        self.returned_at = Some(now);
        for removed in self.removed.values_mut() {
            if removed.cause == RemovalCause::Removed {
                removed.at = now;
            }
            removed.pending = None;
            removed.rejects_earlier = true;
            removed.remembered_from = now;
        }
    }

    /// Records an entry of the older copy from which the store has come back. Returns `true` if its incarnation was removed.
    pub fn on_copy(&mut self, entry: &TargetEntry) -> bool {
        let Some(removed) = self.removed.get_mut(&entry.id) else {
            return false;
        };
        let is_earlier = entry.place().is_of_earlier_start(removed.place);
        if removed.place.born != entry.born && !is_earlier {
            return false;
        }
        if !is_earlier {
            removed.place = removed.place.max(entry.place());
        }
        removed.copied = Some(entry.place());
        true
    }

    /// Records a write of a target that is not in use. Returns `true` if the target is live, and `false` if the entry may
    /// have been left by a late write of a removed incarnation or of an earlier one. An entry without the start of its
    /// incarnation cannot be told from that of a later one.
    pub fn on_registration(
        &mut self,
        entry: &TargetEntry,
        source: EntrySource,
        now: MonoTime,
    ) -> bool {
        let Some(removed) = self.removed.get_mut(&entry.id) else {
            return true;
        };
        let is_live = removed.on_write(entry, source, now);
        if is_live {
            removed.pending = None;
        }
        is_live
    }

    /// Records an entry of an earlier incarnation than that of the target in use. Returns `true` if it is late.
    pub fn is_late_start(
        &mut self,
        entry: &TargetEntry,
        source: EntrySource,
        now: MonoTime,
    ) -> bool {
        let Some(registered) = self.registered.get_mut(&entry.id) else {
            return true;
        };
        let is_known = registered.late.is_some_and(|late| entry.place() <= late);
        let may_be_late = now.since(registered.since) < LATE_WRITE_MAX;
        let is_late = is_known || may_be_late || source == EntrySource::Listing;
        if is_late {
            registered.late = registered.late.max(Some(entry.place()));
        }
        is_late
    }

    /// Returns `true` if this host learned of the incarnation in use so lately that other hosts may hold a late write of an
    /// earlier one.
    pub fn has_started_lately(&self, id: &TargetId, now: MonoTime) -> bool {
        let registered = self.registered.get(id);
        registered.is_some_and(|registered| now.since(registered.since) < LATE_WRITE_MAX)
    }

    /// Returns `true` if an entry in the directory of another host is that of a removed incarnation or of an earlier one. A
    /// target that registers once more is learned from the store.
    pub fn is_removed(&self, entry: &TargetEntry, now: MonoTime) -> bool {
        let removed = self.removed.get(&entry.id);
        removed.is_some_and(|removed| {
            let is_earlier = entry.place().is_of_earlier_start(removed.place);
            removed.place.born == entry.born
                || removed.is_from_copy(entry)
                || is_earlier && removed.may_be_late(now)
        })
    }

    /// Returns `true` if an entry in the directory of the host that this one follows is older than the removal of its
    /// incarnation, or may come from a late write. A target that registers again has a higher sequence number, unless it
    /// states no start.
    pub fn is_outdated(&self, entry: &TargetEntry, now: MonoTime) -> bool {
        let Some(removed) = self.removed.get(&entry.id) else {
            return false;
        };
        if removed.is_from_copy(entry) {
            return true;
        }
        let may_be_late = removed.may_be_late(now);
        if entry.place().is_of_earlier_start(removed.place) {
            return may_be_late;
        }
        if removed.place.born != entry.born || entry.born == 0 {
            return false;
        }
        // The other host may have taken the removed entry itself for a late write, and found it renewed since.
        match may_be_late {
            true => removed.cause == RemovalCause::Removed || entry.place() <= removed.place,
            false => entry.place() < removed.place,
        }
    }

    /// Records the targets in use: forgets their removals and those that are no longer relevant, and keeps the times at
    /// which their incarnations were learned of.
    pub fn on_directory(&mut self, targets: &IndexMap<TargetId, TargetEntry>, now: MonoTime) {
        self.removed
            .retain(|id, removed| removed.is_relevant(now) && !targets.contains_key(id));
        self.registered.retain(|id, _| targets.contains_key(id));
        for entry in targets.values() {
            self.on_registered(entry, now);
        }
    }

    /// Records the entry of a target in use.
    pub fn on_registered(&mut self, entry: &TargetEntry, now: MonoTime) {
        let place = entry.place();
        let read = (place, now.after(entry.cold_left));
        let learned = RegisteredIncarnation {
            latest: place,
            entry: read,
            since: now,
            late: None,
        };
        match self.registered.get_mut(&entry.id) {
            Some(known) if known.latest.born == place.born => {
                known.latest = known.latest.max(place);
                if known.entry.0 != place {
                    known.entry = read;
                }
            }
            Some(known) => *known = learned,
            None => {
                self.registered.insert(entry.id.clone(), learned);
            }
        }
    }

    /// Returns the place of an entry relative to that of the latest write that was read of the incarnation in use; `None`
    /// if it is of another incarnation.
    pub fn order_of(&self, entry: &TargetEntry) -> Option<Ordering> {
        let latest = self.registered.get(&entry.id)?.latest;
        let is_same_start = latest.born == entry.born;
        is_same_start.then(|| entry.place().cmp(&latest))
    }

    /// Records a further write of a cold target in use. Returns `true` if it counts down the cold time that began with the
    /// entry in use, and `false` if the target is cold again.
    pub fn on_countdown(&mut self, entry: &TargetEntry, now: MonoTime) -> bool {
        let Some(registered) = self.registered.get_mut(&entry.id) else {
            return false;
        };
        let (_, cold_until) = registered.entry;
        let is_countdown = now.after(entry.cold_left) <= cold_until.after(COUNTDOWN_DELAY_MAX);
        if is_countdown {
            registered.latest = registered.latest.max(entry.place());
        }
        is_countdown
    }
}
