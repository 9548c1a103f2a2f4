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

/// Period at which the list of hosts is read: 1,700 hosts send 425 reads a second. Together with
/// the jitter and the duration of a read it stays below the isolation time of 5 s, so that a host
/// that reaches the platform and no other host does not count as isolated between two reads.
const ROSTER_PERIOD: Duration = Duration::from_secs(4);

/// Read period while this host is not on the list, as after a start: until it is listed, it owns no
/// targets and knows no host's region.
const UNLISTED_PERIOD: Duration = Duration::from_millis(500);

/// Time over which the first read is spread. 1,700 hosts that start together then stay below the
/// platform's limit of 2,000 reads a second.
const START_SPREAD: Duration = Duration::from_secs(1);

/// The list of hosts that was last read from the platform.
#[derive(Clone, Debug)]
pub struct HostList {
    hosts: Vec<HostListing>,
    /// Time at which the first list was read.
    pub first_read_at: MonoTime,
}

impl HostList {
    /// Returns the listed hosts other than `own` that are not leaving the fleet.
    pub fn others<'a>(&'a self, own: &'a HostId) -> impl Iterator<Item = &'a HostListing> {
        let hosts = self.hosts.iter();
        hosts.filter(move |host| &host.id != own && !host.is_leaving)
    }
}

/// Reads the list of hosts periodically until the task is dropped.
pub async fn read_roster(state: Arc<HostState>, platform: Arc<PlatformClient>) {
    let mut pauses = state.config.subscribe_pauses();
    let mut backoff = RetryBackoff::new();
    let spread = |pause: Duration| pause.mul_f64(f64::from(jitter(&state)) / f64::from(u16::MAX));
    tokio::time::sleep(spread(START_SPREAD)).await;
    loop {
        let requested_at = state.clock.mono();
        let hosts = tokio::select! {
            biased;
            // An answer to a read from before a pause is stale after it.
            _ = pauses.changed() => continue,
            hosts = platform.list_hosts() => hosts,
        };
        let pause = match hosts {
            Ok(hosts) => {
                backoff.on_success();
                let period = match apply_roster(&state, hosts, requested_at) {
                    true => ROSTER_PERIOD,
                    false => UNLISTED_PERIOD,
                };
                // Jitter of up to a tenth of the period spreads hosts that started together.
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
            _ = pauses.changed() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Applies a list of hosts. Returns `true` if this host is on it.
fn apply_roster(state: &Arc<HostState>, hosts: Vec<HostListing>, requested_at: MonoTime) -> bool {
    let now = state.clock.mono();
    state.on_platform_answer();
    let first_read_at = state.host_list().map_or(now, |list| list.first_read_at);
    let list = HostList {
        hosts,
        first_read_at,
    };
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
    // All listed hosts call the platform and share its limit.
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
    apply_regions(state);
    if is_listed {
        // The list was requested after any pause, so that it proves that this host is still a member.
        state.owners.on_heartbeat_round(requested_at);
        state.ledger.fence().resume(now);
    }
    is_listed
}

/// Passes the listed hosts to the owner table if the region of their zone is known. The
/// configuration contains the regions, so that this is repeated for each new version.
pub fn apply_regions(state: &HostState) {
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
