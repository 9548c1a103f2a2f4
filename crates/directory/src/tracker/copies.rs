//! Takes over the first state of a new era, when the store has come back from an older copy.

use chicorycroft_core::prelude::*;
use indexmap::IndexSet;

use super::DirectoryTracker;
use crate::targets::{
    TargetDirectory,
    TargetEntry, //
};

impl DirectoryTracker {
    /// Replaces the evacuated zones by those of a new era. Zones that the copy lacks stay until operators have had the time
    /// to write them again.
    pub(super) fn take_zone_copy(
        &mut self,
        next: &mut TargetDirectory,
        evacuated: IndexSet<ZoneId>,
        now: MonoTime,
    ) {
        if let Some(end) = self.eras.registration_end(now) {
            for zone in next.evacuated.difference(&evacuated) {
                self.kept.zones.insert(zone.clone(), end);
            }
        }
        self.take_zones(next, evacuated);
    }

    /// Replaces the targets by those of a new era, which may lack acknowledged writes. An entry that the same or an earlier
    /// incarnation wrote before the known one is not taken back, and neither is one of a removed incarnation. Targets that
    /// are missing stay in use until they have had the time to register again. Returns `false` if the result differs
    /// from the copy otherwise.
    pub(super) fn take_copy(
        &mut self,
        next: &mut TargetDirectory,
        copy: impl Iterator<Item = TargetEntry>,
        outage_end: Option<MonoTime>,
        now: MonoTime,
    ) -> bool {
        let mut known = std::mem::take(&mut next.targets);
        let mut is_complete = true;
        for entry in copy {
            let Some(own) = known.get_mut(&entry.id) else {
                match self.removals.on_copy(&entry) {
                    true => is_complete = false,
                    false => {
                        next.targets.insert(entry.id.clone(), entry);
                    }
                }
                continue;
            };
            if own.is_born_after(&entry) {
                is_complete = false;
                continue;
            }
            self.kept.targets.shift_remove(&entry.id);
            let is_equivalent = own.is_equivalent(&entry);
            if own.is_written_after(&entry) {
                is_complete &= is_equivalent;
            } else if is_equivalent {
                own.sequence = entry.sequence;
            } else {
                *own = entry.clone();
            }
            if let Some(own) = known.shift_remove(&entry.id) {
                next.targets.insert(entry.id, own);
            }
        }
        let end = self.eras.registration_end(now).max(outage_end);
        for (id, entry) in known {
            if let Some(end) = end {
                let until = self.kept.targets.entry(id.clone()).or_insert(end);
                *until = end.max(*until);
                next.targets.insert(id, entry);
            } else {
                self.kept.targets.shift_remove(&id);
                self.removals.on_lapse(&entry, now);
            }
        }
        is_complete
    }
}
