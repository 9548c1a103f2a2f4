//! The server side: accepts connections of peers.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use http::{
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body::Body;
use http_body_util::{
    BodyExt,
    Full,
    LengthLimitError,
    Limited,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    body::Incoming,
    server::conn::http2::Builder,
    service::service_fn, //
};
use hyper_util::{
    rt::{
        TokioExecutor,
        TokioIo,
        TokioTimer, //
    },
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        Semaphore,
        watch, //
    },
    task::JoinSet,
};

use crate::{
    codec::{
        FormatVersion,
        MESSAGE_BYTES_MAX,
        PeerCodec, //
    },
    failure::BodyError,
    forward::{
        FORWARD_HEADER,
        ForwardHead,
        REFUSED_HEADER, //
    },
    messages::{
        PeerMessage,
        RefusalReason, //
    },
    traffic::{
        AnswerObserver,
        AnswerReport,
        MessageKind, //
    },
};

/// HTTP path of control messages.
pub(crate) const MESSAGE_PATH: &str = "/peer/message";

/// Flow-control window of one stream, in bytes. At a round-trip time of 3 ms this allows about 40 MB/s, and a
/// 50 MB upload buffers at most this much on each host.
pub(crate) const STREAM_WINDOW: u32 = 128 << 10;

/// Limit of concurrent streams per connection.
const STREAMS_MAX: u32 = 128;

/// Flow-control window of one connection, in bytes. It equals the windows of all streams together, so that
/// streams with a slow reader never block heartbeats and other requests on the same connection.
pub(crate) const CONNECTION_WINDOW: u32 = STREAM_WINDOW * STREAMS_MAX;

/// Largest head of a request, in bytes. It has room for a caller's head and the forward header.
const HEAD_BYTES_MAX: u32 = 64 << 10;

/// Limit of connections. It allows a few for each of 1,700 hosts while connections are being replaced.
const CONNECTIONS_MAX: usize = 4096;

/// Timeout for receiving the body of a control message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between pings to a peer with requests in flight, and the timeout for the answer to a ping.
const PING_PERIOD: Duration = Duration::from_secs(2);

/// Default timeout for requests in flight during a planned stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

type ServerBody = UnsyncBoxBody<Bytes, BodyError>;

/// A server that listens for peers.
#[derive(Debug)]
pub struct PeerServer {
    listener: TcpListener,
    codec: PeerCodec,
    drain_limit: Duration,
    observer: AnswerObserver,
}

impl PeerServer {
    /// Creates a server that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn new(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::with_listener(TcpListener::bind(address).await?))
    }

    /// Creates a server that accepts peers from an existing listener.
    pub fn with_listener(listener: TcpListener) -> Self {
        Self {
            listener,
            codec: PeerCodec::new(),
            drain_limit: DRAIN_TIMEOUT,
            observer: AnswerObserver::default(),
        }
    }

    /// Sets the codec for messages.
    pub fn with_codec(mut self, codec: PeerCodec) -> Self {
        self.codec = codec;
        self
    }

    /// Sets the receiver of the reports of answered messages.
    pub fn with_observer(mut self, observer: AnswerObserver) -> Self {
        self.observer = observer;
        self
    }

    /// Sets the longest time that a planned stop waits for requests in flight.
    pub fn with_drain_limit(mut self, limit: Duration) -> Self {
        self.drain_limit = limit;
        self
    }

    /// Returns the address that the server listens on, with the actual port if port 0 was requested.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot return the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves peers until `stop` becomes `true`, then sends GOAWAY and drains the connections.
    ///
    /// Returns `true` if all requests ended within the drain limit.
    pub async fn serve<M, MF, F, FF, B>(
        self,
        on_message: M,
        on_forward: F,
        mut stop: watch::Receiver<bool>,
    ) -> bool
    where
        M: Fn(PeerMessage) -> MF + Clone + Send + Sync + 'static,
        MF: Future<Output = PeerMessage> + Send + 'static,
        F: Fn(ForwardHead, Request<Incoming>) -> FF + Clone + Send + Sync + 'static,
        FF: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BodyError>,
    {
        let (builder, codec, observer) = (http2_builder(), self.codec, self.observer);
        let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        let graceful = GracefulShutdown::new();
        // Dropping this future aborts the connection tasks, so that a forced close leaves no connection open.
        let mut tasks = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = accept(&self.listener, &mut stop) => accepted,
                Some(_) = tasks.join_next() => continue,
            };
            let Some(stream) = accepted else {
                break;
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                log::warn!("event=peer_connection_refused reason=connections_max");
                continue;
            };
            let (on_message, on_forward) = (on_message.clone(), on_forward.clone());
            let observer = observer.clone();
            let service = service_fn(move |request| {
                let (on_message, on_forward) = (on_message.clone(), on_forward.clone());
                let service = MessageService {
                    codec,
                    observer: observer.clone(),
                };
                async move { Ok::<_, Infallible>(service.handle(request, on_message, on_forward).await) }
            });
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            let connection = graceful.watch(connection);
            tasks.spawn(async move {
                if let Err(error) = connection.await {
                    log::debug!("event=peer_connection_ended error=\"{error}\"");
                }
                drop(permit);
            });
        }
        drop(self.listener);
        drain(graceful, tasks, self.drain_limit).await
    }
}

/// Waits until all connections are closed, and closes the remaining ones forcibly after `limit`.
async fn drain(graceful: GracefulShutdown, mut tasks: JoinSet<()>, limit: Duration) -> bool {
    let is_drained = tokio::time::timeout(limit, graceful.shutdown())
        .await
        .is_ok();
    while tasks.try_join_next().is_some() {}
    if !is_drained {
        let count = tasks.len();
        log::warn!(
            "event=peer_forced_close connections={count} after_ms={}",
            limit.as_millis()
        );
    }
    tasks.shutdown().await;
    is_drained
}

/// Returns the next connection, or `None` if the server must stop.
async fn accept(listener: &TcpListener, stop: &mut watch::Receiver<bool>) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|&is_stopping| is_stopping) => return None,
        };
        match accepted.and_then(|(stream, _)| stream.set_nodelay(true).map(|()| stream)) {
            Ok(stream) => return Some(stream),
            Err(error) => {
                log::warn!("event=peer_accept_failed error=\"{error}\"");
                // The usual cause is a lack of file descriptors, which become free as other connections close.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

fn http2_builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(STREAMS_MAX)
        .max_send_buf_size(STREAM_WINDOW as usize)
        .max_header_list_size(HEAD_BYTES_MAX)
        .keep_alive_interval(PING_PERIOD)
        .keep_alive_timeout(PING_PERIOD)
        // Hosts do not use the date header, and its value changes every second, so that header compression
        // would send it again.
        .auto_date_header(false);
    builder
}

/// Handles the requests of peers.
#[derive(Debug)]
struct MessageService {
    codec: PeerCodec,
    observer: AnswerObserver,
}

impl MessageService {
    /// Handles one HTTP request of a peer: a forwarded request or a control message.
    async fn handle<M, MF, F, FF, B>(
        &self,
        mut request: Request<Incoming>,
        on_message: M,
        on_forward: F,
    ) -> Response<ServerBody>
    where
        M: Fn(PeerMessage) -> MF,
        MF: Future<Output = PeerMessage>,
        F: Fn(ForwardHead, Request<Incoming>) -> FF,
        FF: Future<Output = Response<B>>,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BodyError>,
    {
        let codec = self.codec;
        if let Some(value) = request.headers_mut().remove(FORWARD_HEADER) {
            return match ForwardHead::from_header(&value) {
                Ok(head) => {
                    let mut response = on_forward(head, request).await;
                    response.headers_mut().remove(REFUSED_HEADER);
                    response.map(|body| body.map_err(Into::into).boxed_unsync())
                }
                Err(error) => refuse(codec, error.refusal()),
            };
        }
        if request.method() != Method::POST || request.uri().path() != MESSAGE_PATH {
            return refuse(codec, RefusalReason::NotFromPeer);
        }
        let bytes = match read_message(request.into_body()).await {
            Ok(bytes) => bytes,
            Err(reason) => return refuse(codec, reason),
        };
        match codec.decode(&bytes) {
            Ok((version, message)) => {
                let kind = MessageKind::of(&message);
                let message = on_message(message).await;
                let answer = encode_answer(codec, &message, version);
                self.observer.observe(&AnswerReport {
                    kind,
                    received: ByteCount::of_length(bytes.len()),
                    sent: ByteCount::of_length(answer.as_ref().map_or(0, Vec::len)),
                });
                respond(StatusCode::OK, answer)
            }
            Err(error) => {
                log::debug!("event=peer_message_refused error=\"{error}\"");
                refuse(codec, error.refusal())
            }
        }
    }
}

/// Reads the body of a control message.
async fn read_message(body: Incoming) -> Result<Bytes, RefusalReason> {
    let body = Limited::new(body, MESSAGE_BYTES_MAX).collect();
    match tokio::time::timeout(MESSAGE_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RefusalReason::TooLarge),
        Ok(Err(_)) | Err(_) => Err(RefusalReason::Malformed),
    }
}

/// Creates a refusal, in the first format version, which every host supports.
fn refuse(codec: PeerCodec, reason: RefusalReason) -> Response<ServerBody> {
    let message = PeerMessage::Refused(reason);
    let answer = encode_answer(codec, &message, FormatVersion::V1);
    let mut response = respond(StatusCode::BAD_REQUEST, answer);
    let value = HeaderValue::from_static("1");
    response.headers_mut().insert(REFUSED_HEADER, value);
    response
}

/// Encodes an answer, and logs a failure.
fn encode_answer(
    codec: PeerCodec,
    message: &PeerMessage,
    version: FormatVersion,
) -> Option<Vec<u8>> {
    let encoded = codec.encode(message, version);
    if let Err(error) = &encoded {
        log::warn!("event=peer_answer_not_encoded error=\"{error}\"");
    }
    encoded.ok()
}

/// Creates a response with an encoded message, or an error if there is none.
fn respond(status: StatusCode, answer: Option<Vec<u8>>) -> Response<ServerBody> {
    let status = match answer {
        Some(_) => status,
        None => StatusCode::INTERNAL_SERVER_ERROR,
    };
    let bytes = Bytes::from(answer.unwrap_or_default());
    let body = Full::new(bytes).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}
