//! Calls to other hosts.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use tokio::time::Instant;

use crate::state::GatewayState;

/// Sends a message and returns what comes back.
///
/// Open connections may be reset while new ones work, and say nothing about the host then. A call whose
/// connection breaks is therefore made once more; all messages between gateway hosts may come twice.
async fn exchange(
    state: &GatewayState,
    address: SocketAddr,
    message: GatewayMessage,
    limit: Duration,
) -> Result<PeerMessage, PeerError> {
    let deadline = Instant::now() + limit;
    let message = PeerMessage::Gateway(message);
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
/// Fails when no answer comes within the limit, or when the second connection fails too.
pub async fn call(
    state: &GatewayState,
    address: SocketAddr,
    message: GatewayMessage,
    limit: Duration,
) -> Result<GatewayMessage, PeerError> {
    match exchange(state, address, message, limit).await? {
        PeerMessage::Gateway(answer) => Ok(answer),
        _ => Err(PeerError::Refused(RefusalReason::NotARequest)),
    }
}

/// Sends a message that is only acknowledged.
///
/// # Errors
///
/// Fails like [`call`].
pub async fn notify(
    state: &GatewayState,
    address: SocketAddr,
    message: GatewayMessage,
    limit: Duration,
) -> Result<(), PeerError> {
    match exchange(state, address, message, limit).await? {
        PeerMessage::Accepted => Ok(()),
        _ => Err(PeerError::Refused(RefusalReason::NotARequest)),
    }
}

/// Calls a known host, and suspects it when the call fails.
///
/// # Errors
///
/// Fails like [`call`].
pub async fn call_member(
    state: &GatewayState,
    member: &MemberRecord,
    message: GatewayMessage,
    limit: Duration,
) -> Result<GatewayMessage, PeerError> {
    let answer = call(state, member.address, message, limit).await;
    if let Err(error) = &answer
        && state.gossip.suspect(&member.host, state.now())
    {
        log::warn!("event=peer_lost host={} error=\"{error}\"", member.host);
    }
    answer
}
