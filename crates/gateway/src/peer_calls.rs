//! Calls to other hosts.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use tokio::time::Instant;

use crate::state::GatewayState;

/// Sends a message and returns the reply, with one retry if the connection breaks.
///
/// Open connections may be reset while new ones work, so a broken connection does not mean that the host is
/// down. Retrying is safe because every message between gateway hosts may arrive twice.
async fn call_with_retry(
    state: &GatewayState,
    address: SocketAddr,
    message: PeerMessage,
    limit: Duration,
) -> Result<PeerMessage, PeerError> {
    let deadline = Instant::now() + limit;
    let answer = match state.peers.call(address, message.clone(), deadline).await {
        Err(PeerError::Broken { .. }) => state.peers.call(address, message, deadline).await?,
        answer => answer?,
    };
    match answer {
        PeerMessage::Refused(reason) => Err(PeerError::Refused(reason)),
        answer => Ok(answer),
    }
}

/// Sends a message and returns the answer.
///
/// # Errors
///
/// Returns an error if no answer arrives within `limit`, the retry fails too, or the host refuses the message.
pub async fn call(
    state: &GatewayState,
    address: SocketAddr,
    message: GatewayMessage,
    limit: Duration,
) -> Result<GatewayMessage, PeerError> {
    match call_with_retry(state, address, PeerMessage::Gateway(message), limit).await? {
        PeerMessage::Gateway(answer) => Ok(answer),
        _ => Err(PeerError::Refused(RefusalReason::NotARequest)),
    }
}

/// Sends a message whose reply is only an acknowledgement.
///
/// # Errors
///
/// Returns the same errors as [`call`].
pub async fn notify(
    state: &GatewayState,
    address: SocketAddr,
    message: GatewayMessage,
    limit: Duration,
) -> Result<(), PeerError> {
    match call_with_retry(state, address, PeerMessage::Gateway(message), limit).await? {
        PeerMessage::Accepted => Ok(()),
        _ => Err(PeerError::Refused(RefusalReason::NotARequest)),
    }
}

/// Asks a host for parts of documents.
///
/// # Errors
///
/// Returns the same errors as [`call`].
pub async fn call_parts(
    state: &GatewayState,
    address: SocketAddr,
    request: PartsRequest,
    limit: Duration,
) -> Result<PartsAnswer, PeerError> {
    let message = PeerMessage::PartsRequest(request);
    match call_with_retry(state, address, message, limit).await? {
        PeerMessage::PartsAnswer(answer) => Ok(answer),
        _ => Err(PeerError::Refused(RefusalReason::NotARequest)),
    }
}

/// Calls a known host and marks it as suspected if the call fails.
///
/// # Errors
///
/// Returns the same errors as [`call`].
pub async fn call_member(
    state: &GatewayState,
    member: &MemberRecord,
    message: GatewayMessage,
    limit: Duration,
) -> Result<GatewayMessage, PeerError> {
    let answer = call(state, member.address, message, limit).await;
    if let Err(error) = &answer {
        suspect(state, member, error);
    }
    answer
}

/// Marks a host that did not answer as suspected.
pub fn suspect(state: &GatewayState, member: &MemberRecord, error: &PeerError) {
    // Nothing listens there any more, so the process that held the leases has ended.
    if let PeerError::Connect {
        is_refused: true, ..
    } = error
    {
        state.rates.on_ended(member);
    }
    if state.gossip.suspect(&member.host, state.now()) {
        log::warn!("event=peer_lost host={} error=\"{error}\"", member.host);
    }
}
