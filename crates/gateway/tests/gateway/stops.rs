//! Planned stops.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_platform_standin::prelude::*;
use tokio::{
    net::TcpListener,
    time::Instant, //
};

use crate::setting::{
    TestSetting,
    call, //
};

/// Guards against a planned stop that cuts a request under way or one that comes before the balancer has
/// noticed.
#[tokio::test]
async fn planned_stop_cuts_no_request() {
    let setting = TestSetting::new(1).await;
    let work = Duration::from_millis(600);
    setting.targets[0].set_next_behaviours(vec![TargetBehaviour::Answer(work); 2]);
    let address = setting.host.caller_address();
    let state = setting.host.state().clone();
    let under_way = tokio::spawn(call(address, "POST /buy/1", "key-1", "x"));
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stop = tokio::spawn(setting.host.stop());
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!state.is_ready());
    let late = call(address, "POST /buy/2", "key-1", "x").await;
    assert_eq!((late.status, under_way.await.unwrap().status), (200, 200));
    assert!(late.head.contains("connection: close"));
    assert!(stop.await.unwrap(), "all requests ended within the limit");
}

/// Guards against a planned stop that spends its time on hosts that are down and is killed with requests under
/// way.
#[tokio::test]
async fn planned_stop_does_not_wait_for_hosts_that_are_down() {
    let setting = TestSetting::new(1).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let state = setting.host.state().clone();
    for number in 0..4 {
        let record = MemberRecord {
            host: HostId::new(&format!("down-{number}")).unwrap(),
            address: silent.local_addr().unwrap(),
            ..state.gossip.own()
        };
        state.gossip.merge(record, state.now());
    }
    let start = Instant::now();
    assert!(setting.host.stop().await);
    // Callers are given 2.6 s to go elsewhere, and nothing is under way.
    assert!(start.elapsed() < Duration::from_millis(3500));
}
