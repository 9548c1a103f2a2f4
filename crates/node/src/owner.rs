//! Serves requests for the targets that this host owns.

use std::sync::Arc;

use chicorycroft_fairness::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_placement::prelude::*;
use chicorycroft_proxy::prelude::*;
use http::{
    Request,
    Response, //
};
use tokio::time::Instant;

use crate::{
    attempt::attempt,
    decision_log::DecisionLine,
    delivery_error::DeliveryError,
    slot_waiters,
    state::HostState, //
};

/// Serves a request for an owned target. Waits for a slot if none is free.
///
/// # Errors
///
/// Returns an error that states whether the request may have run.
pub async fn serve(
    state: &Arc<HostState>,
    head: &ForwardHead,
    request: Request<ProxyBody>,
) -> Result<Response<ProxyBody>, DeliveryError> {
    let arrival = Instant::now();
    let deadline = arrival + head.time_left();
    let line = DecisionLine::new("owner_decision")
        .with("id", head.request)
        .with("service", &head.service)
        .with("asked", &head.target);
    if let Err((reason, failure)) = check_ownership(state, head) {
        line.with("decision", "refuse")
            .with("reason", reason)
            .info();
        return Err(failure);
    }
    let view = state
        .view()
        .ok_or(DeliveryError::not_run(RefusalKind::NotReady))?;
    let service = view.snapshot().service(&head.service);
    let queue_wait = service
        .map(|service| service.queue_wait)
        .unwrap_or_default();
    let team = head.team.clone().map_or(QueueTeam::Open, QueueTeam::Team);
    let wait_until = deadline.min(arrival + queue_wait);
    let preference = (team, &head.target);
    match slot_waiters::acquire(state, &head.service, preference, wait_until).await {
        Ok(lease) => {
            state.metrics.on_queue_wait(arrival.elapsed());
            line.with("decision", "send")
                .with("target", &lease.target().id)
                .with("waited_us", arrival.elapsed().as_micros())
                .info();
            attempt(state, lease, request, deadline).await
        }
        Err(refusal) => {
            line.with("decision", "refuse")
                .with("reason", refusal)
                .info();
            let mut failure = DeliveryError::not_run(RefusalKind::NoCapacity);
            failure.retry_after = Some(queue_wait);
            Err(failure)
        }
    }
}

/// Checks that this host may serve a request for its target now.
fn check_ownership(state: &HostState, head: &ForwardHead) -> Result<(), (String, DeliveryError)> {
    let misdirected = |reason: &dyn std::fmt::Display, owner| {
        Err((reason.to_string(), DeliveryError::misdirected(owner)))
    };
    let Some(view) = state.view() else {
        return misdirected(&"no-configuration", None);
    };
    match view.availability_of(&head.target) {
        TargetAvailability::In => {}
        availability => return misdirected(&format!("target-{availability:?}"), None),
    }
    let Some(target) = view.snapshot().target(&head.target) else {
        return misdirected(&"target-unlisted", None);
    };
    match state.may_serve(target, state.clock.mono()) {
        Ok(()) => {}
        Err(OwnershipError::HandedOver { successor, .. }) => {
            return misdirected(&"handed-over", Some(successor));
        }
        Err(error) => return misdirected(&error, None),
    }
    if state.is_stopping() {
        return misdirected(&"stopping", None);
    }
    if !state.has_usable_target(&head.service) {
        return misdirected(&"no-target-takes-work", None);
    }
    Ok(())
}
