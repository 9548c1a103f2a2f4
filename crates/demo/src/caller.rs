//! Sends one request and judges its answer.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use http::{
    Request,
    Response, //
    header::CONTENT_TYPE,
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    client::conn::http1::{
        SendRequest,
        handshake, //
    },
};
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use tokio::{
    net::TcpStream,
    time::Instant, //
};

use crate::records::{
    CallEnd,
    CallKind, //
};

/// Longest time that a caller waits, above the longest deadline of a route.
const ANSWER_MAX: Duration = Duration::from_secs(15);
/// Body of a purchase.
const PURCHASE_BODY: &[u8] = b"{\"parcels\":1}";
/// Bytes of an upload.
const UPLOAD_BYTES: usize = 96 * 1024;

/// Longest time that a caller keeps an idle connection. It is below the 30 s after which a host
/// closes one, so that no request meets the close of its connection (RFC 9112 section 9.3).
const IDLE_MAX: Duration = Duration::from_secs(10);

/// A connection of a caller.
type CallerConnection = SendRequest<Full<Bytes>>;

/// Idle connections of one team's caller, by host.
#[derive(Debug, Default)]
pub struct CallerPool {
    idle: ShardMap<SocketAddr, Vec<(Instant, CallerConnection)>>,
}

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// What it asks for.
    pub kind: CallKind,
    /// Its own name.
    pub name: SmolStr,
    /// Key that it comes with.
    pub key: String,
}

impl CallRequest {
    fn method(&self) -> &'static str {
        match self.kind {
            CallKind::Lookup => "GET",
            CallKind::Purchase => "POST",
            CallKind::Upload => "PUT",
        }
    }

    fn path(&self) -> String {
        let prefix = match self.kind {
            CallKind::Lookup => "/rates",
            CallKind::Purchase => "/labels",
            CallKind::Upload => "/declarations",
        };
        format!("{prefix}/{}", self.name)
    }

    fn body(&self) -> Bytes {
        match self.kind {
            CallKind::Lookup => Bytes::new(),
            CallKind::Purchase => Bytes::from_static(PURCHASE_BODY),
            CallKind::Upload => Bytes::from(vec![b'u'; UPLOAD_BYTES]),
        }
    }

    /// Returns the answer that the stand-in target gives to this request and to no other.
    fn answer(&self) -> String {
        let (method, path) = (self.method(), self.path());
        format!("{method} {path} received={}\n", self.body().len())
    }

    fn build(&self) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.method())
            .uri(self.path())
            .header("host", "gateway")
            .header("x-api-key", &self.key);
        if self.kind == CallKind::Purchase {
            request = request.header(
                chicorycroft_standin::target::REQUEST_NAME,
                self.name.as_str(),
            );
        }
        request.body(Full::new(self.body())).ok()
    }
}

impl CallerPool {
    /// Makes a pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request to a host and tells how it ended.
    pub async fn call(&self, address: SocketAddr, request: &CallRequest) -> CallEnd {
        let call = self.exchange(address, request);
        let ended = tokio::time::timeout(ANSWER_MAX, call).await;
        ended.unwrap_or(CallEnd::TimedOut)
    }

    /// Takes an idle connection that is still open, or opens one.
    async fn connection(&self, address: SocketAddr) -> Option<CallerConnection> {
        let pop = || self.idle.with(&address, Vec::pop).flatten();
        while let Some((since, mut connection)) = pop() {
            if since.elapsed() < IDLE_MAX && connection.ready().await.is_ok() {
                return Some(connection);
            }
        }
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    async fn exchange(&self, address: SocketAddr, request: &CallRequest) -> CallEnd {
        loop {
            let Some(mut connection) = self.connection(address).await else {
                return CallEnd::Unreachable;
            };
            let Some(built) = request.build() else {
                return CallEnd::Unreachable;
            };
            let answer = match connection.send_request(built).await {
                Ok(answer) => answer,
                // The connection closed before the request was written.
                Err(error) if error.is_canceled() => continue,
                Err(_) => return CallEnd::Cut,
            };
            let end = judge(request, answer).await;
            if end != CallEnd::Cut {
                let idle = (Instant::now(), connection);
                self.idle
                    .with_or_insert(&address, Vec::new, |all| all.push(idle));
            }
            return end;
        }
    }
}

async fn judge(request: &CallRequest, answer: Response<Incoming>) -> CallEnd {
    let status = answer.status().as_u16();
    let kind = answer.headers().get(CONTENT_TYPE);
    let is_problem = kind.is_some_and(|kind| kind == "application/problem+json");
    let Ok(body) = answer.into_body().collect().await else {
        return CallEnd::Cut;
    };
    let body = body.to_bytes();
    if is_problem {
        return judge_problem(&body);
    }
    match status {
        200 if body == request.answer().as_bytes() => CallEnd::Answered,
        200 => CallEnd::Foreign,
        _ => CallEnd::TargetError(status),
    }
}

fn judge_problem(body: &[u8]) -> CallEnd {
    let problem: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let reason = problem["type"].as_str().unwrap_or("unknown");
    let reason = reason.rsplit(':').next().unwrap_or_default();
    CallEnd::Refused {
        reason: SmolStr::new(reason),
        is_not_run: problem["run"] == "not-run",
    }
}
