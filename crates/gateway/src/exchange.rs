//! One attempt at a target.
//!
//! The answer is read whole before any of it goes on, so that a caller never takes a cut answer for a
//! whole one and a request that may be repeated can still go to another target.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_adapter::headers;
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_retry::prelude::*;
use http::{
    Request,
    Response,
    StatusCode,
    request, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::timeout, //
};

use crate::{
    state::GatewayState,
    target_connections::TargetConnection, //
};

/// Longest time that a new connection may take. One takes about 1 ms and a crossing of zones 3 ms; a lost
/// opening packet is sent again only after a second, and the request is better sent elsewhere.
const CONNECT_MAX: Duration = Duration::from_millis(150);

/// Longest wait for the rest of a request whose answer came early; after it the connection is closed.
const KEEP_WAIT: Duration = Duration::from_secs(2);

/// Largest answer that is read.
const ANSWER_BYTES_MAX: usize = 16 << 20;

/// A request as it goes to targets.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method, path and headers, cleaned.
    pub head: request::Parts,
    /// The whole body.
    pub body: Bytes,
    /// Id that the answer must echo.
    pub id: String,
    /// Team that the target is told.
    pub team: Option<TeamId>,
}

/// What came of an attempt.
#[derive(Debug)]
pub struct ExchangeOutcome {
    /// How it ended, for the evidence about the target.
    pub result: AttemptResult,
    /// What is known about the run.
    pub proof: RunProof,
    /// The target's own answer, whatever its status.
    pub response: Option<Response<Bytes>>,
    /// Why there is none, for the logs.
    pub reason: &'static str,
}

impl ExchangeOutcome {
    fn failed(result: AttemptResult, proof: RunProof, reason: &'static str) -> Self {
        Self {
            result,
            proof,
            response: None,
            reason,
        }
    }
}

async fn connect(address: SocketAddr) -> Result<TargetConnection, &'static str> {
    let opened = timeout(CONNECT_MAX, TcpStream::connect(address)).await;
    let stream = match opened {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return Err("connection-refused"),
        Err(_) => return Err("connection-timed-out"),
    };
    stream.set_nodelay(true).map_err(|_| "socket-failed")?;
    let io = TokioIo::new(stream);
    let (sender, connection) = handshake(io).await.map_err(|_| "handshake-failed")?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("event=target_connection_ended address={address} error=\"{error}\"");
        }
    });
    Ok(TargetConnection {
        sender,
        address,
        task: task.abort_handle(),
    })
}

/// Builds the request for one target.
fn address_request(
    outgoing: &OutgoingRequest,
    target: &TargetId,
    left: Duration,
) -> Request<Full<Bytes>> {
    let mut head = outgoing.head.clone();
    let team = outgoing.team.as_ref().map(TeamId::as_str);
    headers::set_target_headers(&mut head.headers, target.as_str(), team, left);
    Request::from_parts(head, Full::new(outgoing.body.clone()))
}

/// Sends a request to a target and reads the answer.
pub async fn exchange(
    state: &Arc<GatewayState>,
    entry: &TargetEntry,
    outgoing: &OutgoingRequest,
    left: impl Fn() -> Duration,
) -> ExchangeOutcome {
    let kept = state
        .connections
        .take(&entry.id, entry.address, state.now());
    if let Some(connection) = kept {
        let request = address_request(outgoing, &entry.id, left());
        match send(state, connection, request, entry, outgoing).await {
            // The target closed the kept connection before the request was written.
            outcome if outcome.reason == NOT_WRITTEN => {}
            outcome => return outcome,
        }
    }
    let connection = match connect(entry.address).await {
        Ok(connection) => connection,
        Err(reason) => {
            return ExchangeOutcome::failed(AttemptResult::Unreachable, RunProof::NotRun, reason);
        }
    };
    let request = address_request(outgoing, &entry.id, left());
    send(state, connection, request, entry, outgoing).await
}

/// Reason of a request that was never written.
const NOT_WRITTEN: &str = "not-written";

async fn send(
    state: &Arc<GatewayState>,
    mut connection: TargetConnection,
    request: Request<Full<Bytes>>,
    entry: &TargetEntry,
    outgoing: &OutgoingRequest,
) -> ExchangeOutcome {
    let broken = |reason| ExchangeOutcome::failed(AttemptResult::Broken, RunProof::Unknown, reason);
    let not_written =
        || ExchangeOutcome::failed(AttemptResult::Unreachable, RunProof::NotRun, NOT_WRITTEN);
    if connection.sender.ready().await.is_err() {
        return not_written();
    }
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => not_written(),
                None => broken("cut-before-answer"),
            };
        }
    };
    let (parts, body) = response.into_parts();
    if headers::request_id(&parts.headers) != Some(outgoing.id.as_str()) {
        return broken("answer-to-another-request");
    }
    let body = Limited::new(body, ANSWER_BYTES_MAX).collect().await;
    let Ok(body) = body else {
        return broken("cut-in-answer");
    };
    let keep_alive = headers::keep_alive(&parts.headers);
    tokio::spawn(keep(
        state.clone(),
        entry.id.clone(),
        connection,
        keep_alive,
    ));
    judge(Response::from_parts(parts, body.to_bytes()))
}

/// Keeps a connection once its request has been written whole. A target may answer before that, and
/// other bytes must not take the place of the rest of the body.
async fn keep(
    state: Arc<GatewayState>,
    target: TargetId,
    mut connection: TargetConnection,
    keep_alive: Option<Duration>,
) {
    if let Ok(Ok(())) = timeout(KEEP_WAIT, connection.sender.ready()).await {
        let now = state.now();
        state.connections.keep(&target, connection, keep_alive, now);
    }
}

/// Tells what an answer means for its request and its target.
fn judge(response: Response<Bytes>) -> ExchangeOutcome {
    let status = response.status();
    let fields = response.headers();
    if status == StatusCode::MISDIRECTED_REQUEST {
        let result = AttemptResult::Misdirected;
        return ExchangeOutcome::failed(result, RunProof::NotRun, "another-target");
    }
    if headers::is_not_run(fields) && !status.is_success() {
        return ExchangeOutcome::failed(AttemptResult::Shed, RunProof::NotRun, "shed");
    }
    if status.is_success() && !headers::is_signed(fields) {
        let result = AttemptResult::Broken;
        return ExchangeOutcome::failed(result, RunProof::Unknown, "unsigned");
    }
    let result = match status {
        // The target ended its work at the deadline that it was given.
        StatusCode::GATEWAY_TIMEOUT => AttemptResult::Hung,
        status if status.is_server_error() => AttemptResult::Failed,
        _ => AttemptResult::Good,
    };
    ExchangeOutcome {
        result,
        proof: RunProof::Ran,
        response: Some(response),
        reason: "answered",
    }
}
