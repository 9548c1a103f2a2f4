//! What is known about whether an attempt ran.

use std::fmt;

/// What is known about whether an attempt ran at the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunProof {
    /// The request was never written, or the other side said that it did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The target answered.
    Ran,
}

impl RunProof {
    /// Joins the proofs of two attempts of one request.
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
