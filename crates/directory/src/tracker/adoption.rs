//! Takes over the directory of another host.

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};

use super::DirectoryTracker;
use crate::{
    contact::StorePart,
    position::PartPositions,
    targets::{
        TargetDirectory,
        TargetEntry, //
    },
};

impl DirectoryTracker {
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
        positions: PartPositions,
        is_from_upstream: bool,
        now: MonoTime,
    ) -> bool {
        let is_taken = |part| {
            let (theirs, ours) = (positions.part(part), self.positions.part(part));
            theirs > ours || is_from_upstream && theirs == ours
        };
        let is_older = |part| positions.part(part) < self.positions.part(part);
        let mut is_current = !StorePart::ALL.into_iter().any(is_older);
        let taken = StorePart::ALL.map(is_taken);
        if taken == [false; 2] {
            return is_current;
        }
        let has_new_era = |part| positions.part(part).era > self.positions.part(part).era;
        let [has_new_zones, has_new_targets] = StorePart::ALL.map(has_new_era);
        self.on_era(positions.latest().era, now);
        let mut next = (*self.directory).clone();
        let [takes_zones, takes_targets] = taken;
        if takes_zones {
            self.positions.operator = positions.operator;
            match has_new_zones {
                true => self.take_zone_copy(&mut next, directory.evacuated, now),
                false => self.take_zones(&mut next, directory.evacuated),
            }
        }
        if takes_targets {
            self.positions.targets = positions.targets;
            let targets = directory.targets;
            is_current &= match has_new_targets {
                true => {
                    let outage_end = self.outage.adoption_end(now);
                    self.take_copy(&mut next, targets.into_values(), outage_end, now)
                }
                false => self.take_targets(&mut next, targets, is_from_upstream, now),
            };
        }
        self.set_directory(next, now);
        is_current
    }

    /// Takes over the evacuated zones of another host in the same era, and keeps those that have time to be written again.
    pub(super) fn take_zones(&mut self, next: &mut TargetDirectory, evacuated: IndexSet<ZoneId>) {
        self.kept.zones.retain(|zone, _| !evacuated.contains(zone));
        next.evacuated = evacuated;
        next.evacuated.extend(self.kept.zones.keys().cloned());
    }

    /// Takes over the targets of another host in the same era. Returns `false` if entries were not taken back.
    fn take_targets(
        &mut self,
        next: &mut TargetDirectory,
        targets: IndexMap<TargetId, TargetEntry>,
        is_from_upstream: bool,
        now: MonoTime,
    ) -> bool {
        let mut is_complete = true;
        let known = std::mem::replace(&mut next.targets, targets);
        let era_end = self.eras.registration_end(now);
        // A host that started during the return of the store may hold older entries of the copy.
        next.targets.retain(|id, entry| {
            let Some(own) = known.get(id) else {
                return true;
            };
            if own.is_written_after(entry) && !own.is_equivalent(entry) {
                *entry = own.clone();
                is_complete = false;
            }
            let is_earlier_start = own.is_born_after(entry);
            let kept_until = era_end.filter(|_| is_earlier_start);
            if is_earlier_start && era_end.is_none() && self.removals.has_started_lately(id, now) {
                *entry = own.clone();
                is_complete = false;
            }
            if let Some(end) = kept_until {
                self.kept.targets.entry(id.clone()).or_insert(end);
                is_complete = false;
            }
            kept_until.is_none()
        });
        // The entries that the other host holds although this one has seen their removal may be kept by it only.
        let has_outage = self.outage.adoption_end(now).is_some();
        let kept = self.keep_missing(&next.targets, now);
        let removals = &self.removals;
        if is_from_upstream {
            self.kept
                .targets
                .retain(|id, _| !next.targets.contains_key(id));
            let count = next.targets.len();
            next.targets
                .retain(|_, entry| has_outage || !removals.is_outdated(entry, now));
            is_complete &= next.targets.len() == count;
        } else {
            next.targets
                .retain(|_, entry| !removals.is_removed(entry, now));
        }
        for (id, (entry, until)) in kept {
            self.kept.targets.insert(id.clone(), until);
            next.targets.insert(id, entry);
        }
        // The other host may keep a lapsed entry too, and the removal is not delivered again.
        self.kept
            .targets
            .retain(|id, _| next.targets.contains_key(id));
        is_complete
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
            let until = self.kept.targets.get(id).copied().or(end)?;
            (now < until).then(|| (id.clone(), (entry.clone(), until)))
        });
        kept.collect()
    }
}
