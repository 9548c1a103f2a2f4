//! The body of a target's answer, with a limit on the bytes of its framing.
//!
//! A faulty target may send chunks of one byte without end. Such a body costs much processor time and yields little
//! content, so the size limit on the content alone ends it late.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
};

use bytes::Bytes;
use chicorycroft_proxy::prelude::*;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use hyper::body::Incoming;
use thiserror::Error;

use crate::exchange::BUFFER_BYTES_MAX;

/// Bytes that may be read beyond [`WIRE_RATIO_MAX`]: twice what the HTTP library reads ahead of the content.
const EXCESS_BYTES_MAX: u64 = 2 * BUFFER_BYTES_MAX as u64;

/// Maximum ratio of the bytes on the connection to those of the content. Chunks of six bytes are within it.
const WIRE_RATIO_MAX: u64 = 2;

/// An error while reading the body of an answer.
#[derive(Debug, Error)]
pub(crate) enum AnswerBodyError {
    /// The connection failed, or the body is malformed.
    #[error("the answer broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The body consists mostly of framing.
    #[error("{read} bytes were read for {content} bytes of content")]
    TooMuchFraming {
        /// Bytes read from the connection since the head.
        read: u64,
        /// Bytes of the content among them.
        content: u64,
    },
}

/// The body of an answer.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    inner: Incoming,
    read_meter: ReadMeter,
    /// Bytes read from the connection up to the head of the answer.
    read_before: u64,
    content: u64,
}

impl AnswerBody {
    /// Creates the body that follows the head which was just read from the connection of `read_meter`.
    pub(crate) fn new(inner: Incoming, read_meter: ReadMeter) -> Self {
        Self {
            inner,
            read_before: read_meter.count(),
            read_meter,
            content: 0,
        }
    }

    fn check_framing(&self) -> Result<(), AnswerBodyError> {
        let (read, content) = (self.read_meter.count() - self.read_before, self.content);
        match read > content * WIRE_RATIO_MAX + EXCESS_BYTES_MAX {
            true => Err(AnswerBodyError::TooMuchFraming { read, content }),
            false => Ok(()),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBodyError>>> {
        let Some(frame) = ready!(Pin::new(&mut self.inner).poll_frame(context)) else {
            return Poll::Ready(None);
        };
        let frame = frame?;
        let length = frame.data_ref().map_or(0, Bytes::len);
        self.content += u64::try_from(length).unwrap_or(0);
        self.check_framing()?;
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
