//! Request bodies that can be sent again as long as only a small part of them was read.
//!
//! An attempt that is refused before it runs has read at most one flow-control window of the body.
//! The start of the body is therefore buffered up to [`REPLAY_BYTES_MAX`], so that another attempt
//! can send it again. A longer body is streamed beyond this size and cannot be sent again.

use std::{
    pin::Pin,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use chicorycroft_proxy::prelude::*;
use http::HeaderMap;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use http_body_util::BodyExt;

/// Largest part of a body in bytes that is buffered for another attempt.
///
/// It exceeds the 64 KiB flow-control window of a forwarded stream, so that a body can be sent again
/// after an owner refuses without reading it.
pub const REPLAY_BYTES_MAX: usize = 128 * 1024;

/// The body of the caller's request, with the part that has been read so far.
struct ReplaySource {
    body: ProxyBody,
    buffered: Vec<Bytes>,
    buffered_bytes: usize,
    trailers: Option<HeaderMap>,
    has_overflowed: bool,
    has_ended: bool,
    has_failed: bool,
    attempt: u32,
}

impl ReplaySource {
    fn buffer(&mut self, frame: &Frame<Bytes>) {
        if let Some(data) = frame.data_ref() {
            self.buffered_bytes += data.len();
            if self.buffered_bytes > REPLAY_BYTES_MAX {
                self.has_overflowed = true;
                self.buffered = Vec::new();
            } else {
                self.buffered.push(data.clone());
            }
        } else if let Some(trailers) = frame.trailers_ref() {
            self.trailers = Some(trailers.clone());
        }
    }

    fn poll_body(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            Some(Ok(frame)) if !self.has_overflowed => self.buffer(frame),
            Some(Ok(_)) => {}
            Some(Err(_)) => self.has_failed = true,
            None => self.has_ended = true,
        }
        Poll::Ready(frame)
    }
}

/// A request body that several attempts can read.
pub struct ReplayBody {
    source: Arc<Mutex<ReplaySource>>,
}

fn lock(source: &Mutex<ReplaySource>) -> MutexGuard<'_, ReplaySource> {
    source.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ReplayBody {
    /// Wraps the body of a caller's request.
    pub fn new(body: ProxyBody) -> Self {
        Self {
            source: Arc::new(Mutex::new(ReplaySource {
                body,
                buffered: Vec::new(),
                buffered_bytes: 0,
                trailers: None,
                has_overflowed: false,
                has_ended: false,
                has_failed: false,
                attempt: 0,
            })),
        }
    }

    /// Returns `true` if another attempt can read the body from its start.
    pub fn can_replay(&self) -> bool {
        let source = lock(&self.source);
        !source.has_overflowed && !source.has_failed
    }

    /// Returns the body for a new attempt. Bodies of earlier attempts fail from then on.
    pub fn next_attempt(&self) -> ProxyBody {
        let mut source = lock(&self.source);
        source.attempt += 1;
        AttemptBody {
            source: self.source.clone(),
            attempt: source.attempt,
            position: 0,
            has_sent_trailers: false,
        }
        .boxed_unsync()
    }
}

/// The body of one attempt.
struct AttemptBody {
    source: Arc<Mutex<ReplaySource>>,
    attempt: u32,
    position: usize,
    has_sent_trailers: bool,
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let attempt = &mut *self;
        let mut source = lock(&attempt.source);
        if source.attempt != attempt.attempt {
            return Poll::Ready(Some(Err(BodyError::Superseded)));
        }
        if let Some(data) = source.buffered.get(attempt.position) {
            attempt.position += 1;
            return Poll::Ready(Some(Ok(Frame::data(data.clone()))));
        }
        if source.has_ended || source.trailers.is_some() {
            let trailers = source.trailers.clone();
            let trailers = trailers.filter(|_| !attempt.has_sent_trailers);
            attempt.has_sent_trailers = true;
            return Poll::Ready(trailers.map(|trailers| Ok(Frame::trailers(trailers))));
        }
        let frame = std::task::ready!(source.poll_body(context));
        attempt.position = source.buffered.len();
        attempt.has_sent_trailers = source.trailers.is_some();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let source = lock(&self.source);
        source.attempt == self.attempt
            && self.position >= source.buffered.len()
            && (source.has_ended || source.body.is_end_stream())
            && (source.trailers.is_none() || self.has_sent_trailers)
    }

    fn size_hint(&self) -> SizeHint {
        let source = lock(&self.source);
        let unsent: usize = source.buffered[self.position.min(source.buffered.len())..]
            .iter()
            .map(Bytes::len)
            .sum();
        let hint = source.body.size_hint();
        let unsent = unsent as u64;
        let mut total = SizeHint::new();
        if let Some(upper) = hint.upper() {
            total.set_upper(upper + unsent);
        }
        total.set_lower(hint.lower() + unsent);
        total
    }
}
