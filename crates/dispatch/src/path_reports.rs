//! Failed connections of single hosts to a target.
//!
//! Load pattern: some hosts lose the paths to targets that all other hosts reach, and try many targets at once. A failed
//! connection therefore says something about the target only if a second host reports one, and nothing has come through
//! meanwhile.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Time within which two hosts must report failed connections.
const REPORT_WINDOW: Duration = Duration::from_secs(2);

/// The latest failed connection to a target.
#[derive(Clone, Debug, Default)]
pub struct PathReports {
    latest: Option<(HostId, MonoTime)>,
}

impl PathReports {
    /// Creates the state of a target without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a failed connection of a host, and returns `true` if it is evidence about the target: another host reported
    /// one within two seconds, or the host is not known.
    pub fn record(&mut self, host: Option<&HostId>, now: MonoTime) -> bool {
        let Some(host) = host else {
            return true;
        };
        let earlier = self.latest.replace((host.clone(), now));
        earlier.is_some_and(|(other, at)| other != *host && now.since(at) < REPORT_WINDOW)
    }

    /// Forgets the reports, because a request reached the target.
    pub fn clear(&mut self) {
        self.latest = None;
    }
}
