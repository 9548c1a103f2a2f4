//! Errors of documents, each with its place and a remedy.

use chicorycroft_inventory::prelude::*;
use smol_str::SmolStr;
use thiserror::Error;

use crate::places::DocumentPlace;

/// Why a document is refused.
#[derive(Clone, Debug, Error)]
pub enum BorderError {
    /// The text is no valid YAML or JSON, or does not follow the schema.
    #[error("{place}: {reason}")]
    Syntax {
        /// Where the parser stopped.
        place: DocumentPlace,
        /// What the parser found.
        reason: SmolStr,
    },
    /// The document is longer than any that the fleet reads.
    #[error(
        "{document}:1:1: the document has {bytes} bytes; split it into documents of at most {most}"
    )]
    TooLarge {
        /// Name of the document.
        document: SmolStr,
        /// Its length.
        bytes: usize,
        /// Largest allowed length.
        most: usize,
    },
    /// A value is not valid.
    #[error("{place}: {entry}: {field}: {reason}")]
    Value {
        /// Place of the value.
        place: DocumentPlace,
        /// Entry at fault, such as `team lusail`.
        entry: SmolStr,
        /// Field at fault.
        field: &'static str,
        /// What is wrong and how to mend it.
        reason: SmolStr,
    },
    /// The rules are missing.
    #[error("{place}: no document holds rules; add `rules` with `host_bound` to one of them")]
    NoRules {
        /// Start of the first document.
        place: DocumentPlace,
    },
    /// The rules are given more than once.
    #[error("{place}: the rules are given here and at {first}; keep one of them")]
    SecondRules {
        /// Place of the second rules.
        place: DocumentPlace,
        /// Place of the first rules.
        first: DocumentPlace,
    },
    /// The documents contradict each other.
    #[error("{place}: {error}{}", remedy_of(error))]
    Snapshot {
        /// Place of the record at fault.
        place: DocumentPlace,
        /// The contradiction.
        error: SnapshotError,
    },
}

impl BorderError {
    /// Returns the place of the fault.
    pub fn place(&self) -> DocumentPlace {
        match self {
            Self::TooLarge { document, .. } => DocumentPlace::new(document),
            Self::Syntax { place, .. }
            | Self::Value { place, .. }
            | Self::NoRules { place }
            | Self::SecondRules { place, .. }
            | Self::Snapshot { place, .. } => place.clone(),
        }
    }
}

fn remedy_of(error: &SnapshotError) -> &'static str {
    match error {
        SnapshotError::Missing { .. } => "; list it, or correct the name",
        SnapshotError::RouteCollision { .. } => "; give one of them another prefix or method",
        SnapshotError::EndBeforeStart { .. } => "; move the end, or leave it out",
        _ => "",
    }
}
