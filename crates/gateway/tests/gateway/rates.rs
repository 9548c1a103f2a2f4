//! Rates of teams over several hosts.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_gateway::prelude::*;
use chicorycroft_platform_standin::prelude::*;
use tokio::{
    task::JoinSet,
    time::{
        Instant,
        sleep, //
    },
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

/// How a dispatcher ends.
#[derive(Clone, Copy)]
enum DispatcherEnd {
    PlannedStop,
    /// Its tasks end and its connections close, as those of a killed process.
    Kill,
}

/// Ends the dispatcher of five hosts while a team sends three quarters of its rate through the others, and returns the
/// numbers of requests that were sent, and refused for the rate. The team sends for 6 s before, as a standby's bucket must
/// not have a debt of all that.
async fn play_end(end: DispatcherEnd) -> (usize, usize) {
    let gateway = TestGateway::new(8).await;
    gateway
        .store
        .put_config(&config_with_rate(2, &["key-1"], 60.0));
    gateway.wait_until(|host| version(host) == 2).await;
    let mut others = Vec::new();
    for number in 2..6 {
        others.push(gateway.start_follower(&format!("edge-{number}")).await);
    }
    let share_of = |host: &GatewayHost| host.state().share().fraction.as_mille();
    wait_until(Duration::from_secs(8), || {
        share_of(&gateway.host) >= 900 && others.iter().all(|host| version(host) == 2)
    })
    .await;
    sleep(STARTED_AFTER).await;
    assert!(others.iter().all(|host| share_of(host) == 0));
    let text = gateway.host.state().metrics.text().unwrap();
    for line in ["gateway_rate_share_mille 1000", "gateway_rate_units 5"] {
        assert!(text.contains(line), "{line} is missing in {text}");
    }
    let (mut calls, start) = (JoinSet::new(), Instant::now());
    let mut host = Some(gateway.host);
    while start.elapsed() < Duration::from_secs(9) {
        let address = others[calls.len() % others.len()].caller_address();
        calls.spawn(async move { call(address, "POST /buy/1", "key-1", "x").await.status });
        if start.elapsed() > Duration::from_secs(6)
            && let Some(host) = host.take()
        {
            match end {
                DispatcherEnd::PlannedStop => drop(tokio::spawn(host.stop())),
                DispatcherEnd::Kill => drop(host),
            }
        }
        sleep(Duration::from_millis(22)).await;
    }
    // The others hold four of five units, or all if the stopping host lends its own.
    assert!(share_of(&others[0]) >= 800, "{}", share_of(&others[0]));
    let answers = calls.join_all().await;
    let refused = answers.iter().filter(|status| **status == 429).count();
    (answers.len(), refused)
}

/// Guards against refusals within the rate while the dispatcher of a zone stops: its followers and the bucket levels of
/// the teams were unknown to the next one.
#[tokio::test]
async fn planned_stop_of_the_dispatcher_refuses_nothing_within_the_rate() {
    let (sent, refused) = play_end(DispatcherEnd::PlannedStop).await;
    assert_eq!(refused, 0, "refused requests of {sent}");
}

/// Guards against the same after the end of its process without a stop.
#[tokio::test]
async fn killed_dispatcher_refuses_nothing_within_the_rate() {
    let (sent, refused) = play_end(DispatcherEnd::Kill).await;
    assert_eq!(refused, 0, "refused requests of {sent}");
}
