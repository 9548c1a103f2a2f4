//! What a target's answer means for its request: whether the request ran, and what the caller may be told.
//!
//! Callers send a non-idempotent request again when a status promises that it did not run. A target with a gray failure
//! runs a request and fails it with such a status, so that the status alone is no proof.

use std::fmt;

use crate::proof::RunProof;

/// Kind of a target's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// The request succeeded.
    Success,
    /// The target rejects the request itself.
    Rejection,
    /// The target failed.
    Failure,
    /// The target stopped the request at the deadline that came with it.
    TimedOut,
    /// The request was addressed to another target.
    Misdirected,
    /// The status is none that ends a request: an interim one, or one that the protocol does not have.
    NotFinal,
}

/// What a target's answer states, independent of its encoding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerStatement {
    /// Kind of the answer.
    pub kind: AnswerKind,
    /// Whether the target states that it did not run the request.
    pub states_not_run: bool,
    /// Whether callers take the status as a promise that the request did not run and never will.
    pub promises_not_run: bool,
    /// Whether the answer has a target's signature.
    pub is_signed: bool,
}

/// What happens with a target's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerVerdict {
    /// The caller gets the answer.
    Forwarded,
    /// The request may have run although the status promises the opposite. No caller gets the answer.
    Withheld,
    /// The answer is no valid one to the request, which may have run.
    Invalid,
    /// The target did not run the request.
    Shed,
    /// The address belongs to another target, which did not run the request.
    Misdirected,
    /// The answer is none to a request, which may have run. No caller gets it.
    NotFinal,
}

impl AnswerStatement {
    /// Returns what happens with the answer.
    pub fn verdict(self) -> AnswerVerdict {
        match self.kind {
            AnswerKind::Misdirected => AnswerVerdict::Misdirected,
            // A target that breaks the protocol is not trusted with a statement on the request either.
            AnswerKind::NotFinal => AnswerVerdict::NotFinal,
            AnswerKind::Success if self.is_signed => AnswerVerdict::Forwarded,
            AnswerKind::Success => AnswerVerdict::Invalid,
            _ if self.states_not_run => AnswerVerdict::Shed,
            _ if self.promises_not_run => AnswerVerdict::Withheld,
            _ => AnswerVerdict::Forwarded,
        }
    }
}

impl AnswerVerdict {
    /// Returns the reason for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Forwarded => "answered",
            Self::Withheld => "false-refusal",
            Self::Invalid => "unsigned",
            Self::Shed => "shed",
            Self::Misdirected => "another-target",
            Self::NotFinal => "no-final-status",
        }
    }

    /// Returns whether the target ran the request.
    pub fn proof(self) -> RunProof {
        match self {
            Self::Forwarded | Self::Withheld => RunProof::Ran,
            Self::Invalid | Self::NotFinal => RunProof::Unknown,
            Self::Shed | Self::Misdirected => RunProof::NotRun,
        }
    }
}

impl fmt::Display for AnswerVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
