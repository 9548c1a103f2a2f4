//! Adoption of published versions, and readiness of a host.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;

fn digest(text: &str) -> DocumentDigest {
    DocumentDigest::of_document(text.as_bytes())
}

fn index(version: u64, text: &str) -> IndexSummary {
    IndexSummary {
        version: ConfigVersion::new(version),
        digest: digest(text),
    }
}

fn parts(texts: &[&str]) -> Vec<PartSummary> {
    let names = ["zones", "rules", "services"];
    names
        .iter()
        .zip(texts)
        .map(|(name, text)| PartSummary {
            name: (*name).into(),
            digest: digest(text),
        })
        .collect()
}

fn peer(number: usize, zone: usize) -> IndexSource {
    IndexSource::Peer {
        host: HostId::new(&format!("entry-{number}")).unwrap(),
        zone: ZoneId::new(&format!("zone-{zone}")).unwrap(),
    }
}

const fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Reports a version and delivers its parts, up to its check.
fn deliver(follower: &mut ConfigFollower, summary: IndexSummary, texts: &[&str], now: MonoTime) {
    let verdict = follower.on_index(IndexSource::Platform, summary, now);
    assert_eq!(verdict, IndexVerdict::Fetch);
    let plan = follower.on_parts(summary, &parts(texts)).unwrap();
    for part in plan.missing {
        assert!(matches!(
            follower.on_part(part.digest),
            PartVerdict::Accepted { .. }
        ));
    }
}

fn adopt(follower: &mut ConfigFollower, summary: IndexSummary, texts: &[&str], now: MonoTime) {
    deliver(follower, summary, texts, now);
    follower.accept(summary).unwrap();
}

/// Guards against an adopted version that is replaced by a lower one from an outdated platform or
/// peer.
#[test]
fn versions_never_go_back() {
    let mut follower = ConfigFollower::new();
    adopt(&mut follower, index(5, "five"), &["a"], at(0));
    for source in [IndexSource::Platform, peer(1, 1)] {
        let verdict = follower.on_index(source, index(4, "four"), at(1));
        assert_eq!(verdict, IndexVerdict::NotNewer);
    }
    assert_eq!(follower.on_parts(index(4, "four"), &parts(&["b"])), None);
    assert!(follower.accept(index(4, "four")).is_err());
    deliver(&mut follower, index(6, "six"), &["b"], at(2));
    let verdict = follower.on_index(peer(1, 1), index(5, "five"), at(3));
    assert_eq!(verdict, IndexVerdict::NotNewer);
    follower.accept(index(6, "six")).unwrap();
    assert!(follower.accept(index(5, "five")).is_err());
    assert_eq!(follower.accepted(), Some(index(6, "six")));
}

/// Guards against two hosts with different documents of one version in force, without notice to
/// operators.
#[test]
fn equal_version_with_another_digest_is_a_conflict() {
    let mut follower = ConfigFollower::new();
    adopt(&mut follower, index(5, "five"), &["a"], at(0));
    for is_first in [true, false] {
        let known = digest("five");
        let verdict = follower.on_index(peer(1, 1), index(5, "other"), at(1));
        assert_eq!(verdict, IndexVerdict::Conflict { known, is_first });
    }
    assert_eq!(follower.accepted(), Some(index(5, "five")));
    follower.on_index(IndexSource::Platform, index(6, "six"), at(2));
    let verdict = follower.on_index(peer(1, 1), index(6, "other"), at(3));
    assert!(matches!(
        verdict,
        IndexVerdict::Conflict { is_first: true, .. }
    ));
    assert_eq!(follower.conflicts().len(), 2);
}

/// Guards against fetches of parts that are already held, and against a snapshot of mixed versions.
#[test]
fn only_changed_parts_are_fetched_and_all_are_needed() {
    let mut follower = ConfigFollower::new();
    adopt(&mut follower, index(1, "one"), &["a", "b", "c"], at(0));
    let two = index(2, "two");
    follower.on_index(peer(1, 1), two, at(1));
    assert_eq!(
        follower.on_index(peer(2, 2), two, at(1)),
        IndexVerdict::InProgress
    );
    assert_eq!(follower.sources().count(), 2);
    let plan = follower.on_parts(two, &parts(&["a", "B", "C"])).unwrap();
    assert_eq!((plan.reused, plan.missing.len()), (1, 2));
    assert_eq!(
        follower.on_part(digest("B")),
        PartVerdict::Accepted { left: 1 }
    );
    assert_eq!(follower.on_part(digest("x")), PartVerdict::NotNeeded);
    assert!(follower.accept(two).is_err(), "a part is missing");
    assert_eq!(follower.accepted(), Some(index(1, "one")));
    assert_eq!(
        follower.on_part(digest("C")),
        PartVerdict::Accepted { left: 0 }
    );
    follower.accept(two).unwrap();
    assert!(follower.retains(&digest("B")) && !follower.retains(&digest("b")));
    let three = index(3, "three");
    follower.on_index(peer(1, 1), three, at(2));
    let plan = follower.on_parts(three, &parts(&["a", "B"])).unwrap();
    assert_eq!((plan.reused, plan.missing.len()), (2, 0));
    follower.accept(three).unwrap();
}

/// Guards against an invalid version that is fetched again with every heartbeat, or blocks a valid
/// one.
#[test]
fn refused_version_is_remembered_and_a_higher_one_is_tried() {
    let mut follower = ConfigFollower::new();
    adopt(&mut follower, index(1, "one"), &["a"], at(0));
    deliver(&mut follower, index(2, "bad"), &["b"], at(1));
    follower.refuse(index(2, "bad")).unwrap();
    assert_eq!(follower.accepted(), Some(index(1, "one")));
    let verdict = follower.on_index(peer(1, 1), index(2, "bad"), at(3_600_000));
    assert_eq!(verdict, IndexVerdict::Ignored);
    assert_eq!(follower.refused().count(), 1);
    adopt(&mut follower, index(3, "three"), &["b"], at(3_600_001));
    assert_eq!(follower.refused().count(), 0);
}

/// Guards against a failed fetch that is repeated at once, or never.
#[test]
fn failed_fetch_is_retried_after_a_delay() {
    let mut follower = ConfigFollower::new();
    let one = index(1, "one");
    follower.on_index(IndexSource::Platform, one, at(0));
    follower.on_fetch_failed(one, at(1));
    assert_eq!(
        follower.on_index(peer(1, 1), one, at(500)),
        IndexVerdict::Ignored
    );
    assert_eq!(
        follower.on_index(peer(1, 1), one, at(501)),
        IndexVerdict::Fetch
    );
}

/// Guards against a series of versions that is faster than the checks, and against the loss of the
/// newest version, because the platform reports it only once.
#[test]
fn check_is_finished_and_the_newest_version_follows() {
    let mut follower = ConfigFollower::new();
    deliver(&mut follower, index(1, "one"), &["a"], at(0));
    for version in [2, 4, 3] {
        let summary = index(version, &version.to_string());
        let verdict = follower.on_index(IndexSource::Platform, summary, at(1));
        assert_eq!(verdict, IndexVerdict::InProgress);
    }
    assert_eq!(follower.next_fetch(), None);
    follower.accept(index(1, "one")).unwrap();
    assert_eq!(follower.next_fetch(), Some(index(4, "4")));
}

fn count(others: usize, zones: usize, is_fresh: bool) -> HostCount {
    HostCount {
        others,
        zones,
        is_fresh,
    }
}

/// Guards against a new host that serves with an outdated configuration from the platform before
/// peers have reported their versions, and against one that stops with each publication.
#[test]
fn new_host_is_ready_after_two_peers_of_two_zones() {
    let mut follower = ConfigFollower::new();
    follower.on_host_count(count(5, 3, true));
    assert_eq!(follower.readiness(false), HostReadiness::NoConfig);
    adopt(&mut follower, index(5, "five"), &["a"], at(0));
    assert_eq!(
        follower.readiness(false),
        HostReadiness::TooFewPeers { reported: 0 }
    );
    follower.on_index(peer(1, 1), index(5, "five"), at(1));
    follower.on_index(peer(2, 1), index(5, "five"), at(1));
    assert_eq!(
        follower.readiness(false),
        HostReadiness::TooFewPeers { reported: 2 }
    );
    follower.on_index(peer(3, 2), index(6, "six"), at(2));
    let highest = ConfigVersion::new(6);
    assert_eq!(follower.readiness(false), HostReadiness::Behind { highest });
    let plan = follower.on_parts(index(6, "six"), &parts(&["b"])).unwrap();
    follower.on_part(plan.missing[0].digest);
    follower.accept(index(6, "six")).unwrap();
    assert_eq!(follower.readiness(false), HostReadiness::Ready);
    follower.on_index(peer(1, 1), index(7, "seven"), at(3));
    assert_eq!(follower.readiness(false), HostReadiness::Ready);
    assert_eq!(follower.readiness(true), HostReadiness::Isolated);
}

/// Guards against a host that serves after a pause by reports from before, and against one that
/// never becomes ready in a small fleet, alone, or because a peer reports a refused version.
#[test]
fn resumed_host_waits_for_new_reports_and_small_fleets_become_ready() {
    let mut follower = ConfigFollower::new();
    follower.on_host_count(count(0, 0, true));
    adopt(&mut follower, index(1, "one"), &["a"], at(0));
    assert_eq!(
        follower.readiness(false),
        HostReadiness::Ready,
        "alone by a fresh list"
    );
    follower.on_resume();
    assert_eq!(follower.readiness(false), HostReadiness::NoIndex);
    follower.on_index(IndexSource::Platform, index(1, "one"), at(10));
    follower.on_host_count(count(0, 0, false));
    assert_eq!(
        follower.readiness(false),
        HostReadiness::TooFewPeers { reported: 0 }
    );
    follower.on_host_count(count(1, 1, false));
    follower.on_index(peer(1, 1), index(1, "one"), at(11));
    assert_eq!(
        follower.readiness(false),
        HostReadiness::Ready,
        "one other host"
    );
    follower.on_resume();
    follower.on_host_count(count(2, 1, false));
    deliver(&mut follower, index(2, "bad"), &["b"], at(12));
    follower.refuse(index(2, "bad")).unwrap();
    follower.on_index(peer(1, 1), index(2, "bad"), at(13));
    follower.on_index(peer(2, 1), index(1, "one"), at(13));
    assert_eq!(
        follower.readiness(false),
        HostReadiness::Ready,
        "one zone in all"
    );
}

/// Guards against a booking that ends twice or starts late after the wall clock was set back, and
/// against one that starts late after the machine was suspended.
#[test]
fn booking_clock_never_goes_back() {
    let wall = |millis: u64| UnixTime::from_millis(1_796_382_000_000 + millis);
    let mut clock = BookingClock::new(at(0), wall(0));
    assert_eq!(clock.read(at(1000), wall(1000)), wall(1000));
    assert_eq!(
        clock.read(at(2000), wall(0)),
        wall(2000),
        "stepped back by 2 s"
    );
    assert_eq!(clock.read(at(2500), wall(500)), wall(2500));
    assert_eq!(
        clock.read(at(2600), wall(3_602_600)),
        wall(3_602_600),
        "suspended for 1 h"
    );
    for micros in 0..10_000 {
        let mono = at(2600).after(Duration::from_micros(micros));
        clock.read(mono, wall(0));
    }
    assert_eq!(
        clock.last(),
        wall(3_602_609),
        "frequent readings lose no time"
    );
}
