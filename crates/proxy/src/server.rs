//! Accepts connections of callers over HTTP/1.1 and HTTP/2.
//!
//! The memory per connection is limited: over HTTP/1 to two heads and one read buffer, over HTTP/2 to
//! [`CONNECTION_WINDOW`] for request bodies and [`SEND_BUFFER`] for each stream.

use std::{
    convert::Infallible,
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use futures_util::FutureExt;
use http::{
    HeaderValue,
    Request,
    Response,
    Version,
    header::CONNECTION, //
};
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    service::service_fn, //
};
use hyper_util::{
    rt::{
        TokioExecutor,
        TokioIo,
        TokioTimer, //
    },
    server::{
        conn::auto::Builder,
        graceful::GracefulShutdown, //
    },
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        OwnedSemaphorePermit,
        Semaphore,
        watch, //
    },
    task::JoinSet,
    time::Instant, //
};

use crate::{
    body::ProxyBody,
    connection_guard::ConnectionGuard,
    head::{
        CallerAddress,
        HEADER_COUNT_MAX,
        check_request, //
    },
    head_queue::{
        HeadQueue,
        QueuedTime, //
    },
    names,
    refusal::{
        ExecutionStatus,
        RefusalKind, //
    },
};

/// HTTP/2 flow control window of a request stream, in bytes. With a round-trip time of 6 ms this allows
/// 10 MB/s per stream; 200 stalled uploads occupy at most 13 MB.
pub const STREAM_WINDOW: u32 = 64 << 10;

/// HTTP/2 flow control window of a connection, in bytes: enough for 32 stalled streams, so that a few slow
/// targets do not block the other uploads of the connection.
pub const CONNECTION_WINDOW: u32 = 2 << 20;

/// Maximum number of concurrent streams on one HTTP/2 connection. Callers open more connections for more
/// streams.
pub const STREAMS_MAX: u32 = 128;

/// Maximum number of response bytes buffered for one HTTP/2 stream.
pub const SEND_BUFFER: usize = 64 << 10;

/// Interval of HTTP/2 keep-alive pings, and the timeout for their acknowledgement.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Maximum idle time of an HTTP/1 connection between requests.
const IDLE_MAX: Duration = Duration::from_secs(30);

/// Maximum number of connections over the limit that are sent a refusal concurrently; further ones are
/// closed without a response.
const CONCURRENT_REFUSALS_MAX: usize = 64;

/// Time in which the first request of a connection that was accepted last is read before a planned stop closes idle
/// connections: one crossing between caller and host, and a scheduling delay on a host with a fraction of a core.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(200);

/// Timeout for sending a refusal on a connection over the limit.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after a failed accept. The usual cause is a lack of file descriptors, which ends when other
/// connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Limits for connections and requests of callers.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes_max: usize,
    /// Time within which a complete head must arrive.
    pub head_timeout: Duration,
    /// Maximum number of concurrent connections.
    pub connections_max: usize,
    /// Maximum time for which a planned stop waits for running requests.
    pub drain_limit: Duration,
}

/// HTTP server for callers.
#[derive(Debug)]
pub struct CallerServer {
    listener: TcpListener,
    limits: ServerLimits,
}

impl CallerServer {
    /// Binds a listening socket to an address.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound, for example because it is in use.
    pub async fn new(address: SocketAddr, limits: ServerLimits) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, limits })
    }

    /// Returns the local address, with the port that the system assigned if port 0 was requested.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the system cannot provide the local address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves callers until `stop` becomes `true`, then drains: connections that are established already are accepted,
    /// idle ones are closed, and the others finish their running requests.
    ///
    /// Returns `true` if all requests ended within the drain limit. The remaining connections are closed
    /// and their number is logged.
    pub async fn serve<H, F>(self, handler: H, mut stop: watch::Receiver<bool>) -> bool
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<ProxyBody>> + Send + 'static,
    {
        let server = self.builder();
        let permits = Arc::new(Semaphore::new(self.limits.connections_max));
        let refusals = Arc::new(Semaphore::new(CONCURRENT_REFUSALS_MAX));
        let graceful = GracefulShutdown::new();
        let mut tasks = JoinSet::new();
        let start = |tasks: &mut JoinSet<()>, (stream, address): (TcpStream, SocketAddr)| {
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                spawn_refusal(&refusals, stream);
                return;
            };
            let handler = handler.clone();
            let heads = HeadQueue::new();
            let stream = self.guard(stream, heads.clone());
            let service = service_fn(move |request| {
                let response = handle_request(handler.clone(), (address, heads.pop()), request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = server.serve_connection(TokioIo::new(stream), service);
            let connection = graceful.watch(connection.into_owned());
            tasks.spawn(run_connection(connection, permit));
        };
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                Some(_) = tasks.join_next() => continue,
                _ = stop.wait_for(|&is_stopping| is_stopping) => break,
            };
            match accepted {
                Ok(accepted) => start(&mut tasks, accepted),
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        let stopped_at = Instant::now();
        // Closing the listener would reset the connections that the system has established meanwhile.
        while let Some(Ok(accepted)) = self.listener.accept().now_or_never() {
            start(&mut tasks, accepted);
        }
        drop(self.listener);
        // A graceful shutdown closes a connection at once whose first request is not read yet.
        tokio::time::sleep(FIRST_REQUEST_TIME).await;
        drain(graceful, tasks, (stopped_at, self.limits.drain_limit)).await
    }

    fn guard(&self, stream: TcpStream, heads: HeadQueue) -> ConnectionGuard<TcpStream> {
        let limits = (self.limits.head_bytes_max, self.limits.head_timeout);
        ConnectionGuard::new(stream, limits, heads)
    }

    fn builder(&self) -> Builder<TokioExecutor> {
        let mut builder = Builder::new(TokioExecutor::new());
        let head_bytes_max = self.limits.head_bytes_max;
        builder
            .http1()
            .timer(TokioTimer::new())
            // The guard limits the time of a head; this timeout limits the time between requests.
            .header_read_timeout(IDLE_MAX + self.limits.head_timeout)
            .max_headers(HEADER_COUNT_MAX + 1)
            // hyper requires at least 8 KiB, and the buffer must hold any head that the guard accepts.
            .max_buf_size(head_bytes_max.max(8192));
        builder
            .http2()
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_concurrent_streams(STREAMS_MAX)
            .max_send_buf_size(SEND_BUFFER)
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_INTERVAL)
            .max_header_list_size(u32::try_from(head_bytes_max).unwrap_or(u32::MAX));
        builder
    }
}

/// Serves a connection until it ends, and then releases its permit.
async fn run_connection<E: fmt::Display>(
    connection: impl Future<Output = Result<(), E>>,
    permit: OwnedSemaphorePermit,
) {
    if let Err(error) = connection.await {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
    }
    drop(permit);
}

/// Sends a refusal to a connection over the limit, unless too many refusals are in progress already.
fn spawn_refusal(refusals: &Arc<Semaphore>, stream: TcpStream) {
    log::warn!("event=connection_refused reason=connections_max");
    if let Ok(refusal) = refusals.clone().try_acquire_owned() {
        tokio::spawn(async move {
            refuse_connection(stream).await;
            drop(refusal);
        });
    }
}

/// Validates the head of a request and passes it to the handler.
async fn handle_request<H, F>(
    handler: H,
    (address, queued): (SocketAddr, QueuedTime),
    mut request: Request<Incoming>,
) -> Response<ProxyBody>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<ProxyBody>>,
{
    let version = request.version();
    if let Some(name) = request.headers().get(names::GUARD_REFUSAL) {
        let kind = name.to_str().ok().and_then(RefusalKind::from_name);
        return refuse(kind.unwrap_or(RefusalKind::BadRequest), version);
    }
    let (parts, body) = request.into_parts();
    if let Err(kind) = check_request(&parts) {
        log::info!("event=request_refused reason={}", kind.name());
        return refuse(kind, version);
    }
    request = Request::from_parts(parts, body);
    request.extensions_mut().insert(CallerAddress(address));
    request.extensions_mut().insert(queued);
    handler(request).await
}

/// Creates the refusal of a request. In HTTP/1 it also closes the connection.
fn refuse(kind: RefusalKind, version: Version) -> Response<ProxyBody> {
    let mut response = kind.respond(ExecutionStatus::NotRun, None);
    if version < Version::HTTP_2 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Sends a refusal to a caller over the connection limit, without reading its request.
async fn refuse_connection(mut stream: TcpStream) {
    let wait = Some(Duration::from_secs(1));
    let response = RefusalKind::TooManyConnections.respond(ExecutionStatus::NotRun, wait);
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return;
    };
    let body = body.to_bytes();
    let mut text = format!("HTTP/1.1 {}\r\nconnection: close\r\n", parts.status).into_bytes();
    for (name, value) in &parts.headers {
        text.extend_from_slice(name.as_str().as_bytes());
        text.extend_from_slice(b": ");
        text.extend_from_slice(value.as_bytes());
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    text.extend_from_slice(&body);
    let exchange = async {
        stream.write_all(&text).await?;
        stream.shutdown().await?;
        // With unread data the system would reset the connection before the caller reads the refusal.
        let mut space = [0; 4096];
        while stream.read(&mut space).await? > 0 {}
        io::Result::Ok(())
    };
    if let Ok(Err(error)) = tokio::time::timeout(REFUSAL_TIMEOUT, exchange).await {
        log::debug!("event=connection_refusal_failed error=\"{error}\"");
    }
}

/// Waits for the connections to end and closes those that exceed the limit after the stop began.
async fn drain(
    graceful: GracefulShutdown,
    mut tasks: JoinSet<()>,
    (stopped_at, limit): (Instant, Duration),
) -> bool {
    let is_drained = tokio::time::timeout_at(stopped_at + limit, graceful.shutdown())
        .await
        .is_ok();
    while tasks.try_join_next().is_some() {}
    if !is_drained {
        let count = tasks.len();
        log::warn!(
            "event=forced_close connections={count} after_ms={}",
            limit.as_millis()
        );
    }
    tasks.shutdown().await;
    is_drained
}
