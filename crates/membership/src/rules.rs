//! The times that membership goes by.

use std::time::Duration;

/// The times that membership goes by. They are the same on all hosts.
#[derive(Clone, Copy, Debug)]
pub struct MembershipRules {
    /// Time between two heartbeats to a peer of the own zone.
    pub heartbeat_period: Duration,
    /// An owner whose heartbeats were not acknowledged for this long serves nothing.
    pub fence_after: Duration,
    /// A peer that nobody has heard for this long is unreachable. It is above `fence_after` plus
    /// `heartbeat_period` and the slack of clocks, so that the old owner stops before a new one
    /// starts.
    pub takeover_after: Duration,
    /// A host that has seen neither the platform nor the fleet for this long is isolated.
    pub isolation_after: Duration,
}

impl Default for MembershipRules {
    fn default() -> Self {
        Self {
            heartbeat_period: Duration::from_millis(500),
            fence_after: Duration::from_millis(1500),
            takeover_after: Duration::from_secs(4),
            isolation_after: Duration::from_secs(5),
        }
    }
}
