//! Calls for permits, and the return of permits whose answer comes too late.
//!
//! Load pattern: all hosts start at once, and answer each other later than these wait for. Permits that nobody uses would
//! hold the slots of sound targets until the deadlines of their requests.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_dispatch::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;

use crate::{
    peer_calls::{
        call,
        suspect, //
    },
    permit_client::{
        send_release,
        unused_notice, //
    },
    state::GatewayState, //
};

/// Time for which a late answer is awaited. The end of a call reaches a dispatcher that is slower still before the call
/// itself is served there, so that it grants nothing.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(250);

/// Returns the permit of an answer that came too late, so that it does not hold a slot until its deadline.
async fn return_late_permit(
    state: Arc<GatewayState>,
    member: MemberRecord,
    request: AdmitRequest,
    late: impl Future<Output = Result<GatewayMessage, PeerError>>,
) {
    let Ok(GatewayMessage::Admitted(reply)) = late.await else {
        return;
    };
    if let AdmitAnswer::Granted(grant) = reply.answer {
        log::info!(
            "event=permit_late id={} permit={} dispatcher={}",
            request.request,
            grant.permit,
            member.host
        );
        let notice = unused_notice(&state.settings.host, &request, grant.target, grant.permit);
        send_release(&state, &member, notice).await;
    }
}

/// Calls a dispatcher for a permit and waits for the answer for up to `limit`. One that comes within
/// [`LATE_ANSWER_TIME`] after it gives its permit back; the call ends with that time.
pub(crate) async fn call_dispatcher(
    state: &Arc<GatewayState>,
    member: &MemberRecord,
    request: &AdmitRequest,
    message: GatewayMessage,
    limit: Duration,
) -> Result<GatewayMessage, PeerError> {
    let (call_state, callee) = (state.clone(), member.clone());
    let late_limit = limit + LATE_ANSWER_TIME;
    let mut first =
        Box::pin(async move { call(&call_state, callee.address, message, late_limit).await });
    let answer = tokio::time::timeout(limit, &mut first).await;
    let is_late = answer.is_err();
    let answer = answer.unwrap_or(Err(PeerError::TimedOut));
    if let Err(error) = &answer {
        suspect(state, member, error);
    }
    if is_late {
        // Later calls use a new connection, as this one may have gone silent.
        state.peers.disconnect(member.address);
        let (state, member) = (state.clone(), member.clone());
        tokio::spawn(return_late_permit(state, member, request.clone(), first));
    }
    answer
}
