//! Messages that transfer tokens between hosts.
//!
//! Transfers are one-way: the source deducts the tokens, then sends them. A lost grant loses its
//! tokens.

use std::{
    fmt,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

use crate::terms::LimitTerms;

/// Identifier of a transfer request, unique in the fleet and across restarts.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct TransferId {
    /// Requesting host.
    pub host: HostId,
    /// Incarnation of that host.
    pub incarnation: HostIncarnation,
    /// Sequence number of the request on that host.
    pub sequence: u64,
}

impl fmt::Display for TransferId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.host, self.incarnation, self.sequence)
    }
}

/// Purpose of a transfer request, which decides which other hosts its receiver may query.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum TransferPurpose {
    /// A host that is short requests tokens from a broker, which may query the whole fleet.
    Refill,
    /// A broker requests surplus from the broker of another zone, which may query its own zone.
    ZoneSurplus,
    /// A broker requests surplus from a host, which grants tokens from its own account only.
    HostSurplus,
}

/// A request for tokens, sent to one host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct TransferRequest {
    /// Identifier of the request.
    pub id: TransferId,
    /// Team whose tokens are requested.
    pub team: TeamId,
    /// Tokens that the requesting host can use.
    pub wanted: TokenAmount,
    /// Minimum useful grant: a smaller one would not complete one token.
    #[serde(rename = "least")]
    pub minimum: TokenAmount,
    /// Time of sending, by the requesting host's clock.
    pub sent_at: MonoTime,
    /// Purpose of the request, which decides which other hosts the receiver may query.
    pub purpose: TransferPurpose,
}

/// Tokens of a grant with the lifetime that was left when the source deducted them.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct GrantedBatch {
    /// Number of tokens.
    pub amount: TokenAmount,
    /// Remaining lifetime of the part that expires first.
    pub first_left: Duration,
    /// Remaining lifetime of the part that expires last.
    pub last_left: Duration,
}

/// The answer to a transfer request; it may contain no tokens.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct TokenGrant {
    /// Identifier of the answered request.
    #[serde(rename = "draw")]
    pub request_id: TransferId,
    /// Team whose tokens are granted.
    pub team: TeamId,
    /// Limits under which the source held the tokens.
    pub terms: LimitTerms,
    /// Granted tokens, ordered by expiry.
    #[serde(rename = "lots")]
    pub batches: Vec<GrantedBatch>,
}

/// A message that is sent from host to host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum TokenMessage {
    /// A request for tokens.
    #[serde(rename = "Draw")]
    Request(TransferRequest),
    /// The answer to a request.
    Grant(TokenGrant),
}

/// A message with its destination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutboundMessage {
    /// Destination host.
    pub to: HostId,
    /// Content of the message.
    pub message: TokenMessage,
}

impl OutboundMessage {
    /// Addresses a transfer request to a host.
    pub fn with_request(to: HostId, request: TransferRequest) -> Self {
        let message = TokenMessage::Request(request);
        Self { to, message }
    }

    /// Addresses a grant to the requesting host.
    pub fn with_grant(grant: TokenGrant) -> Self {
        Self {
            to: grant.request_id.host.clone(),
            message: TokenMessage::Grant(grant),
        }
    }
}
