//! A store that refuses some hosts and serves others.

use std::time::Duration;

use chicorycroft_adapter::prelude::*;
use chicorycroft_gateway::prelude::*;
use chicorycroft_platform_standin::prelude::*;
use tokio::time::sleep;

use crate::test_gateway::{
    WAIT_TIMEOUT,
    call,
    host_settings,
    open_count,
    start_targets,
    version,
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

/// Starts a host with an address of the store for itself.
async fn start_host(
    store: &StoreStandIn,
    number: usize,
    seed: Option<&GatewayHost>,
) -> (GatewayHost, StoreFront) {
    let front = store.start_front().await.unwrap();
    let seeds = seed.map(|host| host.state().settings.peer_address);
    let settings = GatewaySettings {
        seeds: seeds.into_iter().collect(),
        ..host_settings(&format!("edge-{number}"), front.address())
    };
    let host = GatewayHost::start(settings, GatewayClock::new()).await;
    (host.unwrap(), front)
}

impl HostGroup {
    /// Starts hosts and waits until they know each other and all targets.
    async fn new(host_count: usize, target_count: usize) -> Self {
        let store = StoreStandIn::start().await.unwrap();
        store.put_config(&config(1, &["key-1"]));
        let targets = start_targets(&store, target_count).await;
        let (mut hosts, mut fronts): (Vec<GatewayHost>, Vec<StoreFront>) = (Vec::new(), Vec::new());
        for number in 1..=host_count {
            let (host, front) = start_host(&store, number, hosts.first()).await;
            hosts.push(host);
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

/// Guards against a configuration that comes back older: two hosts hand each other different versions, and the dispatcher
/// has the earlier one.
#[tokio::test]
async fn hosts_with_different_versions_agree_on_the_later_one() {
    let group = HostGroup::new(3, 1).await;
    group.refuse_first(1);
    for number in 2..5 {
        group.store.put_config(&config(number, &["key-1"]));
        wait_until(DRAIN_BOUND, || {
            group.hosts.iter().all(|host| version(host) == number)
        })
        .await;
    }
    sleep(DRAIN_BOUND).await;
    assert!(group.hosts.iter().all(|host| version(host) == 4));
}

/// Guards against a process that restarts between two versions and serves callers by the earlier one.
#[tokio::test]
async fn process_that_restarts_between_two_versions_serves_the_later_one() {
    let mut group = HostGroup::new(2, 1).await;
    let restarting = group.hosts.remove(1);
    restarting.stop().await;
    group.store.put_config(&config(2, &["key-2"]));
    let (host, _front) = start_host(&group.store, 2, group.hosts.first()).await;
    wait_until(WAIT_TIMEOUT, || host.state().is_ready()).await;
    assert_eq!(version(&host), 2);
    let answer = call(host.caller_address(), "GET /look/1", "key-1", "").await;
    assert_eq!(answer.status, 401);
}

/// Guards against thousands of paid calls in an outage of the store, in which every host reads it for itself: followers
/// pause longer after each failed read.
#[tokio::test]
async fn followers_make_few_calls_while_the_store_is_down() {
    let group = HostGroup::new(3, 1).await;
    group.refuse_first(3);
    sleep(NOTICE_TIME).await;
    let before = group.fronts[2].refused_count();
    sleep(NOTICE_TIME).await;
    let calls = group.fronts[2].refused_count() - before;
    // One read a second, and those that the dispatcher asks for now and then.
    assert!(
        calls <= 16,
        "{calls} calls of a follower in {NOTICE_TIME:?}"
    );
}
