//! The control messages between hosts.

use std::fmt;

use chicorycroft_core::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    gateway::GatewayMessage,
    heartbeat::{
        Heartbeat,
        HeartbeatAck,
        SequenceEcho, //
    },
    parts::{
        PartsAnswer,
        PartsRequest, //
    },
};

/// Identity of a draw, so that a duplicate grant is recognised.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct DrawId {
    /// The host that draws.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: HostIncarnation,
    /// Number of the draw within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for DrawId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.host, self.incarnation, self.sequence)
    }
}

/// A request for tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenDraw {
    /// The team.
    pub team: TeamId,
    /// How many tokens are wanted.
    pub wanted: TokenAmount,
    /// Fewest tokens that are worth an answer before a collection.
    pub least: TokenAmount,
    /// Identity of the draw.
    pub id: DrawId,
    /// How far the draw reaches.
    pub reach: DrawReach,
}

/// How far a draw reaches.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DrawReach {
    /// The broker may ask the whole fleet.
    Fleet,
    /// The broker may ask its own zone.
    Zone,
    /// The host gives from its own account.
    Host,
}

/// Tokens that were minted one after the other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenLot {
    /// Number of tokens.
    pub amount: TokenAmount,
    /// Life left to the first part of the lot, in microseconds, when the sender deducted it.
    pub first_left_micros: u64,
    /// Life left to the last part of the lot, in microseconds.
    pub last_left_micros: u64,
}

/// The answer to a draw.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenGrant {
    /// The draw that is answered.
    pub id: DrawId,
    /// The team.
    pub team: TeamId,
    /// Rate of the team under which the sender held the tokens.
    pub rate: RequestRate,
    /// Burst of the team under which the sender held the tokens.
    pub burst: BurstSize,
    /// Number of hosts that shared the rate at the sender.
    pub minters: u32,
    /// The tokens that change hands; empty when there are none.
    pub lots: Vec<TokenLot>,
}

/// A request to probe a target from another host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeRequest {
    /// The target.
    pub target: TargetId,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProbeOutcome {
    /// The target answered well.
    Good,
    /// The target refused the connection.
    Refused,
    /// No answer came in time.
    TimedOut,
    /// The connection was cut.
    Cut,
    /// The answer was wrong.
    Wrong,
}

/// The answer to a request for a probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeAnswer {
    /// The target.
    pub target: TargetId,
    /// How the probe ended.
    pub outcome: ProbeOutcome,
}

/// Identity of an ejection permit, chosen by the host that ejects.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PermitId {
    /// Host that ejects.
    pub holder: HostId,
    /// Its incarnation.
    pub incarnation: HostIncarnation,
    /// Number within the incarnation.
    pub number: u64,
}

/// What the holder of a permit wants.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EjectionPurpose {
    /// To eject a target.
    Eject,
    /// To keep a target out.
    Renew,
    /// To give the permit back.
    Release,
}

/// A request to the arbiter about an ejection permit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EjectionRequest {
    /// The service whose floor applies.
    pub service: ServiceId,
    /// The target.
    pub target: TargetId,
    /// The permit.
    pub permit: PermitId,
    /// Number of the request for this permit.
    pub attempt: u32,
    /// What is wanted.
    pub purpose: EjectionPurpose,
}

/// An ejection permit as a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EjectionGrant {
    /// The permit.
    pub permit: PermitId,
    /// Number of the request that this answers.
    pub attempt: u32,
    /// Term of the lease from the sending of the request, in milliseconds.
    pub term_millis: u32,
}

/// Notice of a leaving owner that it serves these targets no more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerHandover {
    /// The previous owner.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: HostIncarnation,
    /// The only host that may use the notice.
    pub heir: HostId,
    /// The last heartbeat of the heir that the sender heard, which bounds the notice's age.
    pub echo: SequenceEcho,
    /// Whether the sender stopped serving earlier and only goes on leaving the targets to the heir.
    pub is_renewal: bool,
    /// The targets.
    pub targets: Vec<TargetId>,
}

/// Why a message or a forwarded request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The format version is not known; the highest known one follows.
    UnknownVersion(u8),
    /// The kind of message is not known.
    UnknownKind,
    /// The bytes make no message.
    Malformed,
    /// The message is longer than allowed.
    TooLarge,
    /// The request is neither a message nor a forwarded request of a peer.
    NotFromPeer,
    /// The host does not own the target.
    NotOwner,
    /// The host is not ready.
    NotReady,
    /// The arbiter has no permit left or grants none yet.
    NoPermit,
    /// The message makes no sense as a request.
    NotARequest,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::UnknownVersion(highest) => {
                return write!(f, "unknown-version highest-known={highest}");
            }
            Self::UnknownKind => "unknown-kind",
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::NotFromPeer => "not-from-peer",
            Self::NotOwner => "not-owner",
            Self::NotReady => "not-ready",
            Self::NoPermit => "no-permit",
            Self::NotARequest => "not-a-request",
        };
        f.write_str(text)
    }
}

/// A control message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerMessage {
    /// Periodic report.
    Heartbeat(Heartbeat),
    /// Answer to a heartbeat.
    HeartbeatAck(HeartbeatAck),
    /// Request for tokens.
    TokenDraw(TokenDraw),
    /// Answer to a draw.
    TokenGrant(TokenGrant),
    /// Request for configuration documents.
    PartsRequest(PartsRequest),
    /// Chunks of configuration documents.
    PartsAnswer(PartsAnswer),
    /// Request for a probe.
    ProbeRequest(ProbeRequest),
    /// Answer to a request for a probe.
    ProbeAnswer(ProbeAnswer),
    /// Request for an ejection permit.
    EjectionRequest(EjectionRequest),
    /// Ejection permit.
    EjectionGrant(EjectionGrant),
    /// Handover of a planned stop.
    OwnerHandover(OwnerHandover),
    /// Answer to a notice: it was taken.
    Accepted,
    /// Refusal of any message.
    Refused(RefusalReason),
    /// Message between gateway hosts.
    Gateway(GatewayMessage),
}
