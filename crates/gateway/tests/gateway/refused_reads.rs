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

/// Guards against requests to a leaving target for as long as the store refuses the dispatcher of a zone and the host
/// after it: a younger host read the store for itself only, so that the dispatcher went on granting the target.
#[tokio::test]
async fn dispatcher_learns_of_a_leaving_target_from_any_host_that_the_store_serves() {
    let store = StoreStandIn::start().await.unwrap();
    store.put_config(&config(1, &["key-1"]));
    let mut targets = Vec::new();
    for number in 0..6 {
        let target = TargetStandIn::start(&format!("t-{number}")).await.unwrap();
        store.put(&target.key(), &target.entry("rate", "a", "ready"));
        targets.push(target);
    }
    let (mut hosts, mut fronts): (Vec<GatewayHost>, Vec<StoreFront>) = (Vec::new(), Vec::new());
    for number in 1..=4 {
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
    let is_joined = |host: &GatewayHost| host.state().gossip.known_count() == 4;
    wait_until(WAIT_TIMEOUT, || {
        hosts
            .iter()
            .all(|host| is_joined(host) && open_count(host) == 6)
    })
    .await;
    assert!(hosts[0].state().is_dispatcher());
    fronts[0].set_refusing(true);
    fronts[1].set_refusing(true);
    sleep(NOTICE_TIME).await;
    for (number, target) in targets.iter().take(4).enumerate() {
        store.put(&target.key(), &target.entry("rate", "a", "draining"));
        let open_left = targets.len() - number - 1;
        wait_until(DRAIN_BOUND, || open_count(&hosts[0]) == open_left).await;
        // The time to the next read differs from one target to the next.
        sleep(Duration::from_millis(130)).await;
    }
}
