//! Answers the messages of other hosts.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_dispatch::prelude::*;
use chicorycroft_peer::prelude::*;

use crate::{
    permit_relay,
    permit_service,
    state::GatewayState, //
};

/// Longest time for which an answer to a follower is held back.
const HOLD_MAX: Duration = Duration::from_secs(1);

/// Hosts of a zone, the dispatcher included, that know what teams have spent.
const HEIR_COUNT: usize = 3;

/// Answers a message.
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

/// Answers a follower at once when there is news, and else after the time that it allows.
async fn on_follow(state: &GatewayState, request: FollowRequest) -> PeerMessage {
    let arrival = state.now();
    state.gossip.merge(request.member.clone(), arrival);
    // What a dispatcher's followers spend comes with its own reports.
    if !request.is_dispatcher {
        state.on_follower(&request.member.host);
    }
    let mut changes = state.knowledge.subscribe();
    let hold = Duration::from_millis(request.wait_millis.into()).min(HOLD_MAX);
    let has_news = |_: &u64| {
        let index = state.knowledge.index();
        let version = index.map(|index| index.config().version());
        let content = state.knowledge.directory().content;
        version > request.config || content != request.content || state.is_stopping()
    };
    // A time-out is the usual end of a quiet wait.
    let _ = tokio::time::timeout(hold, changes.wait_for(has_news)).await;
    let now = state.now();
    let (index, directory) = (state.knowledge.index(), state.knowledge.directory());
    let config = index.map(|index| index.config().clone());
    let config = config.filter(|config| Some(config.version()) > request.config);
    PeerMessage::Gateway(GatewayMessage::FollowAnswer(Box::new(FollowAnswer {
        member: state.gossip.own(),
        held_millis: whole_millis(now.since(arrival)),
        age_millis: state.knowledge.age(now).map(|age| whole_millis(age.get())),
        config: config.map(|config| (*config).clone()),
        as_of: directory.as_of,
        directory: (directory.content != request.content).then(|| (*directory).clone()),
        usage: usage_for(state, &request),
        follower_count: state.follower_count(),
    })))
}

/// Returns what teams have spent, for those that need it: other dispatchers, and the hosts that would take
/// over from this one.
fn usage_for(state: &GatewayState, request: &FollowRequest) -> Vec<TeamUsage> {
    if request.member.zone != state.settings.zone {
        return state.dispatcher.usage();
    }
    let ranked = state.gossip.ranked(&state.settings.zone, state.now());
    let mut heirs = ranked.iter().take(HEIR_COUNT);
    match heirs.any(|heir| heir.host == request.member.host) {
        true => state.dispatcher.total_usage(),
        false => Vec::new(),
    }
}
