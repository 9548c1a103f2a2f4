//! Receives updates of the store's contents and of team usage from other hosts, by long polling.
//!
//! A host follows the dispatcher of its zone. A dispatcher follows the dispatchers of the other zones, for
//! the team usage there, and the next host in rank of its own zone, which reads the store if the dispatcher
//! cannot. The store may refuse that host too, so a dispatcher whose calls fail follows several of the next hosts.

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

/// Pause before asking a host again whose directory was older than the local one. It would return the same
/// directory immediately; its next one comes with its watch of the store, about every 0.5 s.
const STALE_ANSWER_PAUSE: Duration = Duration::from_millis(200);

/// Long-poll wait of a follower: time for which the other host delays its answer while nothing changes.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);

/// Long-poll wait between dispatchers. It bounds the delay until the other zones learn what a team has spent.
const DISPATCHER_WAIT: Duration = Duration::from_millis(250);

/// Timeout for an answer, in addition to the long-poll wait.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Interval at which the set of followed hosts is updated.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Number of hosts of its zone that a dispatcher follows while its calls to the store fail. If the store refuses half
/// of all hosts, it refuses all four in one zone of 16.
const STORE_READERS_FOLLOWED: usize = 4;

/// Returns the hosts that this one should follow now.
fn upstreams(state: &GatewayState) -> Vec<MemberRecord> {
    let now = state.now();
    let own = &state.settings.zone;
    let ranked = state.gossip.ranked(own, now);
    let is_self = |record: &MemberRecord| record.host == state.settings.host;
    if ranked.first().is_some_and(|first| !is_self(first)) {
        return ranked.into_iter().take(1).collect();
    }
    let own_zone_count = match state.store_cache.is_store_failing() {
        true => STORE_READERS_FOLLOWED,
        false => 1,
    };
    let next_in_rank = ranked.into_iter().skip(1);
    let mut upstreams: Vec<MemberRecord> = next_in_rank.take(own_zone_count).collect();
    let mut zones: Vec<ZoneId> = Vec::new();
    for record in state.gossip.records() {
        if record.zone != *own && !zones.contains(&record.zone) {
            zones.push(record.zone);
        }
    }
    for zone in zones {
        upstreams.extend(state.gossip.ranked(&zone, now).into_iter().take(1));
    }
    upstreams
}

/// Runs one task for each host that this one follows, for as long as the process runs.
pub async fn follow(state: Arc<GatewayState>) {
    let mut tasks: IndexMap<HostId, JoinHandle<()>> = IndexMap::new();
    loop {
        let upstreams = upstreams(&state);
        tasks.retain(|host, task| {
            let is_wanted = upstreams.iter().any(|upstream| upstream.host == *host);
            if !is_wanted {
                task.abort();
            }
            is_wanted && !task.is_finished()
        });
        for upstream in upstreams {
            let host = upstream.host.clone();
            let task_state = state.clone();
            tasks
                .entry(host)
                .or_insert_with(|| tokio::spawn(follow_host(task_state, upstream)));
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

async fn follow_host(state: Arc<GatewayState>, upstream: MemberRecord) {
    loop {
        let is_dispatcher = state.is_dispatcher();
        let wait = match is_dispatcher {
            true => DISPATCHER_WAIT,
            false => FOLLOW_WAIT,
        };
        let index = state.store_cache.index();
        let (directory, revisions) = state.store_cache.directory_with_revisions();
        let request = FollowRequest {
            member: state.gossip.own(),
            config: index.map(|index| index.config().version()),
            content: directory.content,
            revisions,
            wait_millis: whole_millis(wait),
            is_dispatcher,
        };
        let sent_at = state.now();
        let message = GatewayMessage::Follow(request);
        match call_member(&state, &upstream, message, wait + ANSWER_LIMIT).await {
            Ok(GatewayMessage::FollowAnswer(answer)) => {
                if !apply_answer(&state, *answer, sent_at) {
                    tokio::time::sleep(STALE_ANSWER_PAUSE).await;
                }
            }
            Ok(_) => {
                log::warn!("event=peer_answer_unexpected host={}", upstream.host);
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
            // `call_member` has logged the loss of the host.
            Err(_) => tokio::time::sleep(FAILURE_PAUSE).await,
        }
    }
}

/// Applies an answer from a followed host. Returns `false` if its directory was rejected as older than the
/// local one.
fn apply_answer(state: &GatewayState, answer: FollowAnswer, sent_at: MonoTime) -> bool {
    let now = state.now();
    let host = answer.member.host.clone();
    state.gossip.on_answer(&host, now);
    state.gossip.merge(answer.member.clone(), now);
    if let Some(config) = answer.config {
        state.store_cache.adopt_config(config, host.as_str());
    }
    let is_current = match answer.directory {
        DirectoryUpdate::Replaced(directory) => {
            let is_from_upstream = !state.is_dispatcher();
            let cache = &state.store_cache;
            cache.adopt_directory(directory, answer.revisions, is_from_upstream)
        }
        DirectoryUpdate::Same => {
            state.store_cache.on_same_directory(answer.revisions);
            true
        }
        // The other host has waited for a later state before it answered.
        DirectoryUpdate::Older => true,
    };
    // The answer was created after `held_millis` on the other host, so not earlier than this time here.
    let created_at = sent_at.after(Duration::from_millis(answer.held_millis.into()));
    // What this host has is as recent as what the other one has in both parts.
    let ages = [
        (StorePart::Operator, answer.age_millis),
        (StorePart::Targets, answer.target_age_millis),
    ];
    for (part, age) in ages {
        if let Some(age) = age {
            let age = ContactAge::new(Duration::from_millis(age.into()));
            state.store_cache.confirm_aged(part, age, created_at);
        }
    }
    let incarnation = answer.member.incarnation;
    let is_own_zone = answer.member.zone == state.settings.zone;
    let is_follower = !state.is_dispatcher();
    if is_follower || !is_own_zone {
        state
            .dispatcher
            .on_usage(&host, incarnation, &answer.usage, now);
    }
    if !is_own_zone {
        let host_count = answer.follower_count + 1;
        state.on_report(
            &host,
            DispatcherReport {
                at: now,
                host_count,
            },
        );
    }
    is_current
}
