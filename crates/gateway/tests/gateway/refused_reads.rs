//! A store that refuses some hosts and serves others.

use std::time::Duration;

use chicorycroft_adapter::prelude::*;
use chicorycroft_gateway::prelude::*;
use chicorycroft_platform_standin::prelude::*;
use tokio::time::sleep;

use crate::test_gateway::{
    WAIT_TIMEOUT,
    host_settings,
    open_count,
    wait_until, //
};

/// Time within which the platform wants new requests to a leaving target to end.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Time after which the hosts have noticed that the store refuses some of them.
const NOTICE_TIME: Duration = Duration::from_secs(4);

/// Hosts of one zone, each with an address of the store that can refuse it, and targets.
struct HostGroup {
    store: StoreStandIn,
    targets: Vec<TargetStandIn>,
    /// In the order in which they become dispatchers.
    hosts: Vec<GatewayHost>,
    fronts: Vec<StoreFront>,
}

impl HostGroup {
    /// Starts hosts and waits until they know each other and all targets.
    async fn new(host_count: usize, target_count: usize) -> Self {
        let store = StoreStandIn::start().await.unwrap();
        store.put_config(&config(1, &["key-1"]));
        let mut targets = Vec::new();
        for number in 0..target_count {
            let target = TargetStandIn::start(&format!("t-{number}")).await.unwrap();
            store.put(&target.key(), &target.entry("rate", "a", "ready"));
            targets.push(target);
        }
        let (mut hosts, mut fronts): (Vec<GatewayHost>, Vec<StoreFront>) = (Vec::new(), Vec::new());
        for number in 1..=host_count {
            let front = store.start_front().await.unwrap();
            let first = hosts.first();
            let settings = GatewaySettings {
                seeds: first
                    .map(|host| host.state().settings.peer_address)
                    .into_iter()
                    .collect(),
                ..host_settings(&format!("edge-{number}"), front.address())
            };
            let host = GatewayHost::start(settings, GatewayClock::new()).await;
            hosts.push(host.unwrap());
            fronts.push(front);
            // The order of the starts is the order in which hosts become dispatchers.
            sleep(Duration::from_millis(5)).await;
        }
        let is_joined = |host: &GatewayHost| host.state().gossip.known_count() == host_count;
        wait_until(WAIT_TIMEOUT, || {
            hosts
                .iter()
                .all(|host| is_joined(host) && open_count(host) == target_count)
        })
        .await;
        assert!(hosts[0].state().is_dispatcher());
        Self {
            store,
            targets,
            hosts,
            fronts,
        }
    }

    fn refuse_first(&self, host_count: usize) {
        for front in &self.fronts[..host_count] {
            front.set_refusing(true);
        }
    }

    /// Drains one target after the other and waits each time until the dispatcher knows it.
    async fn drain_targets(&self, count: usize) {
        for target in self.targets.iter().take(count) {
            let open_left = open_count(&self.hosts[0]) - 1;
            let entry = target.entry("rate", "a", "draining");
            self.store.put(&target.key(), &entry);
            wait_until(DRAIN_BOUND, || open_count(&self.hosts[0]) == open_left).await;
            // The time to the next read differs from one target to the next.
            sleep(Duration::from_millis(130)).await;
        }
    }
}

/// Guards against requests to a leaving target for as long as the store refuses the dispatcher of a zone and the host
/// after it: a younger host read the store for itself only, so that the dispatcher went on granting the target.
#[tokio::test]
async fn dispatcher_learns_of_a_leaving_target_from_any_host_that_the_store_serves() {
    let group = HostGroup::new(4, 6).await;
    group.refuse_first(2);
    sleep(NOTICE_TIME).await;
    group.drain_targets(4).await;
}

/// Guards against requests to a leaving target because each host waited for its rank before it read the store, and the
/// dispatcher asked only the first four: the store begins to refuse it and the next five just before the target leaves.
#[tokio::test]
async fn leaving_target_is_dropped_in_time_although_the_first_six_hosts_are_refused() {
    let group = HostGroup::new(8, 2).await;
    group.refuse_first(6);
    group.drain_targets(1).await;
}
