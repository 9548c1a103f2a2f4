//! Applies changes of the store to the directory, and keeps entries that lapse in a store outage.
//!
//! The store removes entries whose targets could not renew them during an outage, and such targets register again
//! within about two seconds of its recovery. An entry that is removed in that time stays in use until the
//! time is over. At any other time a removed entry means that the target has left.
//!
//! If the store comes back from an older copy, a full read or another host's directory of the new era replaces the
//! directory, except for what this host knows to be later (see `copies.rs`).

use std::{
    cmp::Ordering,
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
    eras::{
        EraClock,
        EraSighting,
        KeptEntries, //
    },
    outage::{
        OutageDetector,
        ServedSpan, //
    },
    position::{
        PartPositions,
        StoreEra,
        StorePosition, //
    },
    removals::{
        EntrySource,
        RemovalMemory, //
    },
    targets::{
        ContentDigest,
        TargetDirectory,
        TargetEntry, //
    },
};

mod adoption;
mod copies;

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

/// The directory of one host, with the positions up to which each part of the store was read.
#[derive(Debug, Default)]
pub struct DirectoryTracker {
    directory: Arc<TargetDirectory>,
    /// The directory without what is only kept.
    registered: Arc<TargetDirectory>,
    positions: PartPositions,
    kept: KeptEntries,
    eras: EraClock,
    removals: RemovalMemory,
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

    /// Returns the targets whose entries lapsed in an outage, or are missing in the copy from which the store came back,
    /// with the time until which they stay in use.
    pub fn lapsed(&self) -> &IndexMap<TargetId, MonoTime> {
        &self.kept.targets
    }

    /// Returns the targets with an entry that may have been left by a late write, and which are not in use.
    pub fn pending(&self) -> IndexSet<TargetId> {
        self.removals.pending_targets().cloned().collect()
    }

    /// Returns the latest era of the store that this host knows of.
    pub fn era(&self) -> StoreEra {
        self.eras.era()
    }

    /// Returns what this host tells others about the era of the store.
    pub fn era_sighting(&self, now: MonoTime) -> EraSighting {
        self.eras.sighting(now)
    }

    /// Records the era that an answer of the store or another host states. What is kept in use gets the time to register in
    /// the new era, too.
    pub fn on_era(&mut self, era: StoreEra, now: MonoTime) {
        if !self.eras.on_era(era) {
            return;
        }
        self.removals.on_era(now);
        if let Some(end) = self.eras.registration_end(now) {
            self.kept.extend(end);
        }
    }

    /// Records what another host knows about the era of the store.
    pub fn on_era_sighting(&mut self, sighting: EraSighting, now: MonoTime) {
        self.on_era(sighting.era, now);
        if let Some(millis) = sighting.age_millis {
            let age = Duration::from_millis(millis.into());
            self.eras.on_contact(sighting.era, age, now);
            self.limit_kept(now);
        }
    }

    /// Ends what is kept when the time to register ends by the latest knowledge: another host may have had its first contact
    /// in the era earlier, or may have been served while this one was cut off.
    fn limit_kept(&mut self, now: MonoTime) {
        let (era_end, outage_end) = (
            self.eras.registration_end(now),
            self.outage.adoption_end(now),
        );
        self.kept.limit(era_end.max(outage_end).unwrap_or(now));
        self.drop_lapsed(now);
    }

    /// Returns the positions up to which the parts were read.
    pub fn positions(&self) -> PartPositions {
        self.positions
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
        self.limit_kept(now);
        true
    }

    /// Drops what was kept and was not written again in time.
    pub fn drop_lapsed(&mut self, now: MonoTime) {
        if self.kept.is_due(now) {
            let mut next = (*self.directory).clone();
            self.expire_kept(&mut next, now);
            self.set_directory(next, now);
        }
    }

    fn expire_kept(&mut self, next: &mut TargetDirectory, now: MonoTime) {
        for id in self.kept.expire(next, now) {
            if let Some(entry) = next.targets.shift_remove(&id) {
                self.removals.on_lapse(&entry, now);
            }
        }
    }

    /// Records that another host has a content up to its positions. They count for this host only while it has the same
    /// content: it would ignore the changes between its own positions and those.
    pub fn confirm_positions(
        &mut self,
        content: ContentDigest,
        positions: PartPositions,
        now: MonoTime,
    ) {
        if content != self.registered.content {
            return;
        }
        self.on_era(positions.latest().era, now);
        for part in StorePart::ALL {
            let known = self.positions.part_mut(part);
            *known = positions.part(part).max(*known);
        }
        let mut next = (*self.directory).clone();
        next.as_of = self.positions.both();
        self.store(next);
    }

    /// Replaces the directory by one whose digest is up to date.
    fn store(&mut self, next: TargetDirectory) {
        self.directory = Arc::new(next);
        self.registered = match self.kept.is_empty() {
            true => self.directory.clone(),
            false => {
                let mut registered = (*self.directory).clone();
                self.kept.strip(&mut registered);
                registered.update_digest();
                Arc::new(registered)
            }
        };
    }

    fn set_directory(&mut self, mut next: TargetDirectory, now: MonoTime) {
        for (id, entry) in &self.directory.targets {
            if !next.targets.contains_key(id) && !self.removals.is_removed(entry, now) {
                let has_outage = self.outage.adoption_end(now).is_some();
                self.removals.on_removal(entry, has_outage, now);
            }
        }
        self.removals.on_directory(&next.targets, now);
        next.as_of = self.positions.both();
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

    /// Records an answer of the store, and returns `true` if it counts: it is not of an earlier era than the latest one,
    /// and not older than what was read of the part.
    fn on_answer(&mut self, part: StorePart, as_of: StorePosition, now: MonoTime) -> bool {
        self.on_era(as_of.era, now);
        self.eras.on_contact(as_of.era, Duration::ZERO, now);
        as_of.era == self.eras.era() && as_of >= self.positions.part(part)
    }

    /// Applies a full read of the evacuated zones. Zones that are missing count as restored, unless they are missing in
    /// the copy from which the store has come back.
    pub fn replace_zones(
        &mut self,
        evacuated: IndexSet<ZoneId>,
        as_of: StorePosition,
        now: MonoTime,
    ) {
        if !self.on_answer(StorePart::Operator, as_of, now) {
            return;
        }
        let has_new_era = as_of.era > self.positions.operator.era;
        self.positions.operator = as_of;
        let mut next = (*self.directory).clone();
        match has_new_era {
            true => self.take_zone_copy(&mut next, evacuated, now),
            false => self.take_zones(&mut next, evacuated),
        }
        self.expire_kept(&mut next, now);
        self.set_directory(next, now);
    }

    /// Applies a full read of the entries of all targets. Targets that are missing count as removed, unless they are missing
    /// in the copy from which the store has come back.
    pub fn replace_targets(
        &mut self,
        entries: Vec<TargetEntry>,
        as_of: StorePosition,
        now: MonoTime,
    ) {
        if !self.on_answer(StorePart::Targets, as_of, now) {
            return;
        }
        if as_of.era == self.positions.targets.era {
            let listed: IndexSet<&TargetId> = entries.iter().map(|entry| &entry.id).collect();
            self.removals.on_listing(|id| listed.contains(id), now);
            let known = self.directory.targets.keys();
            let is_missing =
                |id: &&TargetId| !listed.contains(id) && !self.kept.targets.contains_key(*id);
            let missing = known.filter(is_missing).cloned();
            let mut changes: Vec<DirectoryChange> =
                missing.map(DirectoryChange::TargetRemoved).collect();
            changes.extend(entries.into_iter().map(DirectoryChange::TargetUpdated));
            let source = EntrySource::Listing;
            self.apply_from(source, StorePart::Targets, changes, as_of, now);
            return;
        }
        self.positions.targets = as_of;
        let mut next = (*self.directory).clone();
        let outage_end = self.outage.registration_end(now);
        self.take_copy(&mut next, entries.into_iter(), outage_end, now);
        self.expire_kept(&mut next, now);
        self.set_directory(next, now);
    }

    /// Applies the changes of one part that a watch returned, up to a position. An answer at an older position of the part
    /// is ignored, and so is one of an earlier era. One of a later era only shows the era: it must be read in full. The
    /// parts are read independently, so an answer about one may follow a later answer about the other.
    pub fn apply(
        &mut self,
        part: StorePart,
        changes: Vec<DirectoryChange>,
        as_of: StorePosition,
        now: MonoTime,
    ) {
        self.apply_from(EntrySource::Watch, part, changes, as_of, now);
    }

    fn apply_from(
        &mut self,
        source: EntrySource,
        part: StorePart,
        changes: Vec<DirectoryChange>,
        as_of: StorePosition,
        now: MonoTime,
    ) {
        let counts = self.on_answer(part, as_of, now);
        let known = self.positions.part_mut(part);
        if !counts || as_of.era != known.era {
            return;
        }
        *known = as_of;
        let mut next = (*self.directory).clone();
        for change in changes {
            self.apply_one(&mut next, change, source, now);
        }
        if part == StorePart::Targets {
            for entry in self.removals.take_renewed(now) {
                next.targets.insert(entry.id.clone(), entry);
            }
        }
        self.expire_kept(&mut next, now);
        self.set_directory(next, now);
    }

    fn apply_one(
        &mut self,
        next: &mut TargetDirectory,
        change: DirectoryChange,
        source: EntrySource,
        now: MonoTime,
    ) {
        match change {
            DirectoryChange::TargetRemoved(id) => {
                self.removals.on_pending_removal(&id, now);
                match self.outage.registration_end(now) {
                    Some(end) => {
                        self.kept.targets.entry(id).or_insert(end);
                    }
                    None => {
                        self.kept.targets.shift_remove(&id);
                        if let Some(entry) = next.targets.shift_remove(&id) {
                            let has_outage = self.outage.adoption_end(now).is_some();
                            self.removals.on_removal(&entry, has_outage, now);
                        }
                    }
                }
            }
            DirectoryChange::TargetUpdated(entry) => self.apply_entry(next, entry, source, now),
            DirectoryChange::ZoneEvacuated(zone) => {
                self.kept.zones.shift_remove(&zone);
                next.evacuated.insert(zone);
            }
            DirectoryChange::ZoneRestored(zone) => {
                self.kept.zones.shift_remove(&zone);
                next.evacuated.shift_remove(&zone);
            }
        }
    }

    /// Inserts or replaces an entry. An entry that the same or an earlier incarnation wrote before the known one, or before
    /// it was removed, arrived late and is ignored. An equivalent one does not replace the known one: the remaining cold
    /// time of a target counts from the reading of the write that began it, unless the target is cold again.
    fn apply_entry(
        &mut self,
        next: &mut TargetDirectory,
        entry: TargetEntry,
        source: EntrySource,
        now: MonoTime,
    ) {
        let Some(known) = next.targets.get_mut(&entry.id) else {
            if self.removals.on_registration(&entry, source, now) {
                self.removals.on_registered(&entry, now);
                next.targets.insert(entry.id.clone(), entry);
            }
            return;
        };
        // The copy may hold the entry of an earlier incarnation.
        let has_new_era = self.eras.registration_end(now).is_some();
        if known.is_born_after(&entry)
            && (has_new_era || self.removals.is_late_start(&entry, source, now))
        {
            return;
        }
        let order = self.removals.order_of(&entry);
        let is_earlier = known.is_written_after(&entry) || order == Some(Ordering::Less);
        // A target that does not state its start may have begun to count anew after its entry lapsed.
        if !is_earlier || entry.born == 0 {
            self.kept.targets.shift_remove(&entry.id);
        }
        let is_equivalent = known.is_equivalent(&entry);
        let is_known_place = known.place() == entry.place() || order == Some(Ordering::Equal);
        let is_same_write = is_equivalent && is_known_place;
        if is_earlier || is_same_write {
            return;
        }
        if is_equivalent && entry.is_cold() && self.removals.on_countdown(&entry, now) {
            return;
        }
        self.removals.on_registered(&entry, now);
        match is_equivalent && !entry.is_cold() {
            true => known.sequence = entry.sequence,
            false => *known = entry,
        }
    }
}
