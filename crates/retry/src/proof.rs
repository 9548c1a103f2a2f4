//! Proof of whether a target ran an attempt.

use std::fmt;

/// Whether a target ran an attempt, as far as this host can prove it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunProof {
    /// Proven not to have run: the request was not written, or the other side stated that it did not run.
    NotRun,
    /// Unproven: the request may have run.
    Unknown,
    /// Proven to have run: the target answered.
    Ran,
}

impl RunProof {
    /// Combines the proofs of two attempts of one request: the one closest to having run counts.
    pub fn join(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            _ => Self::NotRun,
        }
    }
}

impl fmt::Display for RunProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        })
    }
}
