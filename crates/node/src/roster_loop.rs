//! Reads the platform's list of hosts.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_placement::prelude::*;
use chicorycroft_platform::prelude::*;
use indexmap::IndexSet;

use crate::{
    config_loop::jitter,
    decision_log::DecisionLine,
    state::HostState, //
};

/// Time between two reads of the list of hosts: 1,700 hosts make 425 reads a second of it. With the
/// spread and the time of a read it stays below the isolation time of 5 s, so that a host that sees
/// the platform and no other host does not count as isolated between two reads.
const ROSTER_PERIOD: Duration = Duration::from_secs(4);

/// Time between two reads while this host is not on the list, as after a start: it owns nothing and
/// knows no region of a host until it is.
const UNLISTED_PERIOD: Duration = Duration::from_millis(500);

/// Hosts that start at once spread their first read over this time; 1,700 hosts then stay below the
/// 2,000 reads a second of the platform.
const START_SPREAD: Duration = Duration::from_secs(1);

/// The last list of hosts.
#[derive(Clone, Debug)]
pub struct HostList {
    hosts: Vec<HostListing>,
    /// When the first list was read.
    pub first_at: MonoTime,
}

impl HostList {
    /// Returns the listed hosts other than `own` that are not leaving.
    pub fn others<'a>(&'a self, own: &'a HostId) -> impl Iterator<Item = &'a HostListing> {
        let hosts = self.hosts.iter();
        hosts.filter(move |host| &host.id != own && !host.is_leaving)
    }
}

/// Reads the list until the task is dropped.
pub async fn read_roster(state: Arc<HostState>, platform: Arc<PlatformClient>) {
    let mut wakes = state.config.wakes();
    let mut backoff = RetryBackoff::new();
    let spread = |pause: Duration| pause.mul_f64(f64::from(jitter(&state)) / f64::from(u16::MAX));
    tokio::time::sleep(spread(START_SPREAD)).await;
    loop {
        let begun = state.clock.mono();
        let hosts = tokio::select! {
            biased;
            // The answer to a question from before a pause says nothing about the time after it.
            _ = wakes.changed() => continue,
            hosts = platform.list_hosts() => hosts,
        };
        let pause = match hosts {
            Ok(hosts) => {
                backoff.on_success();
                let period = match take_roster(&state, hosts, begun) {
                    true => ROSTER_PERIOD,
                    false => UNLISTED_PERIOD,
                };
                // Up to a tenth of the pause spreads hosts that started together.
                period + spread(period / 10)
            }
            Err(error) => {
                DecisionLine::new("roster_unread")
                    .with("error", error)
                    .warn();
                backoff.on_failure(jitter(&state))
            }
        };
        tokio::select! {
            biased;
            _ = wakes.changed() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Takes over a list of hosts. Tells whether this host is on it.
fn take_roster(state: &Arc<HostState>, hosts: Vec<HostListing>, begun: MonoTime) -> bool {
    let now = state.clock.mono();
    state.on_platform();
    let first_at = state.host_list().map_or(now, |list| list.first_at);
    let list = HostList { hosts, first_at };
    let others: Vec<_> = list.others(&state.settings.host).collect();
    let zones: IndexSet<_> = others.iter().map(|host| &host.zone).collect();
    let count = HostCount {
        others: others.len(),
        zones: zones.len(),
        is_fresh: true,
    };
    state
        .config
        .with_follower(|follower| follower.on_host_count(count));
    // Each host reads the list, so that all of them share what the platform allows.
    state.config.call_budget().set_callers(list.hosts.len());
    let entries = list.hosts.iter().map(|host| HostEntry {
        id: host.id.clone(),
        zone: host.zone.clone(),
        address: host.address,
        is_leaving: host.is_leaving,
    });
    state.members.on_roster(HostRoster::new(entries), now);
    let is_listed = list.hosts.iter().any(|host| host.id == state.settings.host);
    state.set_host_list(list);
    take_regions(state);
    if is_listed {
        // The list was asked for after the pause, so that it shows that this host still counts.
        state.owners.on_heartbeat_round(begun);
        state.ledger.fence().resume(now);
    }
    is_listed
}

/// Takes the listed hosts of zones whose region is known into ownership. The regions are in the
/// configuration, so that this is repeated with each new version.
pub fn take_regions(state: &HostState) {
    let (Some(list), Some(view)) = (state.host_list(), state.view()) else {
        return;
    };
    let listed = list.hosts.iter().filter_map(|host| {
        Some(ListedHost {
            id: host.id.clone(),
            zone: host.zone.clone(),
            region: view.snapshot().zone(&host.zone)?.region.clone(),
        })
    });
    state
        .owners
        .on_roster(listed.collect::<Vec<_>>(), state.clock.mono());
}
