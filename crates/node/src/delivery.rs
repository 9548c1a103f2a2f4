//! Brings a request to the owner of its target: this host, or another one over the peer protocol.

use std::sync::Arc;

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_proxy::prelude::*;
use http::{
    Request,
    Response, //
};
use tokio::time::Instant;

use crate::{
    delivery_error::DeliveryError,
    owner,
    state::HostState, //
};

/// Sends a request to the owner of a target and returns the answer.
///
/// # Errors
///
/// Fails with what is known about whether the request ran.
pub async fn deliver(
    state: &Arc<HostState>,
    owner: &HostId,
    head: ForwardHead,
    request: Request<ProxyBody>,
) -> Result<Response<ProxyBody>, DeliveryError> {
    if owner == &state.settings.host {
        return owner::serve(state, &head, request).await;
    }
    let address = state.members.address_of(owner);
    let address = address.ok_or(DeliveryError::not_run(RefusalKind::NoCapacity))?;
    let deadline = Instant::now() + head.time_left();
    let answer = state.peers.forward(address, head, request, deadline).await;
    let response = answer.map_err(|error| match error.is_not_sent() {
        true => DeliveryError::not_run(RefusalKind::BadGateway),
        false if Instant::now() >= deadline => DeliveryError::unknown(RefusalKind::TimedOut),
        false => DeliveryError::unknown(RefusalKind::BadGateway),
    })?;
    if let Some(failure) = DeliveryError::from_response(&response) {
        return Err(failure);
    }
    let idle_max = state.settings.idle_body_timeout;
    let (parts, body) = response.into_parts();
    let body = WatchedBody::new(body, idle_max, |_| {});
    Ok(Response::from_parts(
        parts,
        http_body_util::BodyExt::boxed_unsync(body),
    ))
}

/// Returns the owner of a target, as far as this host knows.
pub fn owner_of(state: &HostState, target: &TargetRecord) -> Option<HostId> {
    let view = state.view()?;
    let home = state.home_of(&view, target)?;
    let key = chicorycroft_placement::prelude::OwnedKey::Target(target.id.clone());
    state.owners.owner_of(&key, &home, state.clock.mono())
}
