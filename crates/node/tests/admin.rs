//! The admin server: status, explanations, metrics and planned stops.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::sync::Arc;

use chicorycroft_border::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_node::{
    admin::{
        self,
        AdminContext, //
    },
    metrics::HostMetrics,
    status::{
        ExplainQuery,
        HostStatus,
        PeerFacts,
        TargetFacts,
        explain_document,
        status_document, //
    },
};
use chicorycroft_proxy::prelude::*;
use http::StatusCode;
use indexmap::IndexMap;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
};

const INVENTORY: &str = "
zones: [{id: north-1, region: north}, {id: north-2, region: north}]
services: [{id: rate, floor: 0.5}]
targets:
  - {id: rate-1, service: rate, zone: north-1, address: '127.0.0.1:1'}
  - {id: rate-2, service: rate, zone: north-1, address: '127.0.0.1:2'}
  - {id: rate-3, service: rate, zone: north-2, address: '127.0.0.1:3'}
teams:
  - {id: lusail, key_digests: ['aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa'], rate: 2, burst: 1}
  - {id: doha, key_digests: [], rate: 2, burst: 1}
routes:
  - {id: lookups, prefix: /rates, service: rate}
  - {id: purchases, prefix: /labels, methods: [POST], service: rate, access: teams, teams: [doha]}
rules:
  host_bound: 1
  bookings:
    - {id: work, start: '2026-12-04T00:00:00Z', end: '2026-12-05T00:00:00Z', action: {zone_out: north-2}}
    - {id: sale, start: '2026-12-06T00:00:00Z', action: {team_limit: {team: lusail, rate: 9, burst: 3}}}
";

fn status_at(time: &str) -> HostStatus {
    let documents = [read_document("all", INVENTORY).unwrap()];
    let snapshot = build_snapshot(ConfigVersion::new(7), &documents).unwrap();
    let at = time.parse().unwrap();
    let ejected = TargetFacts {
        owner: Some(HostId::new("entry-2").unwrap()),
        out_reason: Some("ejected: slow".into()),
        in_use: Some(1),
        limit: Some(2),
        waiting: Some(0),
    };
    HostStatus {
        host: HostId::new("entry-1").unwrap(),
        zone: ZoneId::new("north-1").unwrap(),
        unready_reason: None,
        is_stopping: false,
        at,
        view: Some(Arc::new(FleetView::new(Arc::new(snapshot), at))),
        refused_version: None,
        targets: IndexMap::from([(TargetId::new("rate-2").unwrap(), ejected)]),
        teams: IndexMap::new(),
        peers: vec![PeerFacts {
            id: HostId::new("entry-2").unwrap(),
            zone: ZoneId::new("north-1").unwrap(),
            state: "live",
        }],
    }
}

/// Guards against a status without the reason why a target is out, or with the digest of a key.
#[test]
fn status_says_why_targets_are_out() {
    let document = status_document(&status_at("2026-12-04T12:00:00Z"));
    let text = serde_json::to_string_pretty(&document).unwrap();
    assert!(!text.contains("aaaa"), "{text}");
    insta::assert_snapshot!(text);
}

/// Guards against an explanation that differs from the decision of the host.
#[test]
fn explanation_names_first_reason_for_refusal() {
    let status = status_at("2026-12-06T12:00:00Z");
    let requests = [
        ("GET", "/rates/oman?w=2", Some("lusail")),
        ("GET", "/rates", None),
        ("GET", "/rates", Some("nobody")),
        ("GET", "/rates", Some("doha")),
        ("POST", "/labels", Some("lusail")),
        ("GET", "/labels", Some("lusail")),
        ("GET", "/none", Some("lusail")),
        ("get it", "/rates", Some("lusail")),
    ];
    let mut text = String::new();
    for (method, path, team) in requests {
        let query = ExplainQuery {
            method: method.into(),
            path: path.into(),
            team: team.map(str::to_owned),
        };
        let document = explain_document(&status, &query);
        let line = format!("{method} {path} {team:?}: {}", document.decision);
        let rate = document.rate.unwrap_or_default();
        text.push_str(&format!("{line}, {} rate={rate}\n", document.reason));
    }
    insta::assert_snapshot!(text);
}

/// Guards against documents that do not match their published schemas.
#[test]
fn answers_follow_their_schemas() {
    let status = status_at("2026-12-04T12:00:00Z");
    let query = ExplainQuery {
        method: "GET".into(),
        path: "/rates".into(),
        team: Some("lusail".into()),
    };
    let answers = [
        (
            include_str!("../../border/schema/status.schema.json"),
            serde_json::to_value(status_document(&status)).unwrap(),
        ),
        (
            include_str!("../../border/schema/explain.schema.json"),
            serde_json::to_value(explain_document(&status, &query)).unwrap(),
        ),
    ];
    for (schema, answer) in answers {
        let schema = serde_json::from_str(schema).unwrap();
        let validator = jsonschema::draft7::new(&schema).unwrap();
        let errors: Vec<_> = validator.iter_errors(&answer).collect();
        assert!(errors.is_empty(), "{errors:?}");
    }
}

/// Guards against label sets that grow without limit with the number of routes and teams.
#[test]
fn label_sets_are_bounded() {
    let metrics = HostMetrics::new().unwrap();
    for number in 0..5000 {
        let route = RouteId::new(&format!("route-{number}")).unwrap();
        metrics.on_request(Some(&route), "forward", StatusCode::OK);
        let team = TeamId::new(&format!("team-{number}")).unwrap();
        metrics.on_token(&team, true);
    }
    let text = String::from_utf8(metrics.encode().unwrap()).unwrap();
    let lines = |name: &str| text.lines().filter(|line| line.starts_with(name)).count();
    assert_eq!(lines("chicorycroft_requests_total"), 513);
    assert_eq!(lines("chicorycroft_tokens_taken_total"), 129);
    assert!(
        text.contains("chicorycroft_tokens_taken_total{team=\"other\"} 4872"),
        "{text}"
    );
}

async fn call(address: std::net::SocketAddr, head: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("{head} HTTP/1.1\r\nHost: admin\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Guards against a planned stop that is started by `GET`, is not signalled to the host, or leaves the
/// host ready.
#[tokio::test]
async fn drain_is_signalled_and_ends_readiness() {
    let drain = watch::Sender::new(false);
    let mut drain_signal = drain.subscribe();
    let is_stopping = drain.subscribe();
    let collect = move || {
        let mut status = status_at("2026-12-04T12:00:00Z");
        status.is_stopping = *is_stopping.borrow();
        status.unready_reason = status
            .is_stopping
            .then(|| "a planned stop has begun".into());
        status
    };
    let metrics = Arc::new(HostMetrics::new().unwrap());
    metrics.on_refusal(RefusalKind::OverRate);
    let context = AdminContext::new(collect, metrics, drain);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(admin::serve(context, listener));

    assert!(
        call(address, "GET /readyz")
            .await
            .starts_with("HTTP/1.1 200")
    );
    assert!(
        call(address, "GET /drain")
            .await
            .starts_with("HTTP/1.1 405")
    );
    assert!(!*drain_signal.borrow_and_update());
    assert!(
        call(address, "POST /drain")
            .await
            .starts_with("HTTP/1.1 202")
    );
    assert!(*drain_signal.borrow_and_update());
    assert!(
        call(address, "GET /readyz")
            .await
            .starts_with("HTTP/1.1 503")
    );
    assert!(
        call(address, "GET /healthz")
            .await
            .starts_with("HTTP/1.1 200")
    );
    let metrics = call(address, "GET /metrics").await;
    let lines = [
        "chicorycroft_refusals_total{reason=\"over-rate\"} 1",
        "chicorycroft_stopping 1",
        "chicorycroft_ready 0",
        "chicorycroft_config_version 7",
        "chicorycroft_targets{state=\"out\"} 2",
    ];
    for line in lines {
        assert!(metrics.contains(line), "{line} is missing in {metrics}");
    }
    server.abort();
}
