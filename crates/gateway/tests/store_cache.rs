//! Removed targets on a host whose reads of the store failed for a while.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_gateway::store_cache::StoreCache;
use indexmap::IndexSet;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn entry(id: &str) -> TargetEntry {
    TargetEntry {
        id: TargetId::new(id).unwrap(),
        service: ServiceId::new("rate").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneId::new("a").unwrap(),
        slots: SlotCount::new(2),
        phase: TargetPhase::Ready,
        cold_left: Duration::ZERO,
        born: 1,
        sequence: 5,
    }
}

fn open_ids(cache: &StoreCache) -> Vec<String> {
    let (directory, service) = (cache.directory(), ServiceId::new("rate").unwrap());
    let open = directory.open_targets(&service);
    open.map(|entry| entry.id.to_string()).collect()
}

/// Reads the store successfully: its targets are `ids` at a revision.
fn read(cache: &StoreCache, ids: &[&str], revision: u64, now: MonoTime) {
    let entries = ids.iter().map(|id| entry(id)).collect();
    let as_of = StorePosition::without_era(StoreRevision::new(revision));
    cache.on_store_answer(now);
    cache.replace_zones(IndexSet::new(), as_of, now);
    cache.replace_targets(entries, as_of, now);
    for part in StorePart::ALL {
        cache.confirm(part, now);
    }
}

/// Guards against requests to a target that left: the store refused this host for some seconds and served others,
/// which this host took for an outage in which entries of live targets lapse.
#[test]
fn target_that_left_while_the_store_refused_this_host_is_dropped_at_once() {
    let cache = StoreCache::new();
    read(&cache, &["t-1", "t-2"], 10, at(0));
    cache.on_store_failure(at(1000));
    // Another host reads the store about every two seconds.
    for millis in [1900, 3800, 5700] {
        let age = ContactAge::new(Duration::from_millis(20));
        cache.confirm_aged(StorePart::Operator, age, at(millis));
    }
    read(&cache, &["t-2"], 20, at(7500));
    assert_eq!(open_ids(&cache), ["t-2"]);
}

/// Guards against dropping live targets whose entries lapsed in an outage, because another host reached the store
/// a moment earlier.
#[test]
fn entry_that_lapsed_stays_if_another_host_reads_the_store_first() {
    let cache = StoreCache::new();
    read(&cache, &["t-1", "t-2"], 10, at(0));
    cache.on_store_failure(at(1000));
    let age = ContactAge::new(Duration::ZERO);
    cache.confirm_aged(StorePart::Operator, age, at(5900));
    read(&cache, &["t-2"], 20, at(6000));
    assert_eq!(open_ids(&cache), ["t-1", "t-2"]);
    read(&cache, &["t-2"], 21, at(8300));
    assert_eq!(open_ids(&cache), ["t-2"]);
}

/// Guards against requests to a leaving target: the store had served a host until a moment before it refused it, and the
/// dispatcher, which had asked it to read, waited for it and asked no other host.
#[test]
fn host_that_the_store_has_just_refused_is_not_served() {
    let cache = StoreCache::new();
    let limit = Duration::from_millis(1250);
    read(&cache, &["t-1"], 10, at(0));
    assert!(cache.is_served(limit, at(400)));
    cache.on_store_failure(at(500));
    assert!(!cache.is_served(limit, at(510)));
    read(&cache, &["t-1"], 11, at(700));
    assert!(cache.is_served(limit, at(710)));
    assert!(!cache.is_served(limit, at(2000)));
}

/// Guards against requests to a target that left: a dispatcher that was cut off from everything was back, and its followers
/// took the entry from it that it kept, until it heard from them that the store had served others meanwhile.
#[test]
fn dispatcher_back_from_a_cut_brings_no_target_back() {
    let (cut, follower) = (StoreCache::new(), StoreCache::new());
    for cache in [&cut, &follower] {
        read(cache, &["t-1", "t-2"], 10, at(0));
    }
    for millis in [1500, 3000, 4500, 5900] {
        let age = ContactAge::new(Duration::from_millis(20));
        follower.confirm_aged(StorePart::Operator, age, at(millis));
    }
    read(&follower, &["t-2"], 20, at(4000));
    cut.on_store_failure(at(1000));
    read(&cut, &["t-2"], 30, at(6000));
    assert_eq!(open_ids(&cut), ["t-1", "t-2"]);
    let (shared, positions) = cut.shared_directory();
    follower.adopt_directory((*shared).clone(), positions, true, at(6100));
    assert_eq!(open_ids(&follower), ["t-2"]);
    // The first request of the follower refutes the outage.
    let span = follower.served_span(at(6100)).unwrap();
    let host = HostId::new("edge-2").unwrap();
    cut.on_served(span, at(6100), &host, at(6100));
    assert_eq!(open_ids(&cut), ["t-2"]);
}
