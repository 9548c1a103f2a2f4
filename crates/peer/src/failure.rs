//! Why a call or a forwarded request gave no answer.

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

/// Error of a body, whatever it comes from.
pub type BodyFault = Box<dyn StdError + Send + Sync>;

/// Why a call gave no answer.
#[derive(Clone, Debug, Error)]
pub enum PeerError {
    /// No connection came about.
    #[error("no connection: {reason}")]
    Connect {
        /// What failed.
        reason: SmolStr,
    },
    /// The connection broke.
    #[error("the connection broke: {reason}")]
    Broken {
        /// What failed.
        reason: SmolStr,
    },
    /// No answer came before the deadline.
    #[error("no answer before the deadline")]
    TimedOut,
    /// The message or the answer is not valid.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The peer refused the message.
    #[error("the peer refused: {0}")]
    Refused(RefusalReason),
}

/// Why a forwarded request gave no answer, and what is known about whether the peer handled it.
#[derive(Clone, Debug, Error)]
pub enum ForwardError {
    /// The peer certainly did not handle the request.
    #[error("not sent: {reason}")]
    NotSent {
        /// What failed.
        reason: SmolStr,
    },
    /// The peer may have handled the request.
    #[error("unknown whether the request was handled: {reason}")]
    Unknown {
        /// What failed.
        reason: SmolStr,
    },
}

impl ForwardError {
    /// Tells whether the peer certainly did not handle the request.
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

/// Tells whether an error proves that the peer did not handle the request.
///
/// The h2 library reports a remote GOAWAY only to streams above the id that the frame names, and
/// the end of the connection to the others as an I/O error (RFC 9113, sections 6.8 and 8.7).
pub(crate) fn is_proof_of_not_handled(error: &hyper::Error) -> bool {
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
