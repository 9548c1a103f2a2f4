//! Metrics at a separate address.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_gateway::queue_report::QueueReport;
use chicorycroft_platform_standin::prelude::*;
use tokio::time::Instant;

use crate::test_gateway::{
    TestGateway,
    call, //
};

/// Deploy file of the gateway.
const DEPLOY_FILE: &str = include_str!("../../../../deploy/system.toml");

/// Guards against metrics that are served only at the readiness address, which changes with the assigned ports
/// so that on-call engineers cannot find them. Also guards against readiness checks at a second address.
#[tokio::test]
async fn metrics_are_served_at_a_separate_address() {
    let mut gateway = TestGateway::new(1).await;
    assert_eq!(gateway.call("GET /look/a", "key-1", "").await.status, 200);
    let free: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let address = gateway.host.serve_metrics(free).await.unwrap();
    let answer = call(address, "GET /metrics", "", "").await;
    assert_eq!(answer.status, 200);
    assert!(answer.body.contains("# TYPE "), "{}", answer.body);
    assert_eq!(call(address, "GET /readyz", "", "").await.status, 404);
    let taken = gateway.host.serve_metrics(address).await;
    assert!(taken.is_err(), "binding an address in use must fail");
    assert_eq!(gateway.call("GET /look/a", "key-1", "").await.status, 200);
}

/// Guards against a deploy file whose metrics port differs from the one on its command line.
#[test]
fn deploy_file_names_one_port_for_metrics() {
    let line = |start: &str| {
        let mut lines = DEPLOY_FILE.lines();
        let found = lines.find_map(|line| line.strip_prefix(start));
        found
            .expect("line not found in the deploy file")
            .trim_matches('"')
    };
    let (_, port) = line("run = ").split_once("--metrics-port ").unwrap();
    assert_eq!(line("metrics = "), format!("{port}/metrics"));
}

/// Guards against metrics that show the age of the configuration only, while the entries of targets are read by a watch
/// of their own.
#[tokio::test]
async fn age_of_both_parts_of_the_copy_is_recorded_when_it_is_used() {
    let gateway = TestGateway::new(1).await;
    assert_eq!(gateway.call("GET /look/a", "key-1", "").await.status, 200);
    let text = gateway.host.state().metrics.text().unwrap();
    for part in ["operator", "targets"] {
        for decision in ["grant", "send"] {
            let line = format!(
                "gateway_copy_age_seconds_count{{part=\"{part}\",source=\"store\",use=\"{decision}\"}} 1"
            );
            assert!(text.contains(&line), "{line} is missing in {text}");
        }
    }
}

/// Guards against callers that are told to return although no place is kept for them, against refusals after a wait,
/// and against operators who cannot see that requests are turned away: twelve requests for two slots, which serve five
/// of them in time.
#[tokio::test]
async fn requests_that_are_turned_away_are_told_at_once_and_counted() {
    let mut gateway = TestGateway::new(1).await;
    let work = Duration::from_millis(250);
    gateway.targets[0].set_next_behaviours(vec![TargetBehaviour::Answer(work); 12]);
    let start = Instant::now();
    let calls = (0..12).map(|number| {
        let (gateway, line) = (&gateway, format!("POST /buy/{number}"));
        async move {
            let answer = gateway.call(&line, "key-1", "x").await;
            (answer, start.elapsed())
        }
    });
    let answers = futures_util::future::join_all(calls).await;
    let refused = answers.iter().filter(|(answer, _)| answer.status == 503);
    let mut refused_count = 0_usize;
    for (answer, elapsed) in refused {
        refused_count += 1;
        assert!(*elapsed < Duration::from_millis(400), "{elapsed:?}");
        let mut lines = answer.head.lines();
        let stated = lines.find_map(|line| line.strip_prefix("retry-after: "));
        let stated = stated.map(|seconds| seconds.parse::<f64>().unwrap());
        assert!(stated.is_none_or(|seconds| (0.15..=0.334).contains(&seconds)));
    }
    assert!((4..=8).contains(&refused_count), "{refused_count}");
    let free: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let address = gateway.host.serve_metrics(free).await.unwrap();
    let text = call(address, "GET /metrics", "", "").await.body;
    // The dispatcher turns requests away, and the host refuses at its door those that the dispatcher would turn away.
    let counted = ["gateway_turned_away_total ", "gateway_door_refusals_total "].map(|name| {
        let mut lines = text.lines().filter_map(|line| line.strip_prefix(name));
        lines.next().unwrap().parse::<usize>().unwrap()
    });
    assert_eq!(counted.iter().sum::<usize>(), refused_count, "{text}");
    assert!(text.contains("gateway_waiting{priority="), "{text}");
}

/// Guards against log lines about each of some hundred requests that are turned away in a second.
#[test]
fn lines_about_turned_away_requests_are_bounded() {
    let report = QueueReport::new();
    let written = |from: u64| {
        let times = from..from + 1000;
        let times = times.filter(|millis| report.may_write(MonoTime::from_millis(*millis)));
        times.count()
    };
    assert_eq!((written(5000), written(6000)), (10, 10));
}

/// Guards against a link that is full and metrics that do not tell which messages fill it.
#[tokio::test]
async fn bytes_between_hosts_are_counted_by_kind() {
    let gateway = TestGateway::new(1).await;
    let follower = gateway.start_follower("edge-2").await;
    let address = follower.caller_address();
    assert_eq!(call(address, "GET /look/a", "key-1", "").await.status, 200);
    let text = follower.state().metrics.text().unwrap();
    for kind in ["follow", "gossip", "permit"] {
        for direction in ["received", "sent"] {
            let name =
                format!("gateway_peer_bytes_total{{direction=\"{direction}\",kind=\"{kind}\"}} ");
            let line = text.lines().find_map(|line| line.strip_prefix(&name));
            let count: u64 = line.expect("no such counter").parse().unwrap();
            assert!(count > 0, "{kind} {direction}");
        }
    }
    let text = gateway.host.state().metrics.text().unwrap();
    assert!(
        text.contains("gateway_store_bytes_total{part=\"operator\"}"),
        "{text}"
    );
}
