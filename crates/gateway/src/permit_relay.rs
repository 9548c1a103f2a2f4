//! Passes requests for permits on to the dispatcher of the zone.
//!
//! Load pattern: the connections of most hosts are reset within a second, or a host and its dispatcher do not
//! reach each other. Such a host asks the next one in order, which has a small part of each rate and would
//! refuse callers within it; but that host reaches the dispatcher.

use std::sync::Arc;

use chicorycroft_dispatch::prelude::*;
use chicorycroft_peer::prelude::*;

use crate::{
    peer_calls::{
        call_member,
        notify, //
    },
    permit_client::{
        ANSWER_LIMIT,
        RELEASE_LIMIT, //
    },
    permit_service,
    state::GatewayState, //
};

/// Answers a request for a permit: the dispatcher that this host follows decides, and this host where there
/// is none or it does not answer.
pub async fn admit(state: &Arc<GatewayState>, request: &AdmitRequest) -> AdmitAnswer {
    if let Some(dispatcher) = state.dispatcher_ahead() {
        let message = GatewayMessage::Relayed(RelayedCall::Admit(request.clone()));
        let limit = request.wait() + ANSWER_LIMIT;
        match call_member(state, &dispatcher, message, limit).await {
            Ok(GatewayMessage::Admitted(answer)) => {
                log::info!(
                    "event=permit_relayed id={} dispatcher={}",
                    request.request,
                    dispatcher.host
                );
                return answer;
            }
            Ok(_) => log::warn!("event=peer_answer_unexpected host={}", dispatcher.host),
            // The loss has been logged, and this host is next.
            Err(_) => {}
        }
    }
    permit_service::admit(state, request).await
}

/// Takes a permit back. The dispatcher that granted it may be this host or the one that it follows; a permit
/// that a dispatcher does not know changes nothing there.
pub fn release(state: &Arc<GatewayState>, notice: ReleaseNotice) {
    permit_service::release(state, &notice);
    let Some(dispatcher) = state.dispatcher_ahead() else {
        return;
    };
    let state = state.clone();
    tokio::spawn(async move {
        let permit = notice.permit;
        let message = GatewayMessage::Relayed(RelayedCall::Release(notice));
        let sent = notify(&state, dispatcher.address, message, RELEASE_LIMIT).await;
        if let Err(error) = sent {
            log::info!(
                "event=release_lost permit={permit} dispatcher={} error=\"{error}\"",
                dispatcher.host
            );
        }
    });
}
