//! Messages of format version 4, where they differ from the current version: it has whole configurations only.

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_membership::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::gateway::{
    ConfigUpdate,
    DirectoryUpdate,
    FollowAnswer,
    FollowRequest,
    GatewayMessage,
    GossipBeats,
    RelayedCall, //
};

/// A long poll in format version 4.
#[derive(Deserialize, Serialize)]
pub(crate) struct FollowRequestV4 {
    member: MemberRecord,
    config: Option<ConfigVersion>,
    content: ContentDigest,
    positions: PartPositions,
    wait_millis: u32,
    is_read_wanted: bool,
    is_dispatcher: bool,
    lease_millis: Option<u32>,
    short_teams: Vec<TeamTokens>,
    served: Option<ServedSpan>,
    era: EraSighting,
}

impl From<&FollowRequest> for FollowRequestV4 {
    fn from(request: &FollowRequest) -> Self {
        Self {
            member: request.member.clone(),
            config: request.config,
            content: request.content,
            positions: request.positions,
            wait_millis: request.wait_millis,
            is_read_wanted: request.is_read_wanted,
            is_dispatcher: request.is_dispatcher,
            lease_millis: request.lease_millis,
            short_teams: request.short_teams.clone(),
            served: request.served,
            era: request.era,
        }
    }
}

impl From<FollowRequestV4> for FollowRequest {
    fn from(request: FollowRequestV4) -> Self {
        Self {
            member: request.member,
            config: request.config,
            content: request.content,
            positions: request.positions,
            wait_millis: request.wait_millis,
            is_read_wanted: request.is_read_wanted,
            is_dispatcher: request.is_dispatcher,
            lease_millis: request.lease_millis,
            short_teams: request.short_teams,
            served: request.served,
            era: request.era,
            transfer: None,
        }
    }
}

/// The answer to a long poll in format version 4.
#[derive(Deserialize, Serialize)]
pub(crate) struct FollowAnswerV4 {
    member: MemberRecord,
    held_millis: u32,
    age_millis: Option<u32>,
    target_age_millis: Option<u32>,
    served: Option<ServedSpan>,
    era: EraSighting,
    is_served: bool,
    config: Option<GatewayConfig>,
    directory: DirectoryUpdate,
    positions: PartPositions,
    usage: Vec<TeamUsage>,
    follower_count: u32,
    fleet_size: u32,
    given_tokens: Vec<TeamTokens>,
    levels: Option<BucketLevels>,
}

impl From<&FollowAnswer> for FollowAnswerV4 {
    fn from(answer: &FollowAnswer) -> Self {
        Self {
            member: answer.member.clone(),
            held_millis: answer.held_millis,
            age_millis: answer.age_millis,
            target_age_millis: answer.target_age_millis,
            served: answer.served,
            era: answer.era,
            is_served: answer.is_served,
            config: answer.config.whole().cloned(),
            directory: answer.directory.clone(),
            positions: answer.positions,
            usage: answer.usage.clone(),
            follower_count: answer.follower_count,
            fleet_size: answer.fleet_size,
            given_tokens: answer.given_tokens.clone(),
            levels: answer.levels.clone(),
        }
    }
}

impl From<FollowAnswerV4> for FollowAnswer {
    fn from(answer: FollowAnswerV4) -> Self {
        Self {
            member: answer.member,
            held_millis: answer.held_millis,
            age_millis: answer.age_millis,
            target_age_millis: answer.target_age_millis,
            served: answer.served,
            era: answer.era,
            is_served: answer.is_served,
            is_reading: false,
            config_version: None,
            config: answer.config.into(),
            directory: answer.directory,
            positions: answer.positions,
            usage: answer.usage,
            follower_count: answer.follower_count,
            fleet_size: answer.fleet_size,
            given_tokens: answer.given_tokens,
            levels: answer.levels,
        }
    }
}

impl From<Option<GatewayConfig>> for ConfigUpdate {
    fn from(config: Option<GatewayConfig>) -> Self {
        config.map_or(Self::Same, |config| Self::Whole(Box::new(config)))
    }
}

/// A message between gateway hosts in format version 4.
#[derive(Deserialize, Serialize)]
pub(crate) enum GatewayMessageV4 {
    Gossip(Vec<MemberRecord>),
    Follow(FollowRequestV4),
    FollowAnswer(Box<FollowAnswerV4>),
    Admit(AdmitRequest),
    Admitted(PermitReply),
    Release(ReleaseNotice),
    Relayed(RelayedCall),
    GossipBeats(GossipBeats),
}

impl From<&GatewayMessage> for GatewayMessageV4 {
    fn from(message: &GatewayMessage) -> Self {
        match message {
            GatewayMessage::Gossip(records) => Self::Gossip(records.clone()),
            GatewayMessage::Follow(request) => Self::Follow(request.into()),
            GatewayMessage::FollowAnswer(answer) => {
                Self::FollowAnswer(Box::new(answer.as_ref().into()))
            }
            GatewayMessage::Admit(request) => Self::Admit(request.clone()),
            GatewayMessage::Admitted(reply) => Self::Admitted(reply.clone()),
            GatewayMessage::Release(notice) => Self::Release(notice.clone()),
            GatewayMessage::Relayed(call) => Self::Relayed(call.clone()),
            GatewayMessage::GossipBeats(beats) => Self::GossipBeats(beats.clone()),
        }
    }
}

impl From<GatewayMessageV4> for GatewayMessage {
    fn from(message: GatewayMessageV4) -> Self {
        match message {
            GatewayMessageV4::Gossip(records) => Self::Gossip(records),
            GatewayMessageV4::Follow(request) => Self::Follow(request.into()),
            GatewayMessageV4::FollowAnswer(answer) => {
                Self::FollowAnswer(Box::new((*answer).into()))
            }
            GatewayMessageV4::Admit(request) => Self::Admit(request),
            GatewayMessageV4::Admitted(reply) => Self::Admitted(reply),
            GatewayMessageV4::Release(notice) => Self::Release(notice),
            GatewayMessageV4::Relayed(call) => Self::Relayed(call),
            GatewayMessageV4::GossipBeats(beats) => Self::GossipBeats(beats),
        }
    }
}
