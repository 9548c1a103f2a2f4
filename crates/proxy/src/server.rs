//! Accepts callers over HTTP/1.1 and HTTP/2.
//!
//! Memory per connection is bounded by the constants below: over HTTP/1 by two heads and one read,
//! over HTTP/2 by [`CONNECTION_WINDOW`] for request bodies and [`SEND_BUFFER`] for each stream.

use std::{
    convert::Infallible,
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use http::{
    HeaderValue,
    Request,
    Response,
    Version, //
    header::CONNECTION,
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
        Semaphore, //
        watch,
    },
    task::JoinSet,
};

use crate::{
    body::ProxyBody,
    connection_guard::ConnectionGuard,
    head::{
        CallerAddress,
        HEADER_COUNT_MAX, //
        check_request,
    },
    names,
    refusal::{
        RefusalKind,
        RunStatement, //
    },
};

/// Bytes that a caller may send on one HTTP/2 stream before they are read. With a round trip of 6 ms
/// this allows 10 MB/s a stream; 200 stalled uploads hold at most 13 MB.
pub const STREAM_WINDOW: u32 = 64 << 10;

/// Bytes that a caller may send on one HTTP/2 connection before they are read: room for 32 stalled
/// streams, so that a few slow targets do not stop the other uploads of a connection.
pub const CONNECTION_WINDOW: u32 = 2 << 20;

/// Most streams at once on one HTTP/2 connection. Callers open further connections for more.
pub const STREAMS_MAX: u32 = 128;

/// Bytes of answers that wait for one HTTP/2 stream.
pub const SEND_BUFFER: usize = 64 << 10;

/// Time after which a silent HTTP/2 connection is probed, and for which the probe may take.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Longest time that an HTTP/1 connection stays idle between requests.
const IDLE_MAX: Duration = Duration::from_secs(30);

/// Most connections over the limit that get a refusal at once; further ones are only closed.
const REFUSED_AT_ONCE_MAX: usize = 64;

/// Longest time that writing a refusal to a connection over the limit takes.
const REFUSAL_MAX: Duration = Duration::from_millis(500);

/// Time to wait after a failed accept; the usual cause, a lack of file handles, passes as others close.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest head, in bytes.
    pub head_bytes_max: usize,
    /// Time in which a head must arrive.
    pub head_timeout: Duration,
    /// Most connections at once.
    pub connections_max: usize,
    /// Longest time that a planned stop waits for requests.
    pub drain_limit: Duration,
}

/// A listening socket for callers.
#[derive(Debug)]
pub struct CallerServer {
    listener: TcpListener,
    limits: ServerLimits,
}

impl CallerServer {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// Fails when the address is not free.
    pub async fn new(address: SocketAddr, limits: ServerLimits) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, limits })
    }

    /// Returns the address, with the port that the system chose if none was given.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves callers until `stop` turns true, then drains: idle connections close, others finish
    /// what they have begun.
    ///
    /// Returns whether all requests ended within the drain limit. Connections that did not are
    /// closed and reported in the log.
    pub async fn serve<H, F>(self, handler: H, mut stop: watch::Receiver<bool>) -> bool
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<ProxyBody>> + Send + 'static,
    {
        let builder = self.builder();
        let permits = Arc::new(Semaphore::new(self.limits.connections_max));
        let refusals = Arc::new(Semaphore::new(REFUSED_AT_ONCE_MAX));
        let graceful = GracefulShutdown::new();
        let mut tasks = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                Some(_) = tasks.join_next() => continue,
                _ = stop.wait_for(|&is_stopping| is_stopping) => break,
            };
            let (stream, address) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                spawn_refusal(&refusals, stream);
                continue;
            };
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let answer = answer(handler.clone(), address, request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let stream = self.guard(stream);
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tasks.spawn(run(graceful.watch(connection.into_owned()), permit));
        }
        drop(self.listener);
        drain(graceful, tasks, self.limits.drain_limit).await
    }

    fn guard(&self, stream: TcpStream) -> ConnectionGuard<TcpStream> {
        ConnectionGuard::new(stream, self.limits.head_bytes_max, self.limits.head_timeout)
    }

    fn builder(&self) -> Builder<TokioExecutor> {
        let mut builder = Builder::new(TokioExecutor::new());
        let head_bytes_max = self.limits.head_bytes_max;
        builder
            .http1()
            .timer(TokioTimer::new())
            // The guard bounds the time of a head; this bounds the time between requests.
            .header_read_timeout(IDLE_MAX + self.limits.head_timeout)
            .max_headers(HEADER_COUNT_MAX + 1)
            // The library needs 8 KiB at least, and room for a head that the guard passed.
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

/// Runs a connection to its end and then frees its permit.
async fn run<E: fmt::Display>(
    connection: impl Future<Output = Result<(), E>>,
    permit: OwnedSemaphorePermit,
) {
    if let Err(error) = connection.await {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
    }
    drop(permit);
}

/// Refuses a connection over the limit, unless too many are being refused already.
fn spawn_refusal(refusals: &Arc<Semaphore>, stream: TcpStream) {
    log::warn!("event=connection_refused reason=connections_max");
    if let Ok(refusal) = refusals.clone().try_acquire_owned() {
        tokio::spawn(async move {
            refuse_connection(stream).await;
            drop(refusal);
        });
    }
}

/// Checks the head of a request and hands it to the handler.
async fn answer<H, F>(
    handler: H,
    address: SocketAddr,
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
    handler(request).await
}

/// Refuses a request and closes its connection where the version has one a request.
fn refuse(kind: RefusalKind, version: Version) -> Response<ProxyBody> {
    let mut response = kind.respond(RunStatement::NotRun, None);
    if version < Version::HTTP_2 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Tells a caller over the connection limit so, without reading its request.
async fn refuse_connection(mut stream: TcpStream) {
    let wait = Some(Duration::from_secs(1));
    let response = RefusalKind::TooManyConnections.respond(RunStatement::NotRun, wait);
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
        // Unread data would make the system reset the connection before the refusal is read.
        let mut space = [0; 4096];
        while stream.read(&mut space).await? > 0 {}
        io::Result::Ok(())
    };
    if let Ok(Err(error)) = tokio::time::timeout(REFUSAL_MAX, exchange).await {
        log::debug!("event=connection_refusal_failed error=\"{error}\"");
    }
}

/// Waits for the connections to end and closes those that take too long.
async fn drain(graceful: GracefulShutdown, mut tasks: JoinSet<()>, limit: Duration) -> bool {
    let is_drained = tokio::time::timeout(limit, graceful.shutdown())
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
