//! Retries and hedging: whether a request may be sent again.
//!
//! A non-idempotent request is sent again only if no earlier attempt can have run, and a retry budget bounds the
//! extra load on a service that fails as a whole.
//!
//! - [`answer`]: what a target's answer means for its request.
//! - [`proof`]: whether a target ran an attempt, as far as the host can prove it.
//! - [`history`]: the attempts of one request, with their proofs combined.
//! - [`deadline`]: the remaining time of a request.
//! - [`budget`]: the retry budget of each service.
//! - [`decision`]: retry or give up, with the reason.

pub mod answer;
pub mod budget;
pub mod deadline;
pub mod decision;
pub mod history;
pub mod proof;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        answer::{
            AnswerKind,
            AnswerStatement,
            AnswerVerdict, //
        },
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
