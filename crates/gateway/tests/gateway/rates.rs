//! Rates of teams over several hosts.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_gateway::prelude::*;
use chicorycroft_platform_standin::prelude::*;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::test_gateway::{
    TestGateway,
    call,
    host_settings,
    version,
    wait_until, //
};

/// Time after the start by which a host has heard of all others.
const STARTED_AFTER: Duration = Duration::from_millis(3500);

/// Guards against hosts that each use the whole rate of every team, because all their seeds are down and none of them
/// knows of another host.
#[tokio::test]
async fn host_that_knows_nobody_uses_one_unit() {
    let store = StoreStandIn::start().await.unwrap();
    // Nothing listens at the discard port of the loopback.
    let down: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let settings = GatewaySettings {
        seeds: vec![down],
        ..host_settings("edge-1", store.address())
    };
    let host = GatewayHost::start(settings, GatewayClock::new())
        .await
        .unwrap();
    sleep(STARTED_AFTER).await;
    let share = host.state().share().fraction;
    assert!(
        share <= CapacityRatio::from_mille(1000 / 32),
        "share {share} of the rates"
    );
}

/// Guards against refusals within the rate while the dispatcher of a zone stops: its followers and the bucket levels of
/// the teams were unknown to the next one.
#[tokio::test]
async fn planned_stop_of_the_dispatcher_refuses_nothing_within_the_rate() {
    let gateway = TestGateway::new(8).await;
    gateway
        .store
        .put_config(&config_with_rate(2, &["key-1"], 60.0));
    gateway.wait_until(|host| version(host) == 2).await;
    let mut others = Vec::new();
    for number in 2..6 {
        others.push(gateway.start_follower(&format!("edge-{number}")).await);
    }
    let whole = CapacityRatio::from_mille(900);
    wait_until(Duration::from_secs(8), || {
        gateway.host.state().share().fraction >= whole
            && others.iter().all(|host| version(host) == 2)
    })
    .await;
    sleep(STARTED_AFTER).await;
    let (mut calls, start) = (tokio::task::JoinSet::new(), Instant::now());
    let mut stop = Some(gateway.host);
    // Half of the rate, so that a slow machine does not send a backlog of more than the burst.
    while start.elapsed() < Duration::from_secs(5) {
        let address = others[calls.len() % others.len()].caller_address();
        calls.spawn(async move { call(address, "POST /buy/1", "key-1", "x").await.status });
        if start.elapsed() > Duration::from_secs(1)
            && let Some(host) = stop.take()
        {
            tokio::spawn(host.stop());
        }
        sleep(Duration::from_millis(33)).await;
    }
    let answers = calls.join_all().await;
    let refused = answers.iter().filter(|status| **status == 429).count();
    assert_eq!(refused, 0, "refused requests of {}", answers.len());
}
