//! The list of parts that make one version of the configuration.

use chicorycroft_core::{
    digest::DigestError,
    prelude::*, //
};
use indexmap::IndexSet;
use smol_str::{
    SmolStr, //
    format_smolstr,
};

use crate::{
    document::BorderError,
    generated::index::{
        IndexDocument,
        PartEntry, //
    },
    places::{
        parse_text,
        place_of_entry, //
    },
};

/// A part as the index lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IndexPart {
    /// Name of the part on the platform.
    pub name: SmolStr,
    /// Version of the part.
    pub version: ConfigVersion,
    /// Digest of the part.
    pub digest: DocumentDigest,
}

/// The parts that make one version of the configuration.
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
    /// Fails when the text does not follow the schema or a digest is not valid.
    pub fn new(text: &str) -> Result<Self, BorderError> {
        let document: IndexDocument = parse_text("index", text)?;
        let mut names = IndexSet::new();
        let read_part = |(index, entry): (usize, PartEntry)| {
            let refuse = |field, reason: &str| BorderError::Value {
                place: place_of_entry("index", text, ("part", index), field),
                entry: format_smolstr!("part {}", entry.name),
                field,
                reason: reason.into(),
            };
            if !names.insert(entry.name.clone()) {
                return Err(refuse(
                    "name",
                    "the part is listed twice; remove one of them",
                ));
            }
            let digest = entry
                .digest
                .parse()
                .map_err(|error: DigestError| refuse("digest", &error.to_string()))?;
            Ok(IndexPart {
                name: entry.name.as_str().into(),
                version: ConfigVersion::new(entry.version.get()),
                digest,
            })
        };
        let parts: Result<Vec<_>, BorderError> = document
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

    /// Returns the version of the whole.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the digest of the index, which covers the digests of all parts.
    pub fn digest(&self) -> DocumentDigest {
        self.digest
    }

    /// Returns the parts.
    pub fn parts(&self) -> &[IndexPart] {
        &self.parts
    }
}
