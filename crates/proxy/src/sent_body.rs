//! A request body that records how far it has been sent.

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

/// The body is being sent.
const SENDING: u8 = 0;
/// All of the body was handed to the connection.
pub(crate) const SENT_WHOLE: u8 = 1;
/// The body failed.
pub(crate) const SENT_CUT: u8 = 2;
/// The body made no progress.
pub(crate) const SENT_STALLED: u8 = 3;

/// How far a request body has been sent.
#[derive(Clone, Debug)]
pub(crate) struct SendProgress(Arc<AtomicU8>);

impl SendProgress {
    /// Nothing has been sent.
    pub(crate) fn new() -> Self {
        Self(Arc::new(AtomicU8::new(SENDING)))
    }

    fn set(&self, progress: u8) {
        self.0.store(progress, Ordering::Release);
    }

    /// Tells whether the body has come this far.
    pub(crate) fn is(&self, progress: u8) -> bool {
        self.0.load(Ordering::Acquire) == progress
    }
}

/// A request body that records how far it has been sent.
#[derive(Debug)]
pub(crate) struct SentBody {
    inner: ProxyBody,
    progress: SendProgress,
}

impl SentBody {
    /// Wraps a body.
    pub(crate) fn new(inner: ProxyBody, progress: SendProgress) -> Self {
        if inner.is_end_stream() {
            progress.set(SENT_WHOLE);
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
            Poll::Ready(Some(Err(BodyError::Stalled))) => self.progress.set(SENT_STALLED),
            Poll::Ready(Some(Err(_))) => self.progress.set(SENT_CUT),
            Poll::Ready(Some(Ok(_))) if !self.inner.is_end_stream() => {}
            Poll::Ready(_) => self.progress.set(SENT_WHOLE),
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
