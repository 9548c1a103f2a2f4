//! Handles messages from other hosts.

use std::{
    cmp::Ordering,
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_peer::prelude::*;

use crate::{
    config_fetch,
    gossip_loop,
    permit_relay,
    permit_service,
    state::GatewayState, //
};

/// Longest time for which the answer to a follower is delayed while nothing changes.
const LONG_POLL_MAX: Duration = Duration::from_secs(1);

/// Largest image of a change of the configuration that the dispatcher sends in its answers. The link of a small host carries
/// forty of them in 0.13 s.
const IMAGE_SENT_MAX: ByteCount = ByteCount::new(4 << 10);

/// Number of hosts in a zone that have the bucket levels: the dispatcher and those next in rank, which would take over
/// from it.
const LEVEL_HOLDERS: usize = 3;

/// Handles a message and returns the reply.
pub async fn on_message(state: Arc<GatewayState>, message: PeerMessage) -> PeerMessage {
    let message = match message {
        PeerMessage::Gateway(message) => message,
        PeerMessage::PartsRequest(request) => {
            return match config_fetch::answer_parts(&state, &request) {
                Some(answer) => PeerMessage::PartsAnswer(answer),
                None => PeerMessage::Refused(RefusalReason::NotARequest),
            };
        }
        _ => return PeerMessage::Refused(RefusalReason::NotARequest),
    };
    match message {
        GatewayMessage::Gossip(records) => {
            let records = gossip_loop::answer_records(&state, records);
            PeerMessage::Gateway(GatewayMessage::Gossip(records))
        }
        GatewayMessage::GossipBeats(beats) => {
            let beats = gossip_loop::answer_beats(&state, beats);
            PeerMessage::Gateway(GatewayMessage::GossipBeats(beats))
        }
        GatewayMessage::Follow(request) => on_follow(&state, request).await,
        GatewayMessage::Admit(request) => {
            let reply = permit_relay::admit(&state, &request).await;
            PeerMessage::Gateway(GatewayMessage::Admitted(reply))
        }
        GatewayMessage::Relayed(RelayedCall::Admit(request)) => {
            let reply = permit_service::admit(&state, &request).await;
            PeerMessage::Gateway(GatewayMessage::Admitted(reply))
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
    state.on_record(request.member.clone(), arrival);
    if let Some(millis) = request.lease_millis {
        state.on_lease(&request.member.host, Duration::from_millis(millis.into()));
    }
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
    // A dispatcher polls for the directory and for tokens, and decides for itself.
    if !request.is_dispatcher {
        state.on_follower(&request.member.host);
    }
    if let Some(transfer) = request.transfer {
        state.on_holder(HolderPoll {
            source: ConfigSource {
                host: request.member.host.clone(),
                address: request.member.address,
                transfers_max: transfer.transfers_max,
            },
            version: transfer.base.map(|base| base.version),
            fetching: transfer.fetching,
        });
    }
    let wait = Duration::from_millis(request.wait_millis.into()).min(LONG_POLL_MAX);
    let config_update = wait_for_change(state, &request, wait).await;
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
    let (given_tokens, levels) = match &config {
        Some(config) => (
            give_tokens(state, &request, config),
            levels_for(state, &request, config),
        ),
        None => (Vec::new(), None),
    };
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
        is_reading: state.store_cache.is_reading(state.change_budget()),
        config_version: config.map(|config| config.version()),
        config: config_update,
        directory: update,
        positions,
        usage: usage_for(state, &request),
        follower_count: state.follower_count(),
        fleet_size: state.fleet_size(),
        given_tokens,
        levels,
    })))
}

/// Waits until a follower can take over a change or this host is stopping, for up to `wait`, and returns the change of the
/// configuration.
async fn wait_for_change(
    state: &GatewayState,
    request: &FollowRequest,
    wait: Duration,
) -> ConfigUpdate {
    let mut changes = state.store_cache.subscribe();
    let mut sources = state.subscribe_spread();
    let wait_end = tokio::time::sleep(wait);
    tokio::pin!(wait_end);
    loop {
        let update = config_update(state, request);
        let (directory, positions) = state.store_cache.shared_directory();
        let is_later = is_directory_later(directory.content, positions, request);
        if !matches!(update, ConfigUpdate::Same) || is_later || state.is_stopping() {
            return update;
        }
        tokio::select! {
            // The senders live as long as the state.
            _ = changes.changed() => {}
            _ = sources.changed() => {}
            () = &mut wait_end => return update,
            // The followers of a host that stops lend their units to another one at once.
            () = state.until_stopping() => return update,
        }
    }
}

/// Returns the change of the configuration for a follower: a short one itself, and for a long one the host from which to
/// fetch it.
fn config_update(state: &GatewayState, request: &FollowRequest) -> ConfigUpdate {
    let Some(index) = state.store_cache.index() else {
        return ConfigUpdate::Same;
    };
    if Some(index.config().version()) <= request.config {
        return ConfigUpdate::Same;
    }
    let whole = || ConfigUpdate::Whole(Box::new((**index.config()).clone()));
    let Some(transfer) = request.transfer else {
        return whole();
    };
    if transfer.fetching.is_some() {
        return ConfigUpdate::Same;
    }
    let (version, image) = match state.config_images.since(&state.store_cache, transfer.base) {
        Ok(Some(latest)) => latest,
        Ok(None) => return ConfigUpdate::Same,
        Err(error) => {
            log::warn!("event=config_not_encoded error=\"{error}\"");
            return whole();
        }
    };
    if image.size() <= IMAGE_SENT_MAX {
        return ConfigUpdate::Image(image.bytes().clone());
    }
    let receiver = &request.member.host;
    let source = state.spread().assign(receiver, version, state.now());
    let Some(source) = source else {
        return ConfigUpdate::Same;
    };
    log::info!(
        "event=config_offered version={version} to={receiver} from={} bytes={}",
        source.host,
        image.size()
    );
    ConfigUpdate::Offered(ConfigOffer {
        version,
        image: image.digest(),
        host: source.host,
        address: source.address,
    })
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

/// Returns the team usage for dispatchers of other zones: those of format version 3 charge it to their own buckets.
fn usage_for(state: &GatewayState, request: &FollowRequest) -> Vec<TeamUsage> {
    match request.member.zone != state.settings.zone {
        true => state.dispatcher.teams().usage(),
        false => Vec::new(),
    }
}

/// Deducts and returns tokens for the short teams of another dispatcher.
fn give_tokens(
    state: &GatewayState,
    request: &FollowRequest,
    config: &GatewayConfig,
) -> Vec<TeamTokens> {
    let wanted = &request.short_teams;
    if wanted.is_empty() || !request.is_dispatcher || state.has_left() {
        return Vec::new();
    }
    let given = state.dispatcher.teams().give(wanted, config, state.now());
    state.metrics.on_tokens_moved("given", &given);
    state.rates.on_tokens(&given, &[]);
    given
}

/// Returns the bucket levels for a host that would take over from this dispatcher.
fn levels_for(
    state: &GatewayState,
    request: &FollowRequest,
    config: &GatewayConfig,
) -> Option<BucketLevels> {
    let is_follower = !request.is_dispatcher && request.member.zone == state.settings.zone;
    if !is_follower || !state.is_dispatcher() {
        return None;
    }
    let now = state.now();
    let ranked = state.gossip.ranked(&state.settings.zone, now);
    let mut holders = ranked.iter().take(LEVEL_HOLDERS);
    let is_holder = holders.any(|holder| holder.host == request.member.host);
    is_holder.then(|| {
        state.refresh_share();
        state.dispatcher.teams().levels(config, now)
    })
}
