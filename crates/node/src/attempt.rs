//! One attempt at a target, made by its owner.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_placement::prelude::*;
use chicorycroft_proxy::{
    names,
    prelude::*, //
};
use chicorycroft_retry::prelude::*;
use http::{
    HeaderValue,
    Request,
    Response,
    header::HOST, //
};
use tokio::time::Instant;

use crate::{
    delivery_error::DeliveryError,
    health_loop,
    slot_waiters::SlotLease,
    state::HostState, //
};

/// Sends a request to the target of a slot and returns its response.
///
/// The slot is released when the body of the response ends.
///
/// # Errors
///
/// Returns an error that states whether the request may have run.
pub async fn attempt(
    state: &Arc<HostState>,
    mut lease: SlotLease,
    request: Request<ProxyBody>,
    deadline: Instant,
) -> Result<Response<ProxyBody>, DeliveryError> {
    let target = lease.target().clone();
    let request = prepare_request(request, &target.address.to_string(), deadline);
    let started_at = Instant::now();
    let client = state.client_of(&target);
    let response = match client.send(request, deadline).await {
        Ok(response) => response,
        Err(error) => {
            let (outcome, failure) = classify_error(&error);
            lease.set_outcome(outcome);
            health_loop::observe(state, &target, outcome, started_at.elapsed());
            log::info!(
                "event=attempt_failed target={} run={} error=\"{error}\"",
                target.id,
                failure.proof
            );
            return Err(failure);
        }
    };
    state
        .slots
        .on_notice(&target.id, &notice_of(&response.signal));
    let latency = started_at.elapsed();
    let outcome = classify_response(&response);
    health_loop::observe(state, &target, outcome, latency);
    lease.set_outcome(outcome);
    if response.signal.is_not_run {
        return Err(DeliveryError::not_run(RefusalKind::NoCapacity));
    }
    let idle_max = state.settings.idle_body_timeout;
    Ok(response.into_response(idle_max, move |end| release_slot(lease, end, outcome)))
}

/// Releases the slot with the outcome that includes how the body of the response ended.
fn release_slot(mut lease: SlotLease, end: BodyEnd, outcome: AttemptOutcome) {
    lease.set_outcome(match end {
        BodyEnd::Complete => outcome,
        BodyEnd::Truncated => AttemptOutcome::Cut,
        BodyEnd::Abandoned => AttemptOutcome::Cancelled,
    });
}

fn classify_response(response: &TargetResponse) -> AttemptOutcome {
    match response.status() {
        _ if response.signal.is_not_run => AttemptOutcome::Shed,
        status if status.is_server_error() => AttemptOutcome::Wrong,
        _ => AttemptOutcome::Good,
    }
}

fn notice_of(signal: &TargetSignal) -> TargetNotice {
    TargetNotice {
        is_draining: signal.state == Some(TargetState::Draining),
        is_cold: signal.state == Some(TargetState::Cold),
        started_at: signal.started_at.clone(),
    }
}

fn classify_error(error: &AttemptError) -> (AttemptOutcome, DeliveryError) {
    let (outcome, kind) = match error {
        AttemptError::Connect(_) | AttemptError::NotWritten => {
            (AttemptOutcome::Refused, RefusalKind::BadGateway)
        }
        AttemptError::NoConnection => (AttemptOutcome::Cancelled, RefusalKind::NoCapacity),
        AttemptError::RequestBodyFailed => (AttemptOutcome::Cancelled, RefusalKind::BadRequest),
        AttemptError::RequestBodyStalled => (AttemptOutcome::Cancelled, RefusalKind::SlowRequest),
        AttemptError::TimedOut => (AttemptOutcome::TimedOut, RefusalKind::TimedOut),
        _ => (AttemptOutcome::Cut, RefusalKind::BadGateway),
    };
    let proof = match error.is_not_run() {
        true => RunProof::NotRun,
        false => RunProof::Unknown,
    };
    let failure = DeliveryError {
        proof,
        ..DeliveryError::not_run(kind)
    };
    (outcome, failure)
}

fn prepare_request(
    mut request: Request<ProxyBody>,
    authority: &str,
    deadline: Instant,
) -> Request<ProxyBody> {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.version_mut() = http::Version::HTTP_11;
    let headers = request.headers_mut();
    if let Ok(authority) = HeaderValue::from_str(authority) {
        headers.insert(HOST, authority);
    }
    let left: Duration = deadline.saturating_duration_since(Instant::now());
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(names::REQUEST_TIMEOUT, HeaderValue::from(millis));
    request
}

/// Returns the execution status that a caller gets for a proof.
pub(crate) fn execution_status_of(proof: RunProof) -> ExecutionStatus {
    match RunVerdict::from(proof) {
        RunVerdict::NotRun => ExecutionStatus::NotRun,
        RunVerdict::Unknown => ExecutionStatus::Unknown,
    }
}
