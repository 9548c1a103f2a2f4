//! Serves the messages and forwarded requests of other hosts.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_health::prelude::ServiceCounters;
use chicorycroft_inventory::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_proxy::prelude::*;
use http::{
    Request,
    Response, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{
    config_loop,
    handover,
    health_loop,
    member_loop::build_heartbeat,
    owner,
    permits,
    state::HostState,
    token_loop, //
};

/// Handles a message of another host and returns the answer.
pub async fn on_message(state: Arc<HostState>, message: PeerMessage) -> PeerMessage {
    match message {
        PeerMessage::Heartbeat(heartbeat) => answer_heartbeat(&state, &heartbeat),
        PeerMessage::TransferRequest(request) => {
            token_loop::on_request(&state, request);
            PeerMessage::Accepted
        }
        PeerMessage::TokenGrant(grant) => {
            token_loop::on_grant(&state, grant);
            PeerMessage::Accepted
        }
        PeerMessage::ProbeRequest(request) => health_loop::on_probe_request(&state, request).await,
        PeerMessage::EjectionRequest(request) => permits::on_request(&state, request),
        PeerMessage::PartsRequest(request) => state.config.answer(&request),
        PeerMessage::OwnerHandover(notice) => handover::on_notice(&state, &notice),
        _ => PeerMessage::Refused(RefusalReason::NotARequest),
    }
}

/// Answers a heartbeat with this host's own heartbeat if the sender is a planned peer in the own
/// zone, and with an acknowledgement otherwise.
fn answer_heartbeat(state: &HostState, heartbeat: &Heartbeat) -> PeerMessage {
    let echo = apply_heartbeat(state, heartbeat);
    let now = state.clock.mono();
    state.members.on_initiated(&heartbeat.host, now);
    if state.members.plan().own_zone().contains(&heartbeat.host)
        && let Some(answer) = build_heartbeat(state, &heartbeat.host)
    {
        return PeerMessage::Heartbeat(answer);
    }
    PeerMessage::HeartbeatAck(HeartbeatAck {
        host: state.settings.host.clone(),
        incarnation: state.incarnation,
        echo,
    })
}

/// Applies a heartbeat or the answer to one, and returns the echo that acknowledges it.
pub fn apply_heartbeat(state: &HostState, heartbeat: &Heartbeat) -> SequenceEcho {
    let now = state.clock.mono();
    let heartbeat_id = |echo: SequenceEcho| HeartbeatId {
        incarnation: echo.incarnation,
        sequence: echo.sequence,
    };
    let echo = SequenceEcho {
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
    };
    let outcome = state.members.on_heartbeat(
        &PeerHeartbeat {
            host: heartbeat.host.clone(),
            zone: heartbeat.zone.clone(),
            address: heartbeat.address,
            id: heartbeat_id(echo),
            echo: heartbeat.echo.map(heartbeat_id),
            is_leaving: heartbeat.is_leaving,
        },
        now,
    );
    if outcome != HeartbeatOutcome::Stale {
        apply_reports(state, heartbeat);
    }
    echo
}

/// Handles the configuration version that another host reports.
///
/// Before this host is ready, only heartbeats that answer one of its own count: others may have been
/// buffered during a whole pause.
fn apply_config_summary(state: &HostState, heartbeat: &Heartbeat) {
    state
        .config
        .on_platform_reach(&heartbeat.host, heartbeat.is_platform_recent);
    let Some(summary) = heartbeat.config else {
        return;
    };
    state
        .config
        .on_peer_version(&heartbeat.host, heartbeat.incarnation, summary);
    let is_answer = heartbeat.echo.is_some_and(|echo| {
        let sent_at = state.members.sent_at(&heartbeat.host, echo.sequence);
        echo.incarnation == state.incarnation && sent_at.is_some()
    });
    if !is_answer && state.readiness() != HostReadiness::Ready {
        return;
    }
    let source = IndexSource::Peer {
        host: heartbeat.host.clone(),
        zone: heartbeat.zone.clone(),
    };
    let summary = IndexSummary {
        version: summary.version,
        digest: summary.digest,
    };
    config_loop::on_index(state, source, summary);
}

fn apply_reports(state: &HostState, heartbeat: &Heartbeat) {
    let now = state.clock.mono();
    apply_config_summary(state, heartbeat);
    state.owners.on_seen(&heartbeat.zone, &heartbeat.host, now);
    let age_of = |host: &_| {
        let hash = HostHash::of_host(host);
        let contact = heartbeat
            .recent_contacts
            .iter()
            .find(|contact| contact.host == hash)?;
        Some(Duration::from_millis(u64::from(contact.age_tenths) * 100))
    };
    state.members.on_reports(age_of, now);
    for baseline in &heartbeat.baselines {
        let mut counters = ServiceCounters {
            attempts: baseline.attempts.into(),
            failures: baseline.failures.into(),
            sheds: baseline.sheds.into(),
            ..ServiceCounters::default()
        };
        for entry in &baseline.latencies {
            counters.latencies.add_to_bucket(entry.bucket, entry.count);
        }
        let (service, host) = (&baseline.service, &heartbeat.host);
        state
            .health
            .baseline
            .on_counters(service, host, counters, now);
    }
    for load in &heartbeat.targets {
        state
            .chooser
            .on_report(&load.target, load.in_flight, load.limit, now);
        state.set_suspect(&load.target, load.is_suspect);
    }
}

/// Serves a request that another host forwarded to this one as the owner of its target.
pub async fn on_forward(
    state: Arc<HostState>,
    head: ForwardHead,
    request: Request<Incoming>,
) -> Response<ProxyBody> {
    let idle_max = state.settings.idle_body_timeout;
    let request = request.map(|body| WatchedBody::new(body, idle_max, |_| {}).boxed_unsync());
    match owner::serve(&state, &head, request).await {
        Ok(response) => response,
        Err(failure) => failure.to_response(),
    }
}
