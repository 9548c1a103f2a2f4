//! A store that comes back from a copy that is some seconds old.

use std::time::Duration;

use chicorycroft_adapter::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_gateway::prelude::*;
use chicorycroft_platform_standin::prelude::*;
use tokio::time::sleep;

use crate::test_gateway::{
    TestGateway,
    open_count,
    version,
    wait_until, //
};

/// Time within which the platform wants a change to be in use.
const CHANGE_BOUND: Duration = Duration::from_secs(2);

/// Longer than the time in which targets register again.
const REGISTRATION_TIME: Duration = Duration::from_millis(2800);

fn is_open(host: &GatewayHost, target: &TargetStandIn) -> bool {
    let directory = host.state().store_cache.directory();
    let mut entries = directory.targets.values();
    let entry = entries.find(|entry| target.key().ends_with(entry.id.as_str()));
    entry.is_some_and(|entry| directory.is_open(entry))
}

fn era(host: &GatewayHost) -> u64 {
    host.state().store_cache.era().get()
}

/// Returns the era of the older one of the parts.
fn read_era(host: &GatewayHost) -> u64 {
    host.state().store_cache.directory().as_of.era.get()
}

/// Guards against a configuration that goes back, a target that comes back after it left, and a live one that is dropped
/// because the copy lacks it, on the dispatcher and on a follower.
#[tokio::test]
async fn older_copy_takes_nothing_back_and_drops_nothing_at_once() {
    let gateway = TestGateway::new(3).await;
    let follower = gateway.start_follower("edge-2").await;
    let hosts = [&gateway.host, &follower];
    let store = &gateway.store;
    let [left, stays, lost] = &gateway.targets[..] else {
        panic!("three targets");
    };
    store.remove(&lost.key());
    wait_until(CHANGE_BOUND, || {
        hosts.iter().all(|host| open_count(host) == 2)
    })
    .await;
    let copy = store.revision();
    store.put_config(&config(2, &["key-2"]));
    store.remove(&left.key());
    let mut entry = lost.entry("rate", "a", "ready");
    // The store does not do the late writes of a target, so that its start tells a new incarnation.
    entry["born"] = 2.into();
    store.put(&lost.key(), &entry);
    let is_known =
        |host: &&GatewayHost| version(host) == 2 && !is_open(host, left) && is_open(host, lost);
    wait_until(CHANGE_BOUND, || hosts.iter().all(is_known)).await;

    store.restore(copy);
    wait_until(CHANGE_BOUND, || {
        hosts.iter().all(|host| read_era(host) == 1)
    })
    .await;
    assert!(hosts.iter().all(is_known));
    assert!(gateway.call("GET /look/1", "key-1", "").await.status != 200);
    entry["seq"] = 2.into();
    store.put(&lost.key(), &entry);
    sleep(REGISTRATION_TIME).await;
    assert!(hosts.iter().all(is_known));

    // The revisions are still lower than those before the return.
    store.remove(&stays.key());
    wait_until(CHANGE_BOUND, || {
        hosts.iter().all(|host| !is_open(host, stays))
    })
    .await;
    assert!(hosts.iter().all(is_known));
}

/// Guards against requests to a target that left: a host that starts after the return reads the copy itself, and its
/// dispatcher knows what the copy should not hold.
#[tokio::test]
async fn host_that_starts_after_the_return_learns_what_left_from_its_dispatcher() {
    let gateway = TestGateway::new(2).await;
    let left = &gateway.targets[0];
    let copy = gateway.store.revision();
    gateway.store.remove(&left.key());
    gateway.wait_until(|host| open_count(host) == 1).await;
    gateway.store.restore(copy);
    gateway.wait_until(|host| read_era(host) == 1).await;
    let follower = gateway.start_follower("edge-2").await;
    // Its own first read of the copy may follow the first directory of its dispatcher; the next answer corrects that.
    sleep(CHANGE_BOUND / 2).await;
    for _ in 0..10 {
        assert!(!is_open(&follower, left) && !is_open(&gateway.host, left));
        sleep(CHANGE_BOUND / 10).await;
    }
}

/// Guards against a target that is never dropped, which the copy lacks and which does not register again.
#[tokio::test]
async fn target_that_does_not_register_again_is_dropped() {
    let gateway = TestGateway::new(1).await;
    let follower = gateway.start_follower("edge-2").await;
    let hosts = [&gateway.host, &follower];
    let copy = gateway.store.revision();
    let gone = TargetStandIn::start("t-gone").await.unwrap();
    gateway
        .store
        .put(&gone.key(), &gone.entry("rate", "a", "ready"));
    wait_until(CHANGE_BOUND, || {
        hosts.iter().all(|host| open_count(host) == 2)
    })
    .await;
    gateway.store.restore(copy);
    wait_until(CHANGE_BOUND, || {
        hosts.iter().all(|host| read_era(host) == 1)
    })
    .await;
    assert!(hosts.iter().all(|host| open_count(host) == 2));
    wait_until(REGISTRATION_TIME, || {
        hosts.iter().all(|host| open_count(host) == 1)
    })
    .await;
}

/// Guards against a change that is missed without a sign: the store came back and had more writes than before when the
/// watch went on, so that it accepted the revision and told only of later changes.
#[tokio::test]
async fn change_before_a_revision_that_was_given_out_again_is_read() {
    let gateway = TestGateway::new(2).await;
    let (store, target) = (&gateway.store, &gateway.targets[0]);
    let copy = store.revision();
    for number in 0..3 {
        store.put(&format!("other/{number}"), &config(1, &[]));
    }
    sleep(Duration::from_millis(700)).await;
    store.restore(copy);
    let mut entry = target.entry("rate", "a", "draining");
    entry["seq"] = 2.into();
    store.put(&target.key(), &entry);
    for number in 0..9 {
        store.put(&format!("other/{number}"), &config(1, &[]));
    }
    wait_until(CHANGE_BOUND, || !is_open(&gateway.host, target)).await;
}

/// Guards against two returns in a row of which the second is not noticed, and against a store without eras that counts as
/// one that came back.
#[tokio::test]
async fn each_return_is_seen_and_counted() {
    let gateway = TestGateway::new(1).await;
    assert_eq!(era(&gateway.host), 0);
    let copy = gateway.store.revision();
    gateway.store.restore(copy);
    gateway.store.restore(copy);
    wait_until(CHANGE_BOUND, || read_era(&gateway.host) == 2).await;
    gateway.store.remove(&gateway.targets[0].key());
    wait_until(CHANGE_BOUND, || open_count(&gateway.host) == 0).await;
    let has_metric = || {
        let text = gateway.host.state().metrics.text().unwrap();
        text.contains("gateway_store_era 2")
    };
    wait_until(CHANGE_BOUND, has_metric).await;
}

/// Guards against a host that learns of an era only from an answer with data: the store refuses it from the return on.
#[tokio::test]
async fn refused_call_shows_the_era() {
    let gateway = TestGateway::new(1).await;
    let front = gateway.store.start_front().await.unwrap();
    front.set_refusing(true);
    gateway.store.restore(gateway.store.revision());
    let client = StoreClient::new(front.address());
    let answer = client
        .range("servers/", CHANGE_BOUND, &AnswerProgress::new())
        .await;
    assert!(answer.is_err());
    assert_eq!(client.era(), StoreEra::new(1));
}
