//! Metrics of requests that a running host serves.

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

async fn start_host(platform: &StandinPlatform) -> EntryHost {
    let settings = "{host: entry-1, zone: north-1, platform: '127.0.0.1:1', \
         caller_listen: '127.0.0.1:0', peer_listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0'}";
    let settings = HostSettings::new(settings).unwrap();
    platform.set_hosts(vec![HostListing {
        id: settings.host.clone(),
        zone: settings.zone.clone(),
        address: "127.0.0.1:1".parse().unwrap(),
        is_leaving: false,
    }]);
    let clock = HostClock::new(UnixTime::from_millis(0));
    let host = EntryHost::start(settings, platform.client(), clock).await;
    host.unwrap()
}

async fn wait_for_target(host: &EntryHost) {
    let limit = Instant::now() + Duration::from_secs(5);
    while host.state().owned().iter().next().is_none() && Instant::now() < limit {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn call(address: std::net::SocketAddr, head: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("{head}\r\nHost: gateway\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Guards against requests that are not counted, and against keys in the metrics or the status.
#[tokio::test]
async fn requests_are_counted_without_keys() {
    let target = StandinTarget::new(2, Duration::ZERO);
    let address = target.spawn().await.unwrap();
    let digest = KeyDigest::of_key(b"k-secret-1");
    let document = format!(
        "zones: [{{id: north-1, region: north}}]
services: [{{id: rate, floor: 0.5}}]
targets: [{{id: rate-1, service: rate, zone: north-1, address: '{address}'}}]
teams: [{{id: lusail, key_digests: ['{digest}'], rate: 0, burst: 0}}]
routes:
  - {{id: health, prefix: /health, service: rate, access: open}}
  - {{id: lookups, prefix: /rates, service: rate}}
rules: {{host_bound: 1}}
"
    );
    let platform = StandinPlatform::new();
    platform.publish(1, &[("all", document)]);
    let host = start_host(&platform).await;
    wait_for_target(&host).await;
    let callers = host.caller_address();

    let open = call(callers, "GET /health HTTP/1.1").await;
    let over = call(callers, "GET /rates HTTP/1.1\r\nx-api-key: k-secret-1").await;
    let bad = call(callers, "GET /rates HTTP/1.1\r\nx-api-key: k-secret-2").await;
    assert!(open.starts_with("HTTP/1.1 200"), "{open}");
    assert!(over.starts_with("HTTP/1.1 429"), "{over}");
    assert!(bad.starts_with("HTTP/1.1 401"), "{bad}");

    let metrics = call(host.admin_address(), "GET /metrics HTTP/1.1").await;
    let status = call(host.admin_address(), "GET /status HTTP/1.1").await;
    let lines = [
        "chicorycroft_requests_total{decision=\"forward\",route=\"health\",status=\"2xx\"} 1",
        "chicorycroft_requests_total{decision=\"refuse\",route=\"none\",status=\"4xx\"} 2",
        "chicorycroft_refusals_total{reason=\"over-rate\"} 1",
        "chicorycroft_refusals_total{reason=\"bad-key\"} 1",
        "chicorycroft_attempts_total{outcome=\"good\"} 1",
        "chicorycroft_token_shortages_total{team=\"lusail\"} 1",
        "chicorycroft_added_latency_seconds_count 1",
        "chicorycroft_config_version 1",
        "chicorycroft_ready 1",
    ];
    for line in lines {
        assert!(metrics.contains(line), "{line} is missing in {metrics}");
    }
    let team = "{\"admitted\":0,\"burst\":\"0\",\"id\":\"lusail\",\"rate\":\"0\",\"refused\":1}";
    assert!(status.contains(team), "{status}");
    let text = metrics + &status;
    assert!(
        !text.contains("k-secret") && !text.contains(&digest.to_string()),
        "{text}"
    );
    assert!(host.stop().await);
}

/// Guards against a `POST /drain` that does not start the planned stop of the daemon.
#[tokio::test]
async fn drain_reaches_the_daemon() {
    let host = start_host(&StandinPlatform::new()).await;
    let waited = async {
        let answer = call(host.admin_address(), "POST /drain HTTP/1.1").await;
        assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
        host.drain_requested().await;
    };
    tokio::time::timeout(Duration::from_secs(10), waited)
        .await
        .unwrap();
    assert!(host.stop().await);
}
