//! Request bodies that can be sent again as long as little of them was read.
//!
//! An attempt that is refused before it runs has read at most a flow-control window of the body. The
//! first part of the body is therefore kept until it exceeds [`REPLAY_BYTES_MAX`]; up to there
//! another attempt can start over. Beyond it the body streams through and cannot be sent again.

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

/// Most bytes of a body that are kept for another attempt.
///
/// Above the 64 KiB flow-control window of a forwarded stream, so that an owner that refuses before
/// it reads the body never makes it unrepeatable.
pub const REPLAY_BYTES_MAX: usize = 128 * 1024;

/// What has been read of the body so far.
struct ReplaySource {
    body: ProxyBody,
    kept: Vec<Bytes>,
    kept_bytes: usize,
    trailers: Option<HeaderMap>,
    has_overflowed: bool,
    has_ended: bool,
    has_failed: bool,
    attempt: u32,
}

impl ReplaySource {
    fn keep(&mut self, frame: &Frame<Bytes>) {
        if let Some(data) = frame.data_ref() {
            self.kept_bytes += data.len();
            if self.kept_bytes > REPLAY_BYTES_MAX {
                self.has_overflowed = true;
                self.kept = Vec::new();
            } else {
                self.kept.push(data.clone());
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
            Some(Ok(frame)) if !self.has_overflowed => self.keep(frame),
            Some(Ok(_)) => {}
            Some(Err(_)) => self.has_failed = true,
            None => self.has_ended = true,
        }
        Poll::Ready(frame)
    }
}

/// A request body from which attempts are made.
pub struct ReplayBody {
    source: Arc<Mutex<ReplaySource>>,
}

fn lock(source: &Mutex<ReplaySource>) -> MutexGuard<'_, ReplaySource> {
    source.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ReplayBody {
    /// Takes a body.
    pub fn new(body: ProxyBody) -> Self {
        Self {
            source: Arc::new(Mutex::new(ReplaySource {
                body,
                kept: Vec::new(),
                kept_bytes: 0,
                trailers: None,
                has_overflowed: false,
                has_ended: false,
                has_failed: false,
                attempt: 0,
            })),
        }
    }

    /// Tells whether another attempt can still start from the beginning.
    pub fn can_replay(&self) -> bool {
        let source = lock(&self.source);
        !source.has_overflowed && !source.has_failed
    }

    /// Returns the body for a further attempt; bodies of earlier attempts fail from now on.
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
        if let Some(data) = source.kept.get(attempt.position) {
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
        attempt.position = source.kept.len();
        attempt.has_sent_trailers = source.trailers.is_some();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let source = lock(&self.source);
        source.attempt == self.attempt
            && self.position >= source.kept.len()
            && (source.has_ended || source.body.is_end_stream())
            && (source.trailers.is_none() || self.has_sent_trailers)
    }

    fn size_hint(&self) -> SizeHint {
        let source = lock(&self.source);
        let unsent: usize = source.kept[self.position.min(source.kept.len())..]
            .iter()
            .map(Bytes::len)
            .sum();
        let hint = source.body.size_hint();
        let unsent = unsent as u64;
        let mut whole = SizeHint::new();
        if let Some(upper) = hint.upper() {
            whole.set_upper(upper + unsent);
        }
        whole.set_lower(hint.lower() + unsent);
        whole
    }
}
