//! A forwarding server, and raw sockets for its callers and targets.

use std::{
    io::Write,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use chicorycroft_proxy::prelude::*;
use http::{
    Request,
    Response, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::JoinHandle,
    time::{
        Instant,
        timeout, //
    },
};

/// Timeout for every wait; no test relies on reaching it.
pub(crate) const WAIT_MAX: Duration = Duration::from_secs(20);

pub(crate) const LIMITS: ServerLimits = ServerLimits {
    head_bytes_max: 16 << 10,
    head_timeout: Duration::from_secs(5),
    connections_max: 64,
    drain_limit: Duration::from_secs(10),
};

/// A server that forwards every request to one target.
pub(crate) struct TestEdge {
    pub(crate) address: SocketAddr,
    pub(crate) requests: Arc<AtomicUsize>,
    pub(crate) stop: watch::Sender<bool>,
    pub(crate) server: JoinHandle<bool>,
}

impl TestEdge {
    pub(crate) async fn new(limits: ServerLimits, target: SocketAddr) -> Self {
        Self::with_client(limits, Arc::new(TargetClient::new(target, 64))).await
    }

    pub(crate) async fn with_client(limits: ServerLimits, client: Arc<TargetClient>) -> Self {
        let server = CallerServer::new(([127, 0, 0, 1], 0).into(), limits)
            .await
            .unwrap();
        let address = server.address().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let count = requests.clone();
        let handler = move |request| {
            count.fetch_add(1, Ordering::SeqCst);
            forward(client.clone(), request)
        };
        let stop = watch::Sender::new(false);
        let server = tokio::spawn(server.serve(handler, stop.subscribe()));
        Self {
            address,
            requests,
            stop,
            server,
        }
    }

    pub(crate) fn request_count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Writes all bytes before the server task runs, then reads until the server closes.
    pub(crate) async fn exchange(&self, bytes: impl AsRef<[u8]>) -> String {
        let mut stream = std::net::TcpStream::connect(self.address).unwrap();
        stream.write_all(bytes.as_ref()).unwrap();
        stream.set_nonblocking(true).unwrap();
        read_all(&mut TcpStream::from_std(stream).unwrap()).await
    }
}

/// Reads until the other side closes.
pub(crate) async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = timeout(WAIT_MAX, stream.read_to_end(&mut bytes)).await;
    // A connection reset after the data also counts as a close.
    assert!(read.is_ok(), "the connection stayed open");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until the received bytes contain a text.
pub(crate) async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains(end) {
        let byte = timeout(WAIT_MAX, stream.read_u8()).await.unwrap();
        bytes.push(
            byte.unwrap_or_else(|error| {
                panic!("{error} after {}", String::from_utf8_lossy(&bytes))
            }),
        );
    }
    String::from_utf8(bytes).unwrap()
}

pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    timeout(WAIT_MAX, listener.accept())
        .await
        .unwrap()
        .unwrap()
        .0
}

/// Responds to one request with raw bytes and returns its head and the connection.
pub(crate) async fn respond_raw(listener: &TcpListener, response: &str) -> (String, TcpStream) {
    let mut stream = accept(listener).await;
    let head = read_until(&mut stream, "\r\n\r\n").await;
    stream.write_all(response.as_bytes()).await.unwrap();
    (head, stream)
}

pub(crate) async fn forward(
    client: Arc<TargetClient>,
    request: Request<Incoming>,
) -> Response<ProxyBody> {
    let (mut parts, body) = request.into_parts();
    let refuse = |kind: RefusalKind, run| kind.respond(run, None);
    if take_key(&mut parts).is_err() {
        return refuse(RefusalKind::BadRequest, ExecutionStatus::NotRun);
    }
    sanitize_request(&mut parts);
    let idle_max = Duration::from_secs(10);
    let body = WatchedBody::new(body, idle_max, |_| {}).with_progress_min(1024);
    parts.uri = parts
        .uri
        .path_and_query()
        .unwrap()
        .as_str()
        .parse()
        .unwrap();
    parts.version = http::Version::HTTP_11;
    parts.headers.insert("host", "target".parse().unwrap());
    let request = Request::from_parts(parts, body.boxed_unsync());
    match client
        .send(request, Instant::now() + Duration::from_secs(30))
        .await
    {
        Ok(response) => response.into_response(idle_max, |_| {}),
        Err(error) => {
            let kind = match error {
                AttemptError::RequestBodyFailed => RefusalKind::BadRequest,
                AttemptError::RequestBodyStalled => RefusalKind::SlowRequest,
                _ => RefusalKind::BadGateway,
            };
            let run = if error.is_not_run() {
                ExecutionStatus::NotRun
            } else {
                ExecutionStatus::Unknown
            };
            refuse(kind, run)
        }
    }
}
