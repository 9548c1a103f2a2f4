//! Sends one request and classifies its answer.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use http::{
    Request,
    Response,
    header::CONTENT_TYPE, //
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
    CallKind,
    CallOutcome, //
};

/// Timeout of a caller. It exceeds the longest deadline of a route.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Body of a purchase.
const PURCHASE_BODY: &[u8] = b"{\"parcels\":1}";
/// Size of an upload, in bytes.
const UPLOAD_BYTES: usize = 96 * 1024;

/// Time after which a caller no longer uses an idle connection. It is shorter than the 30 s after which a
/// host closes one, so that no request is sent while its connection is being closed (RFC 9112 section
/// 9.3).
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection of a caller.
type CallerConnection = SendRequest<Full<Bytes>>;

/// Idle connections of one team's caller, by host address.
#[derive(Debug, Default)]
pub struct CallerPool {
    idle: ShardMap<SocketAddr, Vec<(Instant, CallerConnection)>>,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Kind of the request.
    pub kind: CallKind,
    /// Unique name of the request.
    pub name: SmolStr,
    /// API key of the team.
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

    /// Returns the answer that the stand-in target sends to this request and to no other.
    fn expected_answer(&self) -> String {
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
    /// Creates a pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request to a host and returns its outcome.
    pub async fn call(&self, address: SocketAddr, request: &CallRequest) -> CallOutcome {
        let call = self.send(address, request);
        let outcome = tokio::time::timeout(ANSWER_TIMEOUT, call).await;
        outcome.unwrap_or(CallOutcome::TimedOut)
    }

    /// Takes an idle connection that is still open, or opens a new one.
    async fn connection(&self, address: SocketAddr) -> Option<CallerConnection> {
        let pop = || self.idle.with(&address, Vec::pop).flatten();
        while let Some((since, mut connection)) = pop() {
            if since.elapsed() < IDLE_TIMEOUT && connection.ready().await.is_ok() {
                return Some(connection);
            }
        }
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    async fn send(&self, address: SocketAddr, request: &CallRequest) -> CallOutcome {
        loop {
            let Some(mut connection) = self.connection(address).await else {
                return CallOutcome::Unreachable;
            };
            let Some(built) = request.build() else {
                return CallOutcome::Unreachable;
            };
            let answer = match connection.send_request(built).await {
                Ok(answer) => answer,
                // The connection closed before the request was written.
                Err(error) if error.is_canceled() => continue,
                Err(_) => return CallOutcome::Cut,
            };
            let outcome = classify_answer(request, answer).await;
            if outcome != CallOutcome::Cut {
                let idle = (Instant::now(), connection);
                self.idle
                    .with_or_insert(&address, Vec::new, |all| all.push(idle));
            }
            return outcome;
        }
    }
}

async fn classify_answer(request: &CallRequest, answer: Response<Incoming>) -> CallOutcome {
    let status = answer.status().as_u16();
    let kind = answer.headers().get(CONTENT_TYPE);
    let is_problem = kind.is_some_and(|kind| kind == "application/problem+json");
    let Ok(body) = answer.into_body().collect().await else {
        return CallOutcome::Cut;
    };
    let body = body.to_bytes();
    if is_problem {
        return classify_problem(&body);
    }
    match status {
        200 if body == request.expected_answer().as_bytes() => CallOutcome::Answered,
        200 => CallOutcome::WrongAnswer,
        _ => CallOutcome::TargetError(status),
    }
}

fn classify_problem(body: &[u8]) -> CallOutcome {
    let problem: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let reason = problem["type"].as_str().unwrap_or("unknown");
    let reason = reason.rsplit(':').next().unwrap_or_default();
    CallOutcome::Refused {
        reason: SmolStr::new(reason),
        is_not_run: problem["run"] == "not-run",
    }
}
