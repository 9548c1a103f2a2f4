//! Applies changes of the store to the directory, and keeps entries that lapse in a store outage.
//!
//! The store removes entries whose targets could not renew them during an outage, and such targets register again
//! within about two seconds of its recovery. An entry that is removed in that time stays in use until the
//! time is over. At any other time a removed entry means that the target has left.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};

use crate::{
    contact::{
        ContactAge,
        StorePart, //
    },
    outage::{
        OutageDetector,
        ServedSpan, //
    },
    removals::RemovalMemory,
    targets::{
        ContentDigest,
        PartRevisions,
        StoreRevision,
        TargetDirectory,
        TargetEntry, //
    },
};

/// A change of the directory that was read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// A target registered or wrote its entry again.
    TargetUpdated(TargetEntry),
    /// The entry of a target was removed or is no longer valid.
    TargetRemoved(TargetId),
    /// A zone was evacuated: its targets get no new requests.
    ZoneEvacuated(ZoneId),
    /// The evacuation of a zone has ended.
    ZoneRestored(ZoneId),
}

/// The directory of one host, with the revisions up to which each part of the store was read.
#[derive(Debug, Default)]
pub struct DirectoryTracker {
    directory: Arc<TargetDirectory>,
    /// The directory without the entries in `lapsed`.
    registered: Arc<TargetDirectory>,
    revisions: PartRevisions,
    /// Targets whose entries lapsed in an outage, with the time until which they stay in use.
    lapsed: IndexMap<TargetId, MonoTime>,
    removals: RemovalMemory,
    /// Time of the latest answer of the store about targets.
    targets_read_at: Option<MonoTime>,
    outage: OutageDetector,
}

impl DirectoryTracker {
    /// Creates a tracker with an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the period in which targets renew their entries.
    pub fn with_heartbeat(mut self, heartbeat: Duration) -> Self {
        self.removals = RemovalMemory::new().with_heartbeat(heartbeat);
        self
    }

    /// Returns the present directory.
    pub fn directory(&self) -> &Arc<TargetDirectory> {
        &self.directory
    }

    /// Returns the targets whose entries lapsed in an outage, with the time until which they stay in use.
    pub fn lapsed(&self) -> &IndexMap<TargetId, MonoTime> {
        &self.lapsed
    }

    /// Returns the revisions up to which the parts were read.
    pub fn revisions(&self) -> PartRevisions {
        self.revisions
    }

    /// Takes over the parts of another host's directory that were read from the store later. For the host that this
    /// one follows, the same revision suffices. This host decides by its own evidence of an outage which entries it keeps
    /// that the other directory lacks, and does not take back those that it has removed, unless the host that it follows
    /// may have read a later write. Returns `false` if a part of the other directory is older, or holds such entries.
    ///
    /// The parts are read independently, so that each of two hosts may have the later state of one part. A part that
    /// was read later on this host stays: its changes would be lost, as the watches continue after them.
    pub fn adopt(
        &mut self,
        directory: TargetDirectory,
        revisions: PartRevisions,
        is_from_upstream: bool,
        now: MonoTime,
    ) -> bool {
        let is_taken = |part| {
            let (theirs, ours) = (revisions.part(part), self.revisions.part(part));
            theirs > ours || is_from_upstream && theirs == ours
        };
        let is_older = |part| revisions.part(part) < self.revisions.part(part);
        let mut is_current = !StorePart::ALL.into_iter().any(is_older);
        let taken = StorePart::ALL.map(is_taken);
        if taken == [false; 2] {
            return is_current;
        }
        let mut next = (*self.directory).clone();
        let [takes_zones, takes_targets] = taken;
        if takes_zones {
            self.revisions.operator = revisions.operator;
            next.evacuated = directory.evacuated;
        }
        if takes_targets {
            self.revisions.targets = revisions.targets;
            next.targets = directory.targets;
            // The entries that the other host holds although this one has seen their removal may be kept by it only.
            let has_outage = self.outage.adoption_end(now).is_some();
            let kept = self.keep_missing(&next.targets, now);
            let removals = &self.removals;
            if is_from_upstream {
                self.lapsed.retain(|id, _| !next.targets.contains_key(id));
                let count = next.targets.len();
                next.targets
                    .retain(|_, entry| has_outage || !removals.is_outdated(entry));
                is_current &= next.targets.len() == count;
            } else {
                next.targets.retain(|_, entry| !removals.is_removed(entry));
            }
            self.lapsed
                .extend(kept.iter().map(|(id, (_, until))| (id.clone(), *until)));
            let kept = kept.into_iter().map(|(id, (entry, _))| (id, entry));
            next.targets.extend(kept);
            // The other host may keep a lapsed entry too, and the removal is not delivered again.
            self.lapsed.retain(|id, _| next.targets.contains_key(id));
        }
        self.set_directory(next, now);
        is_current
    }

    /// Returns the entries that another host's directory lacks and that stay in use on this host until a time, as it knows
    /// of an outage of the store in which they may have lapsed.
    fn keep_missing(
        &self,
        registered: &IndexMap<TargetId, TargetEntry>,
        now: MonoTime,
    ) -> IndexMap<TargetId, (TargetEntry, MonoTime)> {
        let end = self.outage.adoption_end(now);
        let missing = self.directory.targets.iter();
        let missing = missing.filter(|(id, _)| !registered.contains_key(*id));
        let kept = missing.filter_map(|(id, entry)| {
            let until = self.lapsed.get(id).copied().or(end)?;
            (now < until).then(|| (id.clone(), (entry.clone(), until)))
        });
        kept.collect()
    }

    /// Returns the directory without the entries that only this host keeps in use after an outage. Another host decides by
    /// what it knows itself whether there was an outage: this host may have been cut off from the store and from all
    /// others, while targets left.
    pub fn registered(&self) -> Arc<TargetDirectory> {
        self.registered.clone()
    }

    /// Returns the time in which hosts known to this one had contacts with the store without a gap.
    pub fn served_span(&self, now: MonoTime) -> Option<ServedSpan> {
        self.outage.served_span(now)
    }

    /// Records the time in which another host knew of contacts with the store without a gap. If this host was cut off in
    /// that time, the entries that it kept are dropped. Returns `true` in that case.
    pub fn on_served(&mut self, span: ServedSpan, sent_at: MonoTime, now: MonoTime) -> bool {
        if !self.outage.on_served(span, sent_at, now) {
            return false;
        }
        let mut next = (*self.directory).clone();
        for (id, _) in std::mem::take(&mut self.lapsed) {
            next.targets.shift_remove(&id);
        }
        self.set_directory(next, now);
        true
    }

    /// Drops the lapsed entries whose targets did not register again in time.
    pub fn drop_lapsed(&mut self, now: MonoTime) {
        if self.lapsed.values().all(|until| now < *until) {
            return;
        }
        let mut next = (*self.directory).clone();
        remove_lapsed(&mut self.lapsed, &mut next, now);
        self.set_directory(next, now);
    }

    /// Records that another host has a content up to its revisions. They count for this host only while it has the same
    /// content: it would ignore the changes between its own revisions and those.
    pub fn confirm_revisions(&mut self, content: ContentDigest, revisions: PartRevisions) {
        if content != self.registered.content {
            return;
        }
        for part in StorePart::ALL {
            let known = self.revisions.part_mut(part);
            *known = revisions.part(part).max(*known);
        }
        let mut next = (*self.directory).clone();
        next.as_of = self.revisions.both();
        self.store(next);
    }

    /// Replaces the directory by one whose digest is up to date.
    fn store(&mut self, next: TargetDirectory) {
        self.directory = Arc::new(next);
        self.registered = match self.lapsed.is_empty() {
            true => self.directory.clone(),
            false => {
                let mut registered = (*self.directory).clone();
                registered
                    .targets
                    .retain(|id, _| !self.lapsed.contains_key(id));
                registered.update_digest();
                Arc::new(registered)
            }
        };
    }

    fn set_directory(&mut self, mut next: TargetDirectory, now: MonoTime) {
        for (id, entry) in &self.directory.targets {
            if !next.targets.contains_key(id) && !self.removals.is_removed(entry) {
                self.removals.on_removal(entry, now);
            }
        }
        let is_registered = |id: &TargetId| next.targets.contains_key(id);
        self.removals.forget(is_registered, now);
        next.as_of = self.revisions.both();
        next.update_digest();
        self.store(next);
    }

    /// Records an answer of the store to this host. Returns the time for which its calls had failed, if the last one
    /// did.
    pub fn on_contact(&mut self, now: MonoTime) -> Option<Duration> {
        self.outage.on_answer(now)
    }

    /// Records that this or another host reached the store, by the age of that contact at `now`.
    pub fn on_any_contact(&mut self, age: ContactAge, now: MonoTime) {
        self.outage.on_contact(age, now);
    }

    /// Records a failed call of the store.
    pub fn on_failure(&mut self, now: MonoTime) {
        self.outage.on_failure(now);
        self.removals.on_failure(now);
    }

    /// Returns `true` if the last call of this host to the store failed.
    pub fn is_store_failing(&self) -> bool {
        self.outage.is_failing()
    }

    /// Returns `true` if the store must be read in full again. A directory that was adopted after an outage may hold
    /// entries that another host kept, whose removal this host's watch has passed.
    pub fn is_read_due(&self, read_at: MonoTime, now: MonoTime) -> bool {
        self.outage.has_registration_ended(read_at, now)
    }

    /// Applies a full read of the evacuated zones. Zones that are missing count as restored.
    pub fn replace_zones(
        &mut self,
        evacuated: IndexSet<ZoneId>,
        as_of: StoreRevision,
        now: MonoTime,
    ) {
        let restored = self.directory.evacuated.difference(&evacuated);
        let restored = restored.cloned().map(DirectoryChange::ZoneRestored);
        let mut changes: Vec<DirectoryChange> = restored.collect();
        changes.extend(evacuated.into_iter().map(DirectoryChange::ZoneEvacuated));
        self.apply(StorePart::Operator, changes, as_of, now);
    }

    /// Applies a full read of the entries of all targets. Targets that are missing count as removed.
    pub fn replace_targets(
        &mut self,
        entries: Vec<TargetEntry>,
        as_of: StoreRevision,
        now: MonoTime,
    ) {
        let listed: IndexSet<&TargetId> = entries.iter().map(|entry| &entry.id).collect();
        let known = self.directory.targets.keys();
        let missing = known.filter(|id| !listed.contains(id)).cloned();
        let mut changes: Vec<DirectoryChange> =
            missing.map(DirectoryChange::TargetRemoved).collect();
        changes.extend(entries.into_iter().map(DirectoryChange::TargetUpdated));
        self.apply(StorePart::Targets, changes, as_of, now);
    }

    /// Applies the changes of one part up to a revision. An answer at an older revision of the part is ignored. The
    /// parts are read independently, so an answer about one may follow a later answer about the other.
    pub fn apply(
        &mut self,
        part: StorePart,
        changes: Vec<DirectoryChange>,
        as_of: StoreRevision,
        now: MonoTime,
    ) {
        let known = self.revisions.part_mut(part);
        if as_of < *known {
            return;
        }
        *known = as_of;
        let mut next = (*self.directory).clone();
        for change in changes {
            self.apply_one(&mut next, change, now);
        }
        if part == StorePart::Targets {
            self.targets_read_at = Some(now);
        }
        remove_lapsed(&mut self.lapsed, &mut next, now);
        self.set_directory(next, now);
    }

    fn apply_one(&mut self, next: &mut TargetDirectory, change: DirectoryChange, now: MonoTime) {
        match change {
            DirectoryChange::TargetRemoved(id) => match self.outage.registration_end(now) {
                Some(end) => {
                    self.lapsed.entry(id).or_insert(end);
                }
                None => {
                    if let Some(entry) = next.targets.shift_remove(&id) {
                        self.removals.on_removal(&entry, now);
                    }
                }
            },
            DirectoryChange::TargetUpdated(entry) => self.apply_entry(next, entry, now),
            DirectoryChange::ZoneEvacuated(zone) => {
                next.evacuated.insert(zone);
            }
            DirectoryChange::ZoneRestored(zone) => {
                next.evacuated.shift_remove(&zone);
            }
        }
    }

    /// Inserts or replaces an entry. An entry that the same incarnation wrote before the known one, or before it was
    /// removed, arrived late and is ignored. An equivalent one updates only the sequence number, because the remaining
    /// cold time of a target counts from the first reading of its entry.
    fn apply_entry(&mut self, next: &mut TargetDirectory, entry: TargetEntry, now: MonoTime) {
        let Some(known) = next.targets.get_mut(&entry.id) else {
            if self.removals.on_registration(&entry, now) {
                self.removals.on_write(&entry.id, self.targets_read_at);
                next.targets.insert(entry.id.clone(), entry);
            }
            return;
        };
        let is_earlier = known.born == entry.born && entry.sequence < known.sequence;
        // A target that does not state its start may have begun to count anew after its entry lapsed.
        if !is_earlier || entry.born == 0 {
            self.lapsed.shift_remove(&entry.id);
        }
        if is_earlier {
            return;
        }
        if (known.born, known.sequence) != (entry.born, entry.sequence) {
            self.removals.on_write(&entry.id, self.targets_read_at);
        }
        match known.is_equivalent(&entry) {
            true => known.sequence = entry.sequence,
            false => *known = entry,
        }
    }
}

/// Removes the lapsed targets that did not register again in time.
fn remove_lapsed(
    lapsed: &mut IndexMap<TargetId, MonoTime>,
    directory: &mut TargetDirectory,
    now: MonoTime,
) {
    lapsed.retain(|id, until| {
        let is_over = now >= *until;
        if is_over {
            directory.targets.shift_remove(id);
        }
        !is_over
    });
}
