//! The time limits of failure detection.

use std::time::Duration;

/// The time limits of failure detection, which must be the same on all hosts.
#[derive(Clone, Copy, Debug)]
pub struct MembershipRules {
    /// Interval of heartbeats to a peer of the own zone.
    pub heartbeat_period: Duration,
    /// Time without a heartbeat of the initiator after which the other host of a pair sends one itself. It exceeds
    /// `heartbeat_period` plus delays. If one heartbeat is lost, the last acknowledged one is then at most 1.2 s
    /// old, which is below `fence_after`.
    pub initiator_timeout: Duration,
    /// Time without an acknowledgement of its heartbeats after which an owner stops serving.
    pub fence_after: Duration,
    /// Time without a message to any host after which a peer is unreachable. It exceeds `fence_after` plus
    /// `heartbeat_period` and the clock drift, so that the old owner stops before a new one starts.
    pub takeover_after: Duration,
    /// Time without contact to either the platform or the fleet after which a host is isolated.
    pub isolation_after: Duration,
}

impl Default for MembershipRules {
    fn default() -> Self {
        Self {
            heartbeat_period: Duration::from_millis(500),
            initiator_timeout: Duration::from_millis(700),
            fence_after: Duration::from_millis(1500),
            takeover_after: Duration::from_secs(4),
            isolation_after: Duration::from_secs(5),
        }
    }
}
