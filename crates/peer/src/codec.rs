//! The encoding of messages: one byte of format version, one byte of kind, then bincode.
//!
//! Version 2 added the suspect flag of a target's load. A host decodes both and answers in the
//! version of the request, so that hosts of two releases work together while a fleet is upgraded.

use std::{
    fmt,
    num::ParseIntError,
    str::FromStr, //
};

use bincode::config::{
    Configuration,
    Limit,
    LittleEndian,
    Varint, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use thiserror::Error;

use crate::{
    messages::{
        PeerMessage,
        RefusalReason, //
    },
    wire::HeartbeatV1,
};

/// Largest message, in bytes: the largest answer with parts, with room for its frame.
pub const MESSAGE_BYTES_MAX: usize = 256 << 10;

/// Version of the encoding of messages.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct FormatVersion(u8);

impl FormatVersion {
    /// The first version.
    pub const V1: Self = Self(1);
    /// The version with the suspect flag.
    pub const V2: Self = Self(2);

    /// Wraps a number, which need not be a known version.
    pub const fn new(number: u8) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for FormatVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for FormatVersion {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Why bytes are no message, or a message has no bytes.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CodecError {
    /// The format version is not known here.
    #[error("unknown format version {found}; {highest} is the highest known one")]
    UnknownVersion {
        /// Version of the bytes.
        found: FormatVersion,
        /// Highest version that this codec knows.
        highest: FormatVersion,
    },
    /// The kind of message is not known.
    #[error("unknown kind of message {found}")]
    UnknownKind {
        /// The kind.
        found: u8,
    },
    /// The bytes end before the message, or are no valid values.
    #[error("not a valid message: {reason}")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// There are bytes after the message.
    #[error("{count} bytes follow the message")]
    TrailingBytes {
        /// Number of bytes.
        count: usize,
    },
    /// The message is longer than [`MESSAGE_BYTES_MAX`].
    #[error("the message has {length} bytes, more than {MESSAGE_BYTES_MAX}")]
    TooLarge {
        /// Length, in bytes.
        length: usize,
    },
}

impl CodecError {
    /// Returns the reason that goes back to the sender.
    pub fn refusal(&self) -> RefusalReason {
        match self {
            Self::UnknownVersion { highest, .. } => RefusalReason::UnknownVersion(highest.get()),
            Self::UnknownKind { .. } => RefusalReason::UnknownKind,
            Self::Malformed { .. } | Self::TrailingBytes { .. } => RefusalReason::Malformed,
            Self::TooLarge { .. } => RefusalReason::TooLarge,
        }
    }
}

const CONFIGURATION: Configuration<LittleEndian, Varint, Limit<MESSAGE_BYTES_MAX>> =
    bincode::config::standard().with_limit::<MESSAGE_BYTES_MAX>();

/// Appends a value.
pub(crate) fn put<T: Serialize>(bytes: &mut Vec<u8>, value: &T) -> Result<(), CodecError> {
    let malformed = |error: bincode::error::EncodeError| CodecError::Malformed {
        reason: error.to_string(),
    };
    bincode::serde::encode_into_std_write(value, bytes, CONFIGURATION).map_err(malformed)?;
    check_length(bytes)
}

/// Reads a value that takes all of the bytes.
pub(crate) fn take<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let malformed = |error: bincode::error::DecodeError| CodecError::Malformed {
        reason: error.to_string(),
    };
    let (value, used) =
        bincode::serde::decode_from_slice(bytes, CONFIGURATION).map_err(malformed)?;
    match bytes.len() - used {
        0 => Ok(value),
        count => Err(CodecError::TrailingBytes { count }),
    }
}

fn check_length(bytes: &[u8]) -> Result<(), CodecError> {
    if bytes.len() > MESSAGE_BYTES_MAX {
        return Err(CodecError::TooLarge {
            length: bytes.len(),
        });
    }
    Ok(())
}

/// Encodes and decodes messages up to a format version.
#[derive(Clone, Copy, Debug)]
pub struct PeerCodec {
    highest: FormatVersion,
}

impl Default for PeerCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl PeerCodec {
    /// Makes a codec of the current version.
    pub fn new() -> Self {
        Self::with_highest(FormatVersion::V2)
    }

    /// Makes a codec that knows no version above the given one.
    pub fn with_highest(highest: FormatVersion) -> Self {
        Self {
            highest: highest.min(FormatVersion::V2),
        }
    }

    /// Returns the highest version that this codec knows.
    pub fn highest(&self) -> FormatVersion {
        self.highest
    }

    fn check_version(&self, found: FormatVersion) -> Result<(), CodecError> {
        if found < FormatVersion::V1 || found > self.highest {
            return Err(CodecError::UnknownVersion {
                found,
                highest: self.highest,
            });
        }
        Ok(())
    }

    /// Encodes a message in a version.
    ///
    /// # Errors
    ///
    /// Fails when the version is not known or the message is too long.
    pub fn encode(
        &self,
        message: &PeerMessage,
        version: FormatVersion,
    ) -> Result<Vec<u8>, CodecError> {
        self.check_version(version)?;
        let mut bytes = vec![version.get(), kind_of(message)];
        match message {
            PeerMessage::Heartbeat(message) if version == FormatVersion::V1 => {
                put(&mut bytes, &HeartbeatV1::from(message))?;
            }
            PeerMessage::Heartbeat(message) => put(&mut bytes, message)?,
            PeerMessage::HeartbeatAck(message) => put(&mut bytes, message)?,
            PeerMessage::TokenDraw(message) => put(&mut bytes, message)?,
            PeerMessage::TokenGrant(message) => put(&mut bytes, message)?,
            PeerMessage::PartsRequest(message) => put(&mut bytes, message)?,
            PeerMessage::PartsAnswer(message) => put(&mut bytes, message)?,
            PeerMessage::ProbeRequest(message) => put(&mut bytes, message)?,
            PeerMessage::ProbeAnswer(message) => put(&mut bytes, message)?,
            PeerMessage::EjectionRequest(message) => put(&mut bytes, message)?,
            PeerMessage::EjectionGrant(message) => put(&mut bytes, message)?,
            PeerMessage::OwnerHandover(message) => put(&mut bytes, message)?,
            PeerMessage::Accepted => {}
            PeerMessage::Refused(reason) => put(&mut bytes, reason)?,
            PeerMessage::Gateway(message) => put(&mut bytes, message)?,
        }
        Ok(bytes)
    }

    /// Decodes a message and returns the version that it came in.
    ///
    /// # Errors
    ///
    /// Fails when the version or kind is not known, and when the bytes are not exactly one message.
    pub fn decode(&self, bytes: &[u8]) -> Result<(FormatVersion, PeerMessage), CodecError> {
        check_length(bytes)?;
        let &[version, kind, ref body @ ..] = bytes else {
            return Err(CodecError::Malformed {
                reason: "a message has at least 2 bytes".to_owned(),
            });
        };
        let version = FormatVersion::new(version);
        self.check_version(version)?;
        let message = match kind {
            1 if version == FormatVersion::V1 => {
                PeerMessage::Heartbeat(take::<HeartbeatV1>(body)?.into())
            }
            1 => PeerMessage::Heartbeat(take(body)?),
            2 => PeerMessage::HeartbeatAck(take(body)?),
            3 => PeerMessage::TokenDraw(take(body)?),
            4 => PeerMessage::TokenGrant(take(body)?),
            5 => PeerMessage::PartsRequest(take(body)?),
            6 => PeerMessage::PartsAnswer(take(body)?),
            7 => PeerMessage::ProbeRequest(take(body)?),
            8 => PeerMessage::ProbeAnswer(take(body)?),
            9 => PeerMessage::EjectionRequest(take(body)?),
            10 => PeerMessage::EjectionGrant(take(body)?),
            12 => PeerMessage::OwnerHandover(take(body)?),
            13 => take::<()>(body).map(|()| PeerMessage::Accepted)?,
            14 => PeerMessage::Refused(take(body)?),
            16 => PeerMessage::Gateway(take(body)?),
            found => return Err(CodecError::UnknownKind { found }),
        };
        Ok((version, message))
    }
}

fn kind_of(message: &PeerMessage) -> u8 {
    match message {
        PeerMessage::Heartbeat(_) => 1,
        PeerMessage::HeartbeatAck(_) => 2,
        PeerMessage::TokenDraw(_) => 3,
        PeerMessage::TokenGrant(_) => 4,
        PeerMessage::PartsRequest(_) => 5,
        PeerMessage::PartsAnswer(_) => 6,
        PeerMessage::ProbeRequest(_) => 7,
        PeerMessage::ProbeAnswer(_) => 8,
        PeerMessage::EjectionRequest(_) => 9,
        PeerMessage::EjectionGrant(_) => 10,
        PeerMessage::OwnerHandover(_) => 12,
        PeerMessage::Accepted => 13,
        PeerMessage::Refused(_) => 14,
        PeerMessage::Gateway(_) => 16,
    }
}
