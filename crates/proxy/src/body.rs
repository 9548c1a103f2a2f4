//! The streamed body type.

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
    Full, //
    combinators::UnsyncBoxBody,
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

use crate::head::clean_trailers;

/// Why a body ended before its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The HTTP connection that the body comes from failed.
    #[error("the body was cut: {0}")]
    Cut(#[from] hyper::Error),
    /// No data came for too long.
    #[error("the body made no progress for too long")]
    Stalled,
    /// A later attempt reads the body now.
    #[error("a later attempt reads the body")]
    Superseded,
}

/// A body that streams, whatever it comes from.
pub type ProxyBody = UnsyncBoxBody<Bytes, BodyError>;

/// Makes a body without content.
pub fn empty_body() -> ProxyBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Makes a body of bytes that are at hand.
pub fn full_body(bytes: impl Into<Bytes>) -> ProxyBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// How a watched body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// All of it was read.
    Whole,
    /// The other side cut it, or it stalled.
    Cut,
    /// The reader went away first.
    Abandoned,
}

type EndCall = Box<dyn FnOnce(BodyEnd) + Send>;

/// What a body shares with the task that watches its reader.
struct ReaderWatch {
    on_end: Option<EndCall>,
    unread_since: Option<Instant>,
}

/// A body that reports its end and fails when it makes no progress for too long.
///
/// Trailers that must not be forwarded are taken out.
pub struct WatchedBody {
    inner: Incoming,
    idle_max: Duration,
    idle: Pin<Box<Sleep>>,
    is_waiting: bool,
    progress_min: usize,
    progress: usize,
    watch: Arc<Mutex<ReaderWatch>>,
    watcher: Option<AbortHandle>,
}

fn lock(watch: &Mutex<ReaderWatch>) -> MutexGuard<'_, ReaderWatch> {
    watch.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends a body as abandoned when its reader leaves data unread for too long.
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
    /// Watches a body.
    pub fn new(
        inner: Incoming,
        idle_max: Duration,
        on_end: impl FnOnce(BodyEnd) + Send + 'static,
    ) -> Self {
        let mut body = Self {
            inner,
            idle_max,
            idle: Box::pin(tokio::time::sleep(idle_max)),
            is_waiting: false,
            progress_min: 1,
            progress: 0,
            watch: Arc::new(Mutex::new(ReaderWatch {
                on_end: Some(Box::new(on_end)),
                unread_since: None,
            })),
            watcher: None,
        };
        // A body without content is whole at once; hyper may never poll it.
        if body.inner.is_end_stream() {
            body.finish(BodyEnd::Whole);
        }
        body
    }

    /// Requires this many bytes in each idle time, so that single bytes do not keep a body alive.
    pub fn with_progress_min(mut self, progress_min: usize) -> Self {
        self.progress_min = progress_min;
        self
    }

    /// Ends the body as abandoned when its reader leaves data unread for this time. An HTTP/2 caller
    /// that opens no window would otherwise hold a slot of the target for ever.
    pub fn with_unread_max(mut self, unread_max: Duration) -> Self {
        if lock(&self.watch).on_end.is_some() {
            let task = tokio::spawn(watch_reader(self.watch.clone(), unread_max));
            self.watcher = Some(task.abort_handle());
        }
        self
    }

    /// Restarts the idle time after enough bytes. The wait of a reader that is slow itself does not
    /// count.
    fn note_progress(&mut self, count: usize) {
        self.progress += count;
        if self.progress >= self.progress_min {
            self.progress = 0;
            self.is_waiting = false;
        }
    }

    fn poll_idle(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if !self.is_waiting {
            self.is_waiting = true;
            let deadline = Instant::now() + self.idle_max;
            self.idle.as_mut().reset(deadline);
        }
        self.idle.as_mut().poll(context)
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
                self.note_progress(frame.data_ref().map_or(0, Bytes::len));
                if let Some(trailers) = frame.trailers_mut() {
                    clean_trailers(trailers);
                }
                if self.inner.is_end_stream() {
                    self.finish(BodyEnd::Whole);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.finish(BodyEnd::Cut);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.finish(BodyEnd::Whole);
                Poll::Ready(None)
            }
            Poll::Pending => match self.poll_idle(context) {
                Poll::Ready(()) => {
                    self.finish(BodyEnd::Cut);
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
