//! Accepts peers.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
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
    Limited, //
    combinators::UnsyncBoxBody,
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
        Semaphore, //
        watch,
    },
    task::JoinSet,
};

use crate::{
    codec::{
        FormatVersion,
        MESSAGE_BYTES_MAX,
        PeerCodec, //
    },
    failure::BodyFault,
    forward::{
        FORWARD,
        ForwardHead,
        REFUSED, //
    },
    messages::{
        PeerMessage,
        RefusalReason, //
    },
};

/// Path of control messages.
pub(crate) const MESSAGE_PATH: &str = "/peer/message";

/// Most data in flight on one stream, in bytes. At 3 ms there and back this is about 40 MB/s, and a
/// 50 MB upload takes no more memory than this on each host.
pub(crate) const STREAM_WINDOW: u32 = 128 << 10;

/// Most streams of one peer at once.
const STREAMS_MAX: u32 = 128;

/// Most data in flight on one connection: all streams at their bound, so that streams whose reader
/// is slow never hold up heartbeats and other requests on the same connection.
pub(crate) const CONNECTION_WINDOW: u32 = STREAM_WINDOW * STREAMS_MAX;

/// Largest head of a request, in bytes: a caller's head and the forward header.
const HEAD_BYTES_MAX: u32 = 64 << 10;

/// Most connections at once: a few for each of 1,700 hosts while connections are replaced.
const CONNECTIONS_MAX: usize = 4096;

/// Longest time in which the body of a control message must arrive.
const MESSAGE_MAX: Duration = Duration::from_secs(2);

/// Time between pings to a peer that has requests under way, and the longest time for the answer.
const PING_PERIOD: Duration = Duration::from_secs(2);

/// Longest time that a planned stop waits for requests, unless told otherwise.
const DRAIN_MAX: Duration = Duration::from_secs(30);

type ServerBody = UnsyncBoxBody<Bytes, BodyFault>;

/// A listening socket for peers.
#[derive(Debug)]
pub struct PeerServer {
    listener: TcpListener,
    codec: PeerCodec,
    drain_limit: Duration,
}

impl PeerServer {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// Fails when the address is not free.
    pub async fn new(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::with_listener(TcpListener::bind(address).await?))
    }

    /// Takes peers from a socket that listens already.
    pub fn with_listener(listener: TcpListener) -> Self {
        Self {
            listener,
            codec: PeerCodec::new(),
            drain_limit: DRAIN_MAX,
        }
    }

    /// Decodes messages with the given codec.
    pub fn with_codec(mut self, codec: PeerCodec) -> Self {
        self.codec = codec;
        self
    }

    /// Sets how long a planned stop waits for requests.
    pub fn with_drain_limit(mut self, limit: Duration) -> Self {
        self.drain_limit = limit;
        self
    }

    /// Returns the address, with the port that the system chose if none was given.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves peers until `stop` turns true, then sends GOAWAY and drains.
    ///
    /// Returns whether all requests ended within the drain limit.
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
        B::Error: Into<BodyFault>,
    {
        let (builder, codec) = (builder(), self.codec);
        let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        let graceful = GracefulShutdown::new();
        // Connections end with this future, so that a forced close leaves none open.
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
            let service = service_fn(move |request| {
                let (on_message, on_forward) = (on_message.clone(), on_forward.clone());
                async move { Ok::<_, Infallible>(answer(codec, request, on_message, on_forward).await) }
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

/// Waits until all connections have ended, and closes those that have not within the limit.
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

/// Returns the next connection, or none once the server is to stop.
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
                // The usual cause is a lack of file handles, which passes as others close.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

fn builder() -> Builder<TokioExecutor> {
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
        // Hosts have no use for the date of an answer, and it is sent anew each second.
        .auto_date_header(false);
    builder
}

async fn answer<M, MF, F, FF, B>(
    codec: PeerCodec,
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
    B::Error: Into<BodyFault>,
{
    if let Some(value) = request.headers_mut().remove(FORWARD) {
        return match ForwardHead::from_header(&value) {
            Ok(head) => {
                let mut response = on_forward(head, request).await;
                response.headers_mut().remove(REFUSED);
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
            let message = on_message(message).await;
            respond(codec, StatusCode::OK, &message, version)
        }
        Err(error) => {
            log::debug!("event=peer_message_refused error=\"{error}\"");
            refuse(codec, error.refusal())
        }
    }
}

async fn read_message(body: Incoming) -> Result<Bytes, RefusalReason> {
    let body = Limited::new(body, MESSAGE_BYTES_MAX).collect();
    match tokio::time::timeout(MESSAGE_MAX, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RefusalReason::TooLarge),
        Ok(Err(_)) | Err(_) => Err(RefusalReason::Malformed),
    }
}

/// Refuses in the first format version, which every host understands.
fn refuse(codec: PeerCodec, reason: RefusalReason) -> Response<ServerBody> {
    let message = PeerMessage::Refused(reason);
    let mut response = respond(codec, StatusCode::BAD_REQUEST, &message, FormatVersion::V1);
    let mark = HeaderValue::from_static("1");
    response.headers_mut().insert(REFUSED, mark);
    response
}

fn respond(
    codec: PeerCodec,
    status: StatusCode,
    message: &PeerMessage,
    version: FormatVersion,
) -> Response<ServerBody> {
    let (status, bytes) = match codec.encode(message, version) {
        Ok(bytes) => (status, bytes),
        Err(error) => {
            log::warn!("event=peer_answer_not_encoded error=\"{error}\"");
            (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    };
    let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}
