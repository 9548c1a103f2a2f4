//! Outcome of a retry decision: send the request again, or give up with a reason.

use std::fmt;

use crate::proof::RunProof;

/// Whether running a request twice does harm.
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
    /// A target ran the request and answered.
    Answered,
    /// The request is not idempotent and may have run.
    MayHaveRun,
    /// The request reached the limit of attempts.
    TooManyAttempts,
    /// The answer to another attempt could not arrive before the deadline.
    NoTime,
    /// The retry budget of the service is used up.
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

/// Statement to the caller about a failed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunVerdict {
    /// No attempt ran; the caller may safely repeat the request.
    NotRun,
    /// At least one attempt may have run.
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

/// Decision about a request whose last attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send the request to a target that has not been tried.
    RetryElsewhere,
    /// Answer the caller with an error.
    GiveUp {
        /// Whether any attempt may have run.
        run: RunVerdict,
        /// Why the request is not sent again.
        reason: GiveUpReason,
    },
}
