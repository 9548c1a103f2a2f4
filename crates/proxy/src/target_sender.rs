//! The sending half of a connection to a target, over HTTP/1.1 or over HTTP/2 with prior knowledge.

use std::net::SocketAddr;

use http::{
    HeaderValue,
    Request,
    Response,
    Uri,
    Version, //
    header::HOST,
    uri::{
        Authority,
        PathAndQuery,
        Scheme, //
    },
};
use hyper::{
    body::Incoming,
    client::conn::{
        http1,
        http2, //
    },
};
use hyper_util::rt::TokioIo;

use crate::{
    metered_stream::MeteredStream,
    sent_body::SentBody,
    task_group::TaskGroup, //
};

/// Maximum buffer size of a connection, in bytes. Over HTTP/1.1 it limits the head of a response.
const BUFFER_MAX: usize = 64 << 10;

/// Maximum size of a response head over HTTP/2, in bytes.
const HEAD_BYTES_MAX: u32 = 64 << 10;

/// HTTP/2 flow control window for responses, in bytes. A connection carries one response at a time; with a
/// round-trip time of 3 ms this allows 40 MB/s.
const RESPONSE_WINDOW: u32 = 128 << 10;

/// Protocol of the connections to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetProtocol {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// Sends requests on one connection, one at a time.
#[derive(Debug)]
pub(crate) enum TargetSender {
    Http1(http1::SendRequest<SentBody>),
    Http2(http2::SendRequest<SentBody>),
}

impl TargetSender {
    /// Performs the protocol handshake on a socket and drives the connection in `tasks`.
    ///
    /// The two parts of `ends` are a future that closes the connection when it completes, and a callback
    /// for when the target closes the connection or the connection fails.
    pub(crate) async fn start(
        protocol: TargetProtocol,
        stream: MeteredStream,
        tasks: &TaskGroup,
        ends: (
            impl Future<Output = ()> + Send + 'static,
            impl FnOnce() + Send + 'static,
        ),
    ) -> hyper::Result<Self> {
        let stream = TokioIo::new(stream);
        Ok(match protocol {
            TargetProtocol::Http1 => {
                let mut builder = http1::Builder::new();
                let handshake = builder.max_buf_size(BUFFER_MAX).handshake(stream);
                let (sender, connection) = handshake.await?;
                tasks.spawn(drive(connection, ends));
                Self::Http1(sender)
            }
            TargetProtocol::Http2 => {
                let mut builder = http2::Builder::new(tasks.clone());
                builder
                    .initial_stream_window_size(RESPONSE_WINDOW)
                    .initial_connection_window_size(RESPONSE_WINDOW)
                    .max_header_list_size(HEAD_BYTES_MAX)
                    .max_send_buf_size(BUFFER_MAX);
                let (sender, connection) = builder.handshake(stream).await?;
                tasks.spawn(drive(connection, ends));
                Self::Http2(sender)
            }
        })
    }

    /// Waits until a request can be sent.
    pub(crate) async fn ready(&mut self) -> hyper::Result<()> {
        match self {
            Self::Http1(sender) => sender.ready().await,
            Self::Http2(sender) => sender.ready().await,
        }
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<SentBody>,
        address: SocketAddr,
    ) -> hyper::Result<Response<Incoming>> {
        match self {
            Self::Http1(sender) => sender.send_request(request).await,
            Self::Http2(sender) => sender.send_request(with_authority(request, address)).await,
        }
    }
}

async fn drive<E: std::error::Error>(
    connection: impl Future<Output = Result<(), E>>,
    (expired, on_ended): (impl Future<Output = ()>, impl FnOnce()),
) {
    tokio::select! {
        ended = connection => {
            on_ended();
            if let Err(error) = ended {
                log::debug!("event=target_connection_ended error=\"{error}\"");
            }
        }
        () = expired => {}
    }
}

/// Moves the `Host` header into the URI, from which HTTP/2 takes the `:authority` field. Without a valid
/// `Host` the target's address is used.
fn with_authority(mut request: Request<SentBody>, address: SocketAddr) -> Request<SentBody> {
    let host = request.headers_mut().remove(HOST);
    let host = host.as_ref().map(HeaderValue::as_bytes);
    let authority = host.and_then(|host| Authority::try_from(host).ok());
    let authority = authority.or_else(|| address.to_string().parse().ok());
    let path = request.uri().path_and_query().cloned();
    let mut parts = http::uri::Parts::default();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = authority;
    parts.path_and_query = path.or_else(|| Some(PathAndQuery::from_static("/")));
    if let Ok(uri) = Uri::from_parts(parts) {
        *request.uri_mut() = uri;
    }
    *request.version_mut() = Version::HTTP_2;
    request
}
