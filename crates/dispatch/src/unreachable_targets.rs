//! Targets that this host recently failed to connect to.
//!
//! Load pattern: some hosts lose the network path to some targets while all other hosts reach them. Such a
//! host excludes the target locally. The target stays in use for the others, and the dispatcher blocks it
//! only on more than one report of a failed connection.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Time for which a target is excluded after a failed connection. Network paths stay lost for several seconds,
/// and each further attempt costs a request the connect timeout.
const AVOID_FOR: Duration = Duration::from_millis(3000);

/// Targets that one host excludes after failed connections.
#[derive(Debug, Default)]
pub struct UnreachableTargets {
    avoided_until: ShardMap<TargetId, MonoTime>,
}

impl UnreachableTargets {
    /// Creates the state of a host that reaches all targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a failed connection to a target and excludes it for 3 s.
    pub fn on_unreachable(&self, target: &TargetId, now: MonoTime) {
        self.avoided_until
            .insert(target.clone(), now.after(AVOID_FOR));
    }

    /// Returns the targets to exclude at `now`, and forgets those whose time is over.
    pub fn avoided(&self, now: MonoTime) -> Vec<TargetId> {
        let mut avoided = Vec::new();
        self.avoided_until.retain(|target, until| {
            let is_avoided = now < *until;
            if is_avoided {
                avoided.push(target.clone());
            }
            is_avoided
        });
        avoided
    }
}
