//! Errors in documents, each with its location and a remedy.

use chicorycroft_inventory::prelude::*;
use smol_str::SmolStr;
use thiserror::Error;

use crate::parsing::DocumentLocation;

/// A document was rejected.
#[derive(Clone, Debug, Error)]
pub enum DocumentError {
    /// The text is not valid YAML or JSON, or does not follow the schema.
    #[error("{location}: {reason}")]
    Syntax {
        /// Location at which the parser stopped.
        location: DocumentLocation,
        /// Message of the parser.
        reason: SmolStr,
    },
    /// The document exceeds the size limit.
    #[error(
        "{document}:1:1: the document has {bytes} bytes; split it into documents of at most {limit}"
    )]
    TooLarge {
        /// Name of the document.
        document: SmolStr,
        /// Length of the document, in bytes.
        bytes: usize,
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// A value is invalid.
    #[error("{location}: {entry}: {field}: {reason}")]
    Value {
        /// Location of the value.
        location: DocumentLocation,
        /// Kind and id of the entry, such as `team lusail`.
        entry: SmolStr,
        /// Name of the field.
        field: &'static str,
        /// Description of the error and how to fix it.
        reason: SmolStr,
    },
    /// No document contains `rules`.
    #[error("{location}: no document holds rules; add `rules` with `host_bound` to one of them")]
    NoRules {
        /// Start of the first document.
        location: DocumentLocation,
    },
    /// More than one document contains `rules`.
    #[error("{location}: the rules are given here and at {first}; keep one of them")]
    DuplicateRules {
        /// Location of the second `rules`.
        location: DocumentLocation,
        /// Location of the first `rules`.
        first: DocumentLocation,
    },
    /// Records conflict with each other or refer to records that are not listed.
    #[error("{location}: {error}{}", remedy_of(error))]
    Snapshot {
        /// Location of the record that causes the conflict.
        location: DocumentLocation,
        /// The conflict.
        error: SnapshotError,
    },
}

impl DocumentError {
    /// Returns the location of the error, which is the start of a document that is too large.
    pub fn location(&self) -> DocumentLocation {
        match self {
            Self::TooLarge { document, .. } => DocumentLocation::new(document),
            Self::Syntax { location, .. }
            | Self::Value { location, .. }
            | Self::NoRules { location }
            | Self::DuplicateRules { location, .. }
            | Self::Snapshot { location, .. } => location.clone(),
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
