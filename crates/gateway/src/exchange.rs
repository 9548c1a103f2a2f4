//! Sends one attempt to a target.
//!
//! The response is buffered completely before any of it is forwarded. A caller never mistakes a truncated
//! response for a complete one, and a retryable request can still be sent to another target.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use chicorycroft_adapter::headers;
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_proxy::prelude::*;
use chicorycroft_retry::prelude::*;
use http::{
    Request,
    Response,
    header::{
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    },
    request,
    response, //
};
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::timeout, //
};

use crate::{
    answer_body::AnswerBody,
    body_blocks::BodyBlocks,
    body_buffer::{
        BodyReadError,
        BufferedBody,
        read_answer, //
    },
    connection_pool::TargetConnection,
    state::GatewayState, //
};

/// Timeout for opening a connection. It usually takes about 1 ms, or 3 ms across zones. A lost SYN packet is
/// retransmitted only after one second, so another target is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest time to finish writing a request whose response arrived early. Then the connection is closed.
const POOL_RETURN_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted response body, in bytes.
const ANSWER_BYTES_MAX: u64 = 16 << 20;

/// Maximum buffer size of a connection, in bytes. It limits the head of an answer and what is read ahead of its body.
pub(crate) const BUFFER_BYTES_MAX: usize = 64 << 10;

/// A request prepared for sending to targets.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method, path and headers, without those that must not reach a target.
    pub head: request::Parts,
    /// The complete body.
    pub body: BodyBlocks,
    /// Id that the response must echo.
    pub id: String,
    /// Team that is passed to the target.
    pub team: Option<TeamId>,
}

/// Outcome of one attempt.
#[derive(Debug)]
pub struct ExchangeOutcome {
    /// Result that is reported to the dispatcher as evidence about the target.
    pub result: AttemptResult,
    /// Whether the target ran the request, as far as known.
    pub proof: RunProof,
    /// The target's response with any status, or `None` if there is no valid one.
    pub response: Option<Response<BufferedBody>>,
    /// Reason for the log.
    pub reason: &'static str,
    /// What the target said about itself; `None` without an answer.
    pub signals: Option<TargetSignals>,
}

impl ExchangeOutcome {
    fn failed(result: AttemptResult, proof: RunProof, reason: &'static str) -> Self {
        Self {
            result,
            proof,
            response: None,
            reason,
            signals: None,
        }
    }
}

async fn connect(address: SocketAddr) -> Result<TargetConnection, &'static str> {
    let result = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match result {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return Err("connection-refused"),
        Err(_) => return Err("connection-timed-out"),
    };
    stream.set_nodelay(true).map_err(|_| "socket-failed")?;
    let stream = MeteredStream::new(stream);
    let read_meter = stream.read_meter();
    let io = TokioIo::new(stream);
    let handshake = Builder::new().max_buf_size(BUFFER_BYTES_MAX).handshake(io);
    let (sender, connection) = handshake.await.map_err(|_| "handshake-failed")?;
    let task = tokio::spawn(async move {
        let result = connection.await;
        if let Err(error) = &result {
            log::debug!("event=target_connection_ended address={address} error=\"{error}\"");
        }
        result.is_ok()
    });
    Ok(TargetConnection::new(sender, address, read_meter, task))
}

/// Builds the request for one target, with the target, team and remaining time in its headers.
fn build_request(
    outgoing: &OutgoingRequest,
    target: &TargetId,
    time_left: Duration,
) -> Request<BodyBlocks> {
    let mut head = outgoing.head.clone();
    let team = outgoing.team.as_ref().map(TeamId::as_str);
    headers::set_target_headers(&mut head.headers, target.as_str(), team, time_left);
    Request::from_parts(head, outgoing.body.clone())
}

/// Sends a request to a target and reads the response. An idle connection is used if there is one, and a new
/// connection if that was closed before the request was written.
pub async fn exchange(
    state: &Arc<GatewayState>,
    entry: &TargetEntry,
    outgoing: &OutgoingRequest,
    time_left: impl Fn() -> Duration,
) -> ExchangeOutcome {
    let pooled = state
        .connections
        .take(&entry.id, entry.address, &outgoing.id, state.now());
    if let Some(connection) = pooled {
        let request = build_request(outgoing, &entry.id, time_left());
        match send(state, connection, request, entry, outgoing, &time_left).await {
            // The target closed the idle connection before the request was written.
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
    let request = build_request(outgoing, &entry.id, time_left());
    send(state, connection, request, entry, outgoing, &time_left).await
}

/// Reason for an attempt whose request was not written to the connection.
const NOT_WRITTEN: &str = "not-written";

/// Returns `true` if the end of the connection is the end of the answer.
fn is_unframed(head: &response::Parts) -> bool {
    !head.headers.contains_key(CONTENT_LENGTH) && !head.headers.contains_key(TRANSFER_ENCODING)
}

async fn send(
    state: &Arc<GatewayState>,
    mut connection: TargetConnection,
    request: Request<BodyBlocks>,
    entry: &TargetEntry,
    outgoing: &OutgoingRequest,
    time_left: impl Fn() -> Duration,
) -> ExchangeOutcome {
    let broken = |reason| ExchangeOutcome::failed(AttemptResult::Broken, RunProof::Unknown, reason);
    let not_written =
        || ExchangeOutcome::failed(AttemptResult::Unreachable, RunProof::NotRun, NOT_WRITTEN);
    if connection.sender.ready().await.is_err() {
        return not_written();
    }
    connection.read_meter.expect_head();
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => not_written(),
                None => broken("cut-before-answer"),
            };
        }
    };
    connection.read_meter.on_head();
    let (parts, body) = response.into_parts();
    if headers::request_id(&parts.headers) != Some(outgoing.id.as_str()) {
        return broken("answer-to-another-request");
    }
    let signals = Some(headers::target_signals(parts.status, &parts.headers));
    let broken = |reason| ExchangeOutcome {
        signals,
        ..broken(reason)
    };
    let is_unframed = is_unframed(&parts);
    let body = AnswerBody::new(body, connection.read_meter.clone());
    let body = match read_answer(&state.body_memory, body, ANSWER_BYTES_MAX).await {
        Ok((blocks, memory)) => BufferedBody::new(blocks, memory),
        // The memory of this host says nothing about the target.
        Err(BodyReadError::NoMemory) => {
            let result = AttemptResult::Cancelled;
            return ExchangeOutcome::failed(result, RunProof::Unknown, "no-room-for-answer");
        }
        Err(BodyReadError::TooLarge) => return broken("answer-too-large"),
        Err(BodyReadError::Cut | BodyReadError::TooSlow) => return broken("cut-in-answer"),
    };
    // Without a length, an answer ends with its connection. The target may have closed it in the middle of an upload, and
    // then the end says nothing about the answer.
    if is_unframed
        && parts.status.is_success()
        && !connection
            .has_ended_cleanly(POOL_RETURN_TIMEOUT.min(time_left()))
            .await
    {
        return broken("ended-before-request");
    }
    let keep_alive = headers::keep_alive(&parts.headers);
    let outcome = ExchangeOutcome {
        signals,
        ..classify(Response::from_parts(parts, body))
    };
    if outcome.proof == RunProof::NotRun {
        connection.on_refused(&outgoing.id);
    }
    tokio::spawn(return_to_pool(
        state.clone(),
        entry.id.clone(),
        connection,
        keep_alive,
    ));
    outcome
}

/// Returns a connection to the pool after its request has been written completely. A target may respond
/// before that, and a new request must not be sent in place of the remaining body.
async fn return_to_pool(
    state: Arc<GatewayState>,
    target: TargetId,
    mut connection: TargetConnection,
    keep_alive: Option<Duration>,
) {
    if let Ok(Ok(())) = timeout(POOL_RETURN_TIMEOUT, connection.sender.ready()).await {
        let now = state.now();
        state.connections.put(&target, connection, keep_alive, now);
    }
}

/// Derives the outcome of an attempt from the target's response.
fn classify(response: Response<BufferedBody>) -> ExchangeOutcome {
    let statement = headers::answer_statement(response.status(), response.headers());
    let verdict = statement.verdict();
    let result = match (verdict, statement.kind) {
        (AnswerVerdict::Misdirected, _) => AttemptResult::Misdirected,
        (AnswerVerdict::Shed, _) => AttemptResult::Shed,
        (AnswerVerdict::Invalid | AnswerVerdict::NotFinal, _) => AttemptResult::Broken,
        (_, AnswerKind::TimedOut) => AttemptResult::Hung,
        (AnswerVerdict::Withheld, _) | (_, AnswerKind::Failure) => AttemptResult::Failed,
        (AnswerVerdict::Forwarded, _) => AttemptResult::Good,
    };
    ExchangeOutcome {
        result,
        proof: verdict.proof(),
        response: (verdict == AnswerVerdict::Forwarded).then_some(response),
        reason: verdict.name(),
        signals: None,
    }
}
