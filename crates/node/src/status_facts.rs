//! Collects the facts that the status and explain documents show.

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_membership::peer_state::PeerState;
use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::{
    delivery::owner_of,
    state::HostState,
    status::{
        HostStatus,
        PeerFacts,
        TargetFacts, //
    },
};

/// Collects the current facts of a host.
pub fn collect_status(state: &HostState) -> HostStatus {
    let view = state.view();
    HostStatus {
        host: state.settings.host.clone(),
        zone: state.settings.zone.clone(),
        unready_reason: unready_reason(state),
        is_stopping: state.is_stopping(),
        at: state.clock.unix(),
        targets: view
            .as_ref()
            .map(|view| target_facts(state, view))
            .unwrap_or_default(),
        view,
        refused_version: state.refused_version(),
        teams: state.metrics.team_counts(),
        peers: peer_facts(state),
    }
}

fn unready_reason(state: &HostState) -> Option<SmolStr> {
    if state.is_stopping() {
        return Some("a planned stop has begun".into());
    }
    if state.is_booked_to_stop() {
        return Some("a booking stops this host".into());
    }
    state.unready_reason()
}

fn target_facts(state: &HostState, view: &FleetView) -> IndexMap<TargetId, TargetFacts> {
    let now = state.clock.mono();
    let owned = state.owned();
    let facts_of = |target: &TargetRecord| {
        let usage = state
            .slots
            .usage(&target.id, now)
            .filter(|_| owned.contains(target));
        let waiting = usage.map(|_| state.waiters.length_of(&target.service));
        TargetFacts {
            owner: owner_of(state, target),
            out_reason: state.out_reason(target),
            in_use: usage.map(|usage| usage.in_flight.into()),
            limit: usage.map(|usage| usage.limit.into()),
            waiting: waiting.map(|count| u32::try_from(count).unwrap_or(u32::MAX)),
        }
    };
    let targets = view.snapshot().targets();
    targets
        .map(|target| (target.id.clone(), facts_of(target)))
        .collect()
}

fn peer_facts(state: &HostState) -> Vec<PeerFacts> {
    let state_of = |peer_state: PeerState| match peer_state {
        PeerState::Reachable => "live",
        PeerState::Suspect => "suspect",
        PeerState::Unreachable => "unreachable",
        PeerState::Left => "leaving",
        _ => "listed",
    };
    let peers = state.members.states().into_iter();
    let facts = peers.map(|(host, peer_state)| PeerFacts {
        id: host.id,
        zone: host.zone,
        state: state_of(peer_state),
    });
    facts.collect()
}
