//! Messages of format version 3, where they differ from the current version.

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_membership::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use crate::gateway::{
    DirectoryUpdate,
    FollowAnswer,
    FollowRequest,
    GatewayMessage,
    RelayedCall, //
};

/// What a host of an earlier version knows about the era of the store.
pub(crate) const NO_ERA: EraSighting = EraSighting {
    era: StoreEra::new(0),
    age_millis: None,
};

/// Revisions of the parts of the store in format version 3, which has no eras.
#[derive(Clone, Copy, Deserialize, Serialize)]
pub(crate) struct PartRevisionsV3 {
    operator: StoreRevision,
    targets: StoreRevision,
}

impl From<PartPositions> for PartRevisionsV3 {
    fn from(positions: PartPositions) -> Self {
        Self {
            operator: positions.operator.revision,
            targets: positions.targets.revision,
        }
    }
}

impl From<PartRevisionsV3> for PartPositions {
    fn from(revisions: PartRevisionsV3) -> Self {
        Self {
            operator: StorePosition::without_era(revisions.operator),
            targets: StorePosition::without_era(revisions.targets),
        }
    }
}

/// The directory in format versions 2 and 3.
#[derive(Deserialize, Serialize)]
pub(crate) struct TargetDirectoryV3 {
    as_of: StoreRevision,
    content: ContentDigest,
    targets: IndexMap<TargetId, TargetEntry>,
    evacuated: IndexSet<ZoneId>,
}

impl From<&TargetDirectory> for TargetDirectoryV3 {
    fn from(directory: &TargetDirectory) -> Self {
        Self {
            as_of: directory.as_of.revision,
            content: directory.content,
            targets: directory.targets.clone(),
            evacuated: directory.evacuated.clone(),
        }
    }
}

impl From<TargetDirectoryV3> for TargetDirectory {
    fn from(directory: TargetDirectoryV3) -> Self {
        let sent = SentDirectory {
            as_of: StorePosition::without_era(directory.as_of),
            content: directory.content,
            targets: directory.targets,
            evacuated: directory.evacuated,
        };
        sent.into()
    }
}

/// The directory of a host, compared with that of the host that follows it, in format version 3.
#[derive(Deserialize, Serialize)]
pub(crate) enum DirectoryUpdateV3 {
    Same,
    Older,
    Replaced(TargetDirectoryV3),
    Changed(DirectoryDelta),
}

impl From<&DirectoryUpdate> for DirectoryUpdateV3 {
    fn from(update: &DirectoryUpdate) -> Self {
        match update {
            DirectoryUpdate::Same => Self::Same,
            DirectoryUpdate::Older => Self::Older,
            DirectoryUpdate::Replaced(directory) => Self::Replaced(directory.into()),
            DirectoryUpdate::Changed(delta) => Self::Changed(delta.clone()),
        }
    }
}

impl From<DirectoryUpdateV3> for DirectoryUpdate {
    fn from(update: DirectoryUpdateV3) -> Self {
        match update {
            DirectoryUpdateV3::Same => Self::Same,
            DirectoryUpdateV3::Older => Self::Older,
            DirectoryUpdateV3::Replaced(directory) => Self::Replaced(directory.into()),
            DirectoryUpdateV3::Changed(delta) => Self::Changed(delta),
        }
    }
}

/// A long poll in format version 3.
#[derive(Deserialize, Serialize)]
pub(crate) struct FollowRequestV3 {
    member: MemberRecord,
    config: Option<ConfigVersion>,
    content: ContentDigest,
    revisions: PartRevisionsV3,
    wait_millis: u32,
    is_read_wanted: bool,
    is_dispatcher: bool,
}

impl From<&FollowRequest> for FollowRequestV3 {
    fn from(request: &FollowRequest) -> Self {
        Self {
            member: request.member.clone(),
            config: request.config,
            content: request.content,
            revisions: request.positions.into(),
            wait_millis: request.wait_millis,
            is_read_wanted: request.is_read_wanted,
            is_dispatcher: request.is_dispatcher,
        }
    }
}

impl From<FollowRequestV3> for FollowRequest {
    fn from(request: FollowRequestV3) -> Self {
        Self {
            member: request.member,
            config: request.config,
            content: request.content,
            positions: request.revisions.into(),
            wait_millis: request.wait_millis,
            is_read_wanted: request.is_read_wanted,
            is_dispatcher: request.is_dispatcher,
            lease_millis: (!request.is_dispatcher).then(|| whole_millis(LEASE_TERM)),
            short_teams: Vec::new(),
            served: None,
            era: NO_ERA,
            transfer: None,
        }
    }
}

/// The answer to a long poll in format version 3.
#[derive(Deserialize, Serialize)]
pub(crate) struct FollowAnswerV3 {
    member: MemberRecord,
    held_millis: u32,
    age_millis: Option<u32>,
    target_age_millis: Option<u32>,
    is_served: bool,
    config: Option<GatewayConfig>,
    directory: DirectoryUpdateV3,
    revisions: PartRevisionsV3,
    usage: Vec<TeamUsage>,
    follower_count: u32,
}

impl From<&FollowAnswer> for FollowAnswerV3 {
    fn from(answer: &FollowAnswer) -> Self {
        Self {
            member: answer.member.clone(),
            held_millis: answer.held_millis,
            age_millis: answer.age_millis,
            target_age_millis: answer.target_age_millis,
            is_served: answer.is_served,
            config: answer.config.whole().cloned(),
            directory: (&answer.directory).into(),
            revisions: answer.positions.into(),
            usage: answer.usage.clone(),
            follower_count: answer.follower_count,
        }
    }
}

impl From<FollowAnswerV3> for FollowAnswer {
    fn from(answer: FollowAnswerV3) -> Self {
        Self {
            member: answer.member,
            held_millis: answer.held_millis,
            age_millis: answer.age_millis,
            target_age_millis: answer.target_age_millis,
            served: None,
            era: NO_ERA,
            is_served: answer.is_served,
            is_reading: false,
            config_version: None,
            config: answer.config.into(),
            directory: answer.directory.into(),
            positions: answer.revisions.into(),
            usage: answer.usage,
            follower_count: answer.follower_count,
            fleet_size: 0,
            given_tokens: Vec::new(),
            levels: None,
        }
    }
}

/// Request for a permit in format versions 2 and 3.
#[derive(Deserialize, Serialize)]
pub(crate) struct AdmitRequestV3 {
    request: SmolStr,
    service: ServiceId,
    zone: Option<ZoneId>,
    charged_team: Option<TeamId>,
    team: Option<TeamId>,
    priority: u8,
    is_idempotent: bool,
    is_repeat: bool,
    wait_millis: u32,
    left_millis: u32,
    connected: Vec<TargetId>,
    least_trust: TargetTrust,
    tried: Vec<TargetId>,
}

impl From<&AdmitRequest> for AdmitRequestV3 {
    fn from(request: &AdmitRequest) -> Self {
        Self {
            request: request.request.clone(),
            service: request.service.clone(),
            zone: request.zone.clone(),
            charged_team: request.charged_team.clone(),
            team: request.team.clone(),
            priority: request.priority,
            is_idempotent: request.is_idempotent,
            is_repeat: request.is_repeat,
            wait_millis: request.wait_millis,
            left_millis: request.left_millis,
            connected: request.connected.clone(),
            least_trust: request.least_trust,
            tried: request.tried.clone(),
        }
    }
}

impl From<AdmitRequestV3> for AdmitRequest {
    fn from(request: AdmitRequestV3) -> Self {
        Self {
            request: request.request,
            service: request.service,
            zone: request.zone,
            charged_team: request.charged_team,
            team: request.team,
            priority: request.priority,
            is_idempotent: request.is_idempotent,
            is_repeat: request.is_repeat,
            wait_millis: request.wait_millis,
            left_millis: request.left_millis,
            objective_millis: None,
            connected: request.connected,
            least_trust: request.least_trust,
            tried: request.tried,
        }
    }
}

/// Answer of a dispatcher in format version 3.
#[derive(Deserialize, Serialize)]
pub(crate) enum AdmitAnswerV3 {
    Granted(DispatchGrant),
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

impl From<&AdmitAnswer> for AdmitAnswerV3 {
    fn from(answer: &AdmitAnswer) -> Self {
        match answer {
            AdmitAnswer::Granted(grant) => Self::Granted(grant.clone()),
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

impl From<AdmitAnswerV3> for AdmitAnswer {
    fn from(answer: AdmitAnswerV3) -> Self {
        match answer {
            AdmitAnswerV3::Granted(grant) => Self::Granted(grant),
            AdmitAnswerV3::OverRate { retry_millis } => Self::OverRate { retry_millis },
            AdmitAnswerV3::Busy {
                retry_millis,
                has_less_trusted,
            } => Self::Busy {
                retry_millis,
                // Earlier versions keep no places; their callers return after the expected wait.
                return_millis: Some(retry_millis),
                has_less_trusted,
            },
            AdmitAnswerV3::NoTarget => Self::NoTarget,
            AdmitAnswerV3::NoBudget => Self::NoBudget,
        }
    }
}

/// Release of a permit in format version 3, without the host that made the attempt.
#[derive(Deserialize, Serialize)]
pub(crate) struct ReleaseNoticeV3 {
    service: ServiceId,
    zone: Option<ZoneId>,
    target: TargetId,
    permit: PermitNumber,
    result: AttemptResult,
    elapsed_millis: u32,
    signals: Option<TargetSignals>,
}

impl From<&ReleaseNotice> for ReleaseNoticeV3 {
    fn from(notice: &ReleaseNotice) -> Self {
        Self {
            service: notice.service.clone(),
            zone: notice.zone.clone(),
            target: notice.target.clone(),
            permit: notice.permit,
            result: notice.result,
            elapsed_millis: notice.elapsed_millis,
            signals: notice.signals,
        }
    }
}

impl From<ReleaseNoticeV3> for ReleaseNotice {
    fn from(notice: ReleaseNoticeV3) -> Self {
        Self {
            service: notice.service,
            zone: notice.zone,
            target: notice.target,
            permit: notice.permit,
            result: notice.result,
            elapsed_millis: notice.elapsed_millis,
            signals: notice.signals,
            host: None,
        }
    }
}

/// A relayed call in format version 3.
#[derive(Deserialize, Serialize)]
pub(crate) enum RelayedCallV3 {
    Admit(AdmitRequestV3),
    Release(ReleaseNoticeV3),
}

impl From<&RelayedCall> for RelayedCallV3 {
    fn from(call: &RelayedCall) -> Self {
        match call {
            RelayedCall::Admit(request) => Self::Admit(request.into()),
            RelayedCall::Release(notice) => Self::Release(notice.into()),
        }
    }
}

impl From<RelayedCallV3> for RelayedCall {
    fn from(call: RelayedCallV3) -> Self {
        match call {
            RelayedCallV3::Admit(request) => Self::Admit(request.into()),
            RelayedCallV3::Release(notice) => Self::Release(notice.into()),
        }
    }
}

/// A message between gateway hosts in format version 3.
#[derive(Deserialize, Serialize)]
pub(crate) enum GatewayMessageV3 {
    Gossip(Vec<MemberRecord>),
    Follow(FollowRequestV3),
    FollowAnswer(Box<FollowAnswerV3>),
    Admit(AdmitRequestV3),
    Admitted(AdmitAnswerV3),
    Release(ReleaseNoticeV3),
    Relayed(RelayedCallV3),
}

impl From<&GatewayMessage> for GatewayMessageV3 {
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

impl From<GatewayMessageV3> for GatewayMessage {
    fn from(message: GatewayMessageV3) -> Self {
        match message {
            GatewayMessageV3::Gossip(records) => Self::Gossip(records),
            GatewayMessageV3::Follow(request) => Self::Follow(request.into()),
            GatewayMessageV3::FollowAnswer(answer) => {
                Self::FollowAnswer(Box::new((*answer).into()))
            }
            GatewayMessageV3::Admit(request) => Self::Admit(request.into()),
            GatewayMessageV3::Admitted(answer) => Self::Admitted(AdmitAnswer::from(answer).into()),
            GatewayMessageV3::Release(notice) => Self::Release(notice.into()),
            GatewayMessageV3::Relayed(call) => Self::Relayed(call.into()),
        }
    }
}
