//! The encoding of messages: one byte for the format version, one for the kind, then the fields in bincode, which may be
//! compressed.
//!
//! Version 2 added the suspect flag of a target's load, and version 3 the ages and revisions of both parts of the
//! store, and what targets say about themselves. Version 4 added the positions in the store, the leases of team rates and
//! the load of pools. Version 5 added the changes and transfers of configurations, and compresses long messages. A host
//! decodes all versions and answers in the version of the request, so that hosts of two releases work together during a
//! rolling upgrade.

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
    config_image::{
        deflate,
        inflate, //
    },
    format_v1::HeartbeatV1,
    format_v2::GatewayMessageV2,
    format_v3::GatewayMessageV3,
    format_v4::GatewayMessageV4,
    messages::{
        PeerMessage,
        RefusalReason, //
    },
};

/// Largest message, in bytes. It has room for a configuration of the largest size that the platform's store holds, 1 MiB,
/// and a directory of 17,000 targets.
pub const MESSAGE_BYTES_MAX: usize = 2 << 20;

/// Length from which messages between gateway hosts are compressed, in bytes. Most messages are shorter, and whole
/// directories and bucket levels longer.
const COMPRESSED_MIN: usize = 4 << 10;

/// Bit of the kind byte that marks a compressed message, from format version 5 on.
const COMPRESSED_BIT: u8 = 0x80;

/// Version of the message encoding.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct FormatVersion(u8);

impl FormatVersion {
    /// First version.
    pub const V1: Self = Self(1);
    /// Version that added the suspect flag of a target's load.
    pub const V2: Self = Self(2);
    /// Version that added the ages and revisions of both parts of the store.
    pub const V3: Self = Self(3);
    /// Version that added the positions in the store, the leases of team rates and the load of pools.
    pub const V4: Self = Self(4);
    /// Version that added the changes and transfers of configurations.
    pub const V5: Self = Self(5);

    /// Creates a version from a number, which need not be a supported version.
    pub const fn new(number: u8) -> Self {
        Self(number)
    }

    /// Returns the number of the version.
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

/// An error in encoding or decoding a message.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CodecError {
    /// This codec does not support the format version.
    #[error("unsupported format version {found}; the highest supported version is {highest}")]
    UnknownVersion {
        /// Version of the message.
        found: FormatVersion,
        /// Highest version that this codec supports.
        highest: FormatVersion,
    },
    /// The kind of the message is unknown.
    #[error("unknown message kind {found}")]
    UnknownKind {
        /// Kind byte of the message.
        found: u8,
    },
    /// The message is truncated or contains an invalid value.
    #[error("malformed message: {reason}")]
    Malformed {
        /// Description of the fault.
        reason: String,
    },
    /// There are bytes after the end of the message.
    #[error("{count} unexpected bytes after the end of the message")]
    TrailingBytes {
        /// Number of extra bytes.
        count: usize,
    },
    /// The message is longer than [`MESSAGE_BYTES_MAX`].
    #[error("the message has {length} bytes, but at most {MESSAGE_BYTES_MAX} are allowed")]
    TooLarge {
        /// Length of the message, in bytes.
        length: usize,
    },
}

impl CodecError {
    /// Returns the refusal reason to send back to the sender of the message.
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

/// Appends an encoded value to `bytes`.
pub(crate) fn encode_into<T: Serialize>(bytes: &mut Vec<u8>, value: &T) -> Result<(), CodecError> {
    let malformed = |error: bincode::error::EncodeError| CodecError::Malformed {
        reason: error.to_string(),
    };
    bincode::serde::encode_into_std_write(value, bytes, CONFIGURATION).map_err(malformed)?;
    check_length(bytes)
}

/// Decodes a value that must take up all of `bytes`.
pub(crate) fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
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

/// Compresses the body of a long message, if that makes it shorter.
fn compress(bytes: &mut Vec<u8>) -> Result<(), CodecError> {
    let &[version, kind, ref body @ ..] = &bytes[..] else {
        return Ok(());
    };
    if body.len() < COMPRESSED_MIN {
        return Ok(());
    }
    let compressed = deflate(body)?;
    if compressed.len() < body.len() {
        *bytes = [&[version, kind | COMPRESSED_BIT], &compressed[..]].concat();
    }
    Ok(())
}

/// A codec that supports all format versions up to a highest one.
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
    /// Creates a codec that supports all versions up to the current one.
    pub fn new() -> Self {
        Self::with_highest(FormatVersion::V5)
    }

    /// Creates a codec that supports no version above `highest`, as a host of an older release.
    pub fn with_highest(highest: FormatVersion) -> Self {
        Self {
            highest: highest.min(FormatVersion::V5),
        }
    }

    /// Returns the highest version that this codec supports.
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

    /// Encodes a message in the given format version.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is not supported or the message is too long.
    pub fn encode(
        &self,
        message: &PeerMessage,
        version: FormatVersion,
    ) -> Result<Vec<u8>, CodecError> {
        self.check_version(version)?;
        let mut bytes = vec![version.get(), kind_of(message)];
        match message {
            PeerMessage::Heartbeat(message) if version == FormatVersion::V1 => {
                encode_into(&mut bytes, &HeartbeatV1::from(message))?;
            }
            PeerMessage::Heartbeat(message) => encode_into(&mut bytes, message)?,
            PeerMessage::HeartbeatAck(message) => encode_into(&mut bytes, message)?,
            PeerMessage::TransferRequest(message) => encode_into(&mut bytes, message)?,
            PeerMessage::TokenGrant(message) => encode_into(&mut bytes, message)?,
            PeerMessage::PartsRequest(message) => encode_into(&mut bytes, message)?,
            PeerMessage::PartsAnswer(message) => encode_into(&mut bytes, message)?,
            PeerMessage::ProbeRequest(message) => encode_into(&mut bytes, message)?,
            PeerMessage::ProbeAnswer(message) => encode_into(&mut bytes, message)?,
            PeerMessage::EjectionRequest(message) => encode_into(&mut bytes, message)?,
            PeerMessage::EjectionGrant(message) => encode_into(&mut bytes, message)?,
            PeerMessage::OwnerHandover(message) => encode_into(&mut bytes, message)?,
            PeerMessage::Accepted => {}
            PeerMessage::Refused(reason) => encode_into(&mut bytes, reason)?,
            PeerMessage::Gateway(message) if version < FormatVersion::V3 => {
                encode_into(&mut bytes, &GatewayMessageV2::from(message))?;
            }
            PeerMessage::Gateway(message) if version < FormatVersion::V4 => {
                encode_into(&mut bytes, &GatewayMessageV3::from(message))?;
            }
            PeerMessage::Gateway(message) if version < FormatVersion::V5 => {
                encode_into(&mut bytes, &GatewayMessageV4::from(message))?;
            }
            PeerMessage::Gateway(message) => {
                encode_into(&mut bytes, message)?;
                compress(&mut bytes)?;
            }
        }
        Ok(bytes)
    }

    /// Decodes a message and returns it with its format version.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is not supported, the kind is unknown, or the bytes are not exactly one
    /// message.
    pub fn decode(&self, bytes: &[u8]) -> Result<(FormatVersion, PeerMessage), CodecError> {
        check_length(bytes)?;
        let &[version, kind, ref body @ ..] = bytes else {
            return Err(CodecError::Malformed {
                reason: format!("expected at least 2 bytes, found {}", bytes.len()),
            });
        };
        let version = FormatVersion::new(version);
        self.check_version(version)?;
        let is_compressed = version >= FormatVersion::V5 && kind & COMPRESSED_BIT != 0;
        let (kind, plain) = match is_compressed {
            true => (kind & !COMPRESSED_BIT, Some(inflate(body)?)),
            false => (kind, None),
        };
        let body = plain.as_deref().unwrap_or(body);
        let message = match kind {
            1 if version == FormatVersion::V1 => {
                PeerMessage::Heartbeat(decode_exact::<HeartbeatV1>(body)?.into())
            }
            1 => PeerMessage::Heartbeat(decode_exact(body)?),
            2 => PeerMessage::HeartbeatAck(decode_exact(body)?),
            3 => PeerMessage::TransferRequest(decode_exact(body)?),
            4 => PeerMessage::TokenGrant(decode_exact(body)?),
            5 => PeerMessage::PartsRequest(decode_exact(body)?),
            6 => PeerMessage::PartsAnswer(decode_exact(body)?),
            7 => PeerMessage::ProbeRequest(decode_exact(body)?),
            8 => PeerMessage::ProbeAnswer(decode_exact(body)?),
            9 => PeerMessage::EjectionRequest(decode_exact(body)?),
            10 => PeerMessage::EjectionGrant(decode_exact(body)?),
            12 => PeerMessage::OwnerHandover(decode_exact(body)?),
            13 => decode_exact::<()>(body).map(|()| PeerMessage::Accepted)?,
            14 => PeerMessage::Refused(decode_exact(body)?),
            16 if version < FormatVersion::V3 => {
                PeerMessage::Gateway(decode_exact::<GatewayMessageV2>(body)?.into())
            }
            16 if version < FormatVersion::V4 => {
                PeerMessage::Gateway(decode_exact::<GatewayMessageV3>(body)?.into())
            }
            16 if version < FormatVersion::V5 => {
                PeerMessage::Gateway(decode_exact::<GatewayMessageV4>(body)?.into())
            }
            16 => PeerMessage::Gateway(decode_exact(body)?),
            found => return Err(CodecError::UnknownKind { found }),
        };
        Ok((version, message))
    }
}

/// Returns the kind byte of a message. The numbers are part of the encoding and must not change.
fn kind_of(message: &PeerMessage) -> u8 {
    match message {
        PeerMessage::Heartbeat(_) => 1,
        PeerMessage::HeartbeatAck(_) => 2,
        PeerMessage::TransferRequest(_) => 3,
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
