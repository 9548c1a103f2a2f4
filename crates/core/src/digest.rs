//! SHA-256 digests of keys and documents.
//!
//! The inventory contains digests of keys and never the keys themselves. Digests of keys are compared in
//! constant time, so that the response time of a refusal reveals nothing about the digest.

use std::{
    fmt::{
        self,
        Write, //
    },
    str::FromStr, //
};

use sha2::{
    Digest,
    Sha256, //
};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Length of a digest, in bytes.
pub const DIGEST_LENGTH: usize = 32;

/// Error returned when a string is not a valid digest.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("a digest has {} hexadecimal digits in lower case", DIGEST_LENGTH * 2)]
pub struct DigestError;

fn parse_hex(text: &str) -> Result<[u8; DIGEST_LENGTH], DigestError> {
    let digits = text.as_bytes();
    if digits.len() != DIGEST_LENGTH * 2 {
        return Err(DigestError);
    }
    let value_of = |digit: u8| match digit {
        b'0'..=b'9' => Ok(digit - b'0'),
        b'a'..=b'f' => Ok(digit - b'a' + 10),
        _ => Err(DigestError),
    };
    let mut bytes = [0; DIGEST_LENGTH];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = value_of(pair[0])? << 4 | value_of(pair[1])?;
    }
    Ok(bytes)
}

fn write_hex(f: &mut fmt::Formatter<'_>, bytes: &[u8]) -> fmt::Result {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    bytes.iter().try_for_each(|byte| {
        f.write_char(char::from(DIGITS[usize::from(byte >> 4)]))?;
        f.write_char(char::from(DIGITS[usize::from(byte & 15)]))
    })
}

/// SHA-256 digest of a team's API key.
#[derive(Clone, Copy, Eq, Hash, serde::Deserialize, serde::Serialize)]
#[expect(
    clippy::derived_hash_with_manual_eq,
    reason = "equality gives the same result as the derived one, in constant time"
)]
pub struct KeyDigest([u8; DIGEST_LENGTH]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of_key(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(f, &self.0)
    }
}

impl FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        parse_hex(text).map(Self)
    }
}

/// SHA-256 digest of a configuration document.
#[derive(
    Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct DocumentDigest([u8; DIGEST_LENGTH]);

impl fmt::Debug for DocumentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "DocumentDigest({self})")
    }
}

impl DocumentDigest {
    /// Computes the digest of a document.
    pub fn of_document(document: &[u8]) -> Self {
        Self(Sha256::digest(document).into())
    }
}

impl fmt::Display for DocumentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(f, &self.0)
    }
}

impl FromStr for DocumentDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        parse_hex(text).map(Self)
    }
}
