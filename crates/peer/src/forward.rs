//! The header of a forwarded request.

use std::{
    fmt,
    num::ParseIntError,
    str::FromStr,
    time::Duration, //
};

use base64::{
    Engine,
    engine::general_purpose::URL_SAFE_NO_PAD, //
};
use chicorycroft_core::prelude::*;
use http::{
    HeaderName,
    HeaderValue, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::codec::{
    CodecError,
    FormatVersion,
    decode_exact,
    encode_into, //
};

/// Request header that contains the encoded [`ForwardHead`].
pub const FORWARD_HEADER: HeaderName = HeaderName::from_static("x-peer-forward");

/// Response header that marks refusals by [`PeerServer`](crate::server::PeerServer) itself, which did not pass
/// the request to a handler. It is removed from the responses of handlers.
pub const REFUSED_HEADER: HeaderName = HeaderName::from_static("x-peer-refused");

/// Version of the encoding of the head; there is only one so far.
const VERSION: FormatVersion = FormatVersion::V1;

/// Number of a request. Each process of an ingress host starts counting from its own value.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId(u64);

impl RequestId {
    /// Creates an id from a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Metadata of a request that an ingress host forwards to the owner of the target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardHead {
    /// Id of the request in logs.
    pub request: RequestId,
    /// Route of the request.
    pub route: RouteId,
    /// Team that owns the API key of the request, or `None` on public routes.
    pub team: Option<TeamId>,
    /// Service of the target.
    pub service: ServiceId,
    /// Target that the ingress host chose.
    pub target: TargetId,
    /// Time left until the deadline, in milliseconds.
    pub left_millis: u32,
    /// Number of the attempt, starting from 1.
    pub attempt: u8,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
}

impl ForwardHead {
    /// Returns the time left until the deadline, as of when the request was forwarded.
    pub fn time_left(&self) -> Duration {
        Duration::from_millis(self.left_millis.into())
    }

    /// Encodes the head as a header value.
    ///
    /// # Errors
    ///
    /// Returns an error if the head cannot be encoded or is too long.
    pub fn to_header(&self) -> Result<HeaderValue, CodecError> {
        let mut bytes = vec![VERSION.get()];
        encode_into(&mut bytes, self)?;
        HeaderValue::try_from(URL_SAFE_NO_PAD.encode(bytes)).map_err(|error| {
            CodecError::Malformed {
                reason: error.to_string(),
            }
        })
    }

    /// Decodes a header value.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is not supported or the value is not exactly one head.
    pub fn from_header(value: &HeaderValue) -> Result<Self, CodecError> {
        let bytes =
            URL_SAFE_NO_PAD
                .decode(value.as_bytes())
                .map_err(|error| CodecError::Malformed {
                    reason: error.to_string(),
                })?;
        let Some((&version, body)) = bytes.split_first() else {
            return Err(CodecError::Malformed {
                reason: "the forward header is empty".to_owned(),
            });
        };
        if version != VERSION.get() {
            return Err(CodecError::UnknownVersion {
                found: FormatVersion::new(version),
                highest: VERSION,
            });
        }
        decode_exact(body)
    }
}
