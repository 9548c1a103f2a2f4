//! What hosts tell each other where no list of hosts is published.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

use chicorycroft_core::prelude::*;
use chicorycroft_membership::prelude::*;

fn record(name: &str, start: u64, beat: u64) -> MemberRecord {
    MemberRecord {
        host: HostId::new(name).unwrap(),
        zone: ZoneId::new("a").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        incarnation: HostIncarnation::new(start),
        beat,
        is_leaving: false,
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn ranked(gossip: &HostGossip, now: MonoTime) -> Vec<String> {
    let ranked = gossip.ranked(&ZoneId::new("a").unwrap(), now);
    ranked
        .iter()
        .map(|record| record.host.to_string())
        .collect()
}

/// Guards against two hosts that take themselves for the dispatcher while they know of each other.
#[test]
fn oldest_host_goes_first_on_every_host() {
    let (young, old) = (record("young", 20, 1), record("old", 10, 1));
    let (here, there) = (HostGossip::new(young.clone()), HostGossip::new(old.clone()));
    here.merge(old, at(0));
    there.merge(young, at(0));
    assert_eq!(ranked(&here, at(100)), ["old", "young"]);
    assert_eq!(ranked(&there, at(100)), ["old", "young"]);
}

/// Guards against an old copy of a record, told by a third host, that keeps a dead host alive.
#[test]
fn record_that_does_not_advance_is_not_asked_and_then_dropped() {
    let gossip = HostGossip::new(record("own", 20, 1));
    gossip.merge(record("dead", 10, 7), at(0));
    for millis in (1000..=7000).step_by(1000) {
        gossip.merge(record("dead", 10, 7), at(millis));
        gossip.merge(record("dead", 10, 6), at(millis));
    }
    assert_eq!(ranked(&gossip, at(7000)), ["own"]);
    gossip.advance(at(9000));
    assert_eq!(gossip.known_count(), 1);
}

/// Guards against each request asking a host again that did not answer.
#[test]
fn host_that_did_not_answer_is_left_out_until_it_is_heard_of_anew() {
    let gossip = HostGossip::new(record("own", 20, 1));
    gossip.merge(record("old", 10, 7), at(0));
    let old = HostId::new("old").unwrap();
    assert!(gossip.suspect(&old, at(100)));
    assert!(!gossip.suspect(&old, at(200)), "no news the second time");
    gossip.merge(record("old", 10, 8), at(1000));
    assert_eq!(ranked(&gossip, at(1000)), ["own"]);
    gossip.merge(record("old", 10, 12), at(4000));
    assert_eq!(ranked(&gossip, at(4000)), ["old", "own"]);
}

/// Guards against a restarted host that is taken for the process before it.
#[test]
fn restarted_host_is_asked_again_and_goes_behind_older_ones() {
    let gossip = HostGossip::new(record("own", 20, 1));
    gossip.merge(record("old", 10, 7), at(0));
    gossip.suspect(&HostId::new("old").unwrap(), at(100));
    gossip.merge(record("old", 30, 0), at(200));
    assert_eq!(ranked(&gossip, at(200)), ["own", "old"]);
}

/// Guards against permits from a host that is stopping.
#[test]
fn leaving_host_is_not_ranked() {
    let gossip = HostGossip::new(record("own", 20, 1));
    let leaving = MemberRecord {
        is_leaving: true,
        ..record("old", 10, 8)
    };
    gossip.merge(record("old", 10, 7), at(0));
    gossip.merge(leaving, at(100));
    assert_eq!(ranked(&gossip, at(100)), ["own"]);
}
