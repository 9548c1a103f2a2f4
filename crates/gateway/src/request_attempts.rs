//! Runs the attempts of one request: target selection, retries, hedging and the final outcome.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_core::{
    prelude::*,
    rendezvous::ranked, //
};
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_retry::prelude::*;
use http::Response;
use smol_str::SmolStr;

use crate::{
    body_buffer::BufferedBody,
    copy_use::{
        CopyUse,
        record_copy_use, //
    },
    exchange::{
        ExchangeOutcome,
        OutgoingRequest,
        exchange, //
    },
    permit_client::{
        HeldPermit,
        PermitAnswer,
        request_local_permit,
        request_zone_permit, //
    },
    state::GatewayState,
    target_signals::record_signals,
    zone_search::ZoneSearch, //
};

/// Maximum number of attempts started for one request, including those that did not reach their target.
const STARTED_MAX: u32 = 5;

/// Maximum number of permits of one zone in a row that a request does not use because this host knows better.
const UNUSABLE_GRANTS_MAX: usize = 3;

/// Properties of a request that do not change between attempts.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Id of the caller's request.
    pub id: SmolStr,
    /// Service that handles the request.
    pub service: ServiceId,
    /// Team of the caller; `None` on routes that need no key.
    pub team: Option<TeamId>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Maximum number of attempts that reach a target.
    pub attempts_max: u32,
    /// Latency objective of the route; zero if it has none.
    pub objective: Duration,
    /// Time at which the request is abandoned.
    pub deadline: MonoTime,
    /// The request that is sent to targets.
    pub outgoing: OutgoingRequest,
}

/// Final outcome of a request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// A target responded.
    Answered(Response<BufferedBody>),
    /// This host refused the request, with an optional retry delay and the reason for the log.
    Refused(RefusalAnswer, Option<Duration>, &'static str),
}

/// State of the attempts of one request.
#[derive(Debug)]
pub struct RequestAttempts {
    state: Arc<GatewayState>,
    plan: RequestPlan,
    tried: Vec<TargetId>,
    sent_count: u32,
    started_count: u32,
    in_flight_count: u32,
    is_charged: bool,
    proof: RunProof,
    last_response: Option<Response<BufferedBody>>,
}

/// Refusal of a request whose permit cannot be used.
const BUSY_ANSWER: AdmitAnswer = AdmitAnswer::Busy {
    retry_millis: 0,
    has_less_trusted: false,
};

/// A permit and the directory entry of its target.
type PermittedTarget = (HeldPermit, TargetEntry);

impl RequestAttempts {
    /// Creates the state of a request that has not been sent.
    pub fn new(state: Arc<GatewayState>, plan: RequestPlan) -> Self {
        Self {
            state,
            plan,
            tried: Vec::new(),
            sent_count: 0,
            started_count: 0,
            in_flight_count: 0,
            is_charged: false,
            proof: RunProof::NotRun,
            last_response: None,
        }
    }

    /// Returns whether any attempt has run, as far as this host knows. An attempt in flight may have run.
    pub fn proof(&self) -> RunProof {
        match self.in_flight_count {
            0 => self.proof,
            _ => self.proof.join(RunProof::Unknown),
        }
    }

    fn record_outcome(&mut self, outcome: &ExchangeOutcome) {
        self.in_flight_count -= 1;
        // The attempt did not reach the target, so it does not count towards `attempts_max`.
        if outcome.result == AttemptResult::Unreachable {
            self.sent_count -= 1;
        }
        self.proof = self.proof.join(outcome.proof);
    }

    fn budget(&self) -> TimeBudget {
        let left = self.plan.deadline.since(self.state.now());
        TimeBudget { left }
    }

    fn admit_request(
        &self,
        zone: Option<&ZoneId>,
        wait: Duration,
        least_trust: TargetTrust,
    ) -> AdmitRequest {
        let charged_team = self.plan.team.clone().filter(|_| !self.is_charged);
        AdmitRequest {
            request: self.plan.id.clone(),
            service: self.plan.service.clone(),
            zone: zone.cloned(),
            charged_team,
            team: self.plan.team.clone(),
            priority: self.plan.priority,
            is_idempotent: self.plan.is_idempotent,
            is_repeat: self.sent_count > 0,
            wait_millis: whole_millis(wait),
            left_millis: whole_millis(self.budget().left),
            connected: self.state.connections.connected_targets(self.state.now()),
            least_trust,
            tried: self.excluded_targets(),
        }
    }

    /// Returns the targets that must not be selected: those already tried and those that this host excludes.
    fn excluded_targets(&self) -> Vec<TargetId> {
        let directory = self.state.store_cache.directory();
        let mut excluded = self.state.excluded.excluded(&directory, self.state.now());
        excluded.extend(self.tried.iter().cloned());
        excluded
    }

    /// Returns the zones with targets of the service in the order of the search, the local one first. The order of the others
    /// differs by request: in a fixed one the last zone gets nothing while the callers of another one need targets of
    /// two.
    fn zones(&self) -> Vec<ZoneId> {
        let own = &self.state.settings.zone;
        let directory = self.state.store_cache.directory();
        let mut others = directory.zones_of(&self.plan.service);
        let own = others.shift_take(own);
        let others = ranked(&self.plan.id, &others, |zone| zone.as_str());
        own.into_iter().chain(others.into_iter().cloned()).collect()
    }

    /// Finds a target and obtains a permit for it.
    ///
    /// Searches each zone, the local one first, for a target that is neither blocked nor doubtful, then the zones
    /// that reported less trusted targets with a free slot. If `may_wait` is set, it then waits for a slot in the first
    /// busy zone. If no dispatcher answered, this host decides with its own dispatcher.
    async fn find_target(&mut self, may_wait: bool) -> Result<PermittedTarget, AdmitAnswer> {
        let mut search = ZoneSearch::new(self.zones());
        let least_trust = TargetTrust::Unknown;
        for zone in search.zones.clone() {
            let request = self.admit_request(Some(&zone), Duration::ZERO, least_trust);
            match self.request_permit(&zone, request, &mut search).await {
                Err(refusal) if search.continues_after(&zone, &refusal) => {}
                result => return result,
            }
        }
        for zone in search.less_trusted_zones.clone() {
            let request = self.admit_request(Some(&zone), Duration::ZERO, TargetTrust::Blocked);
            match self.request_permit(&zone, request, &mut search).await {
                Err(refusal) if search.continues_after(&zone, &refusal) => {}
                result => return result,
            }
        }
        if let Some(zone) = search.busy_zone.clone().filter(|_| may_wait) {
            let wait = self.budget().wait_max(self.plan.objective);
            let request = self.admit_request(Some(&zone), wait, TargetTrust::Blocked);
            return self.request_permit(&zone, request, &mut search).await;
        }
        match search.is_unanswered {
            true => self.find_target_locally().await,
            false => Err(search.refusal),
        }
    }

    /// Requests a permit from the dispatcher of a zone, and again if this host knows better than to use it.
    async fn request_permit(
        &mut self,
        zone: &ZoneId,
        mut request: AdmitRequest,
        search: &mut ZoneSearch,
    ) -> Result<PermittedTarget, AdmitAnswer> {
        for _ in 0..UNUSABLE_GRANTS_MAX {
            let answer = request_zone_permit(&self.state, zone, &request).await;
            search.record(zone, &answer);
            match self.accept_permit(answer)? {
                Some(permitted) => return Ok(permitted),
                None => {
                    request.tried = self.excluded_targets();
                    request.charged_team = None;
                }
            }
        }
        Err(BUSY_ANSWER)
    }

    /// Obtains a permit from this host's own dispatcher, for use when no other dispatcher answers.
    async fn find_target_locally(&mut self) -> Result<PermittedTarget, AdmitAnswer> {
        let request = self.admit_request(None, Duration::ZERO, TargetTrust::Blocked);
        let answer = request_local_permit(&self.state, &request).await;
        self.accept_permit(answer)?.ok_or(BUSY_ANSWER)
    }

    /// Returns the target of a granted permit, or `None` if this host knows that the target must not be used: it may
    /// learn that a target leaves before its dispatcher does, and a new dispatcher does not know which targets stated a
    /// rate limit. The release of the permit tells it.
    fn accept_permit(
        &mut self,
        answer: PermitAnswer,
    ) -> Result<Option<PermittedTarget>, AdmitAnswer> {
        let permit = match answer {
            PermitAnswer::Granted(permit) => *permit,
            PermitAnswer::Refused(refusal) => return Err(refusal),
            PermitAnswer::NoAnswer => return Err(AdmitAnswer::NoTarget),
        };
        self.is_charged = true;
        let (directory, now) = (self.state.store_cache.directory(), self.state.now());
        let entry = directory.targets.get(permit.target());
        let is_open = |entry: &&TargetEntry| {
            directory.is_open(entry) && !self.state.excluded.is_excluded(entry, now)
        };
        let Some(entry) = entry.filter(is_open) else {
            self.tried.push(permit.target().clone());
            permit.cancel(None);
            return Ok(None);
        };
        let stated = self.state.stated_limits.limit_of(&entry.id, entry.born);
        if stated.is_some() && permit.limit() == LimitState::Unknown {
            self.tried.push(entry.id.clone());
            permit.cancel(Some(TargetSignals {
                rate_limit: stated,
                ..TargetSignals::default()
            }));
            return Ok(None);
        }
        Ok(Some((permit, entry.clone())))
    }

    /// Sends attempts until one succeeds or no further attempt is allowed.
    pub async fn run(&mut self) -> RequestOutcome {
        loop {
            let is_first = self.started_count == 0;
            let (permit, entry) = match self.find_target(is_first).await {
                Ok(permitted) => permitted,
                Err(refusal) => return self.refuse(&refusal),
            };
            if !self.budget().is_sendable() {
                permit.cancel(None);
                return self.refuse(&BUSY_ANSWER);
            }
            let outcome = self.attempt(permit, entry).await;
            let is_final = outcome.result == AttemptResult::Good;
            if outcome.response.is_some() {
                self.last_response = outcome.response;
            }
            let is_retryable = self.plan.is_idempotent || self.proof() == RunProof::NotRun;
            let has_attempts_left =
                self.sent_count < self.plan.attempts_max && self.started_count < STARTED_MAX;
            if is_final || !is_retryable || !has_attempts_left {
                return self.finish();
            }
        }
    }

    /// Sends the request to a target, and hedges with a second target after a delay if the request is
    /// idempotent.
    async fn attempt(&mut self, permit: HeldPermit, entry: TargetEntry) -> ExchangeOutcome {
        let hedge_after = permit.hedge_delay();
        let first = self.start(permit, entry);
        tokio::pin!(first);
        let may_hedge = self.plan.is_idempotent && self.sent_count < self.plan.attempts_max;
        let early_outcome = tokio::select! {
            outcome = &mut first => Some(outcome),
            () = tokio::time::sleep(hedge_after), if may_hedge => None,
        };
        if let Some(outcome) = early_outcome {
            self.record_outcome(&outcome);
            return outcome;
        }
        let permitted = tokio::select! {
            outcome = &mut first => {
                self.record_outcome(&outcome);
                return outcome;
            }
            permitted = self.find_target(false) => permitted,
        };
        let Ok((permit, entry)) = permitted else {
            let outcome = first.await;
            self.record_outcome(&outcome);
            return outcome;
        };
        let second = self.start(permit, entry);
        tokio::pin!(second);
        let (outcome, is_first) = tokio::select! {
            outcome = &mut first => (outcome, true),
            outcome = &mut second => (outcome, false),
        };
        self.record_outcome(&outcome);
        if outcome.result == AttemptResult::Good {
            return outcome;
        }
        let other = match is_first {
            true => second.await,
            false => first.await,
        };
        self.record_outcome(&other);
        other
    }

    /// Starts one attempt. The permit is released when the attempt completes or is dropped.
    fn start(
        &mut self,
        permit: HeldPermit,
        entry: TargetEntry,
    ) -> impl Future<Output = ExchangeOutcome> + use<> {
        self.sent_count += 1;
        self.started_count += 1;
        self.in_flight_count += 1;
        self.tried.push(entry.id.clone());
        let (state, plan) = (self.state.clone(), self.plan.clone());
        record_copy_use(&state, CopyUse::Send, &plan.id);
        async move {
            let time_left = || plan.deadline.since(state.now());
            let outcome = exchange(&state, &entry, &plan.outgoing, time_left).await;
            log::info!(
                "event=attempt id={} target={} zone={} result={} reason={} elapsed_ms={} left_ms={}",
                plan.id,
                entry.id,
                entry.zone,
                outcome.result,
                outcome.reason,
                permit.elapsed().as_millis(),
                time_left().as_millis()
            );
            if outcome.result == AttemptResult::Unreachable {
                state.excluded.on_unreachable(&entry.id, state.now());
            }
            if let Some(signals) = outcome.signals {
                record_signals(&state, &plan.id, &entry, signals);
            }
            permit.complete(outcome.result, outcome.signals);
            outcome
        }
    }

    fn finish(&mut self) -> RequestOutcome {
        match self.last_response.take() {
            Some(response) => RequestOutcome::Answered(response),
            None if self.proof() == RunProof::NotRun => {
                RequestOutcome::Refused(RefusalAnswer::Unavailable, None, "not-run-at-target")
            }
            None => RequestOutcome::Refused(RefusalAnswer::TargetFailed, None, "may-have-run"),
        }
    }

    fn refuse(&mut self, refusal: &AdmitAnswer) -> RequestOutcome {
        if self.proof() != RunProof::NotRun {
            return self.finish();
        }
        let wait = |millis: u32| Some(Duration::from_millis(millis.into()));
        match *refusal {
            AdmitAnswer::OverRate { retry_millis } => {
                RequestOutcome::Refused(RefusalAnswer::OverRate, wait(retry_millis), "over-rate")
            }
            AdmitAnswer::Busy { retry_millis, .. } => {
                RequestOutcome::Refused(RefusalAnswer::Unavailable, wait(retry_millis), "busy")
            }
            AdmitAnswer::NoBudget => {
                RequestOutcome::Refused(RefusalAnswer::Unavailable, None, "no-budget")
            }
            _ => RequestOutcome::Refused(RefusalAnswer::Unavailable, None, "no-target"),
        }
    }
}
