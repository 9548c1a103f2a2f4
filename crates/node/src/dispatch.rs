//! Choice of a target and the attempts.

use std::sync::Arc;

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_placement::prelude::*;
use chicorycroft_proxy::{
    names,
    prelude::*, //
};
use http::{
    HeaderValue,
    Request,
    Response, //
    header::HOST,
    request::Parts,
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    admission::{
        AdmissionRefusal,
        AdmittedRequest, //
        authorize,
    },
    decision_log::DecisionLine,
    state::HostState, //
};

/// Answers one request of a caller.
pub async fn handle(state: Arc<HostState>, request: Request<Incoming>) -> Response<ProxyBody> {
    let arrived_at = Instant::now();
    let number = state.next_request();
    let (mut parts, body) = request.into_parts();
    let key = take_key(&mut parts);
    let line = DecisionLine::new("request")
        .with("id", number)
        .with("method", &parts.method)
        .with("path", parts.uri.path());
    let Some(view) = state.view() else {
        let kind = RefusalKind::NotReady;
        return refuse(&state, None, line, kind.into(), RunStatement::NotRun);
    };
    let admitted = match admit(&state, &view, &parts, key.as_ref()) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(&state, None, line, refusal, RunStatement::NotRun),
    };
    let line = line.with("route", &admitted.route.id);
    let line = match &admitted.team {
        Some(team) => line.with("team", team),
        None => line,
    };
    state.metrics.on_added_latency(arrived_at.elapsed());
    attempt(&state, &view, &admitted, parts, body, line).await
}

fn admit(
    state: &HostState,
    view: &FleetView,
    parts: &Parts,
    key: Option<&CallerKey>,
) -> Result<AdmittedRequest, AdmissionRefusal> {
    let admitted = authorize(view, parts.method.as_str(), parts.uri.path(), key)?;
    if let Some(team) = &admitted.team {
        let limit = view.limit_of(team).ok_or(RefusalKind::BadKey)?;
        let minters = view.snapshot().rules().host_bound;
        let now = state.clock.mono();
        let amounts = (limit.rate, limit.burst);
        let taken = state.ledger.try_take(team, amounts, minters, now);
        state.metrics.on_token(team, taken.is_ok());
        taken?;
    }
    Ok(admitted)
}

fn refuse(
    state: &HostState,
    route: Option<&RouteId>,
    line: DecisionLine,
    refusal: AdmissionRefusal,
    run: RunStatement,
) -> Response<ProxyBody> {
    let status = refusal.kind.status();
    state.metrics.on_request(route, "refuse", status);
    state.metrics.on_refusal(refusal.kind);
    line.with("decision", "refuse")
        .with("reason", refusal.kind.name())
        .with("run", run)
        .info();
    refusal.kind.respond(run, refusal.retry_after)
}

/// Takes a slot of the first target that has one free.
fn choose(
    state: &HostState,
    view: &FleetView,
    service: &ServiceRecord,
) -> Option<(Arc<TargetRecord>, SlotPermit)> {
    view.targets_in(&service.id).find_map(|target| {
        if !state.slots.is_known(&target.id) {
            state
                .slots
                .start_cold(&target.id, service.slots, service.warm_up_answers);
        }
        let permit = state.slots.try_acquire(&target.id).ok()?;
        Some((target.clone(), permit))
    })
}

async fn attempt(
    state: &Arc<HostState>,
    view: &FleetView,
    admitted: &AdmittedRequest,
    parts: Parts,
    body: Incoming,
    line: DecisionLine,
) -> Response<ProxyBody> {
    let route = &admitted.route.id;
    let service = view.snapshot().service(&admitted.route.service);
    let Some((target, permit)) = service.and_then(|service| choose(state, view, service)) else {
        let refusal = RefusalKind::NoCapacity.into();
        return refuse(state, Some(route), line, refusal, RunStatement::NotRun);
    };
    let deadline = Instant::now() + admitted.deadline;
    let line = line.with("target", &target.id);
    let request = build_request(&target, admitted, parts, body);
    let client = state.client_of(&target);
    match client.send(request, deadline).await {
        Ok((response, sender)) => {
            line.with("decision", "forward")
                .with("status", response.status().as_u16())
                .info();
            let (parts, body) = response.into_parts();
            state
                .metrics
                .on_request(Some(route), "forward", parts.status);
            let state = state.clone();
            let idle_max = state.settings.idle_body_timeout;
            let outcome = if parts.status.is_server_error() {
                AttemptOutcome::Wrong
            } else {
                AttemptOutcome::Good
            };
            let body = WatchedBody::new(body, idle_max, move |end| {
                let outcome = match end {
                    BodyEnd::Whole => outcome,
                    BodyEnd::Cut => AttemptOutcome::Cut,
                    BodyEnd::Abandoned => AttemptOutcome::Cancelled,
                };
                state.slots.release(permit, outcome);
                state.metrics.on_attempt(outcome);
                if end == BodyEnd::Whole {
                    client.put_idle(sender);
                }
            });
            Response::from_parts(parts, body.boxed_unsync())
        }
        Err(error) => {
            let (outcome, kind, run) = match &error {
                AttemptError::Connect(_) | AttemptError::NotWritten => (
                    AttemptOutcome::Refused,
                    RefusalKind::BadGateway,
                    RunStatement::NotRun,
                ),
                AttemptError::Broken(_) => (
                    AttemptOutcome::Cut,
                    RefusalKind::BadGateway,
                    RunStatement::Unknown,
                ),
                AttemptError::TimedOut => (
                    AttemptOutcome::TimedOut,
                    RefusalKind::TimedOut,
                    RunStatement::Unknown,
                ),
            };
            state.slots.release(permit, outcome);
            state.metrics.on_attempt(outcome);
            refuse(
                state,
                Some(route),
                line.with("error", error),
                kind.into(),
                run,
            )
        }
    }
}

fn build_request(
    target: &TargetRecord,
    admitted: &AdmittedRequest,
    parts: Parts,
    body: Incoming,
) -> Request<ProxyBody> {
    let mut request = Request::new(body.map_err(BodyError::Cut).boxed_unsync());
    *request.method_mut() = parts.method;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = parts.headers;
    let headers = request.headers_mut();
    if let Ok(host) = HeaderValue::from_str(&target.address.to_string()) {
        headers.insert(HOST, host);
    }
    let millis = u64::try_from(admitted.deadline.as_millis()).unwrap_or(u64::MAX);
    headers.insert(names::REQUEST_TIMEOUT, HeaderValue::from(millis));
    headers.remove(names::TEAM);
    if let Some(team) = &admitted.team
        && let Ok(team) = HeaderValue::from_str(team.as_str())
    {
        headers.insert(names::TEAM, team);
    }
    request
}
