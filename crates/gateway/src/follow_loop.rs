//! Receives updates of the store's contents and tokens of teams from other hosts, by long polling.
//!
//! A host follows the dispatcher of its zone and lends it its unit of the team rates. A dispatcher follows the
//! dispatchers of the other zones, which give tokens for the teams that it is short of, and the next host in rank of its
//! own zone, which would take over from it. A dispatcher that the store does not serve also follows hosts that it asks
//! to read the store.

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
    config_fetch,
    peer_calls::call_member,
    state::GatewayState, //
};

/// Pause before asking a host again whose directory was older than the local one. It would return the same
/// directory immediately; its next one comes with its watch of the store, about every 0.5 s.
const STALE_ANSWER_PAUSE: Duration = Duration::from_millis(200);

/// Long-poll wait between dispatchers and of standbys. It bounds the delay until tokens move to the zone that needs them,
/// and the age of the bucket levels of a standby.
const DISPATCHER_WAIT: Duration = Duration::from_millis(250);

/// Timeout for an answer, in addition to the long-poll wait.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// A host that this one follows.
#[derive(Clone, Debug)]
struct Upstream {
    member: MemberRecord,
    /// Whether it should read the store, because the store does not serve this host.
    is_read_wanted: bool,
}

/// Returns the hosts that this one should follow now.
fn upstreams(state: &GatewayState) -> Vec<Upstream> {
    let now = state.now();
    let own = &state.settings.zone;
    let ranked = state.ranked(own);
    let is_self = |record: &MemberRecord| record.host == state.settings.host;
    let follow = |member| Upstream {
        member,
        is_read_wanted: false,
    };
    if ranked.first().is_some_and(|first| !is_self(first)) {
        return ranked.into_iter().take(1).map(follow).collect();
    }
    let mut upstreams = own_zone_upstreams(state, ranked);
    let mut zones: Vec<ZoneId> = Vec::new();
    for record in state.gossip.records() {
        if record.zone != *own && !zones.contains(&record.zone) {
            zones.push(record.zone);
        }
    }
    for zone in zones {
        let ranked = state.gossip.ranked(&zone, now);
        upstreams.extend(ranked.into_iter().take(1).map(follow));
    }
    upstreams
}

/// Returns the hosts of its zone that a dispatcher follows: the next one in rank, and those that it asks to read the
/// store.
fn own_zone_upstreams(state: &GatewayState, ranked: Vec<MemberRecord>) -> Vec<Upstream> {
    let now = state.now();
    let others: Vec<MemberRecord> = ranked.into_iter().skip(1).collect();
    let names: Vec<HostId> = others.iter().map(|record| record.host.clone()).collect();
    let own = OwnCopy {
        age: state.store_cache.copy_age(now),
        is_store_failing: state.store_cache.is_store_failing(),
    };
    let mut search = state.reader_search();
    if search.update(&names, own, state.change_budget(), now) {
        log::info!(
            "event=readers_asked count={} age={} failing={}",
            search.asked_count(),
            own.age
                .map_or_else(|| "none".to_owned(), |age| age.to_string()),
            own.is_store_failing
        );
    }
    let upstreams = others.into_iter().enumerate();
    let upstreams = upstreams.map(|(rank, member)| {
        let is_read_wanted = search.is_asked(&member.host);
        let upstream = Upstream {
            member,
            is_read_wanted,
        };
        (rank == 0 || is_read_wanted).then_some(upstream)
    });
    upstreams.flatten().collect()
}

/// Runs one task for each host that this one follows, for as long as the process runs.
pub async fn follow(state: Arc<GatewayState>) {
    let mut tasks: IndexMap<(HostId, bool), JoinHandle<()>> = IndexMap::new();
    loop {
        state.store_cache.drop_lapsed(state.now());
        let upstreams = upstreams(&state);
        let key = |upstream: &Upstream| (upstream.member.host.clone(), upstream.is_read_wanted);
        let wanted: Vec<(HostId, bool)> = upstreams.iter().map(key).collect();
        tasks.retain(|running, task| {
            let is_wanted = wanted.contains(running);
            if !is_wanted {
                task.abort();
            }
            is_wanted && !task.is_finished()
        });
        for upstream in upstreams {
            let task_state = state.clone();
            tasks
                .entry(key(&upstream))
                .or_insert_with(|| tokio::spawn(follow_host(task_state, upstream)));
        }
        state.refresh_share();
        tokio::time::sleep(state.change_budget().check_period()).await;
    }
}

async fn follow_host(state: Arc<GatewayState>, upstream: Upstream) {
    let Upstream {
        member,
        is_read_wanted,
    } = upstream;
    let mut is_standby = false;
    let mut fetch_ends = state.config_fetch.subscribe();
    loop {
        fetch_ends.mark_unchanged();
        let is_dispatcher = state.is_dispatcher();
        let wait = match (is_dispatcher || is_standby, is_read_wanted) {
            (_, true) => state.change_budget().ask_wait(),
            (true, false) => DISPATCHER_WAIT,
            (false, false) => state.change_budget().follow_wait(),
        };
        let is_own_zone = member.zone == state.settings.zone;
        let is_lending = is_own_zone && !is_dispatcher && !is_read_wanted;
        let lease = (is_lending && state.rates.try_lend(&member, state.now()))
            .then(|| whole_millis(LEASE_TERM));
        let short_teams = match is_dispatcher && !is_own_zone {
            true => state.dispatcher.teams().shortages(state.now()),
            false => Vec::new(),
        };
        let (directory, positions) = state.store_cache.shared_directory();
        let transfer = state.transfer_state();
        let request = FollowRequest {
            member: state.gossip.own(),
            config: transfer.base.map(|base| base.version),
            content: directory.content,
            positions,
            wait_millis: whole_millis(wait),
            is_read_wanted,
            is_dispatcher,
            lease_millis: lease,
            short_teams,
            served: state.store_cache.served_span(state.now()),
            era: state.store_cache.era_sighting(state.now()),
            transfer: Some(transfer),
        };
        let sent_at = state.now();
        let message = GatewayMessage::Follow(request);
        let answer = call_member(&state, &member, message, wait + ANSWER_LIMIT);
        let answer = tokio::select! {
            answer = answer => answer,
            // The next poll tells that this host can send the configuration to others. One of a dispatcher is not given up,
            // as its answer may hold tokens.
            _ = fetch_ends.changed(), if !is_dispatcher => continue,
        };
        match answer {
            Ok(GatewayMessage::FollowAnswer(answer)) => {
                is_standby = answer.levels.is_some();
                let is_leaving = answer.member.is_leaving;
                let stated = StatedCopy {
                    base: transfer.base,
                    content: directory.content,
                    sent_at,
                };
                if !apply_answer(&state, *answer, stated) {
                    tokio::time::sleep(STALE_ANSWER_PAUSE).await;
                }
                // A host that leaves answers at once until this one follows another.
                if is_leaving {
                    tokio::time::sleep(FAILURE_PAUSE).await;
                }
            }
            Ok(_) => {
                log::warn!("event=peer_answer_unexpected host={}", member.host);
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
            // `call_member` has logged the loss of the host.
            Err(_) => tokio::time::sleep(FAILURE_PAUSE).await,
        }
    }
}

/// The copy that this host stated in a request.
#[derive(Clone, Copy, Debug)]
struct StatedCopy {
    base: Option<ConfigBase>,
    content: ContentDigest,
    sent_at: MonoTime,
}

/// Adopts the configuration of an answer, or begins to fetch it. Returns `false` if it does not fit the one in force.
fn apply_config(
    state: &Arc<GatewayState>,
    update: ConfigUpdate,
    base: Option<ConfigBase>,
    host: &HostId,
) -> bool {
    // Another host may have sent the same change meanwhile.
    let is_base = state.store_cache.config_base() == base;
    match update {
        ConfigUpdate::Image(_) | ConfigUpdate::Offered(_) if !is_base => true,
        ConfigUpdate::Same => true,
        ConfigUpdate::Whole(config) => {
            state.store_cache.adopt_config(*config, host.as_str());
            true
        }
        ConfigUpdate::Image(bytes) => {
            let image = ConfigImage::new(bytes);
            let adopted = config_fetch::adopt_image(state, base, image, host);
            if let Err(error) = &adopted {
                log::warn!("event=config_image_refused from={host} error=\"{error}\"");
            }
            adopted.is_ok()
        }
        ConfigUpdate::Offered(offer) => {
            config_fetch::start(state, base, offer);
            true
        }
    }
}

/// Applies an answer from a followed host. Returns `false` if its configuration does not fit the local one, or its
/// directory was rejected as older than the local one.
fn apply_answer(state: &Arc<GatewayState>, answer: FollowAnswer, stated: StatedCopy) -> bool {
    let StatedCopy {
        base,
        content,
        sent_at,
    } = stated;
    let now = state.now();
    let host = answer.member.host.clone();
    state.gossip.on_answer(&host, now);
    state.on_record(answer.member.clone(), now);
    let fits = apply_config(state, answer.config, base, &host);
    let has_config = state.store_cache.config_version() >= answer.config_version;
    if !has_config || answer.is_reading {
        state.store_cache.on_later_config(now);
    }
    // The answer was created after `held_millis` on the other host, so not earlier than this time here.
    let created_at = sent_at.after(Duration::from_millis(answer.held_millis.into()));
    let latest = answer.positions.latest();
    state.store_cache.on_era_sighting(answer.era, latest, now);
    // An outage that was none must not decide which entries of the directory count.
    if let Some(span) = answer.served {
        state.store_cache.on_served(span, created_at, &host, now);
    }
    let is_from_upstream = !state.is_dispatcher();
    let cache = &state.store_cache;
    let adopt =
        |directory| cache.adopt_directory(directory, answer.positions, is_from_upstream, now);
    let is_current = match answer.directory {
        DirectoryUpdate::Replaced(directory) => adopt(directory),
        DirectoryUpdate::Changed(delta) => match delta.apply(&cache.shared_directory().0) {
            Some(directory) => adopt(directory),
            // The directory of this host has changed since the request. The next request states the new content.
            None => return fits,
        },
        DirectoryUpdate::Same => {
            cache.on_same_directory(content, answer.positions, now);
            true
        }
        // The other host has waited for a later state before it answered.
        DirectoryUpdate::Older => true,
    };
    let (_, own_positions) = cache.shared_directory();
    let ages = [
        (StorePart::Operator, answer.age_millis),
        (StorePart::Targets, answer.target_age_millis),
    ];
    for (part, age) in ages {
        // A copy without the configuration that the other host has is older than that of the other host.
        let is_as_recent = own_positions.part(part) >= answer.positions.part(part)
            && (has_config || part != StorePart::Operator);
        if let Some(age) = age.filter(|_| is_as_recent) {
            let age = ContactAge::new(Duration::from_millis(age.into()));
            cache.confirm_aged(part, age, created_at);
        }
    }
    if answer.is_served {
        state.reader_search().on_served(&host, now);
    }
    let is_own_zone = answer.member.zone == state.settings.zone;
    state.rates.on_tokens(&[], &answer.given_tokens);
    state.dispatcher.teams().receive(&answer.given_tokens);
    state
        .metrics
        .on_tokens_moved("received", &answer.given_tokens);
    if is_own_zone && !state.is_dispatcher() {
        state.rates.on_size(answer.fleet_size, now);
    }
    if let Some(levels) = answer.levels.filter(|_| !state.is_dispatcher()) {
        state.dispatcher.teams().copy_levels(&levels, now);
        state.rates.on_copy(&answer.member, levels.share, now);
    }
    fits && is_current
}
