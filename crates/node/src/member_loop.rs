//! Sends heartbeats, reads the platform's list of hosts and notices pauses of the process.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_limits::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_placement::{
    owner_rules::contact_basis,
    prelude::*, //
};
use chicorycroft_platform::prelude::*;
use tokio::time::Instant;

use crate::{
    decision_log::DecisionLine,
    owned,
    state::HostState, //
};

/// Time between two checks of contact, ownership and pauses.
const TICK: Duration = Duration::from_millis(100);

/// Time between two heartbeats to a peer of the own zone.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Longest time that a heartbeat may take; later it tells nothing about contact.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(1000);

/// Time between two reads of the list of hosts: 1,700 hosts make 340 reads a second of it.
const ROSTER_PERIOD: Duration = Duration::from_secs(5);

/// Time between two tries while no list has been read.
const ROSTER_RETRY: Duration = Duration::from_millis(500);

/// Time between two checks for the first configuration.
const VIEW_WAIT: Duration = Duration::from_millis(20);

/// A gap between two ticks beyond this means that the process was paused.
const WAKE_GAP: Duration = Duration::from_secs(1);

/// Checks contact, ownership and pauses until the task is dropped.
pub async fn tick(state: Arc<HostState>) {
    let mut detector = WakeDetector::new(TICK, WAKE_GAP);
    loop {
        tokio::time::sleep(TICK).await;
        let now = state.clock.mono();
        if let Some(gap) = detector.on_tick(now, state.clock.wall()) {
            DecisionLine::new("woke_late")
                .with("gap_ms", gap.gap.as_millis())
                .with("by_wall_only", gap.is_by_wall_only)
                .warn();
            state.members.on_wake(now);
            state.owners.on_wake(now);
            state.ledger.gate().suspend();
        }
        update(&state, now);
    }
}

/// Brings contact, live hosts and ownership up to date.
fn update(state: &Arc<HostState>, now: MonoTime) {
    state.members.on_tick(now);
    let basis = contact_basis(state.members.acknowledged_in_zone(), now);
    if let Some(basis) = basis {
        state.owners.on_contact(basis, now);
    }
    let live = state.members.live_hosts();
    for host in live.iter().filter(|host| host.id != state.settings.host) {
        if let Some(heard_at) = state.members.last_heard(&host.id) {
            state.owners.on_heard(&host.zone, &host.id, heard_at);
        }
    }
    state.set_roster(ZoneRoster::new(
        live.into_iter().map(|host| (host.id, host.zone)),
    ));
    owned::refresh(state);
}

fn heartbeat_to(state: &HostState, peer: &HostId) -> Option<Heartbeat> {
    let now = state.clock.mono();
    let ticket = state.members.heartbeat_for(peer, now)?;
    let echo = ticket.echo.map(|mark| SequenceEcho {
        incarnation: mark.incarnation,
        sequence: mark.sequence,
    });
    let heard = state.members.heard_directly(now).into_iter();
    let heard = heard.map(|(host, age)| HeardHost {
        host: HostHash::of_host(&host),
        age_tenths: u8::try_from(age.as_millis().div_ceil(100)).unwrap_or(u8::MAX),
    });
    Some(Heartbeat {
        host: state.settings.host.clone(),
        incarnation: state.incarnation,
        zone: state.settings.zone.clone(),
        address: state.peer_address,
        sequence: ticket.sequence,
        echo,
        config: None,
        is_platform_recent: false,
        is_leaving: state.is_stopping(),
        targets: state.target_loads(),
        baselines: Vec::new(),
        heard: heard.collect(),
    })
}

async fn send_heartbeat(state: Arc<HostState>, peer: HostId) {
    let Some(address) = state.members.address_of(&peer) else {
        return;
    };
    let Some(heartbeat) = heartbeat_to(&state, &peer) else {
        return;
    };
    let deadline = Instant::now() + HEARTBEAT_WAIT;
    let message = PeerMessage::Heartbeat(heartbeat);
    match state.peers.call(address, message, deadline).await {
        Ok(PeerMessage::HeartbeatAck(ack)) if ack.host == peer => {
            let echo = SequenceMark {
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

/// Sends heartbeats until the task is dropped.
pub async fn heartbeat(state: Arc<HostState>) {
    for round in 0.. {
        let plan = state.members.plan();
        for peer in plan.due(round) {
            tokio::spawn(send_heartbeat(state.clone(), peer.clone()));
        }
        tokio::time::sleep(HEARTBEAT_PERIOD).await;
    }
}

/// Reads the platform's list of hosts until the task is dropped.
pub async fn read_roster(state: Arc<HostState>, platform: Arc<PlatformClient>) {
    loop {
        if state.view().is_none() {
            // The regions of zones are in the configuration.
            tokio::time::sleep(VIEW_WAIT).await;
            continue;
        }
        let begun = state.clock.mono();
        let pause = match platform.list_hosts().await {
            Ok(hosts) => {
                take_roster(&state, hosts, begun);
                ROSTER_PERIOD
            }
            Err(error) => {
                DecisionLine::new("roster_unread")
                    .with("error", error)
                    .warn();
                ROSTER_RETRY
            }
        };
        // Hosts that start together would read together; up to a tenth of the pause spreads them.
        let jitter = pause.mul_f64((state.random() % 100) as f64 / 1000.0);
        tokio::time::sleep(pause + jitter).await;
    }
}

fn take_roster(state: &Arc<HostState>, hosts: Vec<HostListing>, begun: MonoTime) {
    let now = state.clock.mono();
    let region_of = |zone: &ZoneId| {
        let view = state.view()?;
        view.snapshot().zone(zone).map(|zone| zone.region.clone())
    };
    let listed = hosts.iter().filter_map(|host| {
        Some(ListedHost {
            id: host.id.clone(),
            zone: host.zone.clone(),
            region: region_of(&host.zone)?,
        })
    });
    state.owners.on_roster(listed.collect::<Vec<_>>(), now);
    let is_listed = hosts.iter().any(|host| host.id == state.settings.host);
    let entries = hosts.into_iter().map(|host| HostEntry {
        id: host.id,
        zone: host.zone,
        address: host.address,
        is_leaving: host.is_leaving,
    });
    state.members.on_roster(HostRoster::new(entries), now);
    if is_listed {
        // The list was asked for after the pause, so that it shows that this host still counts.
        state.owners.on_fresh_round(begun);
        state.ledger.gate().resume(now);
    }
}
