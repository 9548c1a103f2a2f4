//! Planned stops.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_platform_standin::prelude::*;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    task::JoinSet,
    time::Instant,
};

use crate::test_gateway::{
    TestGateway,
    call,
    call_for,
    version, //
};

/// Guards against a planned stop that aborts a request in progress, or one that arrives before the load balancer
/// has removed the host.
#[tokio::test]
async fn planned_stop_cuts_no_request() {
    let gateway = TestGateway::new(1).await;
    let work = Duration::from_millis(600);
    gateway.targets[0].set_next_behaviours(vec![TargetBehaviour::Answer(work); 2]);
    let address = gateway.host.caller_address();
    let state = gateway.host.state().clone();
    let in_progress = tokio::spawn(call(address, "POST /buy/1", "key-1", "x"));
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stop = tokio::spawn(gateway.host.stop());
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!state.is_ready());
    let late = call(address, "POST /buy/2", "key-1", "x").await;
    assert_eq!((late.status, in_progress.await.unwrap().status), (200, 200));
    assert!(late.head.contains("connection: close"));
    assert!(
        stop.await.unwrap(),
        "not all requests completed within the stop limit"
    );
}

/// Guards against a planned stop that waits for hosts that are down until the process is killed with requests in
/// progress.
#[tokio::test]
async fn planned_stop_does_not_wait_for_hosts_that_are_down() {
    let gateway = TestGateway::new(1).await;
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let state = gateway.host.state().clone();
    for number in 0..4 {
        let record = MemberRecord {
            host: HostId::new(&format!("down-{number}")).unwrap(),
            address: unresponsive.local_addr().unwrap(),
            ..state.gossip.own()
        };
        state.gossip.merge(record, state.now());
    }
    let start = Instant::now();
    assert!(gateway.host.stop().await);
    // The host stays open for 2.6 s after it reports unready, and no request is in progress.
    assert!(start.elapsed() < Duration::from_millis(3500));
}

/// Guards against requests that arrive late in the grace time of a planned stop, are passed on to a target, and are cut
/// without an answer at the end of that time.
#[tokio::test]
async fn request_that_outlasts_the_grace_time_is_answered() {
    let gateway = TestGateway::new(2).await;
    let mut document = config(2, &["key-1"]);
    for route in ["buy", "open"] {
        document["routes"][route]["timeoutS"] = 20.into();
    }
    gateway.store.put_config(&document);
    gateway.wait_until(|host| version(host) == 2).await;
    for target in &gateway.targets {
        target.set_default_behaviour(Some(TargetBehaviour::Hang));
    }
    let (address, grace) = (
        gateway.host.caller_address(),
        gateway.host.state().settings.stop_limit,
    );
    let start = Instant::now();
    let stop = tokio::spawn(gateway.host.stop());
    // The host accepts connections for 2.6 s, until the load balancer has removed it.
    tokio::time::sleep_until(start + Duration::from_millis(2300)).await;
    let late = call_for(address, "POST /buy/1", Duration::from_secs(20));
    let idempotent = call_for(address, "GET /open/1", Duration::from_secs(20));
    let (late, idempotent) = tokio::join!(late, idempotent);
    assert_eq!((late.status, idempotent.status), (504, 504));
    assert!(start.elapsed() < grace);
    assert!(stop.await.unwrap(), "a connection was cut");
}

/// Guards against requests on connections that were just accepted, and that a planned stop under load cuts without an
/// answer: connects callers throughout the time at which the host closes its listener, and sends a request on each
/// connection 20 ms later.
#[tokio::test]
async fn planned_stop_cuts_no_connection_that_was_just_accepted() {
    // Enough slots for all requests, so that none is refused.
    let gateway = TestGateway::new(12).await;
    let address = gateway.host.caller_address();
    let start = Instant::now();
    let stop = tokio::spawn(gateway.host.stop());
    let (mut callers, mut is_refused) = (JoinSet::new(), false);
    tokio::time::sleep_until(start + Duration::from_millis(2400)).await;
    while start.elapsed() < Duration::from_millis(2800) {
        match TcpStream::connect(address).await {
            Ok(stream) => callers.spawn(send_late(stream)),
            Err(_) => {
                is_refused = true;
                break;
            }
        };
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let answers = callers.join_all().await;
    let cut = answers.iter().filter(|status| **status != Some(200));
    assert_eq!(cut.count(), 0, "{answers:?}");
    assert!(is_refused, "the host still accepts connections");
    assert!(stop.await.unwrap());
}

/// Sends a request after a short time and returns the status of its answer; `None` if the connection is cut.
async fn send_late(mut stream: TcpStream) -> Option<u16> {
    tokio::time::sleep(Duration::from_millis(20)).await;
    let head = "POST /open/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: id-1\r\n\r\n";
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await.ok()?;
    let status = String::from_utf8(text).ok()?.get(9..12)?.parse();
    status.ok()
}
