//! Connections to one target.
//!
//! A connection serves one request at a time and is kept only when both the request and its answer
//! went through whole. All others are closed at once: a late answer on them could otherwise reach
//! the next request, and the target would go on with work that nobody waits for.

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
        Instant, //
        sleep_until,
        timeout_at,
    },
};

use crate::{
    body::{
        BodyEnd,
        ProxyBody,
        WatchedBody, //
    },
    head::clean_answer,
    metered_stream::{
        MeteredStream,
        WriteMeter, //
    },
    sent_body::{
        SENT_CUT,
        SENT_STALLED,
        SENT_WHOLE,
        SendProgress,
        SentBody, //
    },
    signals::TargetSignal,
    target_sender::TargetSender,
    task_group::TaskGroup,
};

pub use crate::target_sender::TargetProtocol;

/// Longest time that a connection stays idle.
const IDLE_MAX: Duration = Duration::from_secs(30);

/// Time between the last use of an idle connection and its close. It is longer than [`IDLE_MAX`],
/// so that no connection closes while a request takes it.
const IDLE_CLOSE: Duration = Duration::from_secs(31);

/// Longest time that a new connection may take; one takes about 1 ms.
const CONNECT_MAX: Duration = Duration::from_secs(1);

/// Longest time that a kept connection takes to be ready again; it only needs one turn of its task.
const READY_MAX: Duration = Duration::from_millis(50);

/// Why an attempt gave no answer.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// No connection came about, so that nothing was written.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// All connections stayed in use until the deadline, so that nothing was written.
    #[error("all connections to the target are in use")]
    NoConnection,
    /// The attempt ended before any byte of the request was written.
    #[error("the connection ended before the request was written")]
    NotWritten,
    /// The target refused the HTTP/2 stream before any processing (RFC 9113 section 8.7).
    #[error("the target refused the stream")]
    RefusedStream,
    /// The target sent GOAWAY with a last stream id below that of the request.
    #[error("the target went away before it took the request")]
    GoAway,
    /// The connection broke after some of the request may have been written.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// The body of the request failed while it was sent. This is no fault of the target.
    #[error("the request was cut while it was sent")]
    RequestCut,
    /// The body of the request came too slowly. This is no fault of the target.
    #[error("the request came too slowly")]
    RequestStalled,
    /// The target wants to change the protocol, which was not asked.
    #[error("the target answered with another protocol")]
    BadAnswer,
    /// No answer came before the deadline.
    #[error("no answer before the deadline")]
    TimedOut,
}

impl AttemptError {
    /// Tells whether the request has certainly not run: none of it was written, or the target said
    /// so by the protocol.
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

    fn of_connection(error: hyper::Error) -> Self {
        let source = std::error::Error::source(&error);
        match source.and_then(|source| source.downcast_ref::<h2::Error>()) {
            Some(h2) if h2.is_remote() && h2.reason() == Some(h2::Reason::REFUSED_STREAM) => {
                Self::RefusedStream
            }
            // The library gives this error to streams above the last id only; streams that the
            // target may have taken end with an I/O error.
            Some(h2) if h2.is_remote() && h2.is_go_away() => Self::GoAway,
            _ => Self::Broken(error),
        }
    }
}

/// One connection. Dropping it closes the socket.
#[derive(Debug)]
struct TargetConnection {
    sender: TargetSender,
    meter: WriteMeter,
    tasks: TaskGroup,
    idle_since: watch::Sender<Option<Instant>>,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.tasks.abort();
    }
}

/// Returns when a connection has been idle for too long.
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

/// The answer of a target. Dropping it closes its connection.
#[derive(Debug)]
pub struct TargetAnswer {
    /// What the head says about the target.
    pub signal: TargetSignal,
    response: Response<Incoming>,
    connection: TargetConnection,
    progress: SendProgress,
    client: Arc<TargetClient>,
}

impl TargetAnswer {
    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the answer for the caller, with a cleaned head.
    ///
    /// The body fails when it makes no progress for `idle_max`, and ends as abandoned when it is not
    /// read for that time. The connection is kept when it ends
    /// whole and closed otherwise; `on_end` runs after that.
    pub fn into_response(
        self,
        idle_max: Duration,
        on_end: impl FnOnce(BodyEnd) + Send + 'static,
    ) -> Response<ProxyBody> {
        let (mut parts, body) = self.response.into_parts();
        clean_answer(&mut parts);
        // The version of the target's connection says nothing about the caller's.
        parts.version = Version::HTTP_11;
        let (client, connection, progress) = (self.client, self.connection, self.progress);
        let body = WatchedBody::new(body, idle_max, move |end| {
            // An answer may end before its request; the rest of the request must not be read as
            // the next one.
            if end == BodyEnd::Whole && progress.is(SENT_WHOLE) {
                client.keep(connection);
            } else {
                drop(connection);
            }
            on_end(end);
        })
        .with_unread_max(idle_max);
        Response::from_parts(parts, body.boxed_unsync())
    }
}

/// Is called when the target closes a kept connection.
type LostCall = Arc<dyn Fn() + Send + Sync>;

/// Connections to one target.
pub struct TargetClient {
    address: SocketAddr,
    protocol: TargetProtocol,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<TargetConnection>>,
    on_lost: Option<LostCall>,
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
    /// Makes a client that has at most `connections_max` connections open at any time.
    pub fn new(address: SocketAddr, connections_max: usize) -> Self {
        Self {
            address,
            protocol: TargetProtocol::Http1,
            permits: Arc::new(Semaphore::new(connections_max)),
            idle: Mutex::new(Vec::new()),
            on_lost: None,
        }
    }

    /// Calls a closure when the target closes a connection that was kept for later requests.
    pub fn with_on_lost(mut self, on_lost: impl Fn() + Send + Sync + 'static) -> Self {
        self.on_lost = Some(Arc::new(on_lost));
        self
    }

    /// Makes the client speak another protocol than HTTP/1.1.
    ///
    /// An HTTP/2 connection too carries one request at a time: closing it must hit no other one.
    pub fn with_protocol(mut self, protocol: TargetProtocol) -> Self {
        self.protocol = protocol;
        self
    }

    fn idle(&self) -> MutexGuard<'_, Vec<TargetConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn keep(&self, connection: TargetConnection) {
        let tasks = connection.tasks.clone();
        connection.idle_since.send_replace(Some(Instant::now()));
        self.idle().push(connection);
        // The permit goes last: whoever gets it finds the idle connection.
        drop(tasks.swap_permit(None));
    }

    /// Takes an idle connection or opens one, once a permit is free.
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
        let meter = WriteMeter::default();
        let stream = MeteredStream::new(stream, meter.clone());
        let tasks = TaskGroup::new(permit);
        let idle_since = watch::Sender::new(None);
        let expired = idle_expired(idle_since.subscribe());
        let (is_kept, on_lost) = (idle_since.subscribe(), self.on_lost.clone());
        let on_ended = move || {
            if is_kept.borrow().is_some()
                && let Some(on_lost) = on_lost
            {
                on_lost();
            }
        };
        let ends = (expired, on_ended);
        let sender = TargetSender::start(self.protocol, stream, &tasks, ends)
            .await
            .map_err(|_| AttemptError::NotWritten)?;
        Ok(TargetConnection {
            sender,
            meter,
            tasks,
            idle_since,
        })
    }

    /// Closes all idle connections. They may be as silent as one that has just timed out.
    fn close_idle(&self) {
        let mut idle = self.idle();
        let connections = std::mem::take(&mut *idle);
        for connection in connections {
            // A connection without the time of its last use is not taken again.
            connection.idle_since.send_replace(None);
            // It needs a permit until its socket is closed. When none is free, the request that got
            // the last one closes it.
            match self.permits.clone().try_acquire_owned() {
                Ok(permit) => drop(connection.tasks.swap_permit(Some(permit))),
                Err(_) => idle.push(connection),
            }
        }
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// Dropping the future or the answer closes the connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// Fails with what is known about whether the request was written.
    pub async fn send(
        self: &Arc<Self>,
        request: Request<ProxyBody>,
        deadline: Instant,
    ) -> Result<TargetAnswer, AttemptError> {
        let mut connection = timeout_at(deadline, self.acquire())
            .await
            .unwrap_or(Err(AttemptError::NoConnection))?;
        let written = connection.meter.count();
        let progress = SendProgress::new();
        let request = request.map(|body| SentBody::new(body, progress.clone()));
        let sent = timeout_at(deadline, connection.sender.send(request, self.address)).await;
        let error = match sent {
            Ok(Ok(response)) if response.status() != StatusCode::SWITCHING_PROTOCOLS => {
                return Ok(TargetAnswer {
                    signal: TargetSignal::new(response.status(), response.headers()),
                    response,
                    connection,
                    progress,
                    client: self.clone(),
                });
            }
            Ok(Ok(_)) => AttemptError::BadAnswer,
            Ok(Err(failure)) => AttemptError::of_connection(failure),
            Err(_) => {
                self.close_idle();
                AttemptError::TimedOut
            }
        };
        // The count is final only when the socket is closed.
        connection.tasks.close().await;
        Err(match error {
            _ if progress.is(SENT_CUT) => AttemptError::RequestCut,
            _ if progress.is(SENT_STALLED) => AttemptError::RequestStalled,
            _ if connection.meter.count() == written => AttemptError::NotWritten,
            error => error,
        })
    }
}
