//! Configuration documents in chunks.
//!
//! A document has at most 1 MB and is known by its digest, so that a host can collect chunks from
//! several peers. The index is a document like the parts.

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use indexmap::IndexMap;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

/// Most bytes of documents in one answer. The other messages on the connection wait for at most
/// this much.
pub const CHUNK_BYTES_MAX: usize = 128 << 10;

/// Largest document, in bytes.
pub const DOCUMENT_BYTES_MAX: usize = 1 << 20;

/// Most documents that one request may name.
pub const WANTS_MAX: usize = 256;

/// Which document is meant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum PartKey {
    /// The index in force at the peer, whatever its version.
    Index,
    /// The document with this digest.
    Part(DocumentDigest),
}

/// A document from an offset on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartWant {
    /// The document.
    pub key: PartKey,
    /// First byte that is missing.
    pub offset: u32,
}

/// Request for configuration documents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartsRequest {
    /// Version in force at the sender.
    pub have: Option<ConfigVersion>,
    /// The documents, in the order of need.
    pub wants: Vec<PartWant>,
}

/// A piece of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartChunk {
    /// The document.
    pub key: PartKey,
    /// Position of the first byte.
    pub offset: u32,
    /// Length of the whole document.
    pub total: u32,
    /// The piece.
    pub bytes: Bytes,
}

/// Chunks of configuration documents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartsAnswer {
    /// Version and digest of the index in force at the sender.
    pub version: ConfigVersion,
    /// Digest of that index.
    pub index: DocumentDigest,
    /// What fits in one answer, in the order of the request. Documents that the sender does not
    /// have are left out.
    pub chunks: Vec<PartChunk>,
}

impl PartsAnswer {
    /// Answers a request out of the documents that `find` returns.
    pub fn new(
        version: ConfigVersion,
        index: DocumentDigest,
        request: &PartsRequest,
        find: impl Fn(&PartKey) -> Option<Bytes>,
    ) -> Self {
        let mut room = CHUNK_BYTES_MAX;
        let mut chunks = Vec::new();
        for want in request.wants.iter().take(WANTS_MAX) {
            let Some(document) = find(&want.key) else {
                continue;
            };
            let (Ok(from), Ok(total)) = (usize::try_from(want.offset), document.len().try_into())
            else {
                continue;
            };
            if room == 0 || from > document.len() {
                continue;
            }
            let bytes = document.slice(from..document.len().min(from + room));
            room -= bytes.len();
            chunks.push(PartChunk {
                key: want.key,
                offset: want.offset,
                total,
                bytes,
            });
        }
        Self {
            version,
            index,
            chunks,
        }
    }
}

/// Why a chunk was not taken.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ChunkError {
    /// The document was not asked for.
    #[error("the chunk is of a document that was not asked for")]
    NotWanted,
    /// The chunk does not follow on the bytes at hand.
    #[error("the chunk starts at {found}, not at {expected}")]
    WrongOffset {
        /// First byte that is missing.
        expected: usize,
        /// First byte of the chunk.
        found: u32,
    },
    /// The document is longer than allowed, or than its stated length.
    #[error("the document is longer than allowed")]
    TooLong,
    /// The whole document does not have its digest.
    #[error("the document does not have the digest {expected}")]
    WrongDigest {
        /// Digest that was asked for.
        expected: DocumentDigest,
    },
}

/// Documents on their way, checked by digest when they are whole.
#[derive(Debug, Default)]
pub struct PartsAssembly {
    pending: IndexMap<DocumentDigest, Vec<u8>>,
}

impl PartsAssembly {
    /// Starts to collect documents.
    pub fn new(digests: impl IntoIterator<Item = DocumentDigest>) -> Self {
        let pending = digests.into_iter().map(|digest| (digest, Vec::new()));
        Self {
            pending: pending.collect(),
        }
    }

    /// Returns what is still missing, the documents that have begun first.
    pub fn wants(&self) -> Vec<PartWant> {
        let mut pending: Vec<_> = self.pending.iter().collect();
        pending.sort_by_key(|(_, bytes)| bytes.is_empty());
        let wants = pending.into_iter().take(WANTS_MAX);
        wants
            .map(|(digest, bytes)| PartWant {
                key: PartKey::Part(*digest),
                offset: u32::try_from(bytes.len()).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Tells whether all documents are whole.
    pub fn is_complete(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes a chunk and returns the document when it is whole.
    ///
    /// # Errors
    ///
    /// Fails when the chunk does not fit. A document with a wrong digest starts again from its
    /// first byte.
    pub fn accept(
        &mut self,
        chunk: &PartChunk,
    ) -> Result<Option<(DocumentDigest, Bytes)>, ChunkError> {
        let PartKey::Part(digest) = chunk.key else {
            return Err(ChunkError::NotWanted);
        };
        let document = self.pending.get_mut(&digest).ok_or(ChunkError::NotWanted)?;
        let total = usize::try_from(chunk.total).map_err(|_| ChunkError::TooLong)?;
        let length = document.len() + chunk.bytes.len();
        if total > DOCUMENT_BYTES_MAX || length > total {
            return Err(ChunkError::TooLong);
        }
        if u32::try_from(document.len()) != Ok(chunk.offset) {
            return Err(ChunkError::WrongOffset {
                expected: document.len(),
                found: chunk.offset,
            });
        }
        document.extend_from_slice(&chunk.bytes);
        if length < total {
            return Ok(None);
        }
        if DocumentDigest::of_document(document) != digest {
            document.clear();
            return Err(ChunkError::WrongDigest { expected: digest });
        }
        let document = self.pending.swap_remove(&digest).unwrap_or_default();
        Ok(Some((digest, document.into())))
    }
}
