//! Hosts that a dispatcher asks to read the store.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;

fn budget() -> ChangeBudget {
    ChangeBudget::new(Duration::from_millis(2000))
}

fn hosts(count: usize) -> Vec<HostId> {
    let name = |number| HostId::new(&format!("edge-{number}")).unwrap();
    (0..count).map(name).collect()
}

fn own(age_millis: u64, is_store_failing: bool) -> OwnCopy {
    OwnCopy {
        age: Some(ContactAge::new(Duration::from_millis(age_millis))),
        is_store_failing,
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn asked(search: &ReaderSearch, hosts: &[HostId]) -> Vec<usize> {
    let numbers = 0..hosts.len();
    numbers
        .filter(|number| search.is_asked(&hosts[*number]))
        .collect()
}

/// Guards against a dispatcher that learns nothing because the store refuses the hosts next in rank, too: those that were
/// asked in vain are replaced, by more each time.
#[test]
fn hosts_asked_in_vain_are_replaced() {
    let (hosts, mut search) = (hosts(16), ReaderSearch::new());
    search.update(&hosts, own(900, true), budget(), at(900));
    assert_eq!(asked(&search, &hosts), [0, 1, 2, 3]);
    search.update(&hosts, own(1100, true), budget(), at(1100));
    assert_eq!(asked(&search, &hosts), [0, 1, 2, 3]);
    search.update(&hosts, own(1400, true), budget(), at(1400));
    assert_eq!(asked(&search, &hosts), [4, 5, 6, 7, 8, 9, 10, 11]);
    search.update(&hosts, own(1900, true), budget(), at(1900));
    assert_eq!(asked(&search, &hosts), [12, 13, 14, 15]);
    // All were asked in vain: the store is probably down for everyone, and they are asked again after a pause.
    for millis in [2400, 3000, 4300] {
        search.update(&hosts, own(millis, true), budget(), at(millis));
        assert!(asked(&search, &hosts).is_empty());
    }
    search.update(&hosts, own(4400, true), budget(), at(4400));
    assert_eq!(asked(&search, &hosts), [0, 1, 2, 3]);
}

/// Guards against a search that starts anew, with a late copy each time, although one of the asked hosts is served.
#[test]
fn served_host_remains_asked_until_the_dispatcher_is_served() {
    let (hosts, mut search) = (hosts(16), ReaderSearch::new());
    search.update(&hosts, own(900, true), budget(), at(900));
    for millis in (1000..4000).step_by(100) {
        search.on_served(&hosts[2], at(millis));
        search.update(&hosts, own(100, true), budget(), at(millis));
    }
    assert_eq!(asked(&search, &hosts), [2]);
    search.update(&hosts, own(100, false), budget(), at(4000));
    assert!(asked(&search, &hosts).is_empty());
}

/// Guards against calls by many hosts in ordinary operation, and against a search that begins only when a refusal has
/// made the copy late.
#[test]
fn search_begins_with_a_failed_call_and_not_before() {
    let (hosts, mut search) = (hosts(16), ReaderSearch::new());
    search.update(&hosts, own(600, false), budget(), at(600));
    assert!(asked(&search, &hosts).is_empty());
    search.update(&hosts, own(650, true), budget(), at(650));
    assert_eq!(asked(&search, &hosts), [0, 1, 2, 3]);
}
