//! Rates and bursts of teams, kept by conserved tokens.
//!
//! - [`ledger`]: the tokens that this host holds for each team.
//!
//! Each host mints an equal part of every team's rate. A token lives for `burst / rate` from its
//! minting, so that all tokens spent in a window were minted at most that long before it, and their
//! sum is at most `rate x window + burst`, whichever hosts spend them.

pub mod ledger;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::ledger::{
        TokenLedger,
        TokenShortage, //
    };
}
