//! Hands owned targets over at a planned stop, and accepts those of a host that stops.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
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
    owned_targets,
    state::HostState, //
};

/// Time for which a target that this host cannot reach stays with another host.
const MOVE_DURATION: Duration = Duration::from_secs(60);

/// Period of the notices that leave a target with its new owner. Ownership returns to this host after
/// the takeover time, which must exceed two periods, so that one notice may be lost.
const RENEW_PERIOD: Duration = Duration::from_millis(1200);

/// Timeout of one notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Handles the notice of a host that has stopped serving targets.
pub fn on_notice(state: &Arc<HostState>, notice: &peer::OwnerHandover) -> PeerMessage {
    let now = state.clock.mono();
    let sent_at = state.members.sent_at(&notice.host, notice.echo.sequence);
    let is_own = notice.echo.incarnation == state.incarnation;
    let Some(heartbeat_sent_at) = sent_at.filter(|_| is_own) else {
        return PeerMessage::Refused(RefusalReason::NotOwner);
    };
    for target in &notice.targets {
        let handover = OwnerHandover {
            key: OwnedKey::Target(target.clone()),
            from: notice.host.clone(),
            successor: notice.successor.clone(),
            heartbeat_sent_at,
            is_renewal: notice.is_renewal,
        };
        let outcome = state.owners.on_handover(&handover, now);
        let line = DecisionLine::new("handover_received")
            .with("target", target)
            .with("from", &notice.host);
        match outcome {
            Ok(()) => line.with("decision", "take").info(),
            Err(error) => line.with("decision", "refuse").with("reason", error).warn(),
        }
    }
    owned_targets::refresh(state);
    PeerMessage::Accepted
}

/// Stops new requests to all owned targets, and hands each over to its next owner once no request is
/// in flight at it.
///
/// Returns once all are handed over or the limit is reached.
pub async fn hand_over_all(state: &Arc<HostState>, limit: Duration) {
    const CHECK_PERIOD: Duration = Duration::from_millis(20);
    let deadline = Instant::now() + limit;
    let owned = state.owned();
    for target in owned.iter() {
        state.slots.set_stopping(&target.id, true);
    }
    let mut remaining: Vec<Arc<TargetRecord>> = owned.iter().cloned().collect();
    while !remaining.is_empty() && Instant::now() < deadline {
        let now = state.clock.mono();
        let is_busy = |target: &TargetId| {
            let usage = state.slots.usage(target, now);
            usage.is_some_and(|usage| usage.in_flight > 0)
        };
        let (busy, idle): (Vec<_>, Vec<_>) = remaining
            .into_iter()
            .partition(|target| is_busy(&target.id));
        for target in idle {
            hand_over(state, &target).await;
        }
        remaining = busy;
        if !remaining.is_empty() {
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }
    for target in remaining {
        DecisionLine::new("handover_skipped")
            .with("target", &target.id)
            .with("reason", "requests-in-flight")
            .warn();
    }
}

/// Hands a target over to a host that can reach it, and renews the handover for 60 s.
pub async fn move_away(state: &Arc<HostState>, target: &TargetRecord) {
    hand_over(state, target).await;
    owned_targets::refresh(state);
    let until = Instant::now() + MOVE_DURATION;
    while Instant::now() < until {
        tokio::time::sleep(RENEW_PERIOD).await;
        let scope = state.view().and_then(|view| state.scope_of(&view, target));
        let Some(scope) = scope else {
            return;
        };
        let key = OwnedKey::Target(target.id.clone());
        let successor = state
            .owners
            .renew_handover(&key, &scope, state.clock.mono());
        let Some(successor) = successor else {
            return;
        };
        send_notice(state, target, successor, true).await;
    }
}

async fn hand_over(state: &Arc<HostState>, target: &TargetRecord) {
    let line = DecisionLine::new("handover").with("target", &target.id);
    let now = state.clock.mono();
    let key = OwnedKey::Target(target.id.clone());
    let scope = state.view().and_then(|view| state.scope_of(&view, target));
    let Some(scope) = scope else {
        return;
    };
    let successor = match state.owners.hand_over(&key, &scope, now) {
        Ok(successor) => successor,
        Err(error) => {
            line.with("decision", "keep").with("reason", error).info();
            return;
        }
    };
    let is_accepted = send_notice(state, target, successor.clone(), false).await;
    line.with("heir", &successor)
        .with("taken", is_accepted)
        .info();
}

/// Notifies the next owner that this host has stopped serving a target. Returns `true` if it
/// accepts.
async fn send_notice(
    state: &HostState,
    target: &TargetRecord,
    successor: HostId,
    is_renewal: bool,
) -> bool {
    let heartbeat_id = state.members.last_heartbeat_of(&successor);
    let address = state.members.address_of(&successor);
    let (Some(heartbeat_id), Some(address)) = (heartbeat_id, address) else {
        return false;
    };
    let notice = peer::OwnerHandover {
        host: state.settings.host.clone(),
        incarnation: state.incarnation,
        successor,
        echo: peer::SequenceEcho {
            incarnation: heartbeat_id.incarnation,
            sequence: heartbeat_id.sequence,
        },
        is_renewal,
        targets: vec![target.id.clone()],
    };
    let deadline = Instant::now() + NOTICE_TIMEOUT;
    let message = PeerMessage::OwnerHandover(notice);
    let outcome = state.peers.call(address, message, deadline).await;
    matches!(outcome, Ok(PeerMessage::Accepted))
}
