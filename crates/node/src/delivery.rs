//! Sends a request to the owner of its target: this host, or another one over the peer protocol.

use std::sync::Arc;

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_placement::prelude::*;
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

/// Sends a request to the owner of a target and returns the response.
///
/// # Errors
///
/// Returns an error that states whether the request may have run.
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
    let address = address.ok_or(DeliveryError::misdirected(None))?;
    let deadline = Instant::now() + head.time_left();
    let result = state.peers.forward(address, head, request, deadline).await;
    let response = result.map_err(|error| match error.is_not_sent() {
        true => DeliveryError::misdirected(None),
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

/// Returns the hosts that may own a target, with the most likely owner first.
pub fn owners_of(state: &HostState, target: &TargetRecord) -> Vec<HostId> {
    let Some(view) = state.view() else {
        return Vec::new();
    };
    let Some(scope) = state.scope_of(&view, target) else {
        return Vec::new();
    };
    let now = state.clock.mono();
    let key = OwnedKey::Target(target.id.clone());
    let mut owners = state.owners.candidates(&key, &scope, now);
    if let Some(hint) = state.owner_hint(&target.id, now) {
        owners.retain(|owner| owner != &hint);
        owners.insert(0, hint);
    }
    owners
}

/// Returns the most likely owner of a target, or `None` if no candidate is known.
pub fn owner_of(state: &HostState, target: &TargetRecord) -> Option<HostId> {
    owners_of(state, target).into_iter().next()
}
