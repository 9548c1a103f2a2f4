//! Which targets this host could not reach lately.
//!
//! Load pattern: some hosts lose the path to some targets while all others reach them. Such a host goes
//! round the target by itself; the target stays in use for the others, and only reports of more than
//! one host block it.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Time for which a target is left out after no connection came about. Lost paths last several seconds,
/// and each further try costs a request its time to connect.
const AVOID_FOR: Duration = Duration::from_millis(3000);

/// The paths of one host.
#[derive(Debug, Default)]
pub struct PathMemory {
    lost_until: ShardMap<TargetId, MonoTime>,
}

impl PathMemory {
    /// Makes the memory of a host that reaches all targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that no connection came about.
    pub fn on_unreachable(&self, target: &TargetId, now: MonoTime) {
        self.lost_until.insert(target.clone(), now.after(AVOID_FOR));
    }

    /// Returns the targets to leave out.
    pub fn avoided(&self, now: MonoTime) -> Vec<TargetId> {
        let mut avoided = Vec::new();
        self.lost_until.retain(|target, until| {
            let is_avoided = now < *until;
            if is_avoided {
                avoided.push(target.clone());
            }
            is_avoided
        });
        avoided
    }
}
