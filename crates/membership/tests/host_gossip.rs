//! Membership by gossip.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
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

/// Guards against two hosts that both act as dispatcher although they know of each other.
#[test]
fn oldest_host_is_ranked_first_on_every_host() {
    let (young, old) = (record("young", 20, 1), record("old", 10, 1));
    let (on_young, on_old) = (HostGossip::new(young.clone()), HostGossip::new(old.clone()));
    on_young.merge(old, at(0));
    on_old.merge(young, at(0));
    assert_eq!(ranked(&on_young, at(100)), ["old", "young"]);
    assert_eq!(ranked(&on_old, at(100)), ["old", "young"]);
}

/// Guards against a dead host that counts as live because a third host keeps sending an old copy of its record.
#[test]
fn record_without_updates_is_not_ranked_and_then_removed() {
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

/// Guards against every request being sent to a host that did not answer an earlier one.
#[test]
fn host_that_did_not_answer_is_not_ranked_until_its_counter_increases() {
    let gossip = HostGossip::new(record("own", 20, 1));
    gossip.merge(record("old", 10, 7), at(0));
    let old = HostId::new("old").unwrap();
    assert!(gossip.suspect(&old, at(100)));
    assert!(
        !gossip.suspect(&old, at(200)),
        "the host was suspected before"
    );
    gossip.merge(record("old", 10, 8), at(1000));
    assert_eq!(ranked(&gossip, at(1000)), ["own"]);
    gossip.merge(record("old", 10, 12), at(4000));
    assert_eq!(ranked(&gossip, at(4000)), ["old", "own"]);
}

/// Guards against a restarted host that is treated as its previous process.
#[test]
fn restarted_host_is_ranked_again_behind_older_ones() {
    let gossip = HostGossip::new(record("own", 20, 1));
    gossip.merge(record("old", 10, 7), at(0));
    gossip.suspect(&HostId::new("old").unwrap(), at(100));
    gossip.merge(record("old", 30, 0), at(200));
    assert_eq!(ranked(&gossip, at(200)), ["own", "old"]);
}

/// Guards against requesting permits from a host that is stopping.
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

/// Guards against a dead host that stays in the fleet, because hosts that remove its record at different times pass it back
/// and forth.
#[test]
fn removed_record_is_not_taken_back_from_a_host_that_still_has_it() {
    let hosts = ["a", "b"].map(|name| HostGossip::new(record(name, 20, 1)));
    let dead = record("dead", 10, 7);
    hosts[0].merge(dead.clone(), at(0));
    hosts[1].merge(dead.clone(), at(3000));
    for second in 3..30 {
        let now = at(second * 1000);
        for (here, there) in [(0, 1), (1, 0)] {
            hosts[here].advance(now);
            for sent in hosts[here].records() {
                hosts[there].merge(sent, now);
            }
        }
    }
    for host in &hosts {
        assert_eq!(host.known_count(), 2);
    }
    let restarted = record("dead", 11, 1);
    hosts[0].merge(restarted, at(31_000));
    assert_eq!(hosts[0].known_count(), 3);
}

/// Guards against hosts whose counters do not reach each other, and against records that are sent although both hosts
/// have them.
#[test]
fn counters_renew_known_records_and_name_unknown_ones() {
    let [sender, receiver] = ["a", "b"].map(|name| HostGossip::new(record(name, 20, 1)));
    for (beat, host) in [(5, &sender), (3, &receiver)] {
        host.merge(record("known", 10, beat), at(0));
    }
    sender.merge(record("new", 30, 1), at(0));
    let unknown = receiver.merge_beats(&sender.beats(8), at(5000));
    // The receiver knows neither the sender nor the new host.
    let names: Vec<_> = sender.records_of(&unknown);
    let mut names: Vec<_> = names.iter().map(|record| record.host.as_str()).collect();
    names.sort_unstable();
    assert_eq!(names, ["a", "new"]);
    assert_eq!(ranked(&receiver, at(10_000)), ["known", "b"]);
    assert_eq!(ranked(&sender, at(10_000)), ["a"]);
    for record in sender.records_of(&unknown) {
        receiver.merge(record, at(5000));
    }
    assert!(receiver.merge_beats(&sender.beats(8), at(5000)).is_empty());
}

/// Guards against hosts with short names, started some milliseconds apart, that have the same key. The counter of one of
/// them then never increases on the others, which take it for dead.
#[test]
fn keys_of_short_names_differ() {
    let fleets = 0..100;
    let shared = fleets.map(|fleet| {
        let processes = (0..32).map(|host| {
            let start = 1_796_651_205_000 + fleet * 7_919 + host * 2 + (host * host + fleet) % 3;
            MemberKey::new(
                &HostId::new(&format!("n{host:02}")).unwrap(),
                HostIncarnation::new(start),
            )
        });
        32 - processes.collect::<std::collections::HashSet<_>>().len()
    });
    assert_eq!(shared.sum::<usize>(), 0);
}

/// Returns two names whose processes, started at the same time, have the same key.
fn names_with_one_key(start: u64) -> (String, String) {
    let mut seen = std::collections::HashMap::new();
    let names = (0..2_000_000).map(|number| format!("host-{number}"));
    let mut pairs = names.filter_map(|name| {
        let key = MemberKey::new(&HostId::new(&name).unwrap(), HostIncarnation::new(start));
        seen.insert(key, name.clone()).map(|other| (other, name))
    });
    pairs.next().unwrap()
}

/// Guards against a host that counts as dead because another one has its key: the counter of only one of them was renewed.
#[test]
fn hosts_with_one_key_are_known_by_their_records() {
    let (first, second) = names_with_one_key(10);
    let (near, far) = (
        HostGossip::new(record("near", 20, 1)),
        HostGossip::new(record("far", 30, 1)),
    );
    for gossip in [&near, &far] {
        gossip.merge(record(&first, 10, 1), at(0));
        gossip.merge(record(&second, 10, 1), at(0));
    }
    for (beat, millis) in (2..12).zip((1000..).step_by(1000)) {
        far.merge(record(&first, 10, beat), at(millis));
        far.merge(record(&second, 10, beat), at(millis));
        let wanted = near.merge_beats(&far.beats(10), at(millis));
        for record in far.records_of(&wanted) {
            near.merge(record, at(millis));
        }
        near.advance(at(millis));
    }
    let known = near.records().into_iter();
    let mut beats: Vec<u64> = known.map(|record| record.beat).collect();
    beats.sort_unstable();
    // The counters of the host itself and of the two. That of the host that sends them stands still.
    assert_eq!(beats, [11, 11, 11]);
    assert!(ranked(&near, at(10_000)).contains(&first));
    assert!(ranked(&near, at(10_000)).contains(&second));
}

/// Guards against a counter that does not pass on in a fleet with more hosts than a message has counters.
#[test]
fn latest_counters_go_first() {
    let gossip = HostGossip::new(record("own", 20, 1));
    for (number, millis) in [(1, 100), (2, 300), (3, 200)] {
        gossip.merge(record(&format!("host-{number}"), 10, number), at(millis));
    }
    let beats: Vec<u64> = gossip.beats(3).iter().map(|beat| beat.beat).collect();
    assert_eq!(beats, [1, 2, 3]);
}
