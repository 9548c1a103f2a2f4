//! Rate limits of teams, enforced by conserved tokens that hosts transfer to each other.
//!
//! - [`terms`]: rate, burst and the number of hosts that share them.
//! - [`batches`]: tokens with their expiry times.
//! - [`demand`]: recent demand, which sets how many tokens a host requests in advance.
//! - [`fence`]: suspends minting on a host that was paused.
//! - [`transfers`]: messages that transfer tokens between hosts.
//! - [`roster`]: live hosts by zone, and the selection of brokers.
//! - [`broker`]: collects surplus tokens and grants them to hosts that are short.
//! - [`allowance`]: rate limit for the transfer requests that one host sends.
//! - [`ledger`]: token accounts of all teams on this host.
//! - [`shortage`]: error for a request that gets no token.
//!
//! Each host mints an equal part of every team's rate. A token is valid for `burst / rate` after
//! its minting. All tokens spent in a window were therefore minted at most that long before it, and
//! their sum is at most `rate x window + burst`, whichever hosts spend them.

mod account;
pub mod allowance;
pub mod batches;
pub mod broker;
pub mod demand;
pub mod fence;
pub mod ledger;
mod pending_transfers;
pub mod roster;
pub mod shortage;
pub mod terms;
pub mod transfers;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        broker::{
            BrokerContext,
            TokenBroker, //
        },
        fence::MintingFence,
        ledger::TokenLedger,
        roster::ZoneRoster,
        shortage::TokenShortage,
        terms::LimitTerms,
        transfers::{
            GrantedBatch,
            OutboundMessage,
            TokenGrant,
            TokenMessage,
            TransferId,
            TransferPurpose,
            TransferRequest, //
        },
    };
}
