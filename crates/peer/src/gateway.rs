//! The messages of gateway hosts: gossip, following and permits.

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_membership::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// A host asks what has changed, and says what it holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FollowRequest {
    /// The host that asks.
    pub member: MemberRecord,
    /// Version of its configuration.
    pub config: Option<ConfigVersion>,
    /// Digest of its directory.
    pub content: ContentDigest,
    /// Longest time to hold the answer back while nothing changes, in milliseconds.
    pub wait_millis: u32,
    /// Whether the host grants permits to others, so that its use of rates must be known.
    pub is_dispatcher: bool,
}

/// What has changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FollowAnswer {
    /// The host that answers.
    pub member: MemberRecord,
    /// Time for which the answer was held back, in milliseconds.
    pub held_millis: u32,
    /// Age of what the host knows of the store, in milliseconds.
    pub age_millis: Option<u32>,
    /// The configuration, when the asking host holds a lower version.
    pub config: Option<GatewayConfig>,
    /// The directory, when the asking host holds another one.
    pub directory: Option<TargetDirectory>,
    /// Revision up to which the store was read.
    pub as_of: StoreRevision,
    /// What teams have spent at the host since its start.
    pub usage: Vec<TeamUsage>,
    /// Number of hosts that follow the host.
    pub follower_count: u32,
}

/// A message between gateway hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GatewayMessage {
    /// Records of hosts; answered with records.
    Gossip(Vec<MemberRecord>),
    /// Asks what has changed.
    Follow(FollowRequest),
    /// Answer to it.
    News(Box<FollowAnswer>),
    /// Asks for a permit.
    Admit(AdmitRequest),
    /// Answer to it.
    Admitted(AdmitAnswer),
    /// Gives a permit back.
    Release(ReleaseNotice),
    /// A call that a host passes on to the dispatcher that it follows.
    Relayed(RelayedCall),
}

/// A call that is passed on once at most.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RelayedCall {
    /// Asks for a permit.
    Admit(AdmitRequest),
    /// Gives a permit back.
    Release(ReleaseNotice),
}
