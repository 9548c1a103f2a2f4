//! The messages between gateway hosts: gossip, long polling for changes, and permits.

use std::net::SocketAddr;

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_membership::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// A long poll of a host for changes, with the versions that the host has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FollowRequest {
    /// The host that sends the request.
    pub member: MemberRecord,
    /// Version of the configuration that it has.
    pub config: Option<ConfigVersion>,
    /// Digest of the directory that it has.
    pub content: ContentDigest,
    /// Positions up to which the parts of that directory were read.
    pub positions: PartPositions,
    /// Longest time to delay the answer while nothing changes, in milliseconds.
    pub wait_millis: u32,
    /// Whether the other host should read the store, because the store does not serve this one.
    pub is_read_wanted: bool,
    /// Whether the host grants permits to others. The answer then includes the rate usage of teams.
    pub is_dispatcher: bool,
    /// Time for which the host lends its unit of the team rates from when the request was sent, in milliseconds.
    pub lease_millis: Option<u32>,
    /// Teams that lack tokens at the host, with the tokens wanted.
    pub short_teams: Vec<TeamTokens>,
    /// Time in which hosts known to this one had contacts with the store without a gap.
    pub served: Option<ServedSpan>,
    /// The latest era of the store that the host knows of.
    pub era: EraSighting,
    /// Transfers of configurations; `None` from a host that takes whole configurations only.
    pub transfer: Option<TransferState>,
}

/// What a host says about its configuration, and about transfers of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TransferState {
    /// The configuration in force.
    pub base: Option<ConfigBase>,
    /// The version that the host is fetching.
    pub fetching: Option<ConfigVersion>,
    /// Largest number of hosts to which it sends configurations at a time.
    pub transfers_max: u32,
}

/// The configuration of a host, compared with that of the host that follows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigUpdate {
    /// Nothing to send: the versions are equal, the requesting host fetches the later one, or has to wait for it.
    Same,
    /// The whole configuration.
    Whole(Box<GatewayConfig>),
    /// The bytes of a short image of the change.
    Image(Bytes),
    /// The change is to be fetched from a host.
    Offered(ConfigOffer),
}

impl ConfigUpdate {
    /// Returns the configuration if it is sent as a whole.
    pub fn whole(&self) -> Option<&GatewayConfig> {
        match self {
            Self::Whole(config) => Some(config),
            _ => None,
        }
    }
}

/// Where to fetch a version of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigOffer {
    /// The version.
    pub version: ConfigVersion,
    /// Digest of the image of the change since the version that the requesting host has.
    pub image: DocumentDigest,
    /// Name of the host that has it.
    pub host: HostId,
    /// Address of that host for other hosts.
    pub address: SocketAddr,
}

/// The directory of a host, compared with that of the host that follows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DirectoryUpdate {
    /// The contents are equal.
    Same,
    /// The contents differ, and no part was read later than on the requesting host.
    Older,
    /// The contents differ, and a part was read later.
    Replaced(TargetDirectory),
    /// As [`Self::Replaced`], as changes of the directory of the requesting host.
    Changed(DirectoryDelta),
}

/// The answer to a [`FollowRequest`]: what has changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FollowAnswer {
    /// The host that sends the answer.
    pub member: MemberRecord,
    /// Time for which the answer was delayed, in milliseconds.
    pub held_millis: u32,
    /// Age of the host's copy of the operators' records, in milliseconds.
    pub age_millis: Option<u32>,
    /// Age of the host's copy of the targets' entries, in milliseconds.
    pub target_age_millis: Option<u32>,
    /// Time in which hosts known to this one had contacts with the store without a gap.
    pub served: Option<ServedSpan>,
    /// The latest era of the store that the host knows of.
    pub era: EraSighting,
    /// Whether the store itself, and not another host, confirmed the copy of this host a short time ago.
    pub is_served: bool,
    /// Whether the operators' records are arriving from the store at this moment.
    pub is_reading: bool,
    /// Version of the configuration that the host has; `None` from one that sends each later version in its answer.
    pub config_version: Option<ConfigVersion>,
    /// The configuration, compared with that of the requesting host.
    pub config: ConfigUpdate,
    /// The directory, compared with that of the requesting host.
    pub directory: DirectoryUpdate,
    /// Positions up to which the parts of the directory were read.
    pub positions: PartPositions,
    /// Usage of the teams at this host since its start.
    pub usage: Vec<TeamUsage>,
    /// Number of hosts that poll this host for changes.
    pub follower_count: u32,
    /// Number of hosts among which this host divides the rates of the teams; 0 if it has just started.
    pub fleet_size: u32,
    /// Tokens that this host has deducted for the requesting host.
    pub given_tokens: Vec<TeamTokens>,
    /// Bucket levels of the teams, for hosts that would take over.
    pub levels: Option<BucketLevels>,
}

/// Heartbeat counters that two hosts exchange, and the records that one of them lacks. The answer has the same form.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipBeats {
    /// The host that sends the message.
    pub member: MemberRecord,
    /// Counters of the hosts that it knows.
    pub beats: Vec<MemberBeat>,
    /// Records that the other host asked for.
    pub records: Vec<MemberRecord>,
    /// Processes whose records the sender lacks.
    pub wanted: Vec<MemberKey>,
}

/// A message between gateway hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GatewayMessage {
    /// Records of hosts; the answer contains the receiver's records.
    Gossip(Vec<MemberRecord>),
    /// Long poll for changes.
    Follow(FollowRequest),
    /// Answer to a long poll.
    #[serde(rename = "News")]
    FollowAnswer(Box<FollowAnswer>),
    /// Request for a permit.
    Admit(AdmitRequest),
    /// Answer to a request for a permit.
    Admitted(PermitReply),
    /// Return of a permit.
    Release(ReleaseNotice),
    /// A call that a host relays to the dispatcher that it follows.
    Relayed(RelayedCall),
    /// Counters of hosts; the answer contains the receiver's counters.
    GossipBeats(GossipBeats),
}

/// A relayed call. The receiver never relays it again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RelayedCall {
    /// Request for a permit.
    Admit(AdmitRequest),
    /// Return of a permit.
    Release(ReleaseNotice),
}
