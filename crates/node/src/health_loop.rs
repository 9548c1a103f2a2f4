//! Acts on the health evidence of owned targets: probes, probes by other hosts, permits and ejection.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_health::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_peer::prelude::{
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
    health_registry::LeaseTask,
    permits::{
        refresh_arbiters,
        send_request, //
    },
    probe::probe,
    state::HostState, //
};

/// Period at which leases and ejections are checked.
const TICK: Duration = Duration::from_millis(200);

/// Period at which a target is probed.
const PROBE_PERIOD: Duration = Duration::from_millis(100);

/// Timeout of a probe request to another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time limit of a probe on behalf of another host, which waits 500 ms for the answer.
const REMOTE_PROBE_LIMIT: Duration = Duration::from_millis(400);

/// Records the outcome of an attempt at an owned target, and acts on the resulting verdict.
pub fn observe(
    state: &Arc<HostState>,
    target: &Arc<TargetRecord>,
    outcome: AttemptOutcome,
    latency: Duration,
) {
    let now = state.clock.mono();
    let update = state.health.observe(target, outcome, latency, now);
    if update.starts_probing {
        tokio::spawn(probe_until_resolved(state.clone(), target.clone()));
    }
    match update.verdict {
        Some(HealthVerdict::Suspect(kind)) => {
            mark_suspect(state, target, kind);
            if kind.is_unreachable() && update.is_unresponsive {
                diagnose_unreachable(state, target);
            }
        }
        Some(HealthVerdict::Healthy) if state.is_suspect(&target.id) => {
            state.set_suspect(&target.id, false);
            DecisionLine::new("target_cleared")
                .with("target", &target.id)
                .info();
        }
        Some(HealthVerdict::Failing(kind))
            if !kind.is_unreachable() || diagnose_unreachable(state, target) =>
        {
            request_ejection(state, target, kind);
        }
        _ if update.is_unresponsive => {
            diagnose_unreachable(state, target);
        }
        _ => {}
    }
}

fn mark_suspect(state: &HostState, target: &TargetRecord, kind: FailureKind) {
    if !state.is_suspect(&target.id) {
        state.set_suspect(&target.id, true);
        DecisionLine::new("target_suspect")
            .with("target", &target.id)
            .with("reason", kind)
            .info();
    }
}

/// Probes an owned target. Returns `None` if the probe gets no slot, because the target is or may be
/// cold and works on a request.
async fn probe_in_slot(
    state: &Arc<HostState>,
    target: &TargetRecord,
    limit: Duration,
) -> Option<AttemptOutcome> {
    let permit = try_acquire_probe_slot(state, target, limit).ok()?;
    let outcome = probe(state, target, limit).await;
    release_probe_slot(state, target, permit);
    Some(outcome)
}

fn try_acquire_probe_slot(
    state: &HostState,
    target: &TargetRecord,
    limit: Duration,
) -> Result<Option<SlotPermit>, SlotRefusal> {
    let now = state.clock.mono();
    state
        .slots
        .try_acquire_probe(&target.id, now.after(limit), now)
}

/// Releases the slot of a probe and assigns it to a waiting request. The outcome of the probe is
/// recorded by its caller.
fn release_probe_slot(state: &Arc<HostState>, target: &TargetRecord, permit: Option<SlotPermit>) {
    let Some(permit) = permit else {
        return;
    };
    let now = state.clock.mono();
    state.slots.release(permit, AttemptOutcome::Cancelled, now);
    crate::slot_waiters::assign_free_slots(state, &target.service);
}

/// Waits at most [`REMOTE_PROBE_LIMIT`] for the slot of a probe that another host makes.
async fn wait_for_probe_slot(
    state: &HostState,
    target: &TargetRecord,
) -> Result<Option<SlotPermit>, SlotRefusal> {
    let end = Instant::now() + REMOTE_PROBE_LIMIT;
    loop {
        match try_acquire_probe_slot(state, target, REMOTE_PROBE_LIMIT) {
            Err(_) if Instant::now() < end => tokio::time::sleep(PROBE_PERIOD).await,
            result => return result,
        }
    }
}

/// Probes a target until no more probes are needed.
async fn probe_until_resolved(state: Arc<HostState>, target: Arc<TargetRecord>) {
    while let Some(limit) = state.health.next_probe(&target.id, state.clock.mono()) {
        if !state.owned().contains(&target) {
            return;
        }
        let started_at = Instant::now();
        let Some(outcome) = probe_in_slot(&state, &target, limit).await else {
            // The request that occupies the slot provides the same evidence.
            tokio::time::sleep_until(started_at + PROBE_PERIOD).await;
            continue;
        };
        let now = state.clock.mono();
        match state.health.phase_of(&target.id) {
            Some(phase) if phase.is_out() => {
                let is_good = outcome == AttemptOutcome::Good;
                if state.health.on_recovery_probe(&target.id, is_good, now) {
                    restore(&state, &target, "probes-good");
                    return;
                }
            }
            _ => observe(&state, &target, outcome, started_at.elapsed()),
        }
        tokio::time::sleep_until(started_at + PROBE_PERIOD).await;
    }
}

/// Puts an ejected target back in use; it starts cold.
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
    crate::slot_waiters::assign_free_slots(state, &target.service);
}

/// Decides whether an unreachable target or this host's path to it is at fault, and acts on it.
///
/// Returns `true` if the target should be ejected: another host cannot reach it either or does not
/// answer in time, or there is no other host to probe it.
fn diagnose_unreachable(state: &Arc<HostState>, target: &Arc<TargetRecord>) -> bool {
    let now = state.clock.mono();
    let candidate = other_candidate(state, target);
    let mut owned: HashMap<ServiceId, usize> = HashMap::new();
    for target in state.owned().iter() {
        *owned.entry(target.service.clone()).or_default() += 1;
    }
    let paths = &state.health.paths;
    let decision = paths.decide(&target.id, &target.service, candidate.as_ref(), &owned, now);
    match decision {
        PathDecision::RequestProbe(peer) => {
            tokio::spawn(request_remote_probe(state.clone(), target.clone(), peer));
        }
        PathDecision::AwaitProbe => {}
        PathDecision::HostAtFault => {
            DecisionLine::new("path_fault")
                .with("target", &target.id)
                .with("decision", "host-at-fault")
                .warn();
        }
        PathDecision::MoveOwnership(peer) => {
            DecisionLine::new("path_fault")
                .with("target", &target.id)
                .with("decision", "move-ownership")
                .with("to", &peer)
                .warn();
            let (state, target) = (state.clone(), target.clone());
            tokio::spawn(async move { handover::move_away(&state, &target).await });
        }
        PathDecision::Eject => return true,
    }
    false
}

/// Returns the most likely owner of a target other than this host.
fn other_candidate(state: &HostState, target: &TargetRecord) -> Option<HostId> {
    let view = state.view()?;
    let scope = state.scope_of(&view, target)?;
    let key = OwnedKey::Target(target.id.clone());
    let candidates = state.owners.candidates(&key, &scope, state.clock.mono());
    candidates
        .into_iter()
        .find(|host| host != &state.settings.host)
}

async fn request_remote_probe(state: Arc<HostState>, target: Arc<TargetRecord>, peer: HostId) {
    let Some(address) = state.members.address_of(&peer) else {
        return;
    };
    let permit = match wait_for_probe_slot(&state, &target).await {
        Ok(permit) => permit,
        Err(reason) => {
            DecisionLine::new("second_opinion_skipped")
                .with("target", &target.id)
                .with("reason", reason)
                .info();
            return;
        }
    };
    let request = PeerMessage::ProbeRequest(ProbeRequest {
        target: target.id.clone(),
    });
    let answer = state
        .peers
        .call(address, request, Instant::now() + CALL_TIMEOUT)
        .await;
    release_probe_slot(&state, &target, permit);
    if let Ok(PeerMessage::ProbeAnswer(answer)) = answer {
        let has_answered = answer.outcome == ProbeOutcome::Good;
        DecisionLine::new("second_opinion")
            .with("target", &target.id)
            .with("helper", &peer)
            .with("reached", has_answered)
            .info();
        state.health.paths.on_probe(&target.id, &peer, has_answered);
    }
}

/// Probes a target on behalf of another host.
pub async fn on_probe_request(state: &Arc<HostState>, request: ProbeRequest) -> PeerMessage {
    let view = state.view();
    let target = view
        .as_ref()
        .and_then(|view| view.snapshot().target(&request.target));
    let Some(target) = target else {
        return PeerMessage::Refused(RefusalReason::NotReady);
    };
    let outcome = match probe(state, target, REMOTE_PROBE_LIMIT).await {
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

/// Requests a permit from the arbiter and ejects the target if it is granted.
fn request_ejection(state: &Arc<HostState>, target: &Arc<TargetRecord>, kind: FailureKind) {
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
                state.metrics.on_ejection(reason_label(kind));
                DecisionLine::new("target_ejected")
                    .with("target", &target.id)
                    .with("reason", kind)
                    .warn();
            }
        });
    }
}

fn reason_label(kind: FailureKind) -> &'static str {
    match kind {
        FailureKind::Refused => "refused",
        FailureKind::TimedOut => "timed-out",
        FailureKind::Cut => "cut",
        FailureKind::Wrong => "wrong",
        FailureKind::Shed => "shed",
        FailureKind::Slow => "slow",
    }
}

/// Updates leases, ejections and the arbiter roles of this host until the task is dropped.
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
        update_warm_up(&state, now);
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
        LeaseTask::Restore(target) => {
            if let Some(target) = record_of(&target) {
                restore(state, &target, "permit-lost");
            }
        }
        LeaseTask::Probe(target) => {
            if let Some(target) = record_of(&target) {
                tokio::spawn(probe_until_resolved(state.clone(), target));
            }
        }
    }
}

/// Reports the end of a warm-up, or a restart, of owned targets to the health registry.
fn update_warm_up(state: &HostState, now: MonoTime) {
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
