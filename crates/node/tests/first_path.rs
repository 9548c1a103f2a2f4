//! One request from the caller to the target and back, over real sockets.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use chicorycroft_border::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_node::prelude::*;
use chicorycroft_platform::prelude::*;
use chicorycroft_standin::prelude::*;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::Instant, //
};

const KEY: &str = "k-lusail-1";

fn documents(target: &str) -> String {
    let digest = KeyDigest::of_key(KEY.as_bytes());
    format!(
        "zones: [{{id: muscat-1, region: muscat}}]
services: [{{id: rate, floor: 0.5}}]
targets: [{{id: rate-1, service: rate, zone: muscat-1, address: '{target}'}}]
teams: [{{id: lusail, key_digests: ['{digest}'], rate: 2, burst: 2}}]
routes: [{{id: lookups, prefix: /rates, service: rate}}]
rules: {{host_bound: 1}}
"
    )
}

async fn start_host(platform: &StandinPlatform) -> EntryHost {
    let settings = "{host: entry-1, zone: muscat-1, platform: '127.0.0.1:1', \
         caller_listen: '127.0.0.1:0', peer_listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0'}";
    let settings = HostSettings::new(settings).unwrap();
    let clock = HostClock::new(UnixTime::from_millis(0));
    platform.set_hosts(vec![HostListing {
        id: settings.host.clone(),
        zone: settings.zone.clone(),
        address: "127.0.0.1:1".parse().unwrap(),
        is_leaving: false,
    }]);
    let host = EntryHost::start(settings, platform.client(), clock)
        .await
        .unwrap();
    let limit = Instant::now() + Duration::from_secs(5);
    while host.state().owned().iter().next().is_none() && Instant::now() < limit {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    host
}

async fn call(host: &EntryHost, head: &str) -> String {
    let mut stream = TcpStream::connect(host.caller_address()).await.unwrap();
    let request = format!("{head}\r\nHost: gateway\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Guards against a lost response, and against a key that is forwarded to the target.
#[tokio::test]
async fn request_reaches_target_without_its_key() {
    let target = StandinTarget::new(2, Duration::ZERO);
    let address = target.spawn().await.unwrap();
    let platform = StandinPlatform::new();
    platform.publish(1, &[("all", documents(&address.to_string()))]);
    let host = start_host(&platform).await;
    // A host starts without tokens; the team's rate adds two in this time.
    tokio::time::sleep(Duration::from_secs(1)).await;

    let head = format!("GET /rates/oman?api_key={KEY}&w=2 HTTP/1.1\r\nx-api-key: {KEY}");
    let answer = call(&host, &head).await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("GET /rates/oman received=0\n"), "{answer}");
    let heads = target.heads();
    assert_eq!(heads.len(), 1);
    assert!(!heads[0].contains(KEY), "{}", heads[0]);
    assert!(heads[0].contains("x-team: lusail"), "{}", heads[0]);
    assert!(host.stop().await);
}

/// Guards against a request that runs without a valid key or route.
#[tokio::test]
async fn refused_request_does_not_reach_target() {
    let target = StandinTarget::new(2, Duration::ZERO);
    let address = target.spawn().await.unwrap();
    let platform = StandinPlatform::new();
    platform.publish(1, &[("all", documents(&address.to_string()))]);
    let host = start_host(&platform).await;

    let without_key = call(&host, "GET /rates HTTP/1.1").await;
    let wrong_key = call(&host, "GET /rates HTTP/1.1\r\nx-api-key: other").await;
    let no_route = call(&host, "GET /ratesheet HTTP/1.1").await;

    assert!(without_key.starts_with("HTTP/1.1 401"), "{without_key}");
    assert!(without_key.contains("\"run\":\"not-run\""), "{without_key}");
    assert!(wrong_key.starts_with("HTTP/1.1 401"), "{wrong_key}");
    assert!(no_route.starts_with("HTTP/1.1 404"), "{no_route}");
    assert_eq!(target.request_count(), 0);
    assert!(host.stop().await);
}
