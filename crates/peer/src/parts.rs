//! Transfer of configuration documents in chunks.
//!
//! A document has at most 1 MB and is identified by its digest, so that a host can fetch its chunks from several
//! peers. The index is transferred like the parts that it lists.

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use indexmap::IndexMap;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

/// Size limit of the chunks in one answer, in bytes. Other messages on the connection wait for at most this
/// amount of data.
pub const CHUNK_BYTES_MAX: usize = 128 << 10;

/// Largest document, in bytes.
pub const DOCUMENT_BYTES_MAX: usize = 1 << 20;

/// Limit of documents in one request.
pub const WANTS_MAX: usize = 256;

/// Identifies a document.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum PartKey {
    /// The index in force at the peer, of any version.
    Index,
    /// The document with this digest.
    Part(DocumentDigest),
}

/// A request for the rest of a document from an offset.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartWant {
    /// The document.
    pub key: PartKey,
    /// Position of the first missing byte.
    pub offset: u32,
}

/// A request for configuration documents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartsRequest {
    /// Version of the configuration in force at the sender.
    pub have: Option<ConfigVersion>,
    /// The missing documents, the most urgent first.
    pub wants: Vec<PartWant>,
}

/// A chunk of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartChunk {
    /// The document.
    pub key: PartKey,
    /// Position of the chunk's first byte in the document.
    pub offset: u32,
    /// Length of the whole document, in bytes.
    pub total: u32,
    /// Contents of the chunk.
    pub bytes: Bytes,
}

/// The answer to a [`PartsRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartsAnswer {
    /// Version of the index in force at the sender.
    pub version: ConfigVersion,
    /// Digest of that index.
    pub index: DocumentDigest,
    /// The chunks that fit in one answer, in the order of the request. Documents that the sender does not have
    /// are omitted.
    pub chunks: Vec<PartChunk>,
}

impl PartsAnswer {
    /// Creates the answer to a request, with chunks of the documents that `find` returns.
    pub fn new(
        version: ConfigVersion,
        index: DocumentDigest,
        request: &PartsRequest,
        find: impl Fn(&PartKey) -> Option<Bytes>,
    ) -> Self {
        Self::with_limit(CHUNK_BYTES_MAX, version, index, request, find)
    }

    /// Creates the answer to a request, with up to `limit` bytes of the documents that `find` returns.
    pub fn with_limit(
        limit: usize,
        version: ConfigVersion,
        index: DocumentDigest,
        request: &PartsRequest,
        find: impl Fn(&PartKey) -> Option<Bytes>,
    ) -> Self {
        let mut remaining = limit;
        let mut chunks = Vec::new();
        for want in request.wants.iter().take(WANTS_MAX) {
            let Some(document) = find(&want.key) else {
                continue;
            };
            let (Ok(from), Ok(total)) = (usize::try_from(want.offset), document.len().try_into())
            else {
                continue;
            };
            if remaining == 0 || from > document.len() {
                continue;
            }
            let bytes = document.slice(from..document.len().min(from + remaining));
            remaining -= bytes.len();
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

/// The reason for rejecting a chunk.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ChunkError {
    /// The document was not requested.
    #[error("the chunk belongs to a document that was not requested")]
    NotRequested,
    /// The chunk does not continue the bytes received so far.
    #[error("the chunk starts at byte {found}, expected byte {expected}")]
    WrongOffset {
        /// Position of the first missing byte.
        expected: usize,
        /// Position of the chunk's first byte.
        found: u32,
    },
    /// The document is longer than [`DOCUMENT_BYTES_MAX`], or than its stated length.
    #[error("the document is longer than its stated length or than {DOCUMENT_BYTES_MAX} bytes")]
    TooLong,
    /// The digest of the complete document differs from the requested one.
    #[error("the digest of the received document differs from the requested {expected}")]
    WrongDigest {
        /// Requested digest.
        expected: DocumentDigest,
    },
}

/// Documents that are being received. Each one is verified by its digest when it is complete.
#[derive(Debug, Default)]
pub struct PartsAssembly {
    pending: IndexMap<DocumentDigest, Vec<u8>>,
}

impl PartsAssembly {
    /// Creates an assembly for the documents with the given digests.
    pub fn new(digests: impl IntoIterator<Item = DocumentDigest>) -> Self {
        let pending = digests.into_iter().map(|digest| (digest, Vec::new()));
        Self {
            pending: pending.collect(),
        }
    }

    /// Returns what is still missing, partly received documents first.
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

    /// Returns `true` if all documents are complete.
    pub fn is_complete(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds a chunk, and returns the document if that completes it.
    ///
    /// # Errors
    ///
    /// Returns an error if the chunk does not fit. A document with a wrong digest is requested again from its
    /// first byte.
    pub fn accept(
        &mut self,
        chunk: &PartChunk,
    ) -> Result<Option<(DocumentDigest, Bytes)>, ChunkError> {
        let PartKey::Part(digest) = chunk.key else {
            return Err(ChunkError::NotRequested);
        };
        let document = self
            .pending
            .get_mut(&digest)
            .ok_or(ChunkError::NotRequested)?;
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
