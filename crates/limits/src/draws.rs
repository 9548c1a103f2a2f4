//! Messages by which tokens move from host to host.
//!
//! Transfers are one-way: the giver deducts, then sends. A lost grant loses tokens.

use std::{
    fmt,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

use crate::terms::LimitTerms;

/// Name of a draw, unique over the fleet and over restarts.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct DrawId {
    /// Host that draws.
    pub host: HostId,
    /// Incarnation of that host.
    pub incarnation: HostIncarnation,
    /// Number of the draw on that host.
    pub sequence: u64,
}

impl fmt::Display for DrawId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.host, self.incarnation, self.sequence)
    }
}

/// What a draw is for, which decides how far it reaches.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum DrawPurpose {
    /// A short host asks a broker, which may ask the whole fleet.
    Refill,
    /// A broker asks the broker of another zone, which may ask its own zone.
    ZoneSurplus,
    /// A broker asks a host, which gives from its own account.
    HostSurplus,
}

/// A request for tokens, sent to one host.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct TokenDraw {
    /// Name of the draw.
    pub id: DrawId,
    /// Team that the tokens are for.
    pub team: TeamId,
    /// Tokens that the drawer can use.
    pub wanted: TokenAmount,
    /// Tokens below which a grant is of no use, as they would not complete one token.
    pub least: TokenAmount,
    /// Time of sending, by the drawer's clock.
    pub sent_at: MonoTime,
    /// How far the draw reaches.
    pub purpose: DrawPurpose,
}

/// Tokens of a grant with the life that they had left when the giver deducted them.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct GrantedLot {
    /// Number of tokens.
    pub amount: TokenAmount,
    /// Life left to the first part of the lot.
    pub first_left: Duration,
    /// Life left to the last part of the lot.
    pub last_left: Duration,
}

/// The answer to a draw; it may be empty.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct TokenGrant {
    /// The draw that is answered.
    pub draw: DrawId,
    /// Team that the tokens are for.
    pub team: TeamId,
    /// Terms under which the giver held the tokens.
    pub terms: LimitTerms,
    /// The tokens.
    pub lots: Vec<GrantedLot>,
}

/// A draw or a grant.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum TokenMessage {
    /// A request for tokens.
    Draw(TokenDraw),
    /// Its answer.
    Grant(TokenGrant),
}

/// A message and the host that it goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenLetter {
    /// Receiver.
    pub to: HostId,
    /// What is sent.
    pub message: TokenMessage,
}

impl TokenLetter {
    /// Addresses a draw.
    pub fn with_draw(to: HostId, draw: TokenDraw) -> Self {
        let message = TokenMessage::Draw(draw);
        Self { to, message }
    }

    /// Addresses a grant to the host that drew.
    pub fn with_grant(grant: TokenGrant) -> Self {
        Self {
            to: grant.draw.host.clone(),
            message: TokenMessage::Grant(grant),
        }
    }
}
