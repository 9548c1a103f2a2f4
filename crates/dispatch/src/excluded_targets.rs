//! Targets that one host sends nothing to, although the directory lists them.
//!
//! Load pattern: some hosts lose the network path to some targets while all other hosts reach them. Such a
//! host excludes the target locally. The target stays in use for the others, and the dispatcher blocks it
//! only on more than one report of a failed connection.
//!
//! An overloaded target may refuse a request and state how long it wants none from the host that sent it.
//!
//! A target that says that it leaves is excluded for good, also on a host that has lost contact with the store and its
//! dispatcher.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;

/// Time for which a target is excluded after a failed connection. Network paths stay lost for several seconds,
/// and each further attempt costs a request the connect timeout.
const EXCLUDE_FOR: Duration = Duration::from_millis(3000);

/// Time after its last answer for which a leaving target is remembered. It has ended long before.
const LEAVING_KEPT_FOR: Duration = Duration::from_secs(600);

/// A target that said that it leaves.
#[derive(Clone, Copy, Debug)]
struct LeavingTarget {
    /// Start of the incarnation that leaves; a later one may have the same id.
    born: u64,
    kept_until: MonoTime,
}

/// Targets that one host excludes.
#[derive(Debug, Default)]
pub struct ExcludedTargets {
    excluded_until: ShardMap<TargetId, MonoTime>,
    leaving: ShardMap<TargetId, LeavingTarget>,
}

impl ExcludedTargets {
    /// Creates the state of a host that excludes no target.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a failed connection to a target and excludes it for 3 s.
    pub fn on_unreachable(&self, target: &TargetId, now: MonoTime) {
        self.exclude(target, EXCLUDE_FOR, now);
    }

    /// Excludes a target for a time, and no shorter than before.
    pub fn exclude(&self, target: &TargetId, time: Duration, now: MonoTime) {
        let end = now.after(time);
        self.excluded_until
            .with_or_insert(target, || end, |until| *until = end.max(*until));
    }

    /// Returns `true` if the target that wrote `entry` gets no request from this host at `now`.
    pub fn is_excluded(&self, entry: &TargetEntry, now: MonoTime) -> bool {
        let is_paused = self.excluded_until.with(&entry.id, |until| now < *until);
        is_paused.unwrap_or(false) || self.is_leaving(entry)
    }

    /// Records that the incarnation of a target that wrote `entry` leaves. Returns `true` if that was not known.
    pub fn on_leaving(&self, entry: &TargetEntry, now: MonoTime) -> bool {
        let is_new = !self.is_leaving(entry);
        let leaving = LeavingTarget {
            born: entry.born,
            kept_until: now.after(LEAVING_KEPT_FOR),
        };
        self.leaving.insert(entry.id.clone(), leaving);
        is_new
    }

    /// Returns `true` if the incarnation of a target that wrote `entry` said that it leaves.
    fn is_leaving(&self, entry: &TargetEntry) -> bool {
        let is_same = |leaving: &mut LeavingTarget| leaving.born == entry.born;
        self.leaving.with(&entry.id, is_same).unwrap_or(false)
    }

    /// Returns the targets of a directory to exclude at `now`, and forgets those whose time is over.
    pub fn excluded(&self, directory: &TargetDirectory, now: MonoTime) -> Vec<TargetId> {
        let mut excluded = Vec::new();
        self.excluded_until.retain(|target, until| {
            let is_excluded = now < *until;
            if is_excluded {
                excluded.push(target.clone());
            }
            is_excluded
        });
        self.leaving.retain(|target, leaving| {
            let entry = directory.targets.get(target);
            if entry.is_some_and(|entry| entry.born == leaving.born) {
                excluded.push(target.clone());
            }
            now < leaving.kept_until
        });
        excluded
    }
}
