//! Answers callers: route, key, body, and the answer.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_adapter::{
    headers,
    prelude::*, //
};
use chicorycroft_core::prelude::*;
use chicorycroft_directory::{
    prelude::*,
    routing::destination_of, //
};
use chicorycroft_dispatch::prelude::*;
use chicorycroft_proxy::{
    head::{
        clean_answer,
        clean_request, //
    },
    prelude::*,
};
use chicorycroft_retry::prelude::*;
use http::{
    HeaderValue, Request, Response,
    header::{
        CONNECTION,
        CONTENT_LENGTH,
        HOST,
        TRANSFER_ENCODING, //
    },
    request,
};
use hyper::body::Incoming;
use rand::RngExt;
use smol_str::SmolStr;
use tokio::sync::OwnedSemaphorePermit;

use crate::{
    exchange::OutgoingRequest,
    request_body::read_body,
    request_run::{
        RequestPlan,
        RequestRun,
        RunEnd, //
    },
    state::GatewayState,
};

/// Shortest time after which a refused caller is asked to come back; it covers a gap between two
/// dispatchers.
const RETRY_MIN: Duration = Duration::from_millis(150);

/// Part of the time to come back that is random, in percent, so that callers do not return together.
const RETRY_SPREAD_PERCENT: u64 = 50;

/// Outcome of a request whose caller left before its answer.
const CALLER_LEFT: &str = "caller-left";

/// An answer with the reason for it.
struct IngressEnd {
    response: Response<Bytes>,
    outcome: SmolStr,
    reason: &'static str,
}

/// What stands in the way of a request before its first attempt.
struct EarlyRefusal {
    answer: RefusalAnswer,
    retry_after: Option<Duration>,
    reason: &'static str,
}

impl EarlyRefusal {
    fn new(answer: RefusalAnswer, reason: &'static str) -> Self {
        let retry_after = (answer == RefusalAnswer::Unavailable).then_some(RETRY_MIN);
        Self {
            answer,
            retry_after,
            reason,
        }
    }
}

/// A request under way, of which one line tells how it ended, also when its caller leaves first.
struct OpenRequest {
    state: Arc<GatewayState>,
    id: Option<SmolStr>,
    path: String,
    arrival: MonoTime,
    is_ended: bool,
}

impl OpenRequest {
    fn end(mut self, end: &IngressEnd) {
        let status = end.response.status().as_u16();
        self.tell(&end.outcome, status, end.reason);
        self.is_ended = true;
    }

    fn tell(&self, outcome: &str, status: u16, reason: &str) {
        let (state, now) = (&self.state, self.state.now());
        let elapsed = now.since(self.arrival);
        let (index, age) = (state.knowledge.index(), state.knowledge.age(now));
        state.metrics.on_request(outcome, elapsed);
        log::info!(
            "event=request id={} path={} outcome={outcome} status={status} reason={reason} config={} \
             age_ms={} elapsed_ms={}",
            self.id.as_deref().unwrap_or("-"),
            self.path,
            index.map_or(0, |index| index.config().version().get()),
            age.map_or(0, |age| age.get().as_millis()),
            elapsed.as_millis()
        );
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if !self.is_ended {
            self.tell(CALLER_LEFT, 0, "connection-closed");
        }
    }
}

/// Answers one request of a caller.
pub async fn answer(state: Arc<GatewayState>, request: Request<Incoming>) -> Response<ProxyBody> {
    let arrival = state.now();
    let (mut parts, body) = request.into_parts();
    let id = headers::request_id(&parts.headers).map(SmolStr::new);
    let open = OpenRequest {
        state: state.clone(),
        id: id.clone(),
        path: parts.uri.path().to_owned(),
        arrival,
        is_ended: false,
    };
    let end = serve(&state, &mut parts, body, id.as_ref(), arrival).await;
    open.end(&end);
    let mut response = end.response.map(full_body);
    if state.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn serve(
    state: &Arc<GatewayState>,
    parts: &mut request::Parts,
    body: Incoming,
    id: Option<&SmolStr>,
    arrival: MonoTime,
) -> IngressEnd {
    let refuse = |refusal: EarlyRefusal| IngressEnd {
        response: refusal
            .answer
            .respond(id.map(SmolStr::as_str), refusal.retry_after.map(spread)),
        outcome: refusal.answer.name().into(),
        reason: refusal.reason,
    };
    let (plan, room) = match plan(state, parts, body, id, arrival).await {
        Ok(planned) => planned,
        Err(refusal) => return refuse(refusal),
    };
    let left = plan.ends_at.since(state.now());
    let mut run = RequestRun::new(state.clone(), plan);
    let end = tokio::time::timeout(left, run.run()).await;
    drop(room);
    match end {
        Ok(RunEnd::Answered(response)) => pass_on(response),
        Ok(RunEnd::Refused(answer, wait, reason)) => refuse(EarlyRefusal {
            answer,
            retry_after: wait.or_else(|| EarlyRefusal::new(answer, reason).retry_after),
            reason,
        }),
        // The attempt under way was cut by the time limit and may run.
        Err(_) if run.proof() != RunProof::NotRun => refuse(EarlyRefusal::new(
            RefusalAnswer::TimedOut,
            "no-answer-in-time",
        )),
        Err(_) => refuse(EarlyRefusal::new(
            RefusalAnswer::Unavailable,
            "no-slot-in-time",
        )),
    }
}

/// Lengthens a time to come back by a random part.
fn spread(wait: Duration) -> Duration {
    let wait = wait.max(RETRY_MIN);
    let percent = rand::rng().random_range(0..=RETRY_SPREAD_PERCENT);
    wait + wait * u32::try_from(percent).unwrap_or(0) / 100
}

/// Passes the answer of a target on.
fn pass_on(response: Response<Bytes>) -> IngressEnd {
    let (mut parts, body) = response.into_parts();
    clean_answer(&mut parts);
    // The body is whole here, so that its length is known whatever the target's framing was.
    parts.headers.remove(CONTENT_LENGTH);
    let outcome = match parts.status.is_success() {
        true => "ok",
        false => "target-status",
    };
    IngressEnd {
        response: Response::from_parts(parts, body),
        outcome: outcome.into(),
        reason: "answered",
    }
}

/// Routes a request, checks its key and reads its body.
async fn plan(
    state: &Arc<GatewayState>,
    parts: &mut request::Parts,
    body: Incoming,
    id: Option<&SmolStr>,
    arrival: MonoTime,
) -> Result<(RequestPlan, OwnedSemaphorePermit), EarlyRefusal> {
    let refuse = EarlyRefusal::new;
    let index = state.knowledge.index();
    let index = index.ok_or_else(|| refuse(RefusalAnswer::Unavailable, "no-configuration"))?;
    let host = parts.headers.get(HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = index.route(host, parts.uri.path());
    let route = route.map_err(|_| refuse(RefusalAnswer::NoRoute, "no-route"))?;
    let key = headers::caller_key(&parts.headers);
    let team = index.team(route, key);
    let team = team.map_err(|_| refuse(RefusalAnswer::BadKey, "bad-key"))?;
    let bound = state.settings.revoke_bound;
    if team.is_some() && !state.knowledge.may_trust_keys(bound, state.now()) {
        return Err(refuse(RefusalAnswer::Unavailable, "keys-too-old"));
    }
    let budget = TimeBudget::new(headers::deadline(&parts.headers), route.timeout);
    let service = destination_of(route, id.map_or("", SmolStr::as_str));
    let service = service.ok_or_else(|| refuse(RefusalAnswer::Unavailable, "no-destination"))?;
    let (priority, team) = (index.priority(route, team), team.cloned());
    let limits = index.config().limits();
    let body_max = limits.body_bytes_max;
    let read = read_body(&state.body_room, body, body_max, budget.left).await;
    let (body, room) = read.map_err(|error| refuse(error.answer(), error.name()))?;
    let ends_at = arrival.after(budget.left);
    Ok((
        RequestPlan {
            id: id.cloned().unwrap_or_default(),
            service: service.clone(),
            team: team.clone(),
            priority,
            is_idempotent: route.class == RequestClass::Idempotent,
            attempts_max: route.attempts_max,
            objective: route.objective,
            ends_at,
            outgoing: outgoing(parts, body, team),
        },
        room,
    ))
}

/// Makes the request that goes to targets.
fn outgoing(parts: &request::Parts, body: Bytes, team: Option<TeamId>) -> OutgoingRequest {
    let mut head = parts.clone();
    let had_body =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    clean_request(&mut head);
    headers::strip_caller_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    if had_body {
        head.headers
            .insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let id = headers::request_id(&head.headers).unwrap_or_default();
    OutgoingRequest {
        id: id.to_owned(),
        head,
        body,
        team,
    }
}
