//! The heartbeat message and the reports that it contains.

use std::net::SocketAddr;

use chicorycroft_core::{
    prelude::*, //
    rendezvous::weight_of,
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Identifies the last heartbeat that the sender received from the receiver, which acknowledges it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SequenceEcho {
    /// Incarnation of the receiver when it sent that heartbeat.
    pub incarnation: HostIncarnation,
    /// Sequence number of that heartbeat.
    pub sequence: u64,
}

/// Version and digest of the configuration index in force.
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
    /// Limit of requests in flight at the target.
    pub limit: u16,
    /// Whether the target is suspected to be faulty. Format version 1 lacks this flag and is decoded as
    /// `false`.
    pub is_suspect: bool,
}

/// The count of one non-empty bucket of a latency histogram.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BucketCount {
    /// Index of the bucket; bucket 0 has the shortest latencies.
    pub bucket: u8,
    /// Number of answers in the bucket.
    pub count: u32,
}

/// Outcomes of the attempts for a service at the sender during its last measurement window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceBaseline {
    /// The service.
    pub service: ServiceId,
    /// Completed attempts.
    pub attempts: u32,
    /// Attempts with a refused connection, a cut connection, a timeout or a wrong answer.
    pub failures: u32,
    /// Attempts that the target rejected because of load.
    pub sheds: u32,
    /// Non-empty buckets of the latency histogram of complete answers.
    pub latencies: Vec<BucketCount>,
}

/// A hash of a host's name, of four bytes.
///
/// Among 1,700 names the probability of a collision is about 3 in 10,000. A collision delays a takeover, because
/// reports about the live host then also count for the dead one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct HostHash([u8; 4]);

impl HostHash {
    /// Computes the hash of a host's name.
    pub fn of_host(host: &HostId) -> Self {
        let [a, b, c, d, ..] = weight_of("heard", host.as_str()).to_le_bytes();
        Self([a, b, c, d])
    }
}

/// A host from which the sender received a message recently.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecentContact {
    /// Hash of the host's name.
    pub host: HostHash,
    /// Time since the last message, in tenths of a second.
    pub age_tenths: u8,
}

/// The heartbeat: a periodic report of a host to a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub host: HostId,
    /// Incarnation of the sender.
    pub incarnation: HostIncarnation,
    /// Zone of the sender.
    pub zone: ZoneId,
    /// Address at which other hosts reach the sender. The platform's list of hosts lags, and with this address a
    /// new host is reachable before the list contains it.
    pub address: SocketAddr,
    /// Sequence number of this heartbeat, counted per receiver.
    pub sequence: u64,
    /// Last heartbeat that the sender received from the receiver.
    pub echo: Option<SequenceEcho>,
    /// Configuration in force at the sender.
    pub config: Option<ConfigSummary>,
    /// Whether the sender has read the platform recently.
    pub is_platform_recent: bool,
    /// Whether the sender is leaving.
    pub is_leaving: bool,
    /// Load of the targets that the sender owns.
    pub targets: Vec<TargetLoad>,
    /// Outcomes of attempts per service.
    pub baselines: Vec<ServiceBaseline>,
    /// Hosts of the zone from which the sender received a message recently.
    #[serde(rename = "heard")]
    pub recent_contacts: Vec<RecentContact>,
}

/// The short answer to a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatAck {
    /// The host that answers.
    pub host: HostId,
    /// Incarnation of that host.
    pub incarnation: HostIncarnation,
    /// The heartbeat that this acknowledges.
    pub echo: SequenceEcho,
}
