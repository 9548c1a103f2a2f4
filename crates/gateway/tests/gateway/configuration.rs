//! What is published comes into force, and what cannot be known is not trusted.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_gateway::prelude::*;
use chicorycroft_platform_standin::prelude::*;

use crate::setting::TestSetting;

fn version(host: &GatewayHost) -> u64 {
    let index = host.state().knowledge.index();
    index.map_or(0, |index| index.config().version().get())
}

/// Guards against a withdrawn key that goes on working, and against an older version that comes back.
#[tokio::test]
async fn withdrawn_key_stops_working_and_stays_withdrawn() {
    let setting = TestSetting::new(1).await;
    assert_eq!(setting.call("GET /look/1", "key-1", "").await.status, 200);
    setting.store.put_config(&config(3, &["key-2"]));
    setting.until(|host| version(host) == 3).await;
    assert_eq!(setting.call("GET /look/1", "key-1", "").await.status, 401);
    assert_eq!(setting.call("GET /look/1", "key-2", "").await.status, 200);
    setting.store.put_config(&config(2, &["key-1"]));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(setting.call("GET /look/1", "key-1", "").await.status, 401);
}

/// Guards against a bad version that takes the last good one out of force.
#[tokio::test]
async fn version_with_a_mistake_leaves_the_last_one_in_force() {
    let setting = TestSetting::new(1).await;
    setting.store.put_config(&invalid_config(2));
    setting.store.put_config(&config(3, &["key-3"]));
    setting.until(|host| version(host) == 3).await;
    assert_eq!(setting.call("GET /look/1", "key-3", "").await.status, 200);
}

/// Guards against a key that may be withdrawn and works on a host that hears nothing of the store.
#[tokio::test]
async fn keys_are_refused_once_the_store_was_silent_for_too_long() {
    let bound = Duration::from_millis(2500);
    let setting = TestSetting::with_revoke_bound(1, bound).await;
    setting.store.set_silent(true);
    tokio::time::sleep(bound).await;
    let answer = setting.call("GET /look/1", "key-1", "").await;
    assert_eq!(answer.status, 503);
    assert_eq!(setting.call("GET /open/1", "", "").await.status, 200);
    setting.store.set_silent(false);
    let may_trust = |host: &GatewayHost| {
        let state = host.state();
        state.knowledge.may_trust_keys(bound, state.now())
    };
    setting.until(may_trust).await;
    assert_eq!(setting.call("GET /look/1", "key-1", "").await.status, 200);
}

/// Guards against work for a target that leaves, vanishes or stands in an evacuated zone.
#[tokio::test]
async fn targets_that_leave_get_no_work() {
    let setting = TestSetting::new(3).await;
    let [draining, gone, last] = &setting.targets[..] else {
        panic!("three targets");
    };
    let entry = draining.entry("rate", "a", "draining");
    setting.store.put(&draining.key(), &entry);
    setting.store.remove(&gone.key());
    let service = ServiceId::new("rate").unwrap();
    let open_count = |host: &GatewayHost| {
        let directory = host.state().knowledge.directory();
        directory.open_targets(&service).count()
    };
    setting.until(|host| open_count(host) == 1).await;
    for _ in 0..4 {
        assert_eq!(setting.call("GET /look/1", "key-1", "").await.status, 200);
    }
    assert_eq!(last.requests().len(), 4);
    setting.store.set_evacuated("a", true);
    setting.until(|host| open_count(host) == 0).await;
    assert_eq!(setting.call("GET /look/1", "key-1", "").await.status, 503);
    setting.store.set_evacuated("a", false);
    setting.until(|host| open_count(host) == 1).await;
    assert_eq!(setting.call("GET /look/1", "key-1", "").await.status, 200);
}

/// Guards against a fleet that lost power and refuses callers for longer than their deadlines, because its
/// hosts wait for each other before they read the store.
#[tokio::test]
async fn host_that_knows_nothing_reads_the_store_at_once() {
    let start = tokio::time::Instant::now();
    let setting = TestSetting::new(1).await;
    // The shortest deadline of a caller is 1.2 s.
    assert!(start.elapsed() < Duration::from_millis(1200));
    assert_eq!(setting.call("GET /look/1", "key-1", "").await.status, 200);
}
