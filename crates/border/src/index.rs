//! The list of parts that make one version of the configuration.

use chicorycroft_core::prelude::*;
use smol_str::SmolStr;

use crate::{
    document::BorderError,
    generated::index::IndexDocument, //
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
        let document: IndexDocument =
            serde_saphyr::from_str(text).map_err(|error| BorderError::Syntax {
                document: "index".into(),
                reason: error.to_string().into(),
            })?;
        let read_part = |entry: crate::generated::index::PartEntry| {
            let digest = entry.digest.parse().map_err(|error| BorderError::Value {
                document: "index".into(),
                entry: entry.name.as_str().into(),
                field: "digest",
                reason: ToString::to_string(&error as &chicorycroft_core::digest::DigestError)
                    .into(),
            })?;
            Ok(IndexPart {
                name: entry.name.as_str().into(),
                version: ConfigVersion::new(entry.version.get()),
                digest,
            })
        };
        let parts: Result<Vec<_>, BorderError> =
            document.parts.into_iter().map(read_part).collect();
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
