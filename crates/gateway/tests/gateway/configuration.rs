//! Published changes take effect, and keys are rejected when the cached data is too old.

use std::time::Duration;

use chicorycroft_directory::prelude::*;
use chicorycroft_gateway::prelude::*;
use chicorycroft_platform_standin::{
    documents::TEAM,
    prelude::*,
    store::CONFIG_KEY, //
};

use crate::test_gateway::{
    TestGateway,
    WAIT_TIMEOUT,
    call,
    host_settings,
    open_count,
    version,
    wait_until, //
};

/// Returns the sequence number of the latest write of a target that a host has read.
fn read_sequence(host: &GatewayHost, target: &str) -> u64 {
    let directory = host.state().store_cache.directory();
    let mut entries = directory.targets.values();
    let entry = entries.find(|entry| entry.id.as_str() == target);
    entry.map_or(0, |entry| entry.sequence)
}

/// Guards against a withdrawn key that still works, and against an older configuration version that replaces a
/// newer one.
#[tokio::test]
async fn withdrawn_key_stops_working_and_stays_withdrawn() {
    let gateway = TestGateway::new(1).await;
    assert_eq!(gateway.call("GET /look/1", "key-1", "").await.status, 200);
    gateway.store.put_config(&config(3, &["key-2"]));
    gateway.wait_until(|host| version(host) == 3).await;
    assert_eq!(gateway.call("GET /look/1", "key-1", "").await.status, 401);
    assert_eq!(gateway.call("GET /look/1", "key-2", "").await.status, 200);
    gateway.store.put_config(&config(2, &["key-1"]));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(gateway.call("GET /look/1", "key-1", "").await.status, 401);
}

/// Guards against an invalid configuration version that replaces the last valid one.
#[tokio::test]
async fn invalid_version_leaves_the_last_valid_one_in_force() {
    let gateway = TestGateway::new(1).await;
    gateway.store.put_config(&invalid_config(2));
    gateway.store.put_config(&config(3, &["key-3"]));
    gateway.wait_until(|host| version(host) == 3).await;
    assert_eq!(gateway.call("GET /look/1", "key-3", "").await.status, 200);
}

/// Guards against a fleet of which no host is ever ready, without a word why: the only version of the configuration has
/// a kind of route that this release does not know.
#[tokio::test]
async fn host_names_the_document_that_keeps_it_from_being_ready() {
    let store = StoreStandIn::start().await.unwrap();
    store.put_config(&invalid_config(1));
    let settings = host_settings("edge-1", store.address());
    let host = GatewayHost::start(settings, GatewayClock::new())
        .await
        .unwrap();
    let state = host.state();
    let refused = || state.store_cache.refused_documents().latest();
    wait_until(WAIT_TIMEOUT, || refused().is_some()).await;
    assert!(!state.is_ready());
    let reason = state.readiness().to_string();
    for part in [CONFIG_KEY, "revision", "line 1 column", "odd"] {
        assert!(reason.contains(part), "{part} is missing in {reason:?}");
    }
    let is_counted = || {
        let text = state.metrics.text().unwrap();
        !text.contains("gateway_documents_refused_total 0")
    };
    wait_until(WAIT_TIMEOUT, is_counted).await;
    store.put_config(&config(2, &["key-1"]));
    wait_until(WAIT_TIMEOUT, || state.is_ready()).await;
    assert_eq!(state.readiness().to_string(), "ready");
}

/// Guards against accepting keys on a host without contact to the store, where a key may have been withdrawn
/// unnoticed.
#[tokio::test]
async fn keys_are_refused_once_the_store_was_silent_for_too_long() {
    let bound = Duration::from_millis(2500);
    let gateway = TestGateway::with_revoke_bound(1, bound).await;
    gateway.store.set_unresponsive(true);
    tokio::time::sleep(bound).await;
    let answer = gateway.call("GET /look/1", "key-1", "").await;
    assert_eq!(answer.status, 503);
    assert_eq!(gateway.call("GET /open/1", "", "").await.status, 200);
    gateway.store.set_unresponsive(false);
    let may_trust = |host: &GatewayHost| {
        let state = host.state();
        state.store_cache.may_trust_keys(bound, state.now())
    };
    gateway.wait_until(may_trust).await;
    assert_eq!(gateway.call("GET /look/1", "key-1", "").await.status, 200);
}

/// Guards against a withdrawn key that works without end on all hosts, because they refuse the configuration that withdraws
/// it and count each later answer of the store as proof that their copy is up to date.
#[tokio::test]
async fn withdrawn_key_stops_working_although_the_configuration_is_refused() {
    let bound = Duration::from_millis(2500);
    let gateway = TestGateway::with_revoke_bound(1, bound).await;
    let follower = gateway.start_follower("edge-2").await;
    let hosts = [&gateway.host, &follower];
    for host in hosts {
        let answer = call(host.caller_address(), "GET /look/1", "key-1", "").await;
        assert_eq!(answer.status, 200);
    }
    gateway.store.put_config(&invalid_config(2));
    tokio::time::sleep(bound).await;
    for host in hosts {
        let address = host.caller_address();
        let answer = call(address, "GET /look/1", "key-1", "").await;
        assert_eq!(answer.status, 503);
        assert_eq!(call(address, "GET /open/1", "", "").await.status, 200);
    }
    gateway.store.put_config(&config(3, &["key-3"]));
    for host in hosts {
        wait_until(WAIT_TIMEOUT, || version(host) == 3).await;
        let answer = call(host.caller_address(), "GET /look/1", "key-3", "").await;
        assert_eq!(answer.status, 200);
    }
}

/// Guards against a configuration that is refused whole because of a team's name: the key that it withdraws worked on, and
/// the key of the new team did not work.
#[tokio::test]
async fn configuration_with_a_capital_letter_in_a_team_name_is_in_force() {
    let gateway = TestGateway::new(1).await;
    let follower = gateway.start_follower("Edge-2").await;
    let mut document = config(2, &[]);
    for (name, key) in [("Sohar-Coop", "key-2"), ("صحار", "key-3")] {
        document["tenants"][name] = config(2, &[key])["tenants"][TEAM].clone();
    }
    gateway.store.put_config(&document);
    for host in [&gateway.host, &follower] {
        wait_until(host.state().settings.change_bound, || version(host) == 2).await;
        let address = host.caller_address();
        for (key, status) in [("key-1", 401), ("key-2", 200), ("key-3", 200)] {
            let answer = call(address, "GET /look/1", key, "").await;
            assert_eq!(answer.status, status, "{key}");
        }
    }
    let received = gateway.received_requests();
    let teams: Vec<_> = received.iter().map(ReceivedRequest::team).collect();
    assert_eq!(teams, [Some("Sohar-Coop"), Some("صحار")].repeat(2));
}

/// Guards against requests to a target that is draining, has been removed or is in an evacuated zone.
#[tokio::test]
async fn targets_that_leave_get_no_work() {
    let gateway = TestGateway::new(3).await;
    let [draining, gone, last] = &gateway.targets[..] else {
        panic!("expected three targets");
    };
    let entry = draining.entry("rate", "a", "draining");
    gateway.store.put(&draining.key(), &entry);
    gateway.store.remove(&gone.key());
    gateway.wait_until(|host| open_count(host) == 1).await;
    for _ in 0..4 {
        assert_eq!(gateway.call("GET /look/1", "key-1", "").await.status, 200);
    }
    assert_eq!(last.requests().len(), 4);
    gateway.store.set_evacuated("a", true);
    gateway.wait_until(|host| open_count(host) == 0).await;
    assert_eq!(gateway.call("GET /look/1", "key-1", "").await.status, 503);
    gateway.store.set_evacuated("a", false);
    gateway.wait_until(|host| open_count(host) == 1).await;
    assert_eq!(gateway.call("GET /look/1", "key-1", "").await.status, 200);
}

/// Guards against requests to a leaving target because the connection of the targets' watch went silent without a reset:
/// the call waited for its limit, and the end of the other watch and a pause followed.
#[tokio::test]
async fn leaving_target_is_dropped_in_time_although_its_watch_is_silent() {
    let gateway = TestGateway::new(2).await;
    // One fault may take half of the bound.
    let limit = gateway.host.state().settings.change_bound / 2;
    for target in &gateway.targets {
        let open_left = open_count(&gateway.host) - 1;
        gateway.store.silence_open_connections("servers/");
        let entry = target.entry("rate", "a", "draining");
        gateway.store.put(&target.key(), &entry);
        wait_until(limit, || open_count(&gateway.host) == open_left).await;
    }
}

/// Guards against requests to a target that has left: the store did one of its writes, which had got no answer, after it had
/// removed its entry.
#[tokio::test]
async fn late_write_of_a_target_that_has_left_brings_no_requests() {
    let gateway = TestGateway::new(2).await;
    let leaving = &gateway.targets[0];
    let write = |sequence: u64| {
        let mut entry = leaving.entry("rate", "a", "ready");
        entry["seq"] = sequence.into();
        gateway.store.put(&leaving.key(), &entry);
    };
    for sequence in [3, 4] {
        write(sequence);
        gateway
            .wait_until(|host| read_sequence(host, leaving.id()) == sequence)
            .await;
    }
    gateway.store.remove(&leaving.key());
    gateway.wait_until(|host| open_count(host) == 1).await;
    for sequence in [2, 5] {
        write(sequence);
        tokio::time::sleep(gateway.host.state().settings.change_bound).await;
        for _ in 0..4 {
            assert_eq!(gateway.call("GET /look/1", "key-1", "").await.status, 200);
        }
        assert!(leaving.requests().is_empty(), "sequence {sequence}");
    }
}

/// Guards against a configuration that comes into force late because the connection of its watch went silent without a
/// reset.
#[tokio::test]
async fn configuration_is_in_force_in_time_although_its_watch_is_silent() {
    let gateway = TestGateway::new(1).await;
    let limit = gateway.host.state().settings.change_bound / 2;
    for number in 2..5 {
        gateway.store.silence_open_connections("op/");
        gateway.store.put_config(&config(number, &["key-1"]));
        wait_until(limit, || version(&gateway.host) == number).await;
    }
}

/// Guards against a fleet that refuses callers for longer than their deadlines after a power loss, because its
/// hosts wait for each other before they read the store.
#[tokio::test]
async fn host_without_configuration_reads_the_store_at_once() {
    let start = tokio::time::Instant::now();
    let gateway = TestGateway::new(1).await;
    // The shortest deadline of a caller is 1.2 s.
    assert!(start.elapsed() < Duration::from_millis(1200));
    assert_eq!(gateway.call("GET /look/1", "key-1", "").await.status, 200);
}

/// Guards against requests to a target that is gone: after an outage this host adopted the directory of another one that
/// kept the lapsed entry, whose removal the watch of this host had passed.
#[tokio::test]
async fn adopted_entry_that_does_not_register_again_after_an_outage_is_dropped() {
    let gateway = TestGateway::new(2).await;
    let cache = &gateway.host.state().store_cache;
    let mut kept = (*cache.directory()).clone();
    gateway.store.remove(&gateway.targets[0].key());
    gateway
        .wait_until(|_| cache.directory().targets.len() == 1)
        .await;
    gateway.store.set_unresponsive(true);
    tokio::time::sleep(Duration::from_secs(4)).await;
    gateway.store.set_unresponsive(false);
    let is_fresh = |host: &GatewayHost| {
        let age = host.state().store_cache.age(host.state().now());
        age.is_some_and(|age| age.get() < Duration::from_millis(500))
    };
    gateway.wait_until(is_fresh).await;
    // The other host has read a later revision, which the write of another key makes.
    let revision = StorePosition::without_era(StoreRevision::new(
        cache.directory().as_of.revision.get() + 1,
    ));
    kept.as_of = revision;
    gateway.store.put("other/key", &config(1, &[]));
    let now = gateway.host.state().now();
    assert!(cache.adopt_directory(kept, PartPositions::new(revision), true, now));
    assert_eq!(cache.directory().targets.len(), 2);
    gateway
        .wait_until(|_| cache.directory().targets.len() == 1)
        .await;
}

/// Guards against an added route that is served by the dispatcher only, because the configuration is too long for a
/// message between hosts, and against hosts that take their dispatcher for lost then.
#[tokio::test]
async fn long_configuration_is_in_force_on_all_hosts() {
    let gateway = TestGateway::new(1).await;
    let follower = gateway.start_follower("edge-2").await;
    let mut document = config(2, &["key-1"]);
    let route = document["routes"]["open"].clone();
    for number in 0..4500 {
        let mut added = route.clone();
        added["prefix"] = format!("/added-in-a-long-configuration/{number}/").into();
        document["routes"][format!("added-{number}")] = added;
    }
    // The platform's store holds values of up to 1 MiB.
    assert!(document.to_string().len() < 1 << 20);
    gateway.store.put_config(&document);
    let has_version = |host: &GatewayHost| version(host) == 2;
    wait_until(WAIT_TIMEOUT, || has_version(&gateway.host)).await;
    wait_until(follower.state().settings.change_bound, || {
        has_version(&follower)
    })
    .await;
    let address = follower.caller_address();
    let added = "GET /added-in-a-long-configuration/4321/x";
    assert_eq!(call(address, added, "", "").await.status, 200);
    assert!(follower.state().remote_dispatcher().is_some());
}

/// Guards against a host that ends, or no longer follows the list of targets, because another writer left an odd entry
/// there: deeply nested, with a number that is too large, or with a port out of range.
#[tokio::test]
async fn odd_entries_of_targets_do_not_concern_the_others() {
    let gateway = TestGateway::new(1).await;
    let target = &gateway.targets[0];
    let entry = target.entry("rate", "a", "ready");
    for (number, text) in odd_entries(&entry).iter().enumerate() {
        let key = format!("servers/odd-{number}");
        gateway.store.put_text(&key, text);
    }
    gateway
        .store
        .put(&target.key(), &target.entry("rate", "a", "draining"));
    gateway.store.put_text("servers/", "no id");
    let added = TargetStandIn::start("t-new").await.unwrap();
    gateway
        .store
        .put(&added.key(), &added.entry("rate", "a", "ready"));
    // The second entry is valid but for a field that is not read.
    gateway.wait_until(|host| open_count(host) == 2).await;
    // A process that starts reads all entries at once.
    let follower = gateway.start_follower("edge-2").await;
    for host in [&gateway.host, &follower] {
        let answer = call(host.caller_address(), "GET /look/1", "key-1", "").await;
        assert_eq!(answer.status, 200);
    }
}
