//! Probes a target with a small request.

use std::time::Duration;

use chicorycroft_inventory::prelude::*;
use chicorycroft_placement::prelude::*;
use chicorycroft_proxy::prelude::*;
use http::{
    Request,
    header::HOST, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use tokio::time::Instant;

use crate::state::HostState;

/// Path of probes. Any complete response with a status below 500 counts as good: a probe measures
/// latency and reachability, and the content of a health endpoint may be misleading.
const PROBE_PATH: &str = "/healthz";

/// Largest body of the answer to a probe, in bytes. A faulty target may send one without end.
const PROBE_BODY_BYTES_MAX: usize = 64 << 10;

/// Sends one probe on a new or idle connection. It takes no slot itself.
pub async fn probe(state: &HostState, target: &TargetRecord, limit: Duration) -> AttemptOutcome {
    let deadline = Instant::now() + limit;
    let request = Request::get(PROBE_PATH)
        .header(HOST, target.address.to_string())
        .body(empty_body());
    let Ok(request) = request else {
        return AttemptOutcome::Cancelled;
    };
    let response = match state.client_of(target).send(request, deadline).await {
        Ok(response) => response,
        Err(AttemptError::Connect(_) | AttemptError::NotWritten) => return AttemptOutcome::Refused,
        Err(AttemptError::TimedOut) => return AttemptOutcome::TimedOut,
        Err(AttemptError::NoConnection) => return AttemptOutcome::Cancelled,
        Err(_) => return AttemptOutcome::Cut,
    };
    let outcome = match response.status() {
        _ if response.signal.is_not_run => AttemptOutcome::Shed,
        status if status.is_server_error() => AttemptOutcome::Wrong,
        _ => AttemptOutcome::Good,
    };
    let body = response.into_response(limit, |_| {}).into_body();
    let body = Limited::new(body, PROBE_BODY_BYTES_MAX);
    match tokio::time::timeout_at(deadline, body.collect()).await {
        Ok(Ok(_)) => outcome,
        Ok(Err(_)) => AttemptOutcome::Cut,
        Err(_) => AttemptOutcome::TimedOut,
    }
}
