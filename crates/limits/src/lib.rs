//! Rates and bursts of teams, kept by conserved tokens.
//!
//! - [`terms`]: rate, burst and the hosts that share them.
//! - [`lots`]: tokens with the times at which they expire.
//! - [`demand`]: recent demand, which sets how far ahead a host draws.
//! - [`gate`]: whether this host may mint.
//! - [`draws`]: messages by which tokens move.
//! - [`ledger`]: the tokens that this host holds for each team.
//! - [`shortage`]: why a request gets no token.
//!
//! Each host mints an equal part of every team's rate. A token lives for `burst / rate` from its
//! minting, so that all tokens spent in a window were minted at most that long before it, and their
//! sum is at most `rate x window + burst`, whichever hosts spend them.

mod account;
pub mod demand;
pub mod draws;
pub mod gate;
pub mod ledger;
pub mod lots;
pub mod shortage;
pub mod terms;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        draws::{
            DrawId,
            DrawPurpose,
            GrantedLot,
            TokenDraw,
            TokenGrant, //
        },
        gate::MintingGate,
        ledger::TokenLedger,
        shortage::TokenShortage,
        terms::LimitTerms,
    };
}
