//! The attempts of one request, their order and their end.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_adapter::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_retry::prelude::*;
use http::Response;
use smol_str::SmolStr;

use crate::{
    exchange::{
        ExchangeOutcome,
        OutgoingRequest,
        exchange, //
    },
    permit_client::{
        HeldPermit,
        PermitAnswer,
        ask_self,
        ask_zone, //
    },
    state::GatewayState,
    zone_search::ZoneSearch, //
};

/// Most targets that are tried for one request, those included that could not be reached.
const PLACED_MAX: u32 = 5;

/// What is fixed about a request before its first attempt.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Id of the caller's request.
    pub id: SmolStr,
    /// The service that takes it.
    pub service: ServiceId,
    /// Team that it runs for.
    pub team: Option<TeamId>,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Whether it may run twice.
    pub is_idempotent: bool,
    /// Most targets that it may be sent to.
    pub attempts_max: u32,
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// Time at which it is given up.
    pub ends_at: MonoTime,
    /// The request as it goes to targets.
    pub outgoing: OutgoingRequest,
}

/// How a request ended.
#[derive(Debug)]
pub enum RunEnd {
    /// With an answer of a target.
    Answered(Response<Bytes>),
    /// With an answer of this host.
    Refused(RefusalAnswer, Option<Duration>, &'static str),
}

/// The progress of one request.
#[derive(Debug)]
pub struct RequestRun {
    state: Arc<GatewayState>,
    plan: RequestPlan,
    tried: Vec<TargetId>,
    sent_count: u32,
    placed_count: u32,
    open_count: u32,
    is_charged: bool,
    proof: RunProof,
    last_response: Option<Response<Bytes>>,
}

/// The answer to a request whose permit is of no use to it.
const BUSY_NOW: AdmitAnswer = AdmitAnswer::Busy {
    retry_millis: 0,
    has_less_trusted: false,
};

/// A permit with the entry of its target.
type Placement = (HeldPermit, TargetEntry);

impl RequestRun {
    /// Begins a request.
    pub fn new(state: Arc<GatewayState>, plan: RequestPlan) -> Self {
        Self {
            state,
            plan,
            tried: Vec::new(),
            sent_count: 0,
            placed_count: 0,
            open_count: 0,
            is_charged: false,
            proof: RunProof::NotRun,
            last_response: None,
        }
    }

    /// Returns what is known about the run of all attempts together. An attempt under way may run.
    pub fn proof(&self) -> RunProof {
        match self.open_count {
            0 => self.proof,
            _ => self.proof.join(RunProof::Unknown),
        }
    }

    fn close(&mut self, outcome: &ExchangeOutcome) {
        self.open_count -= 1;
        // Nothing reached the target.
        if outcome.result == AttemptResult::Unreachable {
            self.sent_count -= 1;
        }
        self.proof = self.proof.join(outcome.proof);
    }

    fn budget(&self) -> TimeBudget {
        let left = self.plan.ends_at.since(self.state.now());
        TimeBudget { left }
    }

    fn ask(&self, zone: Option<&ZoneId>, wait: Duration, trust: TargetTrust) -> AdmitRequest {
        let charged = self.plan.team.clone().filter(|_| !self.is_charged);
        AdmitRequest {
            request: self.plan.id.clone(),
            service: self.plan.service.clone(),
            zone: zone.cloned(),
            charged_team: charged,
            team: self.plan.team.clone(),
            priority: self.plan.priority,
            is_idempotent: self.plan.is_idempotent,
            is_repeat: self.sent_count > 0,
            wait_millis: whole_millis(wait),
            left_millis: whole_millis(self.budget().left),
            connected: self.state.connections.connected(self.state.now()),
            least_trust: trust,
            tried: self.left_out(),
        }
    }

    /// Returns the targets that this request does not go to.
    fn left_out(&self) -> Vec<TargetId> {
        let mut left_out = self.state.paths.avoided(self.state.now());
        left_out.extend(self.tried.iter().cloned());
        left_out
    }

    /// Returns the zones to ask. The dispatcher of the own zone keeps the rates, so that it is asked first,
    /// whether its zone has targets or not.
    fn zones(&self) -> Vec<ZoneId> {
        let own = &self.state.settings.zone;
        let directory = self.state.knowledge.directory();
        let mut others = directory.zones_of(&self.plan.service);
        let has_own = others.shift_remove(own);
        let own = (has_own || !self.is_charged).then(|| own.clone());
        own.into_iter().chain(others).collect()
    }

    /// Finds a target: a trusted one in the own zone or in the others, then any, then after a wait in the
    /// own zone, and last by the rules of this host alone.
    async fn place(&mut self, may_wait: bool) -> Result<Placement, AdmitAnswer> {
        let mut search = ZoneSearch::new(self.zones());
        let trusted = TargetTrust::Unknown;
        for zone in search.zones.clone() {
            let asked = self.ask(Some(&zone), Duration::ZERO, trusted);
            match self.ask_in(&zone, asked, &mut search).await {
                Err(AdmitAnswer::Busy { .. } | AdmitAnswer::NoTarget) => {}
                found_or_refused => return found_or_refused,
            }
        }
        for zone in search.lesser_zones.clone() {
            let asked = self.ask(Some(&zone), Duration::ZERO, TargetTrust::Blocked);
            match self.ask_in(&zone, asked, &mut search).await {
                Err(AdmitAnswer::Busy { .. } | AdmitAnswer::NoTarget) => {}
                found_or_refused => return found_or_refused,
            }
        }
        if let Some(zone) = search.busy_zone.clone().filter(|_| may_wait) {
            let wait = self.budget().wait_max(self.plan.objective);
            let asked = self.ask(Some(&zone), wait, TargetTrust::Blocked);
            return self.ask_in(&zone, asked, &mut search).await;
        }
        match search.is_silent {
            true => self.place_alone().await,
            false => Err(search.refusal),
        }
    }

    async fn ask_in(
        &mut self,
        zone: &ZoneId,
        request: AdmitRequest,
        search: &mut ZoneSearch,
    ) -> Result<Placement, AdmitAnswer> {
        let answer = ask_zone(&self.state, zone, &request).await;
        search.note(zone, &answer);
        self.take(answer)
    }

    /// Decides by the rules of this host alone, where no dispatcher answers.
    async fn place_alone(&mut self) -> Result<Placement, AdmitAnswer> {
        let request = self.ask(None, Duration::ZERO, TargetTrust::Blocked);
        let answer = ask_self(&self.state, &request).await;
        self.take(answer)
    }

    fn take(&mut self, answer: PermitAnswer) -> Result<Placement, AdmitAnswer> {
        let permit = match answer {
            PermitAnswer::Held(permit) => *permit,
            PermitAnswer::Refused(refusal) => {
                self.is_charged |= !matches!(refusal, AdmitAnswer::OverRate { .. });
                return Err(refusal);
            }
            PermitAnswer::Silent => return Err(AdmitAnswer::NoTarget),
        };
        self.is_charged = true;
        let directory = self.state.knowledge.directory();
        // This host may know of a leaving target before its dispatcher does.
        let entry = directory.targets.get(permit.target());
        match entry.filter(|entry| directory.is_open(entry)) {
            Some(entry) => Ok((permit, entry.clone())),
            None => {
                self.tried.push(permit.target().clone());
                permit.settle(AttemptResult::Cancelled);
                Err(BUSY_NOW)
            }
        }
    }

    /// Runs the request to its end.
    pub async fn run(&mut self) -> RunEnd {
        loop {
            let is_first = self.placed_count == 0;
            let (permit, entry) = match self.place(is_first).await {
                Ok(placement) => placement,
                Err(refusal) => return self.give_up(&refusal),
            };
            if !self.budget().is_sendable() {
                permit.settle(AttemptResult::Cancelled);
                return self.give_up(&BUSY_NOW);
            }
            let outcome = self.attempt(permit, entry).await;
            let is_final = outcome.result == AttemptResult::Good;
            if outcome.response.is_some() {
                self.last_response = outcome.response;
            }
            let is_repeatable = self.plan.is_idempotent || self.proof() == RunProof::NotRun;
            let has_more =
                self.sent_count < self.plan.attempts_max && self.placed_count < PLACED_MAX;
            if is_final || !is_repeatable || !has_more {
                return self.finish();
            }
        }
    }

    /// Sends the request to a target, and after a while to a second one where it may run twice.
    async fn attempt(&mut self, permit: HeldPermit, entry: TargetEntry) -> ExchangeOutcome {
        let hedge_after = permit.hung_after();
        let first = self.start(permit, entry);
        tokio::pin!(first);
        let may_hedge = self.plan.is_idempotent && self.sent_count < self.plan.attempts_max;
        let is_done = tokio::select! {
            outcome = &mut first => Some(outcome),
            () = tokio::time::sleep(hedge_after), if may_hedge => None,
        };
        if let Some(outcome) = is_done {
            self.close(&outcome);
            return outcome;
        }
        let placed = tokio::select! {
            outcome = &mut first => {
                self.close(&outcome);
                return outcome;
            }
            placed = self.place(false) => placed,
        };
        let Ok((permit, entry)) = placed else {
            let outcome = first.await;
            self.close(&outcome);
            return outcome;
        };
        let second = self.start(permit, entry);
        tokio::pin!(second);
        let (outcome, is_first) = tokio::select! {
            outcome = &mut first => (outcome, true),
            outcome = &mut second => (outcome, false),
        };
        self.close(&outcome);
        if outcome.result == AttemptResult::Good {
            return outcome;
        }
        let other = match is_first {
            true => second.await,
            false => first.await,
        };
        self.close(&other);
        other
    }

    /// Starts one attempt. The permit goes back when the attempt ends or is dropped.
    fn start(
        &mut self,
        permit: HeldPermit,
        entry: TargetEntry,
    ) -> impl Future<Output = ExchangeOutcome> + use<> {
        self.sent_count += 1;
        self.placed_count += 1;
        self.open_count += 1;
        self.tried.push(entry.id.clone());
        let (state, plan) = (self.state.clone(), self.plan.clone());
        async move {
            let left = || plan.ends_at.since(state.now());
            let outcome = exchange(&state, &entry, &plan.outgoing, left).await;
            log::info!(
                "event=attempt id={} target={} zone={} result={} reason={} elapsed_ms={} left_ms={}",
                plan.id,
                entry.id,
                entry.zone,
                outcome.result,
                outcome.reason,
                permit.elapsed().as_millis(),
                left().as_millis()
            );
            if outcome.result == AttemptResult::Unreachable {
                state.paths.on_unreachable(&entry.id, state.now());
            }
            permit.settle(outcome.result);
            outcome
        }
    }

    fn finish(&mut self) -> RunEnd {
        match self.last_response.take() {
            Some(response) => RunEnd::Answered(response),
            None if self.proof() == RunProof::NotRun => {
                RunEnd::Refused(RefusalAnswer::Unavailable, None, "not-run-at-target")
            }
            None => RunEnd::Refused(RefusalAnswer::TargetFailed, None, "may-have-run"),
        }
    }

    fn give_up(&mut self, refusal: &AdmitAnswer) -> RunEnd {
        if self.proof() != RunProof::NotRun {
            return self.finish();
        }
        let wait = |millis: u32| Some(Duration::from_millis(millis.into()));
        match *refusal {
            AdmitAnswer::OverRate { retry_millis } => {
                RunEnd::Refused(RefusalAnswer::OverRate, wait(retry_millis), "over-rate")
            }
            AdmitAnswer::Busy { retry_millis, .. } => {
                RunEnd::Refused(RefusalAnswer::Unavailable, wait(retry_millis), "busy")
            }
            AdmitAnswer::NoBudget => RunEnd::Refused(RefusalAnswer::Unavailable, None, "no-budget"),
            _ => RunEnd::Refused(RefusalAnswer::Unavailable, None, "no-target"),
        }
    }
}
