//! Handles messages from other hosts.

use std::{
    cmp::Ordering,
    sync::Arc,
    time::Duration, //
};

use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_peer::prelude::*;

use crate::{
    permit_relay,
    permit_service,
    state::GatewayState, //
};

/// Longest time for which the answer to a follower is delayed while nothing changes.
const LONG_POLL_MAX: Duration = Duration::from_secs(1);

/// Number of hosts in a zone that hold the full team usage: the dispatcher and those next in rank, which would
/// take over from it.
const USAGE_HOLDERS: usize = 3;

/// Handles a message and returns the reply.
pub async fn on_message(state: Arc<GatewayState>, message: PeerMessage) -> PeerMessage {
    let PeerMessage::Gateway(message) = message else {
        return PeerMessage::Refused(RefusalReason::NotARequest);
    };
    match message {
        GatewayMessage::Gossip(records) => {
            let now = state.now();
            for record in records {
                state.gossip.merge(record, now);
            }
            PeerMessage::Gateway(GatewayMessage::Gossip(state.gossip.records()))
        }
        GatewayMessage::Follow(request) => on_follow(&state, request).await,
        GatewayMessage::Admit(request) => {
            let answer = permit_relay::admit(&state, &request).await;
            PeerMessage::Gateway(GatewayMessage::Admitted(answer))
        }
        GatewayMessage::Relayed(RelayedCall::Admit(request)) => {
            let answer = permit_service::admit(&state, &request).await;
            PeerMessage::Gateway(GatewayMessage::Admitted(answer))
        }
        GatewayMessage::Release(notice) => {
            permit_relay::release(&state, notice);
            PeerMessage::Accepted
        }
        GatewayMessage::Relayed(RelayedCall::Release(notice)) => {
            permit_service::release(&state, &notice);
            PeerMessage::Accepted
        }
        GatewayMessage::FollowAnswer(_) | GatewayMessage::Admitted(_) => {
            PeerMessage::Refused(RefusalReason::NotARequest)
        }
    }
}

/// Answers a follower as soon as its configuration or directory is out of date or this host is stopping, and
/// otherwise after the wait that the follower requested.
async fn on_follow(state: &GatewayState, request: FollowRequest) -> PeerMessage {
    let arrival = state.now();
    state.gossip.merge(request.member.clone(), arrival);
    state
        .store_cache
        .on_era_sighting(request.era, request.positions.latest(), arrival);
    if let Some(span) = request.served {
        let host = &request.member.host;
        state.store_cache.on_served(span, arrival, host, arrival);
    }
    if request.is_read_wanted {
        state.on_read_wanted(&request.member.host);
    }
    // The usage of a dispatcher's followers is part of the dispatcher's own reports.
    if !request.is_dispatcher {
        state.on_follower(&request.member.host);
    }
    let mut changes = state.store_cache.subscribe();
    let wait = Duration::from_millis(request.wait_millis.into()).min(LONG_POLL_MAX);
    let has_changed = |_: &u64| {
        let index = state.store_cache.index();
        let version = index.map(|index| index.config().version());
        let (directory, positions) = state.store_cache.shared_directory();
        let is_later = is_directory_later(directory.content, positions, &request);
        version > request.config || is_later || state.is_stopping()
    };
    // A timeout means that nothing has changed.
    let _ = tokio::time::timeout(wait, changes.wait_for(has_changed)).await;
    let now = state.now();
    // The ages come first: a contact after the directory was read would make it look younger than it is.
    let [age_millis, target_age_millis] = StorePart::ALL.map(|part| {
        let age = state.store_cache.shared_age(part, now);
        age.map(|age| whole_millis(age.get()))
    });
    let index = state.store_cache.index();
    let (directory, positions) = state.store_cache.shared_directory();
    // A host without positions has just started, or is of a release that takes whole directories only.
    let has_base = request.positions != PartPositions::default();
    let changes = || state.store_cache.changes_since(request.content, &directory);
    let update = match has_base.then(changes).flatten() {
        _ if directory.content == request.content => DirectoryUpdate::Same,
        _ if !is_directory_later(directory.content, positions, &request) => DirectoryUpdate::Older,
        Some(changes) => DirectoryUpdate::Changed(changes),
        None => DirectoryUpdate::Replaced((*directory).clone()),
    };
    let config = index.map(|index| index.config().clone());
    let config = config.filter(|config| Some(config.version()) > request.config);
    PeerMessage::Gateway(GatewayMessage::FollowAnswer(Box::new(FollowAnswer {
        member: state.gossip.own(),
        held_millis: whole_millis(now.since(arrival)),
        age_millis,
        target_age_millis,
        served: state.store_cache.served_span(now),
        era: state.store_cache.era_sighting(now),
        is_served: state
            .store_cache
            .is_served(state.change_budget().late_age(), now),
        config: config.map(|config| (*config).clone()),
        directory: update,
        positions,
        usage: usage_for(state, &request),
        follower_count: state.follower_count(),
    })))
}

/// Returns `true` if a follower can take over a part of this host's directory. It takes over a different state of the same
/// positions from the host that it follows; another dispatcher does not.
fn is_directory_later(
    content: ContentDigest,
    positions: PartPositions,
    request: &FollowRequest,
) -> bool {
    let compare = |part| positions.part(part).cmp(&request.positions.part(part));
    let orders = StorePart::ALL.map(compare);
    let is_same_read = orders == [Ordering::Equal; 2];
    let is_later = orders.contains(&Ordering::Greater) || is_same_read && !request.is_dispatcher;
    content != request.content && is_later
}

/// Returns the team usage for hosts that need it. Hosts of other zones get the usage charged at this dispatcher,
/// and the hosts that would take over from it get the total. Other followers get nothing.
fn usage_for(state: &GatewayState, request: &FollowRequest) -> Vec<TeamUsage> {
    if request.member.zone != state.settings.zone {
        return state.dispatcher.usage();
    }
    let ranked = state.gossip.ranked(&state.settings.zone, state.now());
    let mut holders = ranked.iter().take(USAGE_HOLDERS);
    match holders.any(|holder| holder.host == request.member.host) {
        true => state.dispatcher.total_usage(),
        false => Vec::new(),
    }
}
