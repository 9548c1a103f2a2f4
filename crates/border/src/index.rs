//! The list of parts that make up one version of the configuration.

use chicorycroft_core::{
    digest::DigestError,
    prelude::*, //
};
use indexmap::IndexSet;
use smol_str::{
    SmolStr,
    format_smolstr, //
};

use crate::{
    document::DocumentError,
    generated::index::{
        IndexDocument,
        PartEntry, //
    },
    parsing::{
        locate_entry,
        parse_text, //
    },
};

/// An entry of the index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IndexPart {
    /// Name of the part on the platform.
    pub name: SmolStr,
    /// Version in which the part last changed.
    pub version: ConfigVersion,
    /// Digest of the text of the part.
    pub digest: DocumentDigest,
}

/// The parts that make up one version of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigIndex {
    version: ConfigVersion,
    digest: DocumentDigest,
    parts: Vec<IndexPart>,
}

impl ConfigIndex {
    /// Parses an index.
    ///
    /// # Errors
    ///
    /// Returns an error if the text does not follow the schema, a part is listed twice or a digest is
    /// invalid.
    pub fn new(text: &str) -> Result<Self, DocumentError> {
        let document: IndexDocument = parse_text("index", text)?;
        let mut names = IndexSet::new();
        let read_part = |(index, entry): (usize, PartEntry)| {
            let invalid = |field, reason: &str| DocumentError::Value {
                location: locate_entry("index", text, ("part", index), field),
                entry: format_smolstr!("part {}", entry.name),
                field,
                reason: reason.into(),
            };
            if !names.insert(entry.name.clone()) {
                return Err(invalid(
                    "name",
                    "the part is listed twice; remove one of them",
                ));
            }
            let digest = entry
                .digest
                .parse()
                .map_err(|error: DigestError| invalid("digest", &error.to_string()))?;
            Ok(IndexPart {
                name: entry.name.as_str().into(),
                version: ConfigVersion::new(entry.version.get()),
                digest,
            })
        };
        let parts: Result<Vec<_>, DocumentError> = document
            .parts
            .into_iter()
            .enumerate()
            .map(read_part)
            .collect();
        Ok(Self {
            version: ConfigVersion::new(document.version.get()),
            digest: DocumentDigest::of_document(text.as_bytes()),
            parts: parts?,
        })
    }

    /// Returns the version of the whole configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the digest of the index text, which covers the digests of all parts.
    pub fn digest(&self) -> DocumentDigest {
        self.digest
    }

    /// Returns the parts.
    pub fn parts(&self) -> &[IndexPart] {
        &self.parts
    }
}
