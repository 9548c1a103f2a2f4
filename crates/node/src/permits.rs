//! Requests ejection permits from arbiters, and issues them as an arbiter.

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
    RefusalReason, //
};
use chicorycroft_placement::prelude::*;
use tokio::time::Instant;

use crate::{
    decision_log::DecisionLine,
    state::HostState, //
};

/// Timeout of a permit request.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Returns the arbiter of a service in the region of a target.
fn arbiter_of(state: &HostState, service: &ServiceId, target: &TargetId) -> Option<HostId> {
    let view = state.view()?;
    let zone = &view.snapshot().target(target)?.zone;
    let scope = arbiter_scope(&view, zone)?;
    let key = OwnedKey::Arbiter(service.clone());
    state.owners.owner_of(&key, &scope, state.clock.mono())
}

fn arbiter_scope(view: &FleetView, zone: &ZoneId) -> Option<KeyScope> {
    Some(KeyScope {
        region: view.snapshot().zone(zone)?.region.clone(),
        zone: None,
    })
}

/// Sends a permit request to the arbiter. Returns `true` if the grant ejects the target.
pub async fn send_request(state: Arc<HostState>, request: EjectionRequest) -> bool {
    let target = request.target.clone();
    let Some(arbiter) = arbiter_of(&state, &request.service, &target) else {
        state.health.on_refusal(&target, None);
        return false;
    };
    let answer = if arbiter == state.settings.host {
        answer_request(&state, &request).map_err(Some)
    } else {
        call_arbiter(&state, &arbiter, &request).await
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

async fn call_arbiter(
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
            EjectionPurpose::Eject => peer::EjectionPurpose::Eject,
            EjectionPurpose::Renew => peer::EjectionPurpose::Renew,
            EjectionPurpose::Release => peer::EjectionPurpose::Release,
        },
    });
    let deadline = Instant::now() + CALL_TIMEOUT;
    match state.peers.call(address, message, deadline).await {
        Ok(PeerMessage::EjectionGrant(grant)) => Ok(EjectionGrant {
            permit: request.permit.clone(),
            attempt: grant.attempt,
            term: Duration::from_millis(grant.term_millis.into()),
        }),
        Ok(PeerMessage::Refused(RefusalReason::NoPermit)) => {
            Err(Some(EjectionRefusal::PermitEnded))
        }
        Ok(PeerMessage::Refused(RefusalReason::NotOwner)) => Err(Some(EjectionRefusal::NotArbiter)),
        _ => Err(None),
    }
}

/// Answers a permit request as the arbiter.
///
/// # Errors
///
/// Returns an error if this host is not the arbiter at present, or the permit is refused.
fn answer_request(
    state: &HostState,
    request: &EjectionRequest,
) -> Result<EjectionGrant, EjectionRefusal> {
    let now = state.clock.mono();
    let view = state.view().ok_or(EjectionRefusal::NotArbiter)?;
    let target = view.snapshot().target(&request.target);
    let zone = &target.ok_or(EjectionRefusal::NotInUse)?.zone;
    let scope = arbiter_scope(&view, zone).ok_or(EjectionRefusal::NotArbiter)?;
    let key = OwnedKey::Arbiter(request.service.clone());
    let may_serve = state.owners.may_serve(&key, &scope, now);
    may_serve.map_err(|_| EjectionRefusal::NotArbiter)?;
    refresh_capacity(state, &view, &request.service, &scope.region);
    state.health.arbiter.answer(request, now)
}

/// Answers a permit request of another host.
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
            peer::EjectionPurpose::Eject => EjectionPurpose::Eject,
            peer::EjectionPurpose::Renew => EjectionPurpose::Renew,
            peer::EjectionPurpose::Release => EjectionPurpose::Release,
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

/// Passes the floor of a service, and its targets in a region that the configuration has in use, to
/// the arbiter.
fn refresh_capacity(state: &HostState, view: &FleetView, service: &ServiceId, region: &RegionId) {
    let Some(floor) = view.floor_of(service) else {
        return;
    };
    let in_region = |zone: &ZoneId| {
        let zone = view.snapshot().zone(zone);
        zone.is_some_and(|zone| &zone.region == region)
    };
    let targets = view
        .available_targets(service)
        .filter(|target| in_region(&target.zone));
    let targets = targets.map(|target| target.id.clone());
    state
        .health
        .arbiter
        .on_capacity(service, floor, targets.collect::<Vec<_>>());
}

/// Starts and stops the arbiter roles of this host.
pub fn refresh_arbiters(state: &HostState, arbiters: &mut HashMap<ServiceId, RegionId>) {
    let Some(view) = state.view() else {
        return;
    };
    let now = state.clock.mono();
    for service in view.snapshot().services() {
        let target = view.snapshot().targets_of(&service.id).first();
        let Some(scope) = target.and_then(|target| arbiter_scope(&view, &target.zone)) else {
            continue;
        };
        let key = OwnedKey::Arbiter(service.id.clone());
        let is_arbiter = state.owners.may_serve(&key, &scope, now).is_ok();
        match (is_arbiter, arbiters.contains_key(&service.id)) {
            (true, false) => {
                state.health.arbiter.start(&service.id, now);
                arbiters.insert(service.id.clone(), scope.region.clone());
            }
            (false, true) => {
                state.health.arbiter.stop(&service.id);
                arbiters.remove(&service.id);
            }
            _ => {}
        }
        if is_arbiter {
            refresh_capacity(state, &view, &service.id, &scope.region);
        }
    }
}
