//! Follows other hosts.
//!
//! A host follows the dispatcher of its zone. A dispatcher follows those of the other zones, for what
//! teams have spent there, and the next host of its own zone, which reads the store when the dispatcher
//! cannot.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use indexmap::IndexMap;
use tokio::task::JoinHandle;

use crate::{
    peer_calls::call_member,
    state::{
        DispatcherReport,
        GatewayState, //
    },
};

/// Pause before a host is asked again that told a directory which is behind: it would tell the same one at once,
/// and its next one comes with the pace of its watch, 0.5 s.
const BEHIND_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a dispatcher holds an answer to a follower back while nothing changes.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);

/// The same between dispatchers. What a team spends in one zone is known in the others after this time.
const DISPATCHER_WAIT: Duration = Duration::from_millis(250);

/// Time beyond the wait in which an answer must come.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Time between looks at whom to follow.
const LOOK_PERIOD: Duration = Duration::from_millis(200);

/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Returns the hosts that this one follows now.
fn leaders(state: &GatewayState) -> Vec<MemberRecord> {
    let now = state.now();
    let own = &state.settings.zone;
    let ranked = state.gossip.ranked(own, now);
    let is_self = |record: &MemberRecord| record.host == state.settings.host;
    if ranked.first().is_some_and(|first| !is_self(first)) {
        return ranked.into_iter().take(1).collect();
    }
    let mut leaders: Vec<MemberRecord> = ranked.into_iter().skip(1).take(1).collect();
    let mut zones: Vec<ZoneId> = Vec::new();
    for record in state.gossip.records() {
        if record.zone != *own && !zones.contains(&record.zone) {
            zones.push(record.zone);
        }
    }
    for zone in zones {
        leaders.extend(state.gossip.ranked(&zone, now).into_iter().take(1));
    }
    leaders
}

/// Keeps one task for each host that is to be followed.
pub async fn follow(state: Arc<GatewayState>) {
    let mut tasks: IndexMap<HostId, JoinHandle<()>> = IndexMap::new();
    loop {
        let leaders = leaders(&state);
        tasks.retain(|host, task| {
            let is_wanted = leaders.iter().any(|leader| leader.host == *host);
            if !is_wanted {
                task.abort();
            }
            is_wanted && !task.is_finished()
        });
        for leader in leaders {
            let host = leader.host.clone();
            let task_state = state.clone();
            tasks
                .entry(host)
                .or_insert_with(|| tokio::spawn(follow_one(task_state, leader)));
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
}

async fn follow_one(state: Arc<GatewayState>, leader: MemberRecord) {
    loop {
        let is_dispatcher = state.is_dispatcher();
        let wait = match is_dispatcher {
            true => DISPATCHER_WAIT,
            false => FOLLOW_WAIT,
        };
        let index = state.knowledge.index();
        let request = FollowRequest {
            member: state.gossip.own(),
            config: index.map(|index| index.config().version()),
            content: state.knowledge.directory().content,
            wait_millis: whole_millis(wait),
            is_dispatcher,
        };
        let sent_at = state.now();
        let message = GatewayMessage::Follow(request);
        match call_member(&state, &leader, message, wait + ANSWER_LIMIT).await {
            Ok(GatewayMessage::FollowAnswer(news)) => {
                if !take(&state, *news, sent_at) {
                    tokio::time::sleep(BEHIND_PAUSE).await;
                }
            }
            Ok(_) => {
                log::warn!("event=peer_answer_unexpected host={}", leader.host);
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
            // The loss has been logged.
            Err(_) => tokio::time::sleep(FAILURE_PAUSE).await,
        }
    }
}

/// Takes what a host tells; returns whether its directory is of use here.
fn take(state: &GatewayState, news: FollowAnswer, sent_at: MonoTime) -> bool {
    let now = state.now();
    let host = news.member.host.clone();
    state.gossip.on_answer(&host, now);
    state.gossip.merge(news.member.clone(), now);
    if let Some(config) = news.config {
        state.knowledge.adopt_config(config, host.as_str());
    }
    let is_of_use = match news.directory {
        Some(directory) => {
            let is_followed = !state.is_dispatcher();
            state.knowledge.adopt_directory(directory, is_followed)
        }
        None => {
            state.knowledge.on_same_directory(news.as_of);
            true
        }
    };
    if let Some(age) = news.age_millis {
        // The answer was made at least the held time after the request was sent.
        let made_at = sent_at.after(Duration::from_millis(news.held_millis.into()));
        let age = ContactAge::new(Duration::from_millis(age.into()));
        state.knowledge.confirm_aged(age, made_at);
    }
    let incarnation = news.member.incarnation;
    let is_own_zone = news.member.zone == state.settings.zone;
    let is_heir = !state.is_dispatcher();
    if is_heir || !is_own_zone {
        state
            .dispatcher
            .on_usage(&host, incarnation, &news.usage, now);
    }
    if !is_own_zone {
        let host_count = news.follower_count + 1;
        state.on_report(
            &host,
            DispatcherReport {
                at: now,
                host_count,
            },
        );
    }
    is_of_use
}
