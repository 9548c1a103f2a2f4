//! The heartbeat and what it reports.

use std::net::SocketAddr;

use chicorycroft_core::{
    prelude::*, //
    rendezvous::weight_of,
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Number of latency buckets of a baseline; each is twice as wide as the one before.
pub const LATENCY_BUCKETS: usize = 8;

/// The last heartbeat of the receiver that the sender has heard.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SequenceEcho {
    /// Incarnation of the receiver at that time.
    pub incarnation: HostIncarnation,
    /// Its sequence number.
    pub sequence: u64,
}

/// Version and digest of the index in force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigSummary {
    /// Version of the index.
    pub version: ConfigVersion,
    /// Digest of the index document.
    pub digest: DocumentDigest,
}

/// Load of a target that the sender owns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetId,
    /// Requests in flight.
    pub in_flight: u16,
    /// Requests that the target may have in flight now.
    pub limit: u16,
    /// Whether there is evidence against the target. Format version 1 has no such flag; false is
    /// assumed then.
    pub is_suspect: bool,
}

/// Outcomes of a service's requests at the sender since its last heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceBaseline {
    /// The service.
    pub service: ServiceId,
    /// Requests that ended well.
    pub good: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests per latency bucket, the shortest latency first.
    pub latency: [u16; LATENCY_BUCKETS],
}

/// Four bytes that stand for the name of a host.
///
/// Two of 1,700 names share a hash with a probability of about 3 in 10,000. The effect is a later
/// takeover, because a dead host then counts as heard for as long as the other one lives.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct HostHash([u8; 4]);

impl HostHash {
    /// Computes the hash of a host's name.
    pub fn of_host(host: &HostId) -> Self {
        let [a, b, c, d, ..] = weight_of("heard", host.as_str()).to_le_bytes();
        Self([a, b, c, d])
    }
}

/// A host that the sender has heard recently.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeardHost {
    /// The host.
    pub host: HostHash,
    /// Time since it was heard, in tenths of a second.
    pub age_tenths: u8,
}

/// The periodic report of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub host: HostId,
    /// Incarnation of the sender.
    pub incarnation: HostIncarnation,
    /// Zone of the sender.
    pub zone: ZoneId,
    /// Address of the sender for other hosts. The platform's list lags, so that a new host is
    /// reachable before the list names it.
    pub address: SocketAddr,
    /// Number of this heartbeat, per receiver.
    pub sequence: u64,
    /// Last heartbeat of the receiver that the sender heard.
    pub echo: Option<SequenceEcho>,
    /// Configuration in force at the sender.
    pub config: Option<ConfigSummary>,
    /// Whether the sender has read the platform recently.
    pub is_platform_recent: bool,
    /// Whether the sender is leaving.
    pub is_leaving: bool,
    /// Load of the targets that the sender owns.
    pub targets: Vec<TargetLoad>,
    /// Outcomes per service.
    pub baselines: Vec<ServiceBaseline>,
    /// Hosts of the zone that the sender has heard recently.
    pub heard: Vec<HeardHost>,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatAck {
    /// The host that answers.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: HostIncarnation,
    /// The heartbeat that is answered.
    pub echo: SequenceEcho,
}
