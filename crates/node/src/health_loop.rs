//! Acts on evidence against owned targets: probes, second opinions, permits and ejection.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_health::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_peer::prelude::{
    self as peer,
    PeerMessage,
    ProbeAnswer,
    ProbeOutcome,
    ProbeRequest,
    RefusalReason, //
};
use chicorycroft_placement::prelude::*;
use tokio::time::Instant;

use crate::{
    decision_log::DecisionLine,
    handover,
    health_desk::LeaseTask,
    probe::probe,
    state::HostState, //
};

/// Time between two checks of leases and ejections.
const TICK: Duration = Duration::from_millis(200);

/// Time between two probes of a target.
const PROBE_PERIOD: Duration = Duration::from_millis(100);

/// Longest time for a message about permits or probes.
const CALL_WAIT: Duration = Duration::from_millis(1500);

/// Limit of a probe that another host asked for; it waits 500 ms for the answer.
const ASKED_PROBE_LIMIT: Duration = Duration::from_millis(400);

/// Notes how an attempt at an owned target went, and acts on what that says about the target.
pub fn observe(
    state: &Arc<HostState>,
    target: &Arc<TargetRecord>,
    outcome: AttemptOutcome,
    latency: Duration,
) {
    let now = state.clock.mono();
    let advice = state.health.observe(target, outcome, latency, now);
    if advice.starts_probing {
        tokio::spawn(probe_while_in_doubt(state.clone(), target.clone()));
    }
    match advice.verdict {
        Some(HealthVerdict::Suspect(kind)) => {
            note_suspicion(state, target, kind);
            if kind.is_unreachable() && advice.is_cut_off {
                fails_elsewhere(state, target);
            }
        }
        Some(HealthVerdict::Healthy) if state.is_suspect(&target.id) => {
            state.set_suspect(&target.id, false);
            DecisionLine::new("target_cleared")
                .with("target", &target.id)
                .info();
        }
        Some(HealthVerdict::Failing(kind))
            if !kind.is_unreachable() || fails_elsewhere(state, target) =>
        {
            eject(state, target, kind);
        }
        _ if advice.is_cut_off => {
            fails_elsewhere(state, target);
        }
        _ => {}
    }
}

fn note_suspicion(state: &HostState, target: &TargetRecord, kind: FailureKind) {
    if !state.is_suspect(&target.id) {
        state.set_suspect(&target.id, true);
        DecisionLine::new("target_suspect")
            .with("target", &target.id)
            .with("reason", kind)
            .info();
    }
}

/// Probes a target until the evidence no longer asks for it.
async fn probe_while_in_doubt(state: Arc<HostState>, target: Arc<TargetRecord>) {
    while let Some(limit) = state.health.next_probe(&target.id, state.clock.mono()) {
        if !state.owned().contains(&target) {
            return;
        }
        let begun = Instant::now();
        let outcome = probe(&state, &target, limit).await;
        let now = state.clock.mono();
        match state.health.phase_of(&target.id) {
            Some(phase) if phase.is_out() => {
                let is_good = outcome == AttemptOutcome::Good;
                if state.health.on_recovery_probe(&target.id, is_good, now) {
                    restore(&state, &target, "probes-good");
                    return;
                }
            }
            _ => observe(&state, &target, outcome, begun.elapsed()),
        }
        tokio::time::sleep_until(begun + PROBE_PERIOD).await;
    }
}

/// Puts a target that was out back in use; it starts cold.
fn restore(state: &Arc<HostState>, target: &TargetRecord, reason: &'static str) {
    let view = state.view();
    let service = view
        .as_ref()
        .and_then(|view| view.snapshot().service(&target.service));
    if let Some(service) = service {
        state
            .slots
            .start_cold(&target.id, service.slots, service.warm_up_answers);
    }
    state.set_suspect(&target.id, false);
    if let Some(request) = state.health.release(&target.id) {
        tokio::spawn(send_request(state.clone(), request));
    }
    DecisionLine::new("target_restored")
        .with("target", &target.id)
        .with("reason", reason)
        .info();
    crate::slot_desk::hand_out(state, &target.service);
}

/// Decides whether the target or the way to it is at fault. Tells whether another host does not
/// reach the target either.
fn fails_elsewhere(state: &Arc<HostState>, target: &Arc<TargetRecord>) -> bool {
    let now = state.clock.mono();
    let second = second_candidate(state, target);
    let mut owned: HashMap<ServiceId, usize> = HashMap::new();
    for target in state.owned().iter() {
        *owned.entry(target.service.clone()).or_default() += 1;
    }
    let paths = &state.health.paths;
    let decision = paths.decide(&target.id, &target.service, second.as_ref(), &owned, now);
    match decision {
        PathDecision::AskProbe(helper) => {
            tokio::spawn(ask_probe(state.clone(), target.clone(), helper));
        }
        PathDecision::AwaitProbe => {}
        PathDecision::HostAtFault => {
            DecisionLine::new("path_fault")
                .with("target", &target.id)
                .with("decision", "host-at-fault")
                .warn();
        }
        PathDecision::MoveOwnership(helper) => {
            DecisionLine::new("path_fault")
                .with("target", &target.id)
                .with("decision", "move-ownership")
                .with("to", &helper)
                .warn();
            let (state, target) = (state.clone(), target.clone());
            tokio::spawn(async move { handover::move_away(&state, &target).await });
        }
        PathDecision::Eject => return true,
    }
    false
}

fn second_candidate(state: &HostState, target: &TargetRecord) -> Option<HostId> {
    let view = state.view()?;
    let home = state.home_of(&view, target)?;
    let key = OwnedKey::Target(target.id.clone());
    let candidates = state.owners.candidates(&key, &home, state.clock.mono());
    candidates
        .into_iter()
        .find(|host| host != &state.settings.host)
}

async fn ask_probe(state: Arc<HostState>, target: Arc<TargetRecord>, helper: HostId) {
    let Some(address) = state.members.address_of(&helper) else {
        return;
    };
    let request = PeerMessage::ProbeRequest(ProbeRequest {
        target: target.id.clone(),
    });
    let answer = state
        .peers
        .call(address, request, Instant::now() + CALL_WAIT)
        .await;
    if let Ok(PeerMessage::ProbeAnswer(answer)) = answer {
        let has_answered = answer.outcome == ProbeOutcome::Good;
        DecisionLine::new("second_opinion")
            .with("target", &target.id)
            .with("helper", &helper)
            .with("reached", has_answered)
            .info();
        state
            .health
            .paths
            .on_probe(&target.id, &helper, has_answered);
    }
}

/// Answers another host's request for a probe.
pub async fn on_probe_request(state: &Arc<HostState>, request: ProbeRequest) -> PeerMessage {
    let view = state.view();
    let target = view
        .as_ref()
        .and_then(|view| view.snapshot().target(&request.target));
    let Some(target) = target else {
        return PeerMessage::Refused(RefusalReason::NotReady);
    };
    let outcome = match probe(state, target, ASKED_PROBE_LIMIT).await {
        AttemptOutcome::Refused => ProbeOutcome::Refused,
        AttemptOutcome::TimedOut => ProbeOutcome::TimedOut,
        AttemptOutcome::Cut => ProbeOutcome::Cut,
        AttemptOutcome::Wrong => ProbeOutcome::Wrong,
        _ => ProbeOutcome::Good,
    };
    PeerMessage::ProbeAnswer(ProbeAnswer {
        target: request.target,
        outcome,
    })
}

/// Asks the arbiter for a permit to take a target out of use.
fn eject(state: &Arc<HostState>, target: &Arc<TargetRecord>, kind: FailureKind) {
    let holder = (&state.settings.host, state.incarnation);
    let request = state
        .health
        .request_permit(target, holder, state.clock.mono());
    if let Some(request) = request {
        DecisionLine::new("ejection_wanted")
            .with("target", &target.id)
            .with("reason", kind)
            .info();
        let (state, target) = (state.clone(), target.clone());
        tokio::spawn(async move {
            if send_request(state.clone(), request).await {
                state.metrics.on_ejection(reason_of(kind));
                DecisionLine::new("target_ejected")
                    .with("target", &target.id)
                    .with("reason", kind)
                    .warn();
            }
        });
    }
}

fn reason_of(kind: FailureKind) -> &'static str {
    match kind {
        FailureKind::Refused => "refused",
        FailureKind::TimedOut => "timed-out",
        FailureKind::Cut => "cut",
        FailureKind::Wrong => "wrong",
        FailureKind::Shed => "shed",
        FailureKind::Slow => "slow",
    }
}

/// Returns the region and the arbiter of a target's service.
fn arbiter_of(state: &HostState, service: &ServiceId, target: &TargetId) -> Option<HostId> {
    let view = state.view()?;
    let zone = &view.snapshot().target(target)?.zone;
    let home = arbiter_home(&view, zone)?;
    let key = OwnedKey::Arbiter(service.clone());
    state.owners.owner_of(&key, &home, state.clock.mono())
}

fn arbiter_home(view: &FleetView, zone: &ZoneId) -> Option<KeyHome> {
    Some(KeyHome {
        region: view.snapshot().zone(zone)?.region.clone(),
        zone: None,
    })
}

/// Sends a request about a permit to the arbiter. Tells whether the target went out of use.
async fn send_request(state: Arc<HostState>, request: EjectionRequest) -> bool {
    let target = request.target.clone();
    let Some(arbiter) = arbiter_of(&state, &request.service, &target) else {
        state.health.on_refusal(&target, None);
        return false;
    };
    let answer = if arbiter == state.settings.host {
        answer_request(&state, &request).map_err(Some)
    } else {
        ask_arbiter(&state, &arbiter, &request).await
    };
    match answer {
        Ok(grant) => state.health.on_grant(&target, &grant, state.clock.mono()),
        Err(refusal) => {
            let reason = refusal.map_or("no-answer".to_owned(), |refusal| refusal.to_string());
            DecisionLine::new("ejection_refused")
                .with("target", &target)
                .with("arbiter", &arbiter)
                .with("reason", reason)
                .info();
            state.health.on_refusal(&target, refusal);
            false
        }
    }
}

async fn ask_arbiter(
    state: &HostState,
    arbiter: &HostId,
    request: &EjectionRequest,
) -> Result<EjectionGrant, Option<EjectionRefusal>> {
    let address = state.members.address_of(arbiter).ok_or(None)?;
    let message = PeerMessage::EjectionRequest(peer::EjectionRequest {
        service: request.service.clone(),
        target: request.target.clone(),
        permit: peer::PermitId {
            holder: request.permit.holder.clone(),
            incarnation: request.permit.incarnation,
            number: request.permit.number,
        },
        attempt: request.attempt,
        purpose: match request.purpose {
            RequestPurpose::Eject => peer::EjectionPurpose::Eject,
            RequestPurpose::Renew => peer::EjectionPurpose::Renew,
            RequestPurpose::Release => peer::EjectionPurpose::Release,
        },
    });
    let deadline = Instant::now() + CALL_WAIT;
    match state.peers.call(address, message, deadline).await {
        Ok(PeerMessage::EjectionGrant(grant)) => Ok(EjectionGrant {
            permit: request.permit.clone(),
            attempt: grant.attempt,
            term: Duration::from_millis(grant.term_millis.into()),
        }),
        Ok(PeerMessage::Refused(RefusalReason::NoPermit)) => Err(Some(EjectionRefusal::Ended)),
        Ok(PeerMessage::Refused(RefusalReason::NotOwner)) => Err(Some(EjectionRefusal::NotArbiter)),
        _ => Err(None),
    }
}

/// Answers a request as arbiter, if this host is one now.
fn answer_request(
    state: &HostState,
    request: &EjectionRequest,
) -> Result<EjectionGrant, EjectionRefusal> {
    let now = state.clock.mono();
    let view = state.view().ok_or(EjectionRefusal::NotArbiter)?;
    let target = view.snapshot().target(&request.target);
    let zone = &target.ok_or(EjectionRefusal::NotIn)?.zone;
    let home = arbiter_home(&view, zone).ok_or(EjectionRefusal::NotArbiter)?;
    let key = OwnedKey::Arbiter(request.service.clone());
    let may_serve = state.owners.may_serve(&key, &home, now);
    may_serve.map_err(|_| EjectionRefusal::NotArbiter)?;
    refresh_capacity(state, &view, &request.service, &home.region);
    state.health.arbiter.answer(request, now)
}

/// Answers another host's request about a permit.
pub fn on_request(state: &HostState, request: peer::EjectionRequest) -> PeerMessage {
    let request = EjectionRequest {
        service: request.service,
        target: request.target,
        permit: PermitId {
            holder: request.permit.holder,
            incarnation: request.permit.incarnation,
            number: request.permit.number,
        },
        attempt: request.attempt,
        purpose: match request.purpose {
            peer::EjectionPurpose::Eject => RequestPurpose::Eject,
            peer::EjectionPurpose::Renew => RequestPurpose::Renew,
            peer::EjectionPurpose::Release => RequestPurpose::Release,
        },
    };
    match answer_request(state, &request) {
        Ok(grant) => PeerMessage::EjectionGrant(peer::EjectionGrant {
            permit: peer::PermitId {
                holder: grant.permit.holder,
                incarnation: grant.permit.incarnation,
                number: grant.permit.number,
            },
            attempt: grant.attempt,
            term_millis: u32::try_from(grant.term.as_millis()).unwrap_or(u32::MAX),
        }),
        Err(EjectionRefusal::NotArbiter) => PeerMessage::Refused(RefusalReason::NotOwner),
        Err(EjectionRefusal::TooEarly { .. }) => PeerMessage::Refused(RefusalReason::NotReady),
        Err(_) => PeerMessage::Refused(RefusalReason::NoPermit),
    }
}

/// Tells the arbiter the floor of a service and its targets that operators have in.
fn refresh_capacity(state: &HostState, view: &FleetView, service: &ServiceId, region: &RegionId) {
    let Some(floor) = view.floor_of(service) else {
        return;
    };
    let in_region = |zone: &ZoneId| {
        let zone = view.snapshot().zone(zone);
        zone.is_some_and(|zone| &zone.region == region)
    };
    let targets = view
        .targets_in(service)
        .filter(|target| in_region(&target.zone));
    let targets = targets.map(|target| target.id.clone());
    state
        .health
        .arbiter
        .on_capacity(service, floor, targets.collect::<Vec<_>>());
}

/// Starts and stops this host as arbiter of services.
fn refresh_arbiters(state: &HostState, arbiters: &mut HashMap<ServiceId, RegionId>) {
    let Some(view) = state.view() else {
        return;
    };
    let now = state.clock.mono();
    for service in view.snapshot().services() {
        let target = view.snapshot().targets_of(&service.id).first();
        let Some(home) = target.and_then(|target| arbiter_home(&view, &target.zone)) else {
            continue;
        };
        let key = OwnedKey::Arbiter(service.id.clone());
        let is_arbiter = state.owners.may_serve(&key, &home, now).is_ok();
        match (is_arbiter, arbiters.contains_key(&service.id)) {
            (true, false) => {
                state.health.arbiter.start(&service.id, now);
                arbiters.insert(service.id.clone(), home.region.clone());
            }
            (false, true) => {
                state.health.arbiter.stop(&service.id);
                arbiters.remove(&service.id);
            }
            _ => {}
        }
        if is_arbiter {
            refresh_capacity(state, &view, &service.id, &home.region);
        }
    }
}

/// Keeps leases, ejections and the arbiter's part up to date until the task is dropped.
pub async fn tick(state: Arc<HostState>) {
    let mut arbiters = HashMap::new();
    loop {
        tokio::time::sleep(TICK).await;
        let now = state.clock.mono();
        refresh_arbiters(&state, &mut arbiters);
        let owned = state.owned();
        let is_owned = |target: &TargetId| owned.iter().any(|owned| &owned.id == target);
        for task in state.health.on_tick(is_owned, now) {
            run_task(&state, task);
        }
        note_warm_targets(&state, now);
        let own = &state.settings.host;
        for (service, counters) in state.health.counters(now) {
            state
                .health
                .baseline
                .on_counters(&service, own, counters, now);
        }
    }
}

fn run_task(state: &Arc<HostState>, task: LeaseTask) {
    let record_of = |target: &TargetId| {
        let view = state.view()?;
        view.snapshot().target(target).cloned()
    };
    match task {
        LeaseTask::Send(request) => {
            tokio::spawn(send_request(state.clone(), request));
        }
        LeaseTask::Lost(target) => {
            if let Some(target) = record_of(&target) {
                restore(state, &target, "permit-lost");
            }
        }
        LeaseTask::Probe(target) => {
            if let Some(target) = record_of(&target) {
                tokio::spawn(probe_while_in_doubt(state.clone(), target));
            }
        }
    }
}

fn note_warm_targets(state: &HostState, now: MonoTime) {
    for target in state.owned().iter() {
        let is_cold = state
            .slots
            .usage(&target.id, now)
            .is_none_or(|usage| usage.is_cold);
        match (is_cold, state.health.phase_of(&target.id)) {
            (false, Some(TargetPhase::Cold | TargetPhase::Warming)) => {
                state
                    .health
                    .on_event(&target.id, LifecycleEvent::Warmed, now);
            }
            (true, Some(TargetPhase::InUse)) => {
                state
                    .health
                    .on_event(&target.id, LifecycleEvent::Restarted, now);
            }
            _ => {}
        }
    }
}
