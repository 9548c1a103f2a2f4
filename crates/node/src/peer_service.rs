//! Answers the messages and forwarded requests of other hosts.

use std::{
    sync::Arc,
    time::Duration, //
};

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
    handover,
    owner,
    state::HostState,
    token_loop, //
};

/// Answers a message of another host.
pub async fn on_message(state: Arc<HostState>, message: PeerMessage) -> PeerMessage {
    match message {
        PeerMessage::Heartbeat(heartbeat) => on_heartbeat(&state, heartbeat),
        PeerMessage::TokenDraw(draw) => {
            token_loop::on_draw(&state, draw);
            PeerMessage::Accepted
        }
        PeerMessage::TokenGrant(grant) => {
            token_loop::on_grant(&state, grant);
            PeerMessage::Accepted
        }
        PeerMessage::OwnerHandover(notice) => handover::on_notice(&state, &notice),
        _ => PeerMessage::Refused(RefusalReason::NotARequest),
    }
}

fn on_heartbeat(state: &HostState, heartbeat: Heartbeat) -> PeerMessage {
    let now = state.clock.mono();
    let mark_of = |echo: SequenceEcho| SequenceMark {
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
            mark: mark_of(echo),
            echo: heartbeat.echo.map(mark_of),
            is_leaving: heartbeat.is_leaving,
        },
        now,
    );
    if outcome != HeartbeatOutcome::Stale {
        take_reports(state, &heartbeat);
    }
    PeerMessage::HeartbeatAck(HeartbeatAck {
        host: state.settings.host.clone(),
        incarnation: state.incarnation,
        echo,
    })
}

fn take_reports(state: &HostState, heartbeat: &Heartbeat) {
    let now = state.clock.mono();
    state.owners.on_heard(&heartbeat.zone, &heartbeat.host, now);
    let age_of = |host: &_| {
        let hash = HostHash::of_host(host);
        let heard = heartbeat.heard.iter().find(|heard| heard.host == hash)?;
        Some(Duration::from_millis(u64::from(heard.age_tenths) * 100))
    };
    state.members.on_reports(age_of, now);
    for load in &heartbeat.targets {
        state
            .chooser
            .on_report(&load.target, load.in_flight, load.limit, now);
        state.set_suspect(&load.target, load.is_suspect);
    }
}

/// Answers a request that another host forwarded to this one as owner.
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
