//! The connection pool of one target.
//!
//! A connection serves one request at a time and is reused only when both the request and its response
//! were transferred completely. All other connections are closed immediately, because a late response
//! could be taken for that of the next request and the target would process an abandoned request.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use http::{
    Request,
    Response,
    StatusCode,
    Version, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::{
    net::TcpStream,
    sync::{
        OwnedSemaphorePermit,
        Semaphore,
        watch, //
    },
    time::{
        Instant,
        sleep_until,
        timeout_at, //
    },
};

use crate::{
    body::{
        BodyEnd,
        ProxyBody,
        WatchedBody, //
    },
    head::sanitize_response,
    metered_stream::{
        MeteredStream,
        ReadMeter,
        WriteMeter, //
    },
    sent_body::{
        SEND_COMPLETE,
        SEND_FAILED,
        SEND_STALLED,
        SendProgress,
        SentBody, //
    },
    signals::TargetSignal,
    target_sender::TargetSender,
    task_group::TaskGroup,
};

pub use crate::target_sender::TargetProtocol;

/// Idle time after which a connection is not reused.
const IDLE_MAX: Duration = Duration::from_secs(30);

/// Idle time after which a connection is closed. It is longer than [`IDLE_MAX`], so that no connection
/// closes while a request acquires it.
const IDLE_CLOSE: Duration = Duration::from_secs(31);

/// Timeout for opening a connection; opening one usually takes about 1 ms.
const CONNECT_MAX: Duration = Duration::from_secs(1);

/// Timeout for an idle connection to become ready again; this only needs one poll of its task.
const READY_MAX: Duration = Duration::from_millis(50);

/// Error of an attempt that received no response.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// The connection could not be opened, so that nothing was written.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// All connections stayed in use until the deadline, so that nothing was written.
    #[error("all connections to the target stayed in use until the deadline")]
    NoConnection,
    /// The attempt ended before any byte of the request was written.
    #[error("the connection ended before the request was written")]
    NotWritten,
    /// The target refused the HTTP/2 stream before any processing (RFC 9113 section 8.7).
    #[error("the target refused the HTTP/2 stream")]
    RefusedStream,
    /// The target sent GOAWAY with a last stream id below that of the request.
    #[error("the target sent GOAWAY before it processed the request")]
    GoAway,
    /// The connection failed after part of the request may have been written.
    #[error("the connection broke: {0}")]
    ConnectionBroken(hyper::Error),
    /// The request body failed before it was fully sent. This does not count as a fault of the target.
    #[error("the request body failed before it was fully sent")]
    RequestBodyFailed,
    /// The request body arrived too slowly. This does not count as a fault of the target.
    #[error("the request body made no progress within the idle timeout")]
    RequestBodyStalled,
    /// The target answered with status 101, although no protocol upgrade was requested.
    #[error("the target answered with status 101, but no upgrade was requested")]
    UnexpectedUpgrade,
    /// The response did not arrive before the deadline.
    #[error("no answer before the deadline")]
    TimedOut,
}

impl AttemptError {
    /// Returns `true` if the target certainly did not run the request: none of it was written, or the
    /// HTTP/2 protocol rules out any processing.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Connect(_)
                | Self::NoConnection
                | Self::NotWritten
                | Self::RefusedStream
                | Self::GoAway
        )
    }

    fn from_hyper(error: hyper::Error) -> Self {
        let source = std::error::Error::source(&error);
        match source.and_then(|source| source.downcast_ref::<h2::Error>()) {
            Some(h2) if h2.is_remote() && h2.reason() == Some(h2::Reason::REFUSED_STREAM) => {
                Self::RefusedStream
            }
            // The h2 library returns this error only for streams above the last id; streams that the
            // target may have processed end with an I/O error.
            Some(h2) if h2.is_remote() && h2.is_go_away() => Self::GoAway,
            _ => Self::ConnectionBroken(error),
        }
    }
}

/// One connection to the target. Dropping it closes the socket.
#[derive(Debug)]
struct TargetConnection {
    sender: TargetSender,
    read_meter: ReadMeter,
    write_meter: WriteMeter,
    tasks: TaskGroup,
    idle_since: watch::Sender<Option<Instant>>,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.tasks.abort();
    }
}

/// Completes when a connection has been idle for [`IDLE_CLOSE`], or has been dropped.
async fn idle_expired(mut idle_since: watch::Receiver<Option<Instant>>) {
    loop {
        let since = *idle_since.borrow_and_update();
        let expired = async {
            match since {
                Some(since) => sleep_until(since + IDLE_CLOSE).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = expired => return,
            changed = idle_since.changed() => if changed.is_err() { return },
        }
    }
}

/// The response of a target. Dropping it closes its connection.
#[derive(Debug)]
pub struct TargetResponse {
    /// State of the target that the response headers report.
    pub signal: TargetSignal,
    response: Response<Incoming>,
    connection: TargetConnection,
    progress: SendProgress,
    client: Arc<TargetClient>,
}

impl TargetResponse {
    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Converts this into the response for the caller, with a sanitized head.
    ///
    /// The body fails when it makes no progress for `idle_max`, and ends as abandoned when it is not
    /// read for that time. The connection is reused if the request and the response are complete, and
    /// closed otherwise; `on_end` is called after that.
    pub fn into_response(
        self,
        idle_max: Duration,
        on_end: impl FnOnce(BodyEnd) + Send + 'static,
    ) -> Response<ProxyBody> {
        let (mut parts, body) = self.response.into_parts();
        sanitize_response(&mut parts);
        // The HTTP version of the target's connection is independent of the caller's.
        parts.version = Version::HTTP_11;
        let (client, connection, progress) = (self.client, self.connection, self.progress);
        let body = WatchedBody::new(body, idle_max, move |end| {
            // A response may end before its request. On a reused connection the rest of the request
            // would be read as the next one.
            if end == BodyEnd::Complete && progress.is(SEND_COMPLETE) {
                client.release(connection);
            } else {
                drop(connection);
            }
            on_end(end);
        })
        .with_unread_max(idle_max);
        Response::from_parts(parts, body.boxed_unsync())
    }
}

/// Callback for an idle connection that the target closed.
type IdleClosedCallback = Arc<dyn Fn() + Send + Sync>;

/// Pooled connections to one target.
pub struct TargetClient {
    address: SocketAddr,
    protocol: TargetProtocol,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<TargetConnection>>,
    on_idle_closed: Option<IdleClosedCallback>,
}

impl fmt::Debug for TargetClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetClient")
            .field("address", &self.address)
            .field("protocol", &self.protocol)
            .finish_non_exhaustive()
    }
}

impl TargetClient {
    /// Creates a client with at most `connections_max` open connections, over HTTP/1.1 by default.
    pub fn new(address: SocketAddr, connections_max: usize) -> Self {
        Self {
            address,
            protocol: TargetProtocol::Http1,
            permits: Arc::new(Semaphore::new(connections_max)),
            idle: Mutex::new(Vec::new()),
            on_idle_closed: None,
        }
    }

    /// Sets a callback for when the target closes an idle connection.
    pub fn with_on_idle_closed(
        mut self,
        on_idle_closed: impl Fn() + Send + Sync + 'static,
    ) -> Self {
        self.on_idle_closed = Some(Arc::new(on_idle_closed));
        self
    }

    /// Sets the protocol of new connections.
    ///
    /// An HTTP/2 connection also carries one request at a time, so that closing it to cancel a request
    /// affects no other request.
    pub fn with_protocol(mut self, protocol: TargetProtocol) -> Self {
        self.protocol = protocol;
        self
    }

    fn idle(&self) -> MutexGuard<'_, Vec<TargetConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a connection available to later requests.
    fn release(&self, connection: TargetConnection) {
        let tasks = connection.tasks.clone();
        connection.idle_since.send_replace(Some(Instant::now()));
        self.idle().push(connection);
        // The permit is released last, so that the next holder finds the idle connection.
        drop(tasks.swap_permit(None));
    }

    /// Waits for a permit, then returns an idle connection or opens a new one.
    async fn acquire(&self) -> Result<TargetConnection, AttemptError> {
        loop {
            let permit = self.permits.clone().acquire_owned().await;
            let permit = permit.map_err(|_| AttemptError::NoConnection)?;
            let Some(mut connection) = self.idle().pop() else {
                return self.connect(permit).await;
            };
            connection.tasks.swap_permit(Some(permit));
            let since = connection.idle_since.send_replace(None);
            let is_fresh = since.is_some_and(|since| since.elapsed() < IDLE_MAX);
            let limit = Instant::now() + READY_MAX;
            if is_fresh && let Ok(Ok(())) = timeout_at(limit, connection.sender.ready()).await {
                return Ok(connection);
            }
        }
    }

    async fn connect(
        &self,
        permit: OwnedSemaphorePermit,
    ) -> Result<TargetConnection, AttemptError> {
        let stream = tokio::time::timeout(CONNECT_MAX, TcpStream::connect(self.address))
            .await
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
            .map_err(AttemptError::Connect)?;
        stream.set_nodelay(true).map_err(AttemptError::Connect)?;
        let stream = MeteredStream::new(stream);
        let (read_meter, write_meter) = (stream.read_meter(), stream.write_meter());
        let tasks = TaskGroup::new(permit);
        let idle_since = watch::Sender::new(None);
        let expired = idle_expired(idle_since.subscribe());
        let (idle_state, on_idle_closed) = (idle_since.subscribe(), self.on_idle_closed.clone());
        let on_ended = move || {
            if idle_state.borrow().is_some()
                && let Some(on_idle_closed) = on_idle_closed
            {
                on_idle_closed();
            }
        };
        let ends = (expired, on_ended);
        let sender = TargetSender::start(self.protocol, stream, &tasks, ends)
            .await
            .map_err(|_| AttemptError::NotWritten)?;
        Ok(TargetConnection {
            sender,
            read_meter,
            write_meter,
            tasks,
            idle_since,
        })
    }

    /// Closes all idle connections, which may be as unresponsive as one that has just timed out.
    fn close_idle(&self) {
        let mut idle = self.idle();
        let connections = std::mem::take(&mut *idle);
        for connection in connections {
            // A connection without an idle start time is not reused.
            connection.idle_since.send_replace(None);
            // The connection needs a permit until its socket is closed. If no permit is free, the request
            // that holds the last one closes the connection.
            match self.permits.clone().try_acquire_owned() {
                Ok(permit) => drop(connection.tasks.swap_permit(Some(permit))),
                Err(_) => idle.push(connection),
            }
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the future or the response closes the connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptError`], whose [`AttemptError::is_not_run`] states whether the request may have
    /// run.
    pub async fn send(
        self: &Arc<Self>,
        request: Request<ProxyBody>,
        deadline: Instant,
    ) -> Result<TargetResponse, AttemptError> {
        let mut connection = timeout_at(deadline, self.acquire())
            .await
            .unwrap_or(Err(AttemptError::NoConnection))?;
        let written = connection.write_meter.count();
        // Over HTTP/2 the library limits heads, and bodies may be read ahead.
        if self.protocol == TargetProtocol::Http1 {
            connection.read_meter.expect_head();
        }
        let progress = SendProgress::new();
        let request = request.map(|body| SentBody::new(body, progress.clone()));
        let sent = timeout_at(deadline, connection.sender.send(request, self.address)).await;
        let error = match sent {
            Ok(Ok(response)) if response.status() != StatusCode::SWITCHING_PROTOCOLS => {
                connection.read_meter.on_head();
                return Ok(TargetResponse {
                    signal: TargetSignal::new(response.status(), response.headers()),
                    response,
                    connection,
                    progress,
                    client: self.clone(),
                });
            }
            Ok(Ok(_)) => AttemptError::UnexpectedUpgrade,
            Ok(Err(failure)) => AttemptError::from_hyper(failure),
            Err(_) => {
                self.close_idle();
                AttemptError::TimedOut
            }
        };
        // The count of written bytes is final only after the socket is closed.
        connection.tasks.close().await;
        Err(match error {
            _ if progress.is(SEND_FAILED) => AttemptError::RequestBodyFailed,
            _ if progress.is(SEND_STALLED) => AttemptError::RequestBodyStalled,
            _ if connection.write_meter.count() == written => AttemptError::NotWritten,
            error => error,
        })
    }
}
