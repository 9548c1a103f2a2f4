//! Learns of published versions: readers watch the platform, and a host that is not ready asks
//! other hosts.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_border::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_membership::{
    peer_state::PeerState,
    prelude::*, //
};
use chicorycroft_peer::prelude::*;
use chicorycroft_platform::prelude::*;
use smol_str::format_smolstr;
use tokio::time::Instant;

use crate::{
    config_fetch::{
        ConfigError,
        text_of, //
    },
    config_loop::{
        jitter,
        take_index, //
    },
    decision_log::DecisionLine,
    state::HostState, //
};

/// Time between two checks of whether this host reads the platform.
const ROLE_PERIOD: Duration = Duration::from_millis(250);

/// Time for which a new host that knows others leaves the platform to them. Heartbeats show within
/// it which hosts live and which are readers.
const HEAD_START: Duration = Duration::from_secs(1);

/// Time between two rounds of questions of a host that is not ready.
const ASK_PERIOD: Duration = Duration::from_millis(250);

/// Longest time for the answer to a question.
const ASK_WAIT: Duration = Duration::from_millis(1000);

/// Hosts of each zone that are asked.
const ASKED_PER_ZONE: usize = 2;

/// Tells whether this host may read the configuration from the platform.
pub fn may_read(state: &HostState) -> bool {
    if state.view().is_none() {
        let Some(list) = state.host_list() else {
            return false;
        };
        let is_alone = list.others(&state.settings.host).next().is_none();
        let waited = state.clock.mono().since(list.first_at);
        return is_alone || (waited >= HEAD_START && is_reader(state));
    }
    is_reader(state)
}

/// Tells whether this host is one of the readers of its zone: among the live hosts that reach the
/// platform, or among all live hosts when none does.
fn is_reader(state: &HostState) -> bool {
    let own = &state.settings.host;
    let zone = &state.settings.zone;
    let now = state.clock.mono();
    let live = state.members.live_hosts();
    let live = live.iter().filter(|host| &host.zone == zone);
    let live: Vec<&HostId> = live.map(|host| &host.id).collect();
    let reaches = |host: &&&HostId| match **host == own {
        true => state.config.is_platform_recent(now),
        false => state.config.may_reach_platform(host),
    };
    let reaching: Vec<&HostId> = live.iter().filter(reaches).copied().collect();
    let candidates = match reaching.is_empty() {
        true => live,
        false => reaching,
    };
    ReaderChoice::new(zone, candidates).contains(own)
}

/// Watches the index on the platform while this host is a reader, until the task is dropped.
pub async fn watch(state: Arc<HostState>, platform: Arc<PlatformClient>) {
    let mut wakes = state.config.wakes();
    let mut backoff = RetryBackoff::new();
    let mut seen = ConfigVersion::default();
    loop {
        if !may_read(&state) {
            tokio::select! {
                biased;
                _ = wakes.changed() => seen = ConfigVersion::default(),
                () = tokio::time::sleep(ROLE_PERIOD) => {}
            }
            continue;
        }
        let answer = tokio::select! {
            biased;
            _ = wakes.changed() => {
                // What is in force is to be read anew, and not only what follows.
                seen = ConfigVersion::default();
                continue;
            }
            answer = platform.wait_newer("index", seen) => answer,
        };
        match answer {
            Ok(value) => {
                state.on_platform();
                backoff.on_success();
                if let Some(value) = value {
                    seen = value.version;
                    take_value(&state, &value);
                }
            }
            Err(error) => {
                DecisionLine::new("index_unread")
                    .with("error", error)
                    .warn();
                tokio::time::sleep(backoff.on_failure(jitter(&state))).await;
            }
        }
    }
}

/// Takes the index as the platform has it.
fn take_value(state: &HostState, value: &PlatformValue) {
    let index = text_of("index", &value.content)
        .and_then(|text| ConfigIndex::new(&text).map_err(ConfigError::from));
    let index = match index {
        Ok(index) => index,
        Err(error) => {
            DecisionLine::new("config_refused")
                .with("error", &error)
                .warn();
            state.set_refused_version(Some(format_smolstr!("{error}")));
            return;
        }
    };
    let in_force = state.config.summary().map(|summary| summary.version);
    if in_force < Some(index.version()) {
        state
            .config
            .keep_document(index.digest(), value.content.clone());
    }
    let summary = IndexSummary {
        version: index.version(),
        digest: index.digest(),
    };
    take_index(state, IndexSource::Platform, summary);
}

/// Asks other hosts for their versions while this host is not ready, until the task is dropped.
pub async fn ask_peers(state: Arc<HostState>) {
    let mut wakes = state.config.wakes();
    loop {
        if state.readiness() != HostReadiness::Ready {
            for peer in hosts_to_ask(&state) {
                tokio::spawn(ask(state.clone(), peer));
            }
        }
        tokio::select! {
            biased;
            _ = wakes.changed() => {}
            () = tokio::time::sleep(ASK_PERIOD) => {}
        }
    }
}

/// Chooses hosts of each zone at random.
fn hosts_to_ask(state: &HostState) -> Vec<LiveHost> {
    let plan = state.members.plan();
    let mut zones: indexmap::IndexMap<ZoneId, Vec<LiveHost>> = indexmap::IndexMap::new();
    for (host, standing) in state.members.states() {
        if plan.contains(&host.id) && standing != PeerState::Left {
            zones.entry(host.zone.clone()).or_default().push(host);
        }
    }
    let choose = |mut hosts: Vec<LiveHost>| {
        let count = u64::try_from(hosts.len()).unwrap_or(u64::MAX).max(1);
        let first = usize::try_from(state.random() % count).unwrap_or(0);
        let first = first.min(hosts.len());
        hosts.rotate_left(first);
        hosts.truncate(ASKED_PER_ZONE);
        hosts
    };
    zones.into_values().flat_map(choose).collect()
}

async fn ask(state: Arc<HostState>, peer: LiveHost) {
    let Some(address) = state.members.address_of(&peer.id) else {
        return;
    };
    let wakes = state.config.wake_count();
    let request = PeerMessage::PartsRequest(PartsRequest {
        have: state.config.summary().map(|summary| summary.version),
        wants: Vec::new(),
    });
    let deadline = Instant::now() + ASK_WAIT;
    let answer = state.peers.call(address, request, deadline).await;
    // An answer to a question from before a pause may have waited here for all of it.
    if let (Ok(PeerMessage::PartsAnswer(answer)), true) =
        (answer, wakes == state.config.wake_count())
    {
        let summary = IndexSummary {
            version: answer.version,
            digest: answer.index,
        };
        let source = IndexSource::Peer {
            host: peer.id,
            zone: peer.zone,
        };
        take_index(&state, source, summary);
    }
}
