//! Choice of a target and the attempts.

use std::sync::Arc;

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

/// Bytes that an upload must bring in each idle time.
const UPLOAD_PROGRESS_MIN: usize = 1024;

/// Answers one request of a caller.
pub async fn handle(state: Arc<HostState>, request: Request<Incoming>) -> Response<ProxyBody> {
    let number = state.next_request();
    let (mut parts, body) = request.into_parts();
    let key = take_key(&mut parts);
    clean_request(&mut parts);
    let line = DecisionLine::new("request")
        .with("id", number)
        .with("method", &parts.method)
        .with("path", parts.uri.path());
    let Ok(key) = key else {
        return refuse(line, RefusalKind::BadRequest.into(), RunStatement::NotRun);
    };
    let Some(view) = state.view() else {
        return refuse(line, RefusalKind::NotReady.into(), RunStatement::NotRun);
    };
    let admitted = match admit(&state, &view, &parts, key.as_ref()) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(line, refusal, RunStatement::NotRun),
    };
    let line = line.with("route", &admitted.route.id);
    let line = match &admitted.team {
        Some(team) => line.with("team", team),
        None => line,
    };
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
        state
            .ledger
            .try_take(team, (limit.rate, limit.burst), minters, now)?;
    }
    Ok(admitted)
}

fn refuse(line: DecisionLine, refusal: AdmissionRefusal, run: RunStatement) -> Response<ProxyBody> {
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
    let service = view.snapshot().service(&admitted.route.service);
    let Some((target, permit)) = service.and_then(|service| choose(state, view, service)) else {
        return refuse(line, RefusalKind::NoCapacity.into(), RunStatement::NotRun);
    };
    let deadline = Instant::now() + admitted.deadline;
    let line = line.with("target", &target.id);
    let idle_max = state.settings.idle_body_timeout;
    let body = WatchedBody::new(body, idle_max, |_| {}).with_progress_min(UPLOAD_PROGRESS_MIN);
    let request = build_request(&target, admitted, parts, body.boxed_unsync());
    let client = state.client_of(&target);
    match client.send(request, deadline).await {
        Ok(answer) => {
            line.with("decision", "forward")
                .with("status", answer.status().as_u16())
                .info();
            let state = state.clone();
            let outcome = if answer.status().is_server_error() {
                AttemptOutcome::Wrong
            } else {
                AttemptOutcome::Good
            };
            answer.into_response(idle_max, move |end| {
                let outcome = match end {
                    BodyEnd::Whole => outcome,
                    BodyEnd::Cut => AttemptOutcome::Cut,
                    BodyEnd::Abandoned => AttemptOutcome::Cancelled,
                };
                state.slots.release(permit, outcome);
            })
        }
        Err(error) => {
            let (outcome, kind) = match &error {
                AttemptError::Connect(_) | AttemptError::NotWritten => {
                    (AttemptOutcome::Refused, RefusalKind::BadGateway)
                }
                AttemptError::NoConnection => (AttemptOutcome::Cancelled, RefusalKind::NoCapacity),
                AttemptError::RequestCut => (AttemptOutcome::Cancelled, RefusalKind::BadRequest),
                AttemptError::RequestStalled => {
                    (AttemptOutcome::Cancelled, RefusalKind::SlowRequest)
                }
                AttemptError::TimedOut => (AttemptOutcome::TimedOut, RefusalKind::TimedOut),
                _ => (AttemptOutcome::Cut, RefusalKind::BadGateway),
            };
            let run = if error.is_not_run() {
                RunStatement::NotRun
            } else {
                RunStatement::Unknown
            };
            state.slots.release(permit, outcome);
            refuse(line.with("error", error), kind.into(), run)
        }
    }
}

fn build_request(
    target: &TargetRecord,
    admitted: &AdmittedRequest,
    parts: Parts,
    body: ProxyBody,
) -> Request<ProxyBody> {
    let mut request = Request::new(body);
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
    if let Some(team) = &admitted.team
        && let Ok(team) = HeaderValue::from_str(team.as_str())
    {
        headers.insert(names::TEAM, team);
    }
    request
}
