//! Targets that this host recently failed to connect to.
//!
//! Load pattern: some hosts lose the network path to some targets while all other hosts reach them. Such a
//! host excludes the target locally. The target stays in use for the others, and the dispatcher blocks it
//! only on more than one report of a failed connection.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Time for which a target is excluded after a failed connection. Network paths stay lost for several seconds,
/// and each further attempt costs a request the connect timeout.
const EXCLUDE_FOR: Duration = Duration::from_millis(3000);

/// Targets that one host excludes after failed connections.
#[derive(Debug, Default)]
pub struct UnreachableTargets {
    excluded_until: ShardMap<TargetId, MonoTime>,
}

impl UnreachableTargets {
    /// Creates the state of a host that reaches all targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a failed connection to a target and excludes it for 3 s.
    pub fn on_unreachable(&self, target: &TargetId, now: MonoTime) {
        self.excluded_until
            .insert(target.clone(), now.after(EXCLUDE_FOR));
    }

    /// Returns the targets to exclude at `now`, and forgets those whose time is over.
    pub fn excluded(&self, now: MonoTime) -> Vec<TargetId> {
        let mut excluded = Vec::new();
        self.excluded_until.retain(|target, until| {
            let is_excluded = now < *until;
            if is_excluded {
                excluded.push(target.clone());
            }
            is_excluded
        });
        excluded
    }
}
