//! Serves callers: admission, choice of a target, delivery and retries.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_limits::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_placement::prelude::*;
use chicorycroft_proxy::{
    head::check_request,
    names,
    prelude::*, //
};
use chicorycroft_retry::prelude::*;
use http::{
    HeaderValue,
    Request,
    Response,
    request::Parts, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::{
    admission::{
        AdmissionRefusal,
        AdmittedRequest,
        authorize, //
    },
    attempt,
    decision_log::{
        DecisionLine,
        format_skipped, //
    },
    delivery::{
        deliver,
        owners_of, //
    },
    delivery_error::DeliveryError,
    replay::ReplayBody,
    state::HostState,
    token_loop, //
};

/// Smallest number of bytes that an upload must transfer in each idle time.
const UPLOAD_PROGRESS_MIN: usize = 1024;

/// Handles one request of a caller.
pub async fn handle(state: Arc<HostState>, request: Request<Incoming>) -> Response<ProxyBody> {
    let id = RequestId::new(state.next_request_id());
    let arrival = Instant::now();
    let (mut parts, body) = request.into_parts();
    let checked = check_request(&parts);
    let key = take_key(&mut parts);
    sanitize_request(&mut parts);
    let line = DecisionLine::new("request")
        .with("id", id)
        .with("method", &parts.method)
        .with("path", parts.uri.path());
    let refusal = match (checked, key) {
        (Err(kind), _) => kind.into(),
        (_, Err(_)) => RefusalKind::BadRequest.into(),
        (Ok(()), Ok(key)) => match admit(&state, &parts, key.as_ref()).await {
            Ok((view, admitted)) => {
                let line = line
                    .with("route", &admitted.route.id)
                    .with("team", admitted.team.as_ref().map_or("-", TeamId::as_str));
                state.metrics.on_added_latency(arrival.elapsed());
                let exchange = CallerExchange::new(state, view, admitted, id, arrival);
                return exchange.run(parts, body, line).await;
            }
            Err(refusal) => refusal,
        },
    };
    refuse(
        &state,
        line,
        refusal.kind,
        ExecutionStatus::NotRun,
        refusal.retry_after,
    )
}

async fn admit(
    state: &Arc<HostState>,
    parts: &Parts,
    key: Option<&CallerKey>,
) -> Result<(Arc<FleetView>, AdmittedRequest), AdmissionRefusal> {
    if !state.is_serving() {
        return Err(RefusalKind::NotReady.into());
    }
    let view = state.view().ok_or(RefusalKind::NotReady)?;
    let admitted = authorize(&view, parts.method.as_str(), parts.uri.path(), key)?;
    if let Some(team) = &admitted.team {
        let terms = state.terms_of(&view, team).ok_or(RefusalKind::BadKey)?;
        let taken = match state.ledger.try_take(team, &terms, state.clock.mono()) {
            Ok(()) => Ok(()),
            Err(shortage) => {
                let retry_take = || {
                    state
                        .ledger
                        .take_after_wait(team, &terms, state.clock.mono())
                };
                wait_for_token(state, team, shortage, retry_take).await
            }
        };
        // The refill is requested before the account is empty, so that few requests wait.
        token_loop::refill(state, team);
        state.metrics.on_token(team, taken.is_ok());
        taken?;
    }
    Ok((view, admitted))
}

/// Waits for tokens of other hosts, if a grant is expected.
async fn wait_for_token(
    state: &HostState,
    team: &TeamId,
    shortage: TokenShortage,
    retry_take: impl Fn() -> bool,
) -> Result<(), AdmissionRefusal> {
    if !shortage.is_grant_expected {
        return Err(shortage.into());
    }
    let deadline = Instant::now() + token_loop::GRANT_TIMEOUT;
    state.refills.request(team);
    loop {
        // A grant for any team wakes all waiting requests, of which there are few.
        let granted = state.refills.granted();
        if retry_take() {
            return Ok(());
        }
        if tokio::time::timeout_at(deadline, granted).await.is_err() {
            return Err(shortage.into());
        }
    }
}

fn refuse(
    state: &HostState,
    line: DecisionLine,
    kind: RefusalKind,
    status: ExecutionStatus,
    retry_after: Option<Duration>,
) -> Response<ProxyBody> {
    state.metrics.on_request(None, "refuse", kind.status());
    state.metrics.on_refusal(kind);
    line.with("decision", "refuse")
        .with("reason", kind.name())
        .with("run", status)
        .info();
    kind.respond(status, retry_after)
}

/// Processing of one admitted request, with its attempts.
struct CallerExchange {
    state: Arc<HostState>,
    view: Arc<FleetView>,
    admitted: AdmittedRequest,
    id: RequestId,
    deadline: DeadlineClock,
    history: AttemptHistory,
    /// Owners that do not serve a target or could not be reached.
    excluded_owners: IndexSet<(TargetId, HostId)>,
    owner_wait_until: Instant,
}

impl CallerExchange {
    fn new(
        state: Arc<HostState>,
        view: Arc<FleetView>,
        admitted: AdmittedRequest,
        id: RequestId,
        arrival: Instant,
    ) -> Self {
        let now = state.clock.mono();
        let left = admitted.deadline.saturating_sub(arrival.elapsed());
        let service = view.snapshot().service(&admitted.route.service);
        let queue_wait = service
            .map(|service| service.queue_wait)
            .unwrap_or_default();
        state.retries.record_request(&admitted.route.service, now);
        Self {
            state,
            view,
            admitted,
            id,
            deadline: DeadlineClock::new(left, now),
            history: AttemptHistory::new(),
            excluded_owners: IndexSet::new(),
            owner_wait_until: arrival + queue_wait.min(left),
        }
    }

    fn kind(&self) -> RequestKind {
        match self.admitted.is_idempotent {
            true => RequestKind::Idempotent,
            false => RequestKind::NonIdempotent,
        }
    }

    async fn run(
        mut self,
        parts: Parts,
        body: Incoming,
        line: DecisionLine,
    ) -> Response<ProxyBody> {
        let idle_max = self.state.settings.idle_body_timeout;
        let body = WatchedBody::new(body, idle_max, |_| {}).with_progress_min(UPLOAD_PROGRESS_MIN);
        let body = ReplayBody::new(body.boxed_unsync());
        loop {
            let Some((target, owner, choice)) = self.choose_target() else {
                if self.wait_for_owner().await {
                    continue;
                }
                let status = attempt::execution_status_of(self.history.proof());
                let line = line.with("attempts", self.history.len());
                return refuse(&self.state, line, RefusalKind::NoCapacity, status, None);
            };
            let line = line
                .clone()
                .with("target", &target.id)
                .with("owner", &owner)
                .with("attempt", self.history.len() + 1)
                .with("passed", format_skipped(&choice));
            let started_at = self.state.clock.mono();
            let request = self.build_request(&parts, body.next_attempt());
            self.state.chooser.on_sent(&target.id);
            let delivered = deliver(&self.state, &owner, self.forward_head(&target), request).await;
            self.state.chooser.on_ended(&target.id);
            if let Err(failure) = &delivered
                && failure.is_misdirected
                && body.can_replay()
            {
                line.with("decision", "ask-another-owner").info();
                self.exclude_owner(&target, owner, failure.owner.clone());
                continue;
            }
            let proof = self.proof_of(&delivered);
            let number = self.history.begin(target.id.clone(), started_at);
            self.history.end(number, proof);
            match self.decide_retry(&body) {
                RetryDecision::RetryElsewhere => {
                    self.state.metrics.on_retry();
                    line.with("decision", "retry").with("run", proof).info();
                }
                RetryDecision::GiveUp { reason, .. } => {
                    let line = line.with("end", reason);
                    return self.finish(delivered, line);
                }
            }
        }
    }

    /// Returns whether the request may have run in an attempt. A server error of an idempotent request
    /// counts as unknown, so that another target may be tried.
    fn proof_of(&self, delivered: &Result<Response<ProxyBody>, DeliveryError>) -> RunProof {
        match delivered {
            Ok(response) if response.status().is_server_error() && self.admitted.is_idempotent => {
                RunProof::Unknown
            }
            Ok(_) => RunProof::Ran,
            Err(failure) => failure.proof,
        }
    }

    fn exclude_owner(&mut self, target: &TargetRecord, excluded: HostId, owner: Option<HostId>) {
        if let Some(owner) = owner {
            let now = self.state.clock.mono();
            self.state.set_owner_hint(&target.id, owner, now);
        }
        self.excluded_owners.insert((target.id.clone(), excluded));
    }

    /// Waits for targets to get an owner. Returns `true` if the owners should be tried again.
    async fn wait_for_owner(&mut self) -> bool {
        /// Time before all owners are tried again, such as during a handover.
        const OWNER_WAIT: Duration = Duration::from_millis(50);
        let until = Instant::now() + OWNER_WAIT;
        // After an attempt only the remaining targets may get the request, so that waiting helps only
        // if one of their owners was excluded.
        let may_change = !self.excluded_owners.is_empty() || self.history.is_empty();
        if !may_change || until > self.owner_wait_until {
            return false;
        }
        tokio::time::sleep_until(until).await;
        self.excluded_owners.clear();
        true
    }

    fn decide_retry(&self, body: &ReplayBody) -> RetryDecision {
        if !body.can_replay() {
            return RetryDecision::GiveUp {
                run: self.history.proof().into(),
                reason: GiveUpReason::NoTime,
            };
        }
        self.state.retries.decide_retry(
            &self.admitted.route.service,
            self.kind(),
            &self.history,
            &self.deadline,
            self.state.clock.mono(),
        )
    }

    fn finish(
        &self,
        delivered: Result<Response<ProxyBody>, DeliveryError>,
        line: DecisionLine,
    ) -> Response<ProxyBody> {
        match delivered {
            Ok(mut response) => {
                let route = Some(&self.admitted.route.id);
                let status = response.status();
                self.state.metrics.on_request(route, "forward", status);
                line.with("decision", "forward")
                    .with("status", status.as_u16())
                    .info();
                *response.version_mut() = http::Version::HTTP_11;
                response
            }
            Err(failure) => {
                let status = attempt::execution_status_of(self.history.proof());
                refuse(&self.state, line, failure.kind, status, failure.retry_after)
            }
        }
    }

    /// Returns the most likely owner of a target that has not been excluded.
    fn next_owner(&self, target: &TargetRecord) -> Option<HostId> {
        /// Number of owners that are tried: the current one and its successor.
        const OWNERS_TRIED: usize = 2;
        let owners = owners_of(&self.state, target)
            .into_iter()
            .take(OWNERS_TRIED);
        let mut owners = owners.map(|owner| (target.id.clone(), owner));
        let (_, owner) = owners.find(|pair| !self.excluded_owners.contains(pair))?;
        Some(owner)
    }

    /// Chooses a target that was not tried yet, and its owner.
    fn choose_target(&self) -> Option<(Arc<TargetRecord>, HostId, TargetChoice)> {
        let (state, view) = (&self.state, &self.view);
        let candidates: Vec<TargetCandidate> = view
            .available_targets(&self.admitted.route.service)
            .map(|target| TargetCandidate {
                id: target.id.clone(),
                zone: target.zone.clone(),
                is_suspect: state.is_suspect(&target.id),
                is_excluded: self.history.targets().any(|tried| tried == &target.id)
                    || self.next_owner(target).is_none(),
            })
            .collect();
        let now = state.clock.mono();
        let choice = state
            .chooser
            .choose(&candidates, &state.settings.zone, state.random(), now);
        let target = view.snapshot().target(choice.chosen.as_ref()?)?.clone();
        let owner = self.next_owner(&target)?;
        Some((target, owner, choice))
    }

    fn forward_head(&self, target: &TargetRecord) -> ForwardHead {
        let now = self.state.clock.mono();
        let left = self.deadline.for_next_hop(now).unwrap_or_default();
        ForwardHead {
            request: self.id,
            route: self.admitted.route.id.clone(),
            team: self.admitted.team.clone(),
            service: target.service.clone(),
            target: target.id.clone(),
            left_millis: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            attempt: u8::try_from(self.history.len()).unwrap_or(u8::MAX),
            is_idempotent: self.admitted.is_idempotent,
        }
    }

    fn build_request(&self, parts: &Parts, body: ProxyBody) -> Request<ProxyBody> {
        let mut request = Request::new(body);
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = parts.uri.clone();
        *request.headers_mut() = parts.headers.clone();
        if let Some(team) = &self.admitted.team
            && let Ok(team) = HeaderValue::from_str(team.as_str())
        {
            request.headers_mut().insert(names::TEAM, team);
        }
        request
    }
}
