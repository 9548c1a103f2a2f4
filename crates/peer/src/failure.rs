//! Errors of calls and forwarded requests.

use std::error::Error as StdError;

use smol_str::{
    SmolStr,
    ToSmolStr, //
};
use thiserror::Error;

use crate::{
    codec::CodecError,
    messages::RefusalReason, //
};

/// An error while reading a request or response body, of any type.
pub type BodyError = Box<dyn StdError + Send + Sync>;

/// A failed call to a peer.
#[derive(Clone, Debug, Error)]
pub enum PeerError {
    /// The connection could not be established.
    #[error("cannot connect to the peer: {reason}")]
    Connect {
        /// Cause of the failure.
        reason: SmolStr,
        /// Whether the machine of the peer refused the connection, so that its process has ended.
        is_refused: bool,
    },
    /// The connection broke before the answer was complete.
    #[error("the connection to the peer broke: {reason}")]
    Broken {
        /// Cause of the failure.
        reason: SmolStr,
    },
    /// No answer arrived before the deadline.
    #[error("no answer of the peer before the deadline")]
    TimedOut,
    /// The message cannot be encoded, or the answer cannot be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The peer refused the message.
    #[error("the peer refused the message: {0}")]
    Refused(RefusalReason),
}

/// A failed forwarded request. The variant states whether the peer may have handled the request.
#[derive(Clone, Debug, Error)]
pub enum ForwardError {
    /// The peer certainly did not handle the request.
    #[error("the peer did not handle the request: {reason}")]
    NotSent {
        /// Cause of the failure.
        reason: SmolStr,
    },
    /// The peer may have handled the request.
    #[error("the peer may have handled the request: {reason}")]
    Unknown {
        /// Cause of the failure.
        reason: SmolStr,
    },
}

impl ForwardError {
    /// Returns `true` if the peer certainly did not handle the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }

    pub(crate) fn not_sent(reason: impl ToSmolStr) -> Self {
        Self::NotSent {
            reason: reason.to_smolstr(),
        }
    }

    pub(crate) fn unknown(reason: impl ToSmolStr) -> Self {
        Self::Unknown {
            reason: reason.to_smolstr(),
        }
    }
}

/// Returns `true` if the error proves that the peer did not process the request.
///
/// The h2 library reports a remote GOAWAY only on streams above the last stream id in the frame. On the other
/// streams it reports the end of the connection as an I/O error (RFC 9113, sections 6.8 and 8.7).
pub(crate) fn proves_not_processed(error: &hyper::Error) -> bool {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(failure) = cause.downcast_ref::<h2::Error>() {
            let is_refused =
                failure.is_reset() && failure.reason() == Some(h2::Reason::REFUSED_STREAM);
            return failure.is_remote() && (is_refused || failure.is_go_away());
        }
        source = cause.source();
    }
    false
}
