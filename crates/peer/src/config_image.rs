//! The encoded and compressed form in which a configuration passes between hosts.
//!
//! A host encodes a version once for each earlier one that others have. The parts of a configuration are sorted, so that
//! all hosts have the same image of a change and any of them can send it.

use std::io::{
    Read,
    Write, //
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use flate2::{
    Compression,
    read::DeflateDecoder,
    write::DeflateEncoder, //
};

use crate::codec::{
    CodecError,
    MESSAGE_BYTES_MAX,
    decode_exact,
    encode_into, //
};

/// An encoded change of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigImage {
    digest: DocumentDigest,
    bytes: Bytes,
}

impl ConfigImage {
    /// Takes the bytes of an image that another host has encoded.
    pub fn new(bytes: Bytes) -> Self {
        Self {
            digest: DocumentDigest::of_document(&bytes),
            bytes,
        }
    }

    /// Encodes a change.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is longer than a message may be.
    pub fn encode(change: &ConfigChange) -> Result<Self, CodecError> {
        let mut plain = Vec::new();
        encode_into(&mut plain, change)?;
        Ok(Self::new(deflate(&plain)?.into()))
    }

    /// Decodes the change.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not exactly one change, or if it is longer than a message may be.
    pub fn decode(&self) -> Result<ConfigChange, CodecError> {
        decode_exact(&inflate(&self.bytes)?)
    }

    /// Returns the digest of the bytes.
    pub fn digest(&self) -> DocumentDigest {
        self.digest
    }

    /// Returns the bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Returns the size.
    pub fn size(&self) -> ByteCount {
        ByteCount::of_length(self.bytes.len())
    }
}

fn malformed_error(error: std::io::Error) -> CodecError {
    CodecError::Malformed {
        reason: error.to_string(),
    }
}

/// Compresses bytes.
pub(crate) fn deflate(plain: &[u8]) -> Result<Vec<u8>, CodecError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(plain).map_err(malformed_error)?;
    encoder.finish().map_err(malformed_error)
}

/// Decompresses bytes to at most the size of a message.
pub(crate) fn inflate(bytes: &[u8]) -> Result<Vec<u8>, CodecError> {
    let mut plain = Vec::new();
    let limit = u64::try_from(MESSAGE_BYTES_MAX).unwrap_or(u64::MAX);
    // One byte more than allowed, so that a longer result shows.
    let mut decoder = DeflateDecoder::new(bytes).take(limit + 1);
    decoder.read_to_end(&mut plain).map_err(malformed_error)?;
    match plain.len() > MESSAGE_BYTES_MAX {
        true => Err(CodecError::TooLarge {
            length: plain.len(),
        }),
        false => Ok(plain),
    }
}
