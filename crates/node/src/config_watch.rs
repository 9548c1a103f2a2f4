//! Discovers published versions: the readers of each zone watch the platform, and a host that is
//! not ready queries other hosts.

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
        on_index, //
    },
    decision_log::DecisionLine,
    state::HostState, //
};

/// Period at which a host that is not a reader checks whether it has become one.
const READER_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time for which a new host with listed peers does not read the platform. Heartbeats show within
/// it which hosts are alive and which of them are readers.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Period at which a host that is not ready queries other hosts.
const QUERY_PERIOD: Duration = Duration::from_millis(250);

/// Timeout of a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1000);

/// Number of hosts in each zone that are queried at once.
const QUERIED_PER_ZONE: usize = 2;

/// Returns `true` if this host may read the configuration from the platform.
pub fn may_read_platform(state: &HostState) -> bool {
    if state.view().is_none() {
        let Some(list) = state.host_list() else {
            return false;
        };
        let is_only_host = list.others(&state.settings.host).next().is_none();
        let waited = state.clock.mono().since(list.first_read_at);
        return is_only_host || (waited >= PEER_DISCOVERY_TIME && is_reader(state));
    }
    is_reader(state)
}

/// Returns `true` if this host is one of the readers of its zone. Readers are chosen from the live
/// hosts that can reach the platform, or from all live hosts if none can.
fn is_reader(state: &HostState) -> bool {
    let own = &state.settings.host;
    let zone = &state.settings.zone;
    let now = state.clock.mono();
    let live = state.members.live_hosts();
    let live = live.iter().filter(|host| &host.zone == zone);
    let live: Vec<&HostId> = live.map(|host| &host.id).collect();
    let can_reach = |host: &&&HostId| match **host == own {
        true => state.config.is_platform_recent(now),
        false => state.config.may_reach_platform(host),
    };
    let connected: Vec<&HostId> = live.iter().filter(can_reach).copied().collect();
    let candidates = match connected.is_empty() {
        true => live,
        false => connected,
    };
    ReaderChoice::new(zone, candidates).contains(own)
}

/// Watches the index on the platform while this host is a reader, until the task is dropped.
pub async fn watch(state: Arc<HostState>, platform: Arc<PlatformClient>) {
    let mut pauses = state.config.subscribe_pauses();
    let mut backoff = RetryBackoff::new();
    let mut last_version = ConfigVersion::default();
    loop {
        if !may_read_platform(&state) {
            tokio::select! {
                biased;
                _ = pauses.changed() => last_version = ConfigVersion::default(),
                () = tokio::time::sleep(READER_CHECK_PERIOD) => {}
            }
            continue;
        }
        let answer = tokio::select! {
            biased;
            _ = pauses.changed() => {
                // The current index must be read again, and not only the versions after it.
                last_version = ConfigVersion::default();
                continue;
            }
            answer = platform.wait_newer("index", last_version) => answer,
        };
        match answer {
            Ok(value) => {
                state.on_platform_answer();
                backoff.on_success();
                if let Some(value) = value {
                    last_version = value.version;
                    on_index_value(&state, &value);
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

/// Handles an index that was read from the platform.
fn on_index_value(state: &HostState, value: &PlatformValue) {
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
            .store_document(index.digest(), value.content.clone());
    }
    let summary = IndexSummary {
        version: index.version(),
        digest: index.digest(),
    };
    on_index(state, IndexSource::Platform, summary);
}

/// Queries other hosts for their versions while this host is not ready, until the task is dropped.
pub async fn query_peers(state: Arc<HostState>) {
    let mut pauses = state.config.subscribe_pauses();
    loop {
        if state.readiness() != HostReadiness::Ready {
            for peer in choose_peers(&state) {
                tokio::spawn(query_peer(state.clone(), peer));
            }
        }
        tokio::select! {
            biased;
            _ = pauses.changed() => {}
            () = tokio::time::sleep(QUERY_PERIOD) => {}
        }
    }
}

/// Chooses random hosts of each zone, at most [`QUERIED_PER_ZONE`].
fn choose_peers(state: &HostState) -> Vec<LiveHost> {
    let plan = state.members.plan();
    let mut zones: indexmap::IndexMap<ZoneId, Vec<LiveHost>> = indexmap::IndexMap::new();
    for (host, peer_state) in state.members.states() {
        if plan.contains(&host.id) && peer_state != PeerState::Left {
            zones.entry(host.zone.clone()).or_default().push(host);
        }
    }
    let choose = |mut hosts: Vec<LiveHost>| {
        let count = u64::try_from(hosts.len()).unwrap_or(u64::MAX).max(1);
        let first = usize::try_from(state.random() % count).unwrap_or(0);
        let first = first.min(hosts.len());
        hosts.rotate_left(first);
        hosts.truncate(QUERIED_PER_ZONE);
        hosts
    };
    zones.into_values().flat_map(choose).collect()
}

async fn query_peer(state: Arc<HostState>, peer: LiveHost) {
    let Some(address) = state.members.address_of(&peer.id) else {
        return;
    };
    let pause_count = state.config.pause_count();
    let request = PeerMessage::PartsRequest(PartsRequest {
        have: state.config.summary().map(|summary| summary.version),
        wants: Vec::new(),
    });
    let deadline = Instant::now() + QUERY_TIMEOUT;
    let answer = state.peers.call(address, request, deadline).await;
    // The answer to a query from before a pause may have been buffered during the whole pause.
    if let (Ok(PeerMessage::PartsAnswer(answer)), true) =
        (answer, pause_count == state.config.pause_count())
    {
        let summary = IndexSummary {
            version: answer.version,
            digest: answer.index,
        };
        let source = IndexSource::Peer {
            host: peer.id,
            zone: peer.zone,
        };
        on_index(&state, source, summary);
    }
}
