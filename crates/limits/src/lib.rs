//! Rates and bursts of teams, kept by conserved tokens.
//!
//! - [`terms`]: rate, burst and the hosts that share them.
//! - [`lots`]: tokens with the times at which they expire.
//! - [`demand`]: recent demand, which sets how far ahead a host draws.
//! - [`gate`]: whether this host may mint.
//! - [`draws`]: messages by which tokens move.
//! - [`roster`]: live hosts by zone, and the brokers that follow from them.
//! - [`broker`]: collects surplus and hands it to hosts that are short.
//! - [`allowance`]: bound on the draws that one host sends.
//! - [`ledger`]: the tokens that this host holds for each team.
//! - [`shortage`]: why a request gets no token.
//!
//! Each host mints an equal part of every team's rate. A token lives for `burst / rate` from its
//! minting, so that all tokens spent in a window were minted at most that long before it, and their
//! sum is at most `rate x window + burst`, whichever hosts spend them.

mod account;
pub mod allowance;
pub mod broker;
pub mod demand;
pub mod draws;
pub mod gate;
pub mod ledger;
pub mod lots;
mod pending_draws;
pub mod roster;
pub mod shortage;
pub mod terms;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        broker::{
            BrokerContext,
            TokenBroker, //
        },
        draws::{
            DrawId,
            DrawPurpose,
            GrantedLot,
            TokenDraw,
            TokenGrant,
            TokenLetter,
            TokenMessage, //
        },
        gate::MintingGate,
        ledger::TokenLedger,
        roster::ZoneRoster,
        shortage::TokenShortage,
        terms::LimitTerms,
    };
}
