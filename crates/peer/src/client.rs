//! One kept connection per peer.

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
    Limited, //
    combinators::UnsyncBoxBody,
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
        Instant, //
        timeout_at,
    },
};

use crate::{
    codec::{
        FormatVersion,
        MESSAGE_BYTES_MAX,
        PeerCodec, //
    },
    failure::{
        BodyFault,
        ForwardError,
        PeerError,
        is_proof_of_not_handled, //
    },
    forward::{
        FORWARD,
        ForwardHead,
        REFUSED, //
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
};

/// Longest time that a new connection may take; one takes about 1 ms.
const CONNECT_MAX: Duration = Duration::from_secs(1);

/// Time between pings while requests wait. An idle connection gets none: the heartbeats find out
/// whether it is silent, and pings to every peer would double their number.
const PING_PERIOD: Duration = Duration::from_secs(1);

/// Longest time for the answer to a ping.
const PING_MAX: Duration = Duration::from_secs(1);

/// Longest time that a connection stays idle. It may have gone silent meanwhile, and a host in a large
/// fleet would else keep a connection to every other one.
const IDLE_MAX: Duration = Duration::from_secs(30);

/// Most data that waits in one stream's send buffer, in bytes.
const SEND_BUFFER_MAX: usize = 64 << 10;

type ClientBody = UnsyncBoxBody<Bytes, BodyFault>;

/// A connection to one peer, once it has come about.
#[derive(Debug)]
struct PeerLink {
    sender: OnceCell<SendRequest<ClientBody>>,
    /// Format version that the peer understands.
    version: AtomicU8,
    /// Milliseconds from the start of the client to the last use.
    used_at: AtomicU64,
}

impl PeerLink {
    fn is_idle(&self, now_millis: u64) -> bool {
        let idle = now_millis.saturating_sub(self.used_at.load(Ordering::Relaxed));
        Duration::from_millis(idle) > IDLE_MAX
    }
}

/// Connections to all peers.
#[derive(Debug)]
pub struct PeerClient {
    links: ShardMap<SocketAddr, Arc<PeerLink>>,
    codec: PeerCodec,
    started_at: Instant,
}

impl Default for PeerClient {
    fn default() -> Self {
        Self::new()
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<ClientBody>, PeerError> {
    let failed = |reason: String| PeerError::Connect {
        reason: reason.into(),
    };
    let attempt = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok::<_, std::io::Error>(stream)
    };
    let stream = tokio::time::timeout(CONNECT_MAX, attempt)
        .await
        .map_err(|_| failed("timed out".to_owned()))?
        .map_err(|error| failed(error.to_string()))?;
    let (sender, connection) = Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buf_size(SEND_BUFFER_MAX)
        .keep_alive_interval(PING_PERIOD)
        .keep_alive_timeout(PING_MAX)
        .keep_alive_while_idle(false)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(error.to_string()))?;
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
    /// Makes a client without connections.
    pub fn new() -> Self {
        Self::with_codec(PeerCodec::new())
    }

    /// Makes a client that encodes messages with the given codec.
    pub fn with_codec(codec: PeerCodec) -> Self {
        Self {
            links: ShardMap::new(),
            codec,
            started_at: Instant::now(),
        }
    }

    fn link_to(&self, address: SocketAddr) -> Arc<PeerLink> {
        let now = self.millis();
        let make = || {
            Arc::new(PeerLink {
                sender: OnceCell::new(),
                version: AtomicU8::new(self.codec.highest().get()),
                used_at: AtomicU64::new(now),
            })
        };
        self.links.with_or_insert(&address, make, |link| {
            if link.sender.get().is_some_and(SendRequest::is_closed) || link.is_idle(now) {
                *link = make();
            }
            link.used_at.store(now, Ordering::Relaxed);
            link.clone()
        })
    }

    fn millis(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Closes connections that have been idle for 30 s; requests under way on them go on. Returns
    /// the number of those that stay.
    pub fn sweep_idle(&self) -> usize {
        let now = self.millis();
        self.links.retain(|_, link| !link.is_idle(now));
        self.links.len()
    }

    /// Lets later calls make a new connection; requests under way on this one go on.
    fn replace(&self, address: SocketAddr, link: &Arc<PeerLink>) {
        self.links
            .retain(|at, kept| *at != address || !Arc::ptr_eq(kept, link));
    }

    async fn sender_of(
        &self,
        address: SocketAddr,
        link: &Arc<PeerLink>,
    ) -> Result<SendRequest<ClientBody>, PeerError> {
        let sender = link.sender.get_or_try_init(|| connect(address)).await;
        sender.cloned()
    }

    /// Closes the connection to a peer that has left.
    pub fn forget(&self, address: SocketAddr) {
        self.links.remove(&address);
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        link: &Arc<PeerLink>,
        message: &PeerMessage,
        version: FormatVersion,
    ) -> Result<PeerMessage, PeerError> {
        let broken = |reason: String| PeerError::Broken {
            reason: reason.into(),
        };
        let bytes = self.codec.encode(message, version)?;
        let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
        let uri = peer_uri(address, PathAndQuery::from_static(MESSAGE_PATH));
        let request = uri
            .and_then(|uri| Request::post(uri).body(body.boxed_unsync()))
            .map_err(|error| broken(error.to_string()))?;
        let mut sender = self.sender_of(address, link).await?;
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| broken(error.to_string()))?;
        let body = Limited::new(response.into_body(), MESSAGE_BYTES_MAX);
        let body = body
            .collect()
            .await
            .map_err(|error| broken(error.to_string()))?;
        Ok(self.codec.decode(&body.to_bytes())?.1)
    }

    /// Sends a message and returns the answer.
    ///
    /// A peer of an older release is sent the format version that it names in its refusal.
    ///
    /// # Errors
    ///
    /// Fails when no valid answer comes before the deadline, and when the peer refuses. The
    /// connection is replaced unless the peer has answered.
    pub async fn call(
        &self,
        address: SocketAddr,
        message: PeerMessage,
        deadline: Instant,
    ) -> Result<PeerMessage, PeerError> {
        let link = self.link_to(address);
        let exchanges = async {
            let version = FormatVersion::new(link.version.load(Ordering::Relaxed));
            let answer = self.exchange(address, &link, &message, version).await?;
            let PeerMessage::Refused(RefusalReason::UnknownVersion(highest)) = answer else {
                return Ok(answer);
            };
            if highest >= version.get() {
                return Ok(answer);
            }
            link.version.store(highest, Ordering::Relaxed);
            let version = FormatVersion::new(highest);
            self.exchange(address, &link, &message, version).await
        };
        let outcome = timeout_at(deadline, exchanges)
            .await
            .unwrap_or(Err(PeerError::TimedOut));
        match outcome {
            Ok(PeerMessage::Refused(reason)) => Err(PeerError::Refused(reason)),
            Ok(answer) => Ok(answer),
            Err(error) => {
                if !matches!(error, PeerError::Codec(_)) {
                    self.replace(address, &link);
                }
                Err(error)
            }
        }
    }

    /// Forwards a request and returns the head of the answer.
    ///
    /// A connection on which a forwarded request timed out stays, because the target behind the
    /// peer may be slow; the pings find out whether the connection is silent.
    ///
    /// # Errors
    ///
    /// Fails with what is known about whether the peer handled the request.
    pub async fn forward<B>(
        &self,
        address: SocketAddr,
        head: ForwardHead,
        request: Request<B>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, ForwardError>
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<BodyFault>,
    {
        let request = forward_request(address, &head, request)?;
        let link = self.link_to(address);
        let sender = timeout_at(deadline, self.sender_of(address, &link)).await;
        let mut sender = match sender {
            Ok(Ok(sender)) => sender,
            Ok(Err(error)) => {
                self.replace(address, &link);
                return Err(ForwardError::not_sent(error));
            }
            Err(_) => return Err(ForwardError::not_sent("no connection before the deadline")),
        };
        match timeout_at(deadline, sender.try_send_request(request)).await {
            Ok(Ok(response)) if response.headers().contains_key(REFUSED) => Err(
                ForwardError::not_sent("the peer refused the forward header"),
            ),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut failure)) => {
                self.replace(address, &link);
                let is_unsent = failure.take_message().is_some();
                let error = failure.into_error();
                if is_unsent || is_proof_of_not_handled(&error) {
                    return Err(ForwardError::not_sent(error));
                }
                Err(ForwardError::unknown(error))
            }
            Err(_) => Err(ForwardError::unknown("no answer before the deadline")),
        }
    }
}

fn forward_request<B>(
    address: SocketAddr,
    head: &ForwardHead,
    request: Request<B>,
) -> Result<Request<ClientBody>, ForwardError>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyFault>,
{
    let (mut parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    parts.uri = peer_uri(address, path).map_err(ForwardError::not_sent)?;
    parts.version = Version::HTTP_2;
    let head = head.to_header().map_err(ForwardError::not_sent)?;
    parts.headers.insert(FORWARD, head);
    let body = body.map_err(Into::into).boxed_unsync();
    Ok(Request::from_parts(parts, body))
}
