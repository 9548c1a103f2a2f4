//! Handles requests from callers: routing, authentication, reading the body and the response.

use std::{
    sync::Arc,
    time::Duration, //
};

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
        sanitize_request,
        sanitize_response, //
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
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::RngExt;
use smol_str::SmolStr;
use tokio::sync::OwnedSemaphorePermit;

use crate::{
    body_blocks::BodyBlocks,
    body_buffer::{
        BufferedBody,
        read_body, //
    },
    exchange::OutgoingRequest,
    load_view::{
        ZONES_FULL,
        ask_door,
        door_return, //
    },
    request_attempts::{
        RequestAttempts,
        RequestOutcome,
        RequestPlan, //
    },
    state::GatewayState,
};

/// Shortest `Retry-After` for refused requests. It covers the time in which another host takes over as
/// dispatcher.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(150);

/// Largest random addition to `Retry-After`, in percent. It keeps callers from retrying at the same time.
const RETRY_JITTER_PERCENT_MAX: u64 = 50;

/// Outcome of a request whose caller disconnected before the response.
const CALLER_LEFT: &str = "caller-left";

/// A response to a caller, with its outcome and reason for the log.
struct CallerResponse {
    response: Response<BufferedBody>,
    outcome: SmolStr,
    reason: &'static str,
}

/// A refusal by this host, with its reason for the log.
struct RequestRefusal {
    answer: RefusalAnswer,
    retry_after: Option<Duration>,
    /// Whether a place is kept for exactly this time.
    is_kept: bool,
    reason: &'static str,
}

impl RequestRefusal {
    fn new(answer: RefusalAnswer, reason: &'static str) -> Self {
        let retry_after = (answer == RefusalAnswer::Unavailable).then_some(RETRY_AFTER_MIN);
        Self {
            answer,
            retry_after,
            is_kept: false,
            reason,
        }
    }

    /// Creates the refusal of a request for which no slot is free in time.
    fn turned_away(return_after: Option<Duration>, reason: &'static str) -> Self {
        Self {
            answer: RefusalAnswer::Unavailable,
            retry_after: return_after.map(|time| time.max(RETRY_AFTER_MIN)),
            is_kept: true,
            reason,
        }
    }
}

/// When a request arrived.
#[derive(Clone, Copy, Debug)]
struct RequestArrival {
    /// Time at which the HTTP library handed it over.
    handed_over_at: MonoTime,
    /// Time for which it had waited behind others of its connection until then.
    queued: Duration,
}

impl RequestArrival {
    /// Returns the time at which the request reached this host.
    fn arrived_at(self) -> MonoTime {
        let queued = u64::try_from(self.queued.as_micros()).unwrap_or(u64::MAX);
        MonoTime::from_micros(self.handed_over_at.as_micros().saturating_sub(queued))
    }
}

/// Writes the log line and metrics of a request exactly once, also if the caller disconnects first and the
/// request is dropped.
struct RequestGuard {
    state: Arc<GatewayState>,
    id: Option<SmolStr>,
    path: String,
    /// Team whose key came with the request, once that was checked.
    team: Option<TeamId>,
    arrival: RequestArrival,
    is_recorded: bool,
}

impl RequestGuard {
    fn finish(mut self, answer: &CallerResponse) {
        let status = answer.response.status().as_u16();
        self.record(&answer.outcome, status, answer.reason);
        self.is_recorded = true;
    }

    fn record(&self, outcome: &str, status: u16, reason: &str) {
        let (state, now) = (&self.state, self.state.now());
        let elapsed = now.since(self.arrival.handed_over_at);
        let (index, age) = (state.store_cache.index(), state.store_cache.age(now));
        state.metrics.on_request(outcome, elapsed);
        log::info!(
            "event=request id={} path={} team={} outcome={outcome} status={status} reason={reason} config={} \
             age_ms={} queued_ms={} elapsed_ms={}",
            self.id.as_deref().unwrap_or("-"),
            self.path,
            self.team.as_ref().map_or("-", TeamId::as_str),
            index.map_or(0, |index| index.config().version().get()),
            age.map_or(0, |age| age.get().as_millis()),
            self.arrival.queued.as_millis(),
            elapsed.as_millis()
        );
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.is_recorded {
            self.record(CALLER_LEFT, 0, "connection-closed");
        }
    }
}

/// Handles one request from a caller and returns the response.
pub async fn answer(state: Arc<GatewayState>, request: Request<Incoming>) -> Response<ProxyBody> {
    let handed_over_at = state.now();
    let (mut parts, body) = request.into_parts();
    let queued = parts.extensions.get::<QueuedTime>();
    let arrival = RequestArrival {
        handed_over_at,
        queued: queued.map_or(Duration::ZERO, |queued| queued.0),
    };
    let id = headers::request_id(&parts.headers).map(SmolStr::new);
    let mut guard = RequestGuard {
        state: state.clone(),
        id: id.clone(),
        path: parts.uri.path().to_owned(),
        team: None,
        arrival,
        is_recorded: false,
    };
    let planned = tokio::select! {
        planned = plan_request(&state, &mut parts, body, id.as_ref(), arrival) => planned,
        () = state.until_answers_due() => {
            Err(RequestRefusal::new(RefusalAnswer::SlowBody, "stopping"))
        }
    };
    let answer = match planned {
        Ok((plan, memory)) => {
            guard.team = plan.team.clone();
            serve(&state, plan, memory).await
        }
        Err(refusal) => refuse(id.as_deref(), refusal),
    };
    guard.finish(&answer);
    let mut response = answer
        .response
        .map(|body| body.map_err(|never| match never {}).boxed_unsync());
    if state.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Converts a refusal into the response to the caller.
fn refuse(id: Option<&str>, refusal: RequestRefusal) -> CallerResponse {
    let retry_after = match refusal.is_kept {
        true => refusal.retry_after,
        false => refusal.retry_after.map(add_jitter),
    };
    CallerResponse {
        response: refusal
            .answer
            .respond(id, retry_after)
            .map(BufferedBody::from),
        outcome: refusal.answer.name().into(),
        reason: refusal.reason,
    }
}

/// Runs the attempts of a request and returns the response. `memory` holds the memory of its body.
async fn serve(
    state: &Arc<GatewayState>,
    plan: RequestPlan,
    memory: OwnedSemaphorePermit,
) -> CallerResponse {
    let id = plan.id.clone();
    // A request without an id has an empty one in its plan.
    let refuse = |refusal| refuse(Some(id.as_str()).filter(|id| !id.is_empty()), refusal);
    let left = plan.deadline.since(state.now());
    let mut attempts = RequestAttempts::new(state.clone(), plan);
    let outcome = tokio::select! {
        outcome = attempts.run() => Some(outcome),
        () = tokio::time::sleep(left) => None,
        // Without an answer, the end of the process would cut the connection.
        () = state.until_answers_due() => None,
    };
    drop(memory);
    match outcome {
        Some(RequestOutcome::Answered(response)) => forward_response(response),
        Some(RequestOutcome::Refused(answer, wait, reason)) => refuse(RequestRefusal {
            answer,
            retry_after: wait.or_else(|| RequestRefusal::new(answer, reason).retry_after),
            is_kept: false,
            reason,
        }),
        Some(RequestOutcome::TurnedAway(return_after)) => {
            refuse(RequestRefusal::turned_away(return_after, "busy"))
        }
        // The deadline passed during an attempt, which the target may have run.
        None if attempts.proof() != RunProof::NotRun => refuse(RequestRefusal::new(
            RefusalAnswer::TimedOut,
            "no-answer-in-time",
        )),
        None => refuse(RequestRefusal::turned_away(None, "no-slot-in-time")),
    }
}

/// Raises a retry delay to the minimum and adds random jitter.
fn add_jitter(wait: Duration) -> Duration {
    let wait = wait.max(RETRY_AFTER_MIN);
    let percent = rand::rng().random_range(0..=RETRY_JITTER_PERCENT_MAX);
    wait + wait * u32::try_from(percent).unwrap_or(0) / 100
}

/// Converts a target's response into the response to the caller.
fn forward_response(response: Response<BufferedBody>) -> CallerResponse {
    let (mut parts, body) = response.into_parts();
    sanitize_response(&mut parts);
    // The body is complete, so its length is known whichever framing the target used.
    parts.headers.remove(CONTENT_LENGTH);
    let outcome = match parts.status.is_success() {
        true => "ok",
        false => "target-status",
    };
    CallerResponse {
        response: Response::from_parts(parts, body),
        outcome: outcome.into(),
        reason: "answered",
    }
}

/// Decision about a request whose body has not been read.
struct BodyDoor<'a> {
    service: &'a ServiceId,
    team: Option<&'a TeamId>,
    priority: u8,
    wait: Duration,
    left: Duration,
}

impl BodyDoor<'_> {
    /// Refuses a request that no zone can serve even after its body has arrived, and returns whether it is a sample. A
    /// body without a length is read first, because slots may be free by its end.
    fn ask(&self, state: &GatewayState, body: &Incoming, id: &str) -> Result<bool, RequestRefusal> {
        let Some(length) = body.size_hint().exact().filter(|length| *length > 0) else {
            return Ok(false);
        };
        let request = DoorRequest {
            service: self.service,
            team: self.team,
            priority: self.priority,
            wait: self.wait,
            body_time: body_time(length),
        };
        match ask_door(state, &request, id) {
            DoorAnswer::Open => Ok(false),
            DoorAnswer::Sample => Ok(true),
            DoorAnswer::Refused(refusal) => Err(RequestRefusal {
                answer: RefusalAnswer::Unavailable,
                retry_after: Some(door_return(&refusal, self.left)),
                is_kept: false,
                reason: ZONES_FULL,
            }),
        }
    }
}

/// Routes a request, authenticates its key and reads its body. The returned permit holds the memory of the
/// body.
async fn plan_request(
    state: &Arc<GatewayState>,
    parts: &mut request::Parts,
    body: Incoming,
    id: Option<&SmolStr>,
    arrival: RequestArrival,
) -> Result<(RequestPlan, OwnedSemaphorePermit), RequestRefusal> {
    let refuse = RequestRefusal::new;
    let index = state.store_cache.index();
    let index = index.ok_or_else(|| refuse(RefusalAnswer::Unavailable, "no-configuration"))?;
    let host = parts.headers.get(HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = index.route(host, parts.uri.path());
    let route = route.map_err(|_| refuse(RefusalAnswer::NoRoute, "no-route"))?;
    let key = headers::caller_key(&parts.headers);
    let team = index.team(route, key);
    let team = team.map_err(|_| refuse(RefusalAnswer::BadKey, "bad-key"))?;
    let bound = state.settings.revoke_bound;
    if team.is_some() && !state.store_cache.may_trust_keys(bound, state.now()) {
        return Err(refuse(RefusalAnswer::Unavailable, "keys-too-old"));
    }
    let caller_time = headers::deadline(&parts.headers).into_iter();
    // A target stops its work when the time that it is given has passed.
    let caller_time = caller_time.chain(state.stop_time_left()).min();
    // Callers count from the time at which they sent the request.
    let budget = TimeBudget::new(caller_time, route.timeout).after(arrival.queued);
    let service = destination_of(route, id.map_or("", SmolStr::as_str));
    let service = service.ok_or_else(|| refuse(RefusalAnswer::Unavailable, "no-destination"))?;
    let (priority, team) = (index.priority(route, team), team.cloned());
    let door = BodyDoor {
        service,
        team: team.as_ref(),
        priority,
        wait: budget.wait_max(route.objective),
        left: budget.left,
    };
    let is_sample = door.ask(state, &body, id.map_or("-", SmolStr::as_str))?;
    let limits = index.config().limits();
    let body_max = limits.body_bytes_max;
    let read = read_body(&state.body_memory, body, body_max, budget.left).await;
    let (body, memory) = read.map_err(|error| refuse(error.answer(), error.name()))?;
    let deadline = arrival.handed_over_at.after(budget.left);
    Ok((
        RequestPlan {
            id: id.cloned().unwrap_or_default(),
            service: service.clone(),
            team: team.clone(),
            priority,
            is_idempotent: route.class == RequestClass::Idempotent,
            attempts_max: route.attempts_max,
            objective: route.objective,
            arrived_at: arrival.arrived_at(),
            deadline,
            is_sample,
            outgoing: build_outgoing(parts, body, team),
        },
        memory,
    ))
}

/// Builds the request that is sent to targets, without the caller's hop-by-hop and platform headers.
fn build_outgoing(
    parts: &request::Parts,
    body: BodyBlocks,
    team: Option<TeamId>,
) -> OutgoingRequest {
    let mut head = parts.clone();
    let had_body =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    sanitize_request(&mut head);
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
