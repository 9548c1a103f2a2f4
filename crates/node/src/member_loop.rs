//! Sends heartbeats, and detects pauses of the process.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_limits::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_placement::ownership::majority_contact;
use tokio::time::Instant;

use crate::{
    decision_log::DecisionLine,
    owned_targets,
    peer_service,
    state::HostState, //
};

/// Period at which contact, ownership and pauses are checked.
pub const TICK: Duration = Duration::from_millis(100);

/// Heartbeat period to peers of the own zone.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Timeout of a heartbeat; a later answer is no evidence of contact.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Delay of a tick above which the process counts as paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Checks contact, ownership and pauses until the task is dropped.
pub async fn tick(state: Arc<HostState>) {
    let mut detector = PauseDetector::new(TICK, PAUSE_THRESHOLD);
    loop {
        tokio::time::sleep(TICK).await;
        let now = state.clock.mono();
        if let Some(pause) = detector.on_tick(now, state.clock.wall()) {
            DecisionLine::new("woke_late")
                .with("gap_ms", pause.duration.as_millis())
                .with("by_wall_only", pause.is_wall_clock_only)
                .warn();
            state.members.on_resume(now);
            state.owners.on_resume(now);
            state.ledger.fence().suspend();
            state.config.on_pause();
        }
        state.on_tick(now);
        update_membership(&state, now);
    }
}

/// Updates contact, live hosts and ownership.
fn update_membership(state: &Arc<HostState>, now: MonoTime) {
    state.members.on_tick(now);
    let contact_at = majority_contact(state.members.acknowledged_in_zone(), now);
    if let Some(contact_at) = contact_at {
        state.owners.on_contact(contact_at, now);
    }
    let live = state.members.live_hosts();
    for host in live.iter().filter(|host| host.id != state.settings.host) {
        if let Some(last_seen) = state.members.last_seen(&host.id) {
            state.owners.on_seen(&host.zone, &host.id, last_seen);
        }
    }
    state.set_roster(ZoneRoster::new(
        live.into_iter().map(|host| (host.id, host.zone)),
    ));
    owned_targets::refresh(state);
}

/// Builds the next heartbeat to a peer, or returns `None` if the peer is unknown.
pub fn build_heartbeat(state: &HostState, peer: &HostId) -> Option<Heartbeat> {
    let now = state.clock.mono();
    let header = state.members.heartbeat_for(peer, now)?;
    let echo = header.echo.map(|id| SequenceEcho {
        incarnation: id.incarnation,
        sequence: id.sequence,
    });
    let contacts = state.members.recent_contacts(now).into_iter();
    let contacts = contacts.map(|(host, age)| RecentContact {
        host: HostHash::of_host(&host),
        age_tenths: u8::try_from(age.as_millis().div_ceil(100)).unwrap_or(u8::MAX),
    });
    Some(Heartbeat {
        host: state.settings.host.clone(),
        incarnation: state.incarnation,
        zone: state.settings.zone.clone(),
        address: state.peer_address,
        sequence: header.sequence,
        echo,
        config: state
            .config
            .summary_for(peer, echo.map(|echo| echo.incarnation)),
        is_platform_recent: state.config.is_platform_recent(now),
        is_leaving: state.is_leaving(),
        targets: state.target_loads(),
        baselines: baselines(state),
        recent_contacts: contacts.collect(),
    })
}

fn baselines(state: &HostState) -> Vec<ServiceBaseline> {
    let saturate = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
    let counters = state.health.counters(state.clock.mono()).into_iter();
    let baselines = counters.map(|(service, counters)| ServiceBaseline {
        service,
        attempts: saturate(counters.attempts),
        failures: saturate(counters.failures),
        sheds: saturate(counters.sheds),
        latencies: counters
            .latencies
            .nonzero_buckets()
            .map(|(bucket, count)| BucketCount { bucket, count })
            .collect(),
    });
    baselines.collect()
}

async fn send_heartbeat(state: Arc<HostState>, peer: HostId) {
    let Some(address) = state.members.address_of(&peer) else {
        return;
    };
    let Some(heartbeat) = build_heartbeat(&state, &peer) else {
        return;
    };
    let deadline = Instant::now() + HEARTBEAT_TIMEOUT;
    let message = PeerMessage::Heartbeat(heartbeat);
    match state.peers.call(address, message, deadline).await {
        Ok(PeerMessage::Heartbeat(answer)) if answer.host == peer => {
            peer_service::apply_heartbeat(&state, &answer);
        }
        Ok(PeerMessage::HeartbeatAck(ack)) if ack.host == peer => {
            let echo = HeartbeatId {
                incarnation: ack.echo.incarnation,
                sequence: ack.echo.sequence,
            };
            let now = state.clock.mono();
            state.members.on_ack(&peer, ack.incarnation, echo, now);
        }
        Ok(_) => log::debug!("event=heartbeat_refused peer={peer}"),
        Err(error) => log::debug!("event=heartbeat_lost peer={peer} error=\"{error}\""),
    }
}

/// Sends heartbeats until the task is dropped. After a new version comes into force, and at the end
/// of a pause, heartbeats to all planned peers are sent at once.
pub async fn heartbeat(state: Arc<HostState>) {
    let send = |peer: &HostId| drop(tokio::spawn(send_heartbeat(state.clone(), peer.clone())));
    let members = &state.members;
    for round in 0.. {
        let now = state.clock.mono();
        let plan = members.plan();
        let peers = plan.due(round);
        peers
            .filter(|peer| !members.is_responder(peer, now))
            .for_each(send);
        let next = Instant::now() + HEARTBEAT_PERIOD;
        while Instant::now() < next {
            let wait = next.min(Instant::now() + TICK);
            let requested =
                tokio::time::timeout_at(wait, state.config.heartbeats_requested()).await;
            let now = state.clock.mono();
            let plan = members.plan();
            match requested {
                Ok(()) => plan.all().for_each(send),
                Err(_) => {
                    let zone = plan.own_zone().iter();
                    zone.filter(|peer| members.is_overdue(peer, now))
                        .for_each(send);
                }
            }
        }
    }
}

/// Period at which idle connections to other hosts are closed.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);

/// Closes idle connections to other hosts until the task is dropped.
pub async fn sweep(state: Arc<HostState>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        state.peers.sweep_idle();
    }
}
