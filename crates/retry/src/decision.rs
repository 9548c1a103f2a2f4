//! What happens to a request whose attempt failed.

use std::fmt;

use crate::proof::RunProof;

/// Whether a request may run twice without harm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Running twice has the effect of running once.
    Idempotent,
    /// Running twice does harm.
    NonIdempotent,
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// A target answered.
    Answered,
    /// The request is not idempotent and may have run.
    MayHaveRun,
    /// The request was sent as often as is allowed.
    TooManyAttempts,
    /// Another attempt could not be answered in time.
    NoTime,
    /// The service has used up its retries.
    NoBudget,
}

impl fmt::Display for GiveUpReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered",
            Self::MayHaveRun => "may-have-run",
            Self::TooManyAttempts => "too-many-attempts",
            Self::NoTime => "no-time",
            Self::NoBudget => "no-budget",
        })
    }
}

/// What the caller may be told about a request that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunVerdict {
    /// No attempt ran.
    NotRun,
    /// Some attempt may have run.
    Unknown,
}

impl From<RunProof> for RunVerdict {
    fn from(proof: RunProof) -> Self {
        match proof {
            RunProof::NotRun => Self::NotRun,
            RunProof::Unknown | RunProof::Ran => Self::Unknown,
        }
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

/// What happens to a request whose attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send the request to a target that has not been tried.
    RetryElsewhere,
    /// Tell the caller.
    GiveUp {
        /// What is known about all attempts together.
        run: RunVerdict,
        /// Why the request is not sent again.
        reason: GiveUpReason,
    },
}
