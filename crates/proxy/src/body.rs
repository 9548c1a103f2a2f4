//! The streaming body type.

use std::{
    future::Future,
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
    time::Duration, //
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use http_body_util::{
    BodyExt,
    Empty,
    Full,
    combinators::UnsyncBoxBody, //
};
use hyper::body::Incoming;
use thiserror::Error;
use tokio::{
    task::AbortHandle,
    time::{
        Instant,
        Sleep, //
    },
};

use crate::head::sanitize_trailers;

/// Error that ends a body before it is complete.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The HTTP connection that the body is read from failed.
    #[error("the connection failed while the body was read: {0}")]
    Connection(#[from] hyper::Error),
    /// Too little data arrived within the idle timeout.
    #[error("the body made no progress within the idle timeout")]
    Stalled,
    /// A later attempt has taken over the body.
    #[error("a later attempt has taken over the body")]
    Superseded,
}

/// A boxed streaming body from any source.
pub type ProxyBody = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body without content.
pub fn empty_body() -> ProxyBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body from bytes in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> ProxyBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// How a [`WatchedBody`] ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// The whole body was read.
    Complete,
    /// The connection failed or the body stalled before its end.
    Truncated,
    /// The reader dropped the body, or left data unread for too long.
    Abandoned,
}

type EndCallback = Box<dyn FnOnce(BodyEnd) + Send>;

/// State shared between a body and the task that monitors its reader.
struct ReaderWatch {
    /// Callback for the end of the body; `None` once it has been called.
    on_end: Option<EndCallback>,
    /// Time at which the last frame was handed to the reader, unless the reader waits for data.
    unread_since: Option<Instant>,
}

/// A body that reports how it ended and fails when it makes no progress within an idle timeout.
///
/// Trailers that must not be forwarded are removed.
pub struct WatchedBody {
    inner: Incoming,
    idle_max: Duration,
    idle_timer: Pin<Box<Sleep>>,
    is_timer_running: bool,
    progress_min: usize,
    progress: usize,
    watch: Arc<Mutex<ReaderWatch>>,
    watcher: Option<AbortHandle>,
}

fn lock(watch: &Mutex<ReaderWatch>) -> MutexGuard<'_, ReaderWatch> {
    watch.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends a body as abandoned when its reader leaves data unread for `unread_max`.
async fn watch_reader(watch: Arc<Mutex<ReaderWatch>>, unread_max: Duration) {
    loop {
        let since = lock(&watch).unread_since.unwrap_or_else(Instant::now);
        tokio::time::sleep_until(since + unread_max).await;
        let mut state = lock(&watch);
        if state.unread_since != Some(since) {
            continue;
        }
        let on_end = state.on_end.take();
        drop(state);
        if let Some(on_end) = on_end {
            log::info!("event=answer_abandoned reason=unread");
            on_end(BodyEnd::Abandoned);
        }
        return;
    }
}

impl WatchedBody {
    /// Creates a body that calls `on_end` once with the way in which it ended.
    pub fn new(
        inner: Incoming,
        idle_max: Duration,
        on_end: impl FnOnce(BodyEnd) + Send + 'static,
    ) -> Self {
        let mut body = Self {
            inner,
            idle_max,
            idle_timer: Box::pin(tokio::time::sleep(idle_max)),
            is_timer_running: false,
            progress_min: 1,
            progress: 0,
            watch: Arc::new(Mutex::new(ReaderWatch {
                on_end: Some(Box::new(on_end)),
                unread_since: None,
            })),
            watcher: None,
        };
        // A body without content is complete from the start, and hyper may never poll it.
        if body.inner.is_end_stream() {
            body.finish(BodyEnd::Complete);
        }
        body
    }

    /// Requires this many bytes within each idle timeout, so that a sender cannot keep a body open by
    /// sending single bytes.
    pub fn with_progress_min(mut self, progress_min: usize) -> Self {
        self.progress_min = progress_min;
        self
    }

    /// Ends the body as abandoned when its reader leaves data unread for this time. Otherwise an HTTP/2
    /// caller that never opens its flow control window would occupy a slot of the target forever.
    pub fn with_unread_max(mut self, unread_max: Duration) -> Self {
        if lock(&self.watch).on_end.is_some() {
            let task = tokio::spawn(watch_reader(self.watch.clone(), unread_max));
            self.watcher = Some(task.abort_handle());
        }
        self
    }

    /// Restarts the idle timeout after enough bytes. Time in which a slow reader does not poll the body
    /// is not counted.
    fn record_progress(&mut self, count: usize) {
        self.progress += count;
        if self.progress >= self.progress_min {
            self.progress = 0;
            self.is_timer_running = false;
        }
    }

    fn poll_idle(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if !self.is_timer_running {
            self.is_timer_running = true;
            let deadline = Instant::now() + self.idle_max;
            self.idle_timer.as_mut().reset(deadline);
        }
        self.idle_timer.as_mut().poll(context)
    }

    fn finish(&mut self, end: BodyEnd) {
        if let Some(watcher) = self.watcher.take() {
            watcher.abort();
        }
        let on_end = lock(&self.watch).on_end.take();
        if let Some(on_end) = on_end {
            on_end(end);
        }
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        lock(&self.watch).unread_since = polled.is_ready().then(Instant::now);
        match polled {
            Poll::Ready(Some(Ok(mut frame))) => {
                self.record_progress(frame.data_ref().map_or(0, Bytes::len));
                if let Some(trailers) = frame.trailers_mut() {
                    sanitize_trailers(trailers);
                }
                if self.inner.is_end_stream() {
                    self.finish(BodyEnd::Complete);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.finish(BodyEnd::Truncated);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.finish(BodyEnd::Complete);
                Poll::Ready(None)
            }
            Poll::Pending => match self.poll_idle(context) {
                Poll::Ready(()) => {
                    self.finish(BodyEnd::Truncated);
                    Poll::Ready(Some(Err(BodyError::Stalled)))
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.finish(BodyEnd::Abandoned);
    }
}
