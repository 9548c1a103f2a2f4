//! Messages of format version 2, where they differ from the current version.

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_membership::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    format_v3::{
        AdmitRequestV3,
        NO_ERA,
        TargetDirectoryV3, //
    },
    gateway::{
        DirectoryUpdate,
        FollowAnswer,
        FollowRequest,
        GatewayMessage,
        RelayedCall, //
    },
};

/// A long poll in format version 2, without the revisions of the directory.
#[derive(Deserialize, Serialize)]
pub(crate) struct FollowRequestV2 {
    member: MemberRecord,
    config: Option<ConfigVersion>,
    content: ContentDigest,
    wait_millis: u32,
    is_dispatcher: bool,
}

impl From<&FollowRequest> for FollowRequestV2 {
    fn from(request: &FollowRequest) -> Self {
        Self {
            member: request.member.clone(),
            config: request.config,
            content: request.content,
            wait_millis: request.wait_millis,
            is_dispatcher: request.is_dispatcher,
        }
    }
}

impl From<FollowRequestV2> for FollowRequest {
    fn from(request: FollowRequestV2) -> Self {
        Self {
            member: request.member,
            config: request.config,
            content: request.content,
            // Any directory with another content counts as later.
            positions: PartPositions::default(),
            wait_millis: request.wait_millis,
            is_read_wanted: false,
            is_dispatcher: request.is_dispatcher,
            lease_millis: (!request.is_dispatcher).then(|| whole_millis(LEASE_TERM)),
            short_teams: Vec::new(),
            served: None,
            era: NO_ERA,
            transfer: None,
        }
    }
}

/// The answer to a long poll in format version 2, with one age for both parts.
#[derive(Deserialize, Serialize)]
pub(crate) struct FollowAnswerV2 {
    member: MemberRecord,
    held_millis: u32,
    age_millis: Option<u32>,
    config: Option<GatewayConfig>,
    directory: Option<TargetDirectoryV3>,
    as_of: StoreRevision,
    usage: Vec<TeamUsage>,
    follower_count: u32,
}

impl From<&FollowAnswer> for FollowAnswerV2 {
    fn from(answer: &FollowAnswer) -> Self {
        Self {
            member: answer.member.clone(),
            held_millis: answer.held_millis,
            age_millis: answer.age_millis,
            config: answer.config.whole().cloned(),
            directory: match &answer.directory {
                DirectoryUpdate::Replaced(directory) => Some(directory.into()),
                // Changes are returned only for revisions that a request of this version does not state.
                DirectoryUpdate::Same | DirectoryUpdate::Older | DirectoryUpdate::Changed(_) => {
                    None
                }
            },
            as_of: answer.positions.both().revision,
            usage: answer.usage.clone(),
            follower_count: answer.follower_count,
        }
    }
}

impl From<FollowAnswerV2> for FollowAnswer {
    fn from(answer: FollowAnswerV2) -> Self {
        Self {
            member: answer.member,
            held_millis: answer.held_millis,
            age_millis: answer.age_millis,
            target_age_millis: answer.age_millis,
            served: None,
            era: NO_ERA,
            is_served: false,
            is_reading: false,
            config_version: None,
            config: answer.config.into(),
            directory: answer.directory.map_or(DirectoryUpdate::Same, |directory| {
                DirectoryUpdate::Replaced(directory.into())
            }),
            positions: PartPositions::new(StorePosition::without_era(answer.as_of)),
            usage: answer.usage,
            follower_count: answer.follower_count,
            fleet_size: 0,
            given_tokens: Vec::new(),
            levels: None,
        }
    }
}

/// Permit in format version 2, without what the dispatcher knows about the rate limit of the target.
#[derive(Deserialize, Serialize)]
pub(crate) struct DispatchGrantV2 {
    permit: PermitNumber,
    target: TargetId,
    mean_latency_millis: u32,
    trust: TargetTrust,
}

/// Answer of a dispatcher in format version 2.
#[derive(Deserialize, Serialize)]
pub(crate) enum AdmitAnswerV2 {
    Granted(DispatchGrantV2),
    OverRate {
        retry_millis: u32,
    },
    Busy {
        retry_millis: u32,
        has_less_trusted: bool,
    },
    NoTarget,
    NoBudget,
}

impl From<&AdmitAnswer> for AdmitAnswerV2 {
    fn from(answer: &AdmitAnswer) -> Self {
        match answer {
            AdmitAnswer::Granted(grant) => Self::Granted(DispatchGrantV2 {
                permit: grant.permit,
                target: grant.target.clone(),
                mean_latency_millis: grant.mean_latency_millis,
                trust: grant.trust,
            }),
            &AdmitAnswer::OverRate { retry_millis } => Self::OverRate { retry_millis },
            &AdmitAnswer::Busy {
                retry_millis,
                has_less_trusted,
                ..
            } => Self::Busy {
                retry_millis,
                has_less_trusted,
            },
            AdmitAnswer::NoTarget => Self::NoTarget,
            AdmitAnswer::NoBudget => Self::NoBudget,
        }
    }
}

impl From<AdmitAnswerV2> for AdmitAnswer {
    fn from(answer: AdmitAnswerV2) -> Self {
        match answer {
            AdmitAnswerV2::Granted(grant) => Self::Granted(DispatchGrant {
                choice: TargetChoice::default(),
                permit: grant.permit,
                target: grant.target,
                mean_latency_millis: grant.mean_latency_millis,
                trust: grant.trust,
                limit: LimitState::Unknown,
            }),
            AdmitAnswerV2::OverRate { retry_millis } => Self::OverRate { retry_millis },
            AdmitAnswerV2::Busy {
                retry_millis,
                has_less_trusted,
            } => Self::Busy {
                retry_millis,
                // Earlier versions keep no places; their callers return after the expected wait.
                return_millis: Some(retry_millis),
                has_less_trusted,
            },
            AdmitAnswerV2::NoTarget => Self::NoTarget,
            AdmitAnswerV2::NoBudget => Self::NoBudget,
        }
    }
}

/// Release of a permit in format version 2, without what the target said about itself.
#[derive(Deserialize, Serialize)]
pub(crate) struct ReleaseNoticeV2 {
    service: ServiceId,
    zone: Option<ZoneId>,
    target: TargetId,
    permit: PermitNumber,
    result: AttemptResult,
    elapsed_millis: u32,
}

impl From<&ReleaseNotice> for ReleaseNoticeV2 {
    fn from(notice: &ReleaseNotice) -> Self {
        Self {
            service: notice.service.clone(),
            zone: notice.zone.clone(),
            target: notice.target.clone(),
            permit: notice.permit,
            result: notice.result,
            elapsed_millis: notice.elapsed_millis,
        }
    }
}

impl From<ReleaseNoticeV2> for ReleaseNotice {
    fn from(notice: ReleaseNoticeV2) -> Self {
        Self {
            service: notice.service,
            zone: notice.zone,
            target: notice.target,
            permit: notice.permit,
            result: notice.result,
            elapsed_millis: notice.elapsed_millis,
            signals: None,
            host: None,
        }
    }
}

/// A relayed call in format version 2.
#[derive(Deserialize, Serialize)]
pub(crate) enum RelayedCallV2 {
    Admit(AdmitRequestV3),
    Release(ReleaseNoticeV2),
}

impl From<&RelayedCall> for RelayedCallV2 {
    fn from(call: &RelayedCall) -> Self {
        match call {
            RelayedCall::Admit(request) => Self::Admit(request.into()),
            RelayedCall::Release(notice) => Self::Release(notice.into()),
        }
    }
}

impl From<RelayedCallV2> for RelayedCall {
    fn from(call: RelayedCallV2) -> Self {
        match call {
            RelayedCallV2::Admit(request) => Self::Admit(request.into()),
            RelayedCallV2::Release(notice) => Self::Release(notice.into()),
        }
    }
}

/// A message between gateway hosts in format version 2.
#[derive(Deserialize, Serialize)]
pub(crate) enum GatewayMessageV2 {
    Gossip(Vec<MemberRecord>),
    Follow(FollowRequestV2),
    FollowAnswer(Box<FollowAnswerV2>),
    Admit(AdmitRequestV3),
    Admitted(AdmitAnswerV2),
    Release(ReleaseNoticeV2),
    Relayed(RelayedCallV2),
}

impl From<&GatewayMessage> for GatewayMessageV2 {
    fn from(message: &GatewayMessage) -> Self {
        match message {
            GatewayMessage::Gossip(records) => Self::Gossip(records.clone()),
            GatewayMessage::Follow(request) => Self::Follow(request.into()),
            GatewayMessage::FollowAnswer(answer) => {
                Self::FollowAnswer(Box::new(answer.as_ref().into()))
            }
            GatewayMessage::Admit(request) => Self::Admit(request.into()),
            GatewayMessage::Admitted(reply) => Self::Admitted((&reply.answer).into()),
            GatewayMessage::Release(notice) => Self::Release(notice.into()),
            GatewayMessage::Relayed(call) => Self::Relayed(call.into()),
            // A host of this version exchanges records only.
            GatewayMessage::GossipBeats(beats) => Self::Gossip(vec![beats.member.clone()]),
        }
    }
}

impl From<GatewayMessageV2> for GatewayMessage {
    fn from(message: GatewayMessageV2) -> Self {
        match message {
            GatewayMessageV2::Gossip(records) => Self::Gossip(records),
            GatewayMessageV2::Follow(request) => Self::Follow(request.into()),
            GatewayMessageV2::FollowAnswer(answer) => {
                Self::FollowAnswer(Box::new((*answer).into()))
            }
            GatewayMessageV2::Admit(request) => Self::Admit(request.into()),
            GatewayMessageV2::Admitted(answer) => Self::Admitted(AdmitAnswer::from(answer).into()),
            GatewayMessageV2::Release(notice) => Self::Release(notice.into()),
            GatewayMessageV2::Relayed(call) => Self::Relayed(call.into()),
        }
    }
}
