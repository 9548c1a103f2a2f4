//! The client side: one persistent connection per peer.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU8,
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use http::{
    Request,
    Response,
    Uri,
    Version,
    uri::PathAndQuery, //
};
use http_body::Body;
use http_body_util::{
    BodyExt,
    Full,
    Limited,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    body::Incoming,
    client::conn::http2::{
        Builder,
        SendRequest, //
    },
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo,
    TokioTimer, //
};
use tokio::{
    net::TcpStream,
    sync::OnceCell,
    time::{
        Instant,
        timeout_at, //
    },
};

use crate::{
    codec::{
        FormatVersion,
        MESSAGE_BYTES_MAX,
        PeerCodec, //
    },
    failure::{
        BodyError,
        ForwardError,
        PeerError,
        proves_not_processed, //
    },
    forward::{
        FORWARD_HEADER,
        ForwardHead,
        REFUSED_HEADER, //
    },
    messages::{
        PeerMessage,
        RefusalReason, //
    },
    server::{
        CONNECTION_WINDOW,
        MESSAGE_PATH,
        STREAM_WINDOW, //
    },
    traffic::{
        CallMeter,
        CallObserver, //
    },
};

/// Timeout for establishing a connection, which usually takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between pings while requests are pending. Idle connections are not pinged: heartbeats detect an
/// unresponsive peer, and pings to every peer would double the number of messages.
const PING_PERIOD: Duration = Duration::from_secs(1);

/// Timeout for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time after which a connection is closed. An idle connection may have become unresponsive, and without
/// this limit a host in a large fleet would keep a connection to every other host.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Size limit of the send buffer of one stream, in bytes.
const SEND_BUFFER_MAX: usize = 64 << 10;

type ClientBody = UnsyncBoxBody<Bytes, BodyError>;

/// The connection to one peer, which is established on first use.
#[derive(Debug)]
struct PeerConnection {
    sender: OnceCell<SendRequest<ClientBody>>,
    /// Format version for messages to the peer: the highest one that this host supports, or a lower one that
    /// the peer stated when it refused that.
    version: AtomicU8,
    /// Time of the last use, in milliseconds since the creation of the client.
    used_at: AtomicU64,
}

impl PeerConnection {
    fn is_idle(&self, now_millis: u64) -> bool {
        let idle = now_millis.saturating_sub(self.used_at.load(Ordering::Relaxed));
        Duration::from_millis(idle) > IDLE_TIMEOUT
    }
}

/// A client that sends messages and forwards requests to peers over one connection per peer.
#[derive(Debug)]
pub struct PeerClient {
    connections: ShardMap<SocketAddr, Arc<PeerConnection>>,
    codec: PeerCodec,
    started_at: Instant,
    observer: CallObserver,
}

impl Default for PeerClient {
    fn default() -> Self {
        Self::new()
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<ClientBody>, PeerError> {
    let connect_error = |reason: String| PeerError::Connect {
        reason: reason.into(),
        is_refused: false,
    };
    let attempt = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok::<_, std::io::Error>(stream)
    };
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, attempt)
        .await
        .map_err(|_| connect_error("timed out".to_owned()))?
        .map_err(|error| PeerError::Connect {
            reason: error.to_string().into(),
            is_refused: error.kind() == std::io::ErrorKind::ConnectionRefused,
        })?;
    let (sender, connection) = Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buf_size(SEND_BUFFER_MAX)
        .keep_alive_interval(PING_PERIOD)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(false)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| connect_error(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("event=peer_connection_ended peer={address} error=\"{error}\"");
        }
    });
    Ok(sender)
}

fn peer_uri(address: SocketAddr, path: PathAndQuery) -> Result<Uri, http::Error> {
    Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
}

impl PeerClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::with_codec(PeerCodec::new())
    }

    /// Creates a client that encodes and decodes messages with `codec`.
    pub fn with_codec(codec: PeerCodec) -> Self {
        Self {
            connections: ShardMap::new(),
            codec,
            started_at: Instant::now(),
            observer: CallObserver::default(),
        }
    }

    /// Sets the receiver of the reports of calls.
    pub fn with_observer(mut self, observer: CallObserver) -> Self {
        self.observer = observer;
        self
    }

    /// Returns the connection to a peer. One that is closed or was idle for too long is replaced.
    fn connection_to(&self, address: SocketAddr) -> Arc<PeerConnection> {
        let now = self.elapsed_millis();
        let create = || {
            Arc::new(PeerConnection {
                sender: OnceCell::new(),
                version: AtomicU8::new(self.codec.highest().get()),
                used_at: AtomicU64::new(now),
            })
        };
        self.connections
            .with_or_insert(&address, create, |connection| {
                if connection.sender.get().is_some_and(SendRequest::is_closed)
                    || connection.is_idle(now)
                {
                    *connection = create();
                }
                connection.used_at.store(now, Ordering::Relaxed);
                connection.clone()
            })
    }

    fn elapsed_millis(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Closes connections that have been idle for 30 s, without interrupting requests in flight on them, and
    /// returns the number of remaining connections.
    pub fn sweep_idle(&self) -> usize {
        let now = self.elapsed_millis();
        self.connections
            .retain(|_, connection| !connection.is_idle(now));
        self.connections.len()
    }

    /// Removes a connection, so that later calls establish a new one. Requests in flight on it are not
    /// interrupted.
    fn discard(&self, address: SocketAddr, connection: &Arc<PeerConnection>) {
        self.connections
            .retain(|other, held| *other != address || !Arc::ptr_eq(held, connection));
    }

    async fn sender_of(
        &self,
        address: SocketAddr,
        connection: &Arc<PeerConnection>,
    ) -> Result<SendRequest<ClientBody>, PeerError> {
        let sender = connection.sender.get_or_try_init(|| connect(address)).await;
        sender.cloned()
    }

    /// Removes the connection to a peer that has left the fleet.
    pub fn disconnect(&self, address: SocketAddr) {
        self.connections.remove(&address);
    }

    /// Sends a message in the given format version and decodes the answer.
    async fn exchange(
        &self,
        address: SocketAddr,
        connection: &Arc<PeerConnection>,
        message: &PeerMessage,
        version: FormatVersion,
    ) -> Result<PeerMessage, PeerError> {
        let bytes = self.codec.encode(message, version)?;
        let mut meter = CallMeter::new(&self.observer, message, bytes.len());
        let answer = self.send(address, connection, bytes, &mut meter).await;
        meter.finish(answer.is_ok());
        Ok(self.codec.decode(&answer?)?.1)
    }

    /// Sends the bytes of a message and returns those of the answer.
    async fn send(
        &self,
        address: SocketAddr,
        connection: &Arc<PeerConnection>,
        bytes: Vec<u8>,
        meter: &mut CallMeter<'_>,
    ) -> Result<Vec<u8>, PeerError> {
        let broken_error = |reason: String| PeerError::Broken {
            reason: reason.into(),
        };
        let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
        let uri = peer_uri(address, PathAndQuery::from_static(MESSAGE_PATH));
        let request = uri
            .and_then(|uri| Request::post(uri).body(body.boxed_unsync()))
            .map_err(|error| broken_error(error.to_string()))?;
        let mut sender = self.sender_of(address, connection).await?;
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| broken_error(error.to_string()))?;
        let mut body = Limited::new(response.into_body(), MESSAGE_BYTES_MAX);
        let mut answer = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| broken_error(error.to_string()))?;
            if let Some(data) = frame.data_ref() {
                meter.on_received(data.len());
                answer.extend_from_slice(data);
            }
        }
        Ok(answer)
    }

    /// Sends a message and returns the answer.
    ///
    /// If a peer of an older release refuses the format version, the message is sent once more in the version
    /// that the refusal states.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer arrives before the deadline or if the peer refuses the message. The
    /// connection is discarded unless the peer has answered.
    pub async fn call(
        &self,
        address: SocketAddr,
        message: PeerMessage,
        deadline: Instant,
    ) -> Result<PeerMessage, PeerError> {
        let connection = self.connection_to(address);
        let exchange = async {
            let version = FormatVersion::new(connection.version.load(Ordering::Relaxed));
            let answer = self
                .exchange(address, &connection, &message, version)
                .await?;
            let PeerMessage::Refused(RefusalReason::UnknownVersion(highest)) = answer else {
                return Ok(answer);
            };
            if highest >= version.get() {
                return Ok(answer);
            }
            connection.version.store(highest, Ordering::Relaxed);
            let version = FormatVersion::new(highest);
            self.exchange(address, &connection, &message, version).await
        };
        let outcome = timeout_at(deadline, exchange)
            .await
            .unwrap_or(Err(PeerError::TimedOut));
        match outcome {
            Ok(PeerMessage::Refused(reason)) => Err(PeerError::Refused(reason)),
            Ok(answer) => Ok(answer),
            Err(error) => {
                if !matches!(error, PeerError::Codec(_)) {
                    self.discard(address, &connection);
                }
                Err(error)
            }
        }
    }

    /// Forwards a request and returns the response, whose body is still being received.
    ///
    /// A connection on which a forwarded request timed out is kept, because the target behind the peer may be
    /// slow; the pings detect an unresponsive connection.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardError::NotSent`] if the peer certainly did not handle the request, and
    /// [`ForwardError::Unknown`] if it may have.
    pub async fn forward<B>(
        &self,
        address: SocketAddr,
        head: ForwardHead,
        request: Request<B>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, ForwardError>
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BodyError>,
    {
        let request = forward_request(address, &head, request)?;
        let connection = self.connection_to(address);
        let sender = timeout_at(deadline, self.sender_of(address, &connection)).await;
        let mut sender = match sender {
            Ok(Ok(sender)) => sender,
            Ok(Err(error)) => {
                self.discard(address, &connection);
                return Err(ForwardError::not_sent(error));
            }
            Err(_) => {
                return Err(ForwardError::not_sent(
                    "no connection to the peer before the deadline",
                ));
            }
        };
        match timeout_at(deadline, sender.try_send_request(request)).await {
            Ok(Ok(response)) if response.headers().contains_key(REFUSED_HEADER) => Err(
                ForwardError::not_sent("the peer refused the forward header"),
            ),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut failure)) => {
                self.discard(address, &connection);
                let is_not_sent = failure.take_message().is_some();
                let error = failure.into_error();
                if is_not_sent || proves_not_processed(&error) {
                    return Err(ForwardError::not_sent(error));
                }
                Err(ForwardError::unknown(error))
            }
            Err(_) => Err(ForwardError::unknown(
                "no answer of the peer before the deadline",
            )),
        }
    }
}

/// Prepares a request for a peer: sets the URI, the HTTP version and the forward header.
fn forward_request<B>(
    address: SocketAddr,
    head: &ForwardHead,
    request: Request<B>,
) -> Result<Request<ClientBody>, ForwardError>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    let (mut parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    parts.uri = peer_uri(address, path).map_err(ForwardError::not_sent)?;
    parts.version = Version::HTTP_2;
    let header = head.to_header().map_err(ForwardError::not_sent)?;
    parts.headers.insert(FORWARD_HEADER, header);
    let body = body.map_err(Into::into).boxed_unsync();
    Ok(Request::from_parts(parts, body))
}
