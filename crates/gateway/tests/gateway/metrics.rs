//! Metrics at a separate address.

use std::net::SocketAddr;

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
