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

/// Identity of a transfer request, by which the requesting host recognises a duplicate grant.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TransferId {
    /// The requesting host.
    pub host: HostId,
    /// Incarnation of that host.
    pub incarnation: HostIncarnation,
    /// Number of the request within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for TransferId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.host, self.incarnation, self.sequence)
    }
}

/// A request to another host for tokens of a team's rate limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TransferRequest {
    /// Team whose tokens are requested.
    pub team: TeamId,
    /// Number of tokens that the host needs.
    pub wanted: TokenAmount,
    /// Smallest number of tokens for which the broker answers before it collects tokens from other hosts.
    #[serde(rename = "least")]
    pub minimum: TokenAmount,
    /// Identity of the request.
    pub id: TransferId,
    /// Purpose of the request, which determines the hosts that the receiver may collect tokens from.
    #[serde(rename = "reach")]
    pub purpose: TransferPurpose,
}

/// The purpose of a transfer request, which determines the hosts that the receiver may collect tokens from.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TransferPurpose {
    /// A host that is short of tokens asks its broker, which may ask the whole fleet.
    #[serde(rename = "Fleet")]
    Refill,
    /// A broker asks the broker of another zone, which may ask the hosts of its own zone.
    #[serde(rename = "Zone")]
    ZoneSurplus,
    /// A broker asks a host, which grants tokens from its own account only.
    #[serde(rename = "Host")]
    HostSurplus,
}

/// Tokens that were minted one after the other and expire in the same order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenBatch {
    /// Number of tokens.
    pub amount: TokenAmount,
    /// Time until the first tokens of the batch expire, in microseconds, as of when the sender deducted them.
    pub first_left_micros: u64,
    /// Time until the last tokens of the batch expire, in microseconds, as of the same time.
    pub last_left_micros: u64,
}

/// The answer to a transfer request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenGrant {
    /// Identity of the answered request.
    #[serde(rename = "id")]
    pub request_id: TransferId,
    /// Team whose tokens are granted.
    pub team: TeamId,
    /// Rate limit of the team under which the sender held the tokens.
    pub rate: RequestRate,
    /// Burst of the team under which the sender held the tokens.
    pub burst: BurstSize,
    /// Number of hosts that shared the rate at the sender.
    pub minters: u32,
    /// The granted tokens; empty if the sender has none to grant.
    #[serde(rename = "lots")]
    pub batches: Vec<TokenBatch>,
}

/// A request to another host to probe a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeRequest {
    /// The target.
    pub target: TargetId,
}

/// The outcome of a probe.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProbeOutcome {
    /// The target answered correctly.
    Good,
    /// The target refused the connection.
    Refused,
    /// No answer arrived in time.
    TimedOut,
    /// The connection was closed before the end of the answer.
    Cut,
    /// The answer was wrong.
    Wrong,
}

/// The answer to a request for a probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeAnswer {
    /// The target.
    pub target: TargetId,
    /// Outcome of the probe.
    pub outcome: ProbeOutcome,
}

/// Identity of an ejection permit, chosen by the host that ejects the target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PermitId {
    /// Host that ejects the target.
    pub holder: HostId,
    /// Incarnation of that host.
    pub incarnation: HostIncarnation,
    /// Number of the permit within the incarnation.
    pub number: u64,
}

/// The purpose of a request about an ejection permit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EjectionPurpose {
    /// Acquire the permit, to eject a target.
    Eject,
    /// Renew the permit, to keep the target ejected.
    Renew,
    /// Return the permit.
    Release,
}

/// A request to the arbiter about an ejection permit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EjectionRequest {
    /// Service whose floor, the minimum of targets in use, limits ejections.
    pub service: ServiceId,
    /// Target to eject.
    pub target: TargetId,
    /// Identity of the permit.
    pub permit: PermitId,
    /// Number of the request for this permit.
    pub attempt: u32,
    /// Purpose of the request.
    pub purpose: EjectionPurpose,
}

/// An ejection permit, granted as a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EjectionGrant {
    /// Identity of the permit.
    pub permit: PermitId,
    /// Number of the request that this answers.
    pub attempt: u32,
    /// Duration of the lease, measured from when the request was sent, in milliseconds.
    pub term_millis: u32,
}

/// Notice from a leaving owner that it no longer serves these targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerHandover {
    /// The leaving owner.
    pub host: HostId,
    /// Incarnation of that host.
    pub incarnation: HostIncarnation,
    /// The next owner, the only host that may act on the notice.
    #[serde(rename = "heir")]
    pub successor: HostId,
    /// The last heartbeat that the sender received from the successor, which bounds the age of the notice.
    pub echo: SequenceEcho,
    /// Whether this renews an earlier notice, after which the sender had already stopped serving the targets.
    pub is_renewal: bool,
    /// The targets to take over.
    pub targets: Vec<TargetId>,
}

/// The reason for refusing a message or a forwarded request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The format version is not supported; contains the highest supported version.
    UnknownVersion(u8),
    /// The kind of the message is unknown.
    UnknownKind,
    /// The bytes are not a valid message, or they did not arrive in time.
    Malformed,
    /// The message exceeds the size limit.
    TooLarge,
    /// The HTTP request is neither a message nor a forwarded request of a peer.
    NotFromPeer,
    /// The host does not own the target.
    NotOwner,
    /// The host is not ready to serve.
    NotReady,
    /// The arbiter has no permit left, or does not grant permits yet.
    NoPermit,
    /// The message is not a request, for example an answer.
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

/// A control message between hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerMessage {
    /// Periodic report of a host.
    Heartbeat(Heartbeat),
    /// Short answer to a heartbeat.
    HeartbeatAck(HeartbeatAck),
    /// Request for tokens of a team's rate limit.
    TransferRequest(TransferRequest),
    /// Answer to a transfer request.
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
    /// Grant of an ejection permit.
    EjectionGrant(EjectionGrant),
    /// Handover of targets before a planned stop.
    OwnerHandover(OwnerHandover),
    /// Acceptance of a notice.
    Accepted,
    /// Refusal of any message.
    Refused(RefusalReason),
    /// Message between gateway hosts.
    Gateway(GatewayMessage),
}
