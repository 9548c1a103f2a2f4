//! A request body that records the progress of sending it.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicU8,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};

use crate::body::{
    BodyError,
    ProxyBody, //
};

/// The body has not been fully sent yet.
const SENDING: u8 = 0;
/// The whole body was handed to the connection.
pub(crate) const SEND_COMPLETE: u8 = 1;
/// The body failed before its end.
pub(crate) const SEND_FAILED: u8 = 2;
/// The body made no progress within its idle timeout.
pub(crate) const SEND_STALLED: u8 = 3;

/// Shared send state of a request body.
#[derive(Clone, Debug)]
pub(crate) struct SendProgress(Arc<AtomicU8>);

impl SendProgress {
    /// Creates the state of a body that is still to be sent.
    pub(crate) fn new() -> Self {
        Self(Arc::new(AtomicU8::new(SENDING)))
    }

    fn set(&self, progress: u8) {
        self.0.store(progress, Ordering::Release);
    }

    /// Returns `true` if the body is in this state.
    pub(crate) fn is(&self, progress: u8) -> bool {
        self.0.load(Ordering::Acquire) == progress
    }
}

/// A request body that records its send state in a [`SendProgress`].
#[derive(Debug)]
pub(crate) struct SentBody {
    inner: ProxyBody,
    progress: SendProgress,
}

impl SentBody {
    /// Creates a body that updates `progress` while it is sent.
    pub(crate) fn new(inner: ProxyBody, progress: SendProgress) -> Self {
        if inner.is_end_stream() {
            progress.set(SEND_COMPLETE);
        }
        Self { inner, progress }
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        match &polled {
            Poll::Ready(Some(Err(BodyError::Stalled))) => self.progress.set(SEND_STALLED),
            Poll::Ready(Some(Err(_))) => self.progress.set(SEND_FAILED),
            Poll::Ready(Some(Ok(_))) if !self.inner.is_end_stream() => {}
            Poll::Ready(_) => self.progress.set(SEND_COMPLETE),
            Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
