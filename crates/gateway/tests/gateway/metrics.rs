//! Metrics at an address of their own.

use std::net::SocketAddr;

use crate::setting::{
    TestSetting,
    call, //
};

/// Deploy file of the gateway.
const DEPLOY_FILE: &str = include_str!("../../../../deploy/system.toml");

/// Guards against metrics that on-call engineers cannot find, because their address changes with the ports
/// of the day, and against readiness at a second address.
#[tokio::test]
async fn metrics_have_an_address_of_their_own() {
    let mut setting = TestSetting::new(1).await;
    assert_eq!(setting.call("GET /look/a", "key-1", "").await.status, 200);
    let free: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let address = setting.host.serve_metrics(free).await.unwrap();
    let answer = call(address, "GET /metrics", "", "").await;
    assert_eq!(answer.status, 200);
    assert!(answer.body.contains("# TYPE "), "{}", answer.body);
    assert_eq!(call(address, "GET /readyz", "", "").await.status, 404);
    let taken = setting.host.serve_metrics(address).await;
    assert!(taken.is_err(), "an address that is taken is reported");
    assert_eq!(setting.call("GET /look/a", "key-1", "").await.status, 200);
}

/// Guards against a deploy file that names another port for the metrics than the process is told.
#[test]
fn deploy_file_names_one_port_for_metrics() {
    let line = |start: &str| {
        let mut lines = DEPLOY_FILE.lines();
        let found = lines.find_map(|line| line.strip_prefix(start));
        found.expect("a line of the deploy file").trim_matches('"')
    };
    let (_, told) = line("run = ").split_once("--metrics-port ").unwrap();
    assert_eq!(line("metrics = "), format!("{told}/metrics"));
}
