//! Whether a request may be sent again.
//!
//! - [`proof`]: what is known about whether an attempt ran.
//! - [`history`]: the attempts of one request, with their proofs joined.
//! - [`deadline`]: the time that a request has left.
//! - [`budget`]: how many requests of a service may be sent again.
//! - [`decision`]: what happens to a request whose attempt failed.

pub mod budget;
pub mod deadline;
pub mod decision;
pub mod history;
pub mod proof;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        budget::{
            BudgetTerms,
            RetryBudget, //
        },
        deadline::DeadlineClock,
        decision::{
            GiveUpReason,
            RequestKind,
            RetryDecision,
            RunVerdict, //
        },
        history::{
            AttemptHistory,
            AttemptNumber, //
        },
        proof::RunProof,
    };
}
