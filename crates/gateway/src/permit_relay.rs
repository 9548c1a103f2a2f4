//! Forwards permit requests to the dispatcher of the zone.
//!
//! Load pattern: the connections of most hosts are reset within a second, or a host and its dispatcher cannot
//! reach each other. The host then asks the next host in rank. That one has only a small share of each rate
//! and would refuse callers that are within their rate, but it can reach the dispatcher.

use std::sync::Arc;

use chicorycroft_dispatch::prelude::*;
use chicorycroft_peer::prelude::*;

use crate::{
    late_permit::call_dispatcher,
    peer_calls::notify,
    permit_client::{
        ANSWER_LIMIT,
        RELEASE_LIMIT, //
    },
    permit_service,
    state::GatewayState, //
};

/// Answers a permit request. The dispatcher that this host follows decides, or this host itself if it is the
/// dispatcher or gets no answer.
pub async fn admit(state: &Arc<GatewayState>, request: &AdmitRequest) -> PermitReply {
    if let Some(dispatcher) = state.remote_dispatcher() {
        let message = GatewayMessage::Relayed(RelayedCall::Admit(request.clone()));
        let limit = request.wait() + ANSWER_LIMIT;
        match call_dispatcher(state, &dispatcher, request, message, limit).await {
            Ok(GatewayMessage::Admitted(reply)) => {
                log::info!(
                    "event=permit_relayed id={} dispatcher={}",
                    request.request,
                    dispatcher.host
                );
                return reply;
            }
            Ok(_) => log::warn!("event=peer_answer_unexpected host={}", dispatcher.host),
            // `call_dispatcher` has logged the loss of the host; this host decides.
            Err(_) => {}
        }
    }
    permit_service::admit(state, request).await
}

/// Releases a permit. It may have been granted by this host or by the dispatcher that this host follows, so
/// both get the release; a dispatcher ignores permits that it did not grant.
pub fn release(state: &Arc<GatewayState>, notice: ReleaseNotice) {
    permit_service::release(state, &notice);
    let Some(dispatcher) = state.remote_dispatcher() else {
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
