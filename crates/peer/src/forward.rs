//! The header that goes with a forwarded request.

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
    put,
    take, //
};

/// Header that carries the encoded head.
pub const FORWARD: HeaderName = HeaderName::from_static("x-peer-forward");

/// Header of an answer that this crate gave itself: the request reached no closure of the host. It is
/// removed from answers that come from elsewhere.
pub const REFUSED: HeaderName = HeaderName::from_static("x-peer-refused");

/// The only version of the head's encoding.
const VERSION: FormatVersion = FormatVersion::V1;

/// Number of a request. Each process of an ingress host counts from a start of its own.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId(u64);

impl RequestId {
    /// Wraps a number.
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

/// What the owner must know about a request that another host took in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardHead {
    /// Identity for logs.
    pub request: RequestId,
    /// Route of the request.
    pub route: RouteId,
    /// Team whose key came with the request; none on routes open to all.
    pub team: Option<TeamId>,
    /// Service of the target.
    pub service: ServiceId,
    /// Target that the ingress host chose.
    pub target: TargetId,
    /// Time left until the deadline, in milliseconds.
    pub left_millis: u32,
    /// Number of the attempt, from 1.
    pub attempt: u8,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
}

impl ForwardHead {
    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        Duration::from_millis(self.left_millis.into())
    }

    /// Encodes the head as a header value.
    ///
    /// # Errors
    ///
    /// Fails when the head can't be encoded.
    pub fn to_header(&self) -> Result<HeaderValue, CodecError> {
        let mut bytes = vec![VERSION.get()];
        put(&mut bytes, self)?;
        HeaderValue::try_from(URL_SAFE_NO_PAD.encode(bytes)).map_err(|error| {
            CodecError::Malformed {
                reason: error.to_string(),
            }
        })
    }

    /// Decodes a head.
    ///
    /// # Errors
    ///
    /// Fails when the version is not known or the value is not exactly one head.
    pub fn from_header(value: &HeaderValue) -> Result<Self, CodecError> {
        let bytes =
            URL_SAFE_NO_PAD
                .decode(value.as_bytes())
                .map_err(|error| CodecError::Malformed {
                    reason: error.to_string(),
                })?;
        let Some((&version, body)) = bytes.split_first() else {
            return Err(CodecError::Malformed {
                reason: "the head is empty".to_owned(),
            });
        };
        if version != VERSION.get() {
            return Err(CodecError::UnknownVersion {
                found: FormatVersion::new(version),
                highest: VERSION,
            });
        }
        take(body)
    }
}
