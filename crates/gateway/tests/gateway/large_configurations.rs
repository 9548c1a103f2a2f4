//! Configurations with many routes, on links that they fill.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_gateway::prelude::*;
use chicorycroft_platform_standin::prelude::*;
use tokio::{
    net::TcpListener,
    time::sleep, //
};

use crate::{
    slow_link::start_slow_link,
    test_gateway::{
        WAIT_TIMEOUT,
        call,
        host_settings,
        version,
        wait_until, //
    },
};

/// Hosts that follow the dispatcher.
const FOLLOWERS: usize = 16;

/// Rate of the links between hosts, in bytes per second.
const PEER_LINK_RATE: u64 = 500_000;

/// Rate of the link from the store, in bytes per second: that of the smallest hosts, 10 Mbit/s.
const STORE_LINK_RATE: u64 = 1_250_000;

/// Bound for changes in a deployment with hosts of that size.
const LARGE_CHANGE_BOUND: Duration = Duration::from_millis(2500);

/// Returns a free port of this machine.
async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Starts a host whose answers to other hosts pass a slow link.
async fn start_host(name: &str, store: SocketAddr, seeds: Vec<SocketAddr>) -> GatewayHost {
    let peer_listen = free_address().await;
    let settings = GatewaySettings {
        seeds,
        peer_listen,
        peer_address: start_slow_link(peer_listen, PEER_LINK_RATE).await,
        ..host_settings(name, store)
    };
    let host = GatewayHost::start(settings, GatewayClock::new());
    host.await.unwrap()
}

/// Starts a dispatcher and its followers, and waits until all follow it.
async fn start_fleet(store: &StoreStandIn) -> Vec<GatewayHost> {
    let first = start_host("edge-00", store.address(), Vec::new()).await;
    wait_until(WAIT_TIMEOUT, || first.state().is_ready()).await;
    let seed = first.state().settings.peer_address;
    let mut hosts = vec![first];
    for number in 1..=FOLLOWERS {
        let name = format!("edge-{number:02}");
        hosts.push(start_host(&name, store.address(), vec![seed]).await);
    }
    let is_following = |host: &GatewayHost| {
        let dispatcher = host.state().remote_dispatcher();
        let dispatcher = dispatcher.map(|member| member.host);
        version(host) == 1
            && dispatcher.as_ref() == Some(&hosts[0].state().settings.host)
            && host.state().gossip.known_count() == hosts.len()
    };
    wait_until(WAIT_TIMEOUT, || hosts[1..].iter().all(is_following)).await;
    hosts
}

/// Guards against routes that are added and not served in time, and against hosts that take their dispatcher for lost:
/// it sent the whole configuration to each follower at once, and permits waited behind it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_configuration_fills_no_link_between_hosts() {
    let store = StoreStandIn::start().await.unwrap();
    store.put_config(&config(1, &["key-1"]));
    let hosts = start_fleet(&store).await;
    let mut changed = config_with_added_routes(3, &["key-1"], 1400);
    changed["routes"]["look"]["timeoutS"] = 2.into();
    for (number, document) in [
        (2, config_with_added_routes(2, &["key-1"], 1400)),
        (3, changed),
    ] {
        store.put_config(&document);
        let bound = hosts[0].state().settings.change_bound;
        wait_until(bound, || hosts.iter().all(|host| version(host) == number)).await;
        for host in &hosts[1..] {
            let dispatcher = host.state().remote_dispatcher();
            let dispatcher = dispatcher.map(|member| member.host);
            let expected = &hosts[0].state().settings.host;
            assert_eq!(dispatcher.as_ref(), Some(expected), "version {number}");
        }
    }
    let line = format!("GET {}x", added_prefix(1399));
    for host in &hosts {
        // No target is registered; a route that is not known would be answered with 404.
        let answer = call(host.caller_address(), &line, "", "").await;
        assert_eq!(answer.status, 503);
    }
}

/// Guards against a configuration that a host with a small link never reads: the answer takes longer than the time after
/// which it counted as overdue, so that it was asked for again beside the first one, and then given up.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn configuration_that_takes_long_to_arrive_is_in_force_in_time() {
    let store = StoreStandIn::start().await.unwrap();
    store.put_config(&config(1, &["key-1"]));
    let link = start_slow_link(store.address(), STORE_LINK_RATE).await;
    let settings = GatewaySettings {
        change_bound: LARGE_CHANGE_BOUND,
        ..host_settings("edge-2", link)
    };
    let host = GatewayHost::start(settings, GatewayClock::new());
    let host = host.await.unwrap();
    wait_until(WAIT_TIMEOUT, || version(&host) == 1).await;
    let document = config_with_added_routes(2, &["key-1"], 5500);
    // The platform's store holds values of up to 1 MiB.
    let length = document.to_string().len();
    assert!((1_000_000..1 << 20).contains(&length), "{length} bytes");
    store.put_config(&document);
    let cache = &host.state().store_cache;
    wait_until(LARGE_CHANGE_BOUND, || {
        assert!(!cache.is_store_failing(), "the call was made again");
        version(&host) == 2
    })
    .await;
    // The copy is confirmed again once the long answer has arrived.
    sleep(LARGE_CHANGE_BOUND / 2).await;
    let age = cache.age(host.state().now()).unwrap();
    assert!(age.get() < LARGE_CHANGE_BOUND / 2, "age {age}");
}
