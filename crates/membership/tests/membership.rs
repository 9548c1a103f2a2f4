//! Reachability of peers, the conditions under which a host may serve, and the choice of heartbeat peers.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_membership::{
    plan::is_initiator,
    prelude::*, //
};

fn host(number: usize) -> HostId {
    HostId::new(&format!("entry-{number:04}")).unwrap()
}

fn zone(number: usize) -> ZoneId {
    ZoneId::new(&format!("muscat-{number}")).unwrap()
}

fn entry(number: usize, zones: usize) -> HostEntry {
    HostEntry {
        id: host(number),
        zone: zone(number % zones),
        address: "192.0.2.1:7443".parse().unwrap(),
        is_leaving: false,
    }
}

fn roster(count: usize, zones: usize) -> HostRoster {
    HostRoster::new((0..count).map(|number| entry(number, zones)))
}

const fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

const OWN: HostIncarnation = HostIncarnation::new(1000);

/// Returns the table of host 0 with a roster of `count` hosts.
fn table(count: usize, zones: usize) -> PeerTable {
    let own = LiveHost {
        id: host(0),
        zone: zone(0),
    };
    let table = PeerTable::new(own, OWN, MembershipRules::default());
    table.on_roster(roster(count, zones), at(0));
    table
}

fn heartbeat(from: usize, incarnation: u64, sequence: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        host: host(from),
        zone: zone(0),
        address: "192.0.2.2:7443".parse().unwrap(),
        id: HeartbeatId {
            incarnation: HostIncarnation::new(incarnation),
            sequence,
        },
        echo: None,
        is_leaving: false,
    }
}

/// Sends a heartbeat to a peer at `sent` and delivers its acknowledgement at `answered`.
fn exchange(table: &PeerTable, peer: usize, sent: u64, answered: u64) {
    let sequence = table.heartbeat_for(&host(peer), at(sent)).unwrap().sequence;
    let echo = HeartbeatId {
        incarnation: OWN,
        sequence,
    };
    table.on_ack(&host(peer), HostIncarnation::new(5), echo, at(answered));
}

fn exchange_all(table: &PeerTable, peers: std::ops::Range<usize>, sent: u64) {
    peers.for_each(|peer| exchange(table, peer, sent, sent));
}

/// Guards against two owners at once: an owner that loses contact must stop before another host takes over, even
/// if acknowledgements arrive late.
#[test]
fn fence_time_starts_when_the_heartbeat_is_sent() {
    let table = table(4, 1);
    assert!(!table.in_contact(at(0)));
    exchange(&table, 1, 0, 1400);
    assert!(!table.in_contact(at(1400)), "one of three is not enough");
    exchange(&table, 2, 0, 1400);
    assert!(table.in_contact(at(1500)));
    assert!(
        !table.in_contact(at(1501)),
        "the fence time started when the late answer arrived"
    );
}

/// Guards against a partitioned host that excludes all others one by one and continues alone.
#[test]
fn partitioned_host_never_excludes_all_others() {
    let table = table(5, 1);
    exchange_all(&table, 1..5, 0);
    for millis in (500..60_000).step_by(500) {
        table.on_tick(at(millis));
        exchange(&table, 1, millis, millis);
        assert!(millis <= 1500 || !table.in_contact(at(millis)), "{millis}");
    }
}

/// Guards against a zone that stays fenced after a minority of its hosts has failed.
#[test]
fn majority_excludes_dead_hosts_and_readmits_them() {
    let table = table(5, 1);
    exchange_all(&table, 1..5, 0);
    for millis in (500..6000).step_by(500) {
        exchange_all(&table, 1..3, millis);
        table.on_tick(at(millis));
    }
    assert!(table.in_contact(at(5500)));
    assert_eq!(table.state(&host(3)), Some(PeerState::Unreachable));
    assert_eq!(table.live_hosts().len(), 3);
    table.on_heartbeat(&heartbeat(3, 5, 1), at(5600));
    assert_eq!(table.live_hosts().len(), 4);
    assert!(table.in_contact(at(5600)), "two of three");
    exchange(&table, 3, 5600, 5600);
    assert_eq!(table.live_hosts().len(), 4);
}

/// Guards against delayed messages of a replaced process that change the state of the peer or count as
/// acknowledgements of the new process.
#[test]
fn late_messages_of_an_older_incarnation_are_ignored() {
    let table = table(2, 1);
    assert_eq!(
        table.on_heartbeat(&heartbeat(1, 5, 9), at(0)),
        HeartbeatOutcome::Fresh
    );
    let header = table.heartbeat_for(&host(1), at(10)).unwrap();
    assert_eq!(
        table.on_heartbeat(&heartbeat(1, 6, 1), at(20)),
        HeartbeatOutcome::Replaced
    );
    for (incarnation, sequence) in [(5, 10), (6, 1)] {
        let mut late = heartbeat(1, incarnation, sequence);
        late.echo = Some(HeartbeatId {
            incarnation: OWN,
            sequence: header.sequence,
        });
        assert_eq!(table.on_heartbeat(&late, at(30)), HeartbeatOutcome::Stale);
    }
    let echo = HeartbeatId {
        incarnation: OWN,
        sequence: header.sequence,
    };
    table.on_ack(&host(1), HostIncarnation::new(5), echo, at(40));
    assert!(!table.in_contact(at(40)));
    let mut foreign = heartbeat(1, 6, 2);
    foreign.echo = Some(HeartbeatId {
        incarnation: HostIncarnation::new(999),
        sequence: 2,
    });
    table.heartbeat_for(&host(1), at(41));
    table.on_heartbeat(&foreign, at(42));
    assert!(
        !table.in_contact(at(42)),
        "the echo was for the previous process of this host"
    );
}

/// Guards against an early takeover: messages that another host of the zone received must count, until they are
/// older than the takeover time.
#[test]
fn reports_of_others_delay_the_unreachable_state() {
    let table = table(3, 1);
    table.on_heartbeat(&heartbeat(1, 5, 1), at(0));
    table.on_reports(
        |peer| (*peer == host(1)).then_some(Duration::from_millis(500)),
        at(3500),
    );
    table.on_tick(at(6900));
    assert_eq!(table.last_seen(&host(1)), Some(at(3000)));
    assert_eq!(table.state(&host(1)), Some(PeerState::Suspect));
    table.on_tick(at(7001));
    assert_eq!(table.state(&host(1)), Some(PeerState::Unreachable));
    assert!(
        table
            .recent_contacts(at(3500))
            .iter()
            .all(|(_, age)| age.as_millis() == 3500)
    );
}

/// Guards against new work for a host that has announced its planned stop.
#[test]
fn leaving_host_is_removed_at_once_despite_delayed_messages() {
    let table = table(3, 1);
    exchange_all(&table, 1..3, 0);
    let mut leaving = heartbeat(1, 5, 2);
    leaving.is_leaving = true;
    table.on_heartbeat(&leaving, at(100));
    exchange(&table, 1, 100, 100);
    table.on_tick(at(200));
    assert_eq!(table.state(&host(1)), Some(PeerState::Left));
    assert_eq!(table.live_hosts().len(), 2);
    table.on_heartbeat(&heartbeat(1, 6, 1), at(300));
    assert_eq!(
        table.live_hosts().len(),
        3,
        "the restarted process is not live"
    );
}

/// Guards against an owner that serves after a pause because of contact from before the pause.
#[test]
fn resumed_host_needs_new_acknowledgements() {
    let table = table(2, 1);
    let before = table.heartbeat_for(&host(1), at(0)).unwrap().sequence;
    exchange(&table, 1, 10, 10);
    assert!(table.in_contact(at(20)));
    table.on_resume(at(30));
    assert!(!table.in_contact(at(30)));
    assert!(table.is_isolated(at(30)));
    let echo = HeartbeatId {
        incarnation: OWN,
        sequence: before,
    };
    table.on_ack(&host(1), HostIncarnation::new(5), echo, at(40));
    assert!(
        !table.in_contact(at(40)),
        "a heartbeat from before the pause counted"
    );
    exchange(&table, 1, 50, 51);
    assert!(table.in_contact(at(51)) && !table.is_isolated(at(51)));
}

/// Guards against a host that keeps accepting withdrawn keys, and against one that stops although it is alone
/// according to the roster, or has contact to its fleet while the platform is down.
#[test]
fn isolation_needs_the_loss_of_both_platform_and_fleet() {
    let partitioned = table(4, 1);
    exchange_all(&partitioned, 1..4, 1000);
    partitioned.on_tick(at(1000));
    assert!(!partitioned.is_isolated(at(6000)));
    assert!(partitioned.is_isolated(at(6001)));
    partitioned.on_platform_answer(at(6001));
    assert!(!partitioned.is_isolated(at(6001)));

    let alone = table(1, 1);
    assert!(!alone.is_isolated(at(3_600_000)) && alone.in_contact(at(3_600_000)));

    let together = table(4, 1);
    for millis in (0..3_600_000).step_by(60_000) {
        exchange_all(&together, 1..4, millis);
        assert!(!together.is_isolated(at(millis + 4000)));
    }
    let own = LiveHost {
        id: host(0),
        zone: zone(0),
    };
    let new = PeerTable::new(own, OWN, MembershipRules::default());
    assert!(
        new.is_isolated(at(0)) && !new.in_contact(at(0)),
        "no roster yet"
    );
}

/// Guards against a partitioned host that is alone in its zone and therefore serves as if it were the only host.
#[test]
fn host_alone_in_its_zone_needs_the_other_zones() {
    let table = table(3, 3);
    assert!(!table.in_contact(at(0)));
    exchange_all(&table, 1..3, 0);
    assert!(table.in_contact(at(1500)) && !table.in_contact(at(1501)));
}

/// Guards against missing a pause that only one of the clocks shows, and against false detections.
#[test]
fn pause_is_detected_by_either_clock() {
    let wall = |millis: u64| UnixTime::from_millis(1_796_382_000_000 + millis);
    let mut detector = PauseDetector::new(Duration::from_millis(100), Duration::from_secs(1));
    assert_eq!(detector.on_tick(at(0), wall(0)), None);
    assert_eq!(detector.on_tick(at(1100), wall(1100)), None);
    let stopped = detector.on_tick(at(2300), wall(2300)).unwrap();
    assert_eq!(stopped.duration, Duration::from_millis(1100));
    assert!(!stopped.is_wall_clock_only);
    let suspended = detector.on_tick(at(2400), wall(3_602_400)).unwrap();
    assert!(suspended.is_wall_clock_only);
    assert_eq!(
        detector.on_tick(at(2500), wall(0)),
        None,
        "a backward clock step is not a pause"
    );
}

/// Guards against heartbeat traffic that grows with the square of the fleet size, and against a zone without
/// contact to the other zones.
#[test]
fn heartbeat_plan_is_bounded_as_the_fleet_grows() {
    for (hosts, zones, own_zone, other_zones) in
        [(3, 3, 0, 2), (3, 1, 2, 0), (48, 3, 15, 4), (1700, 10, 6, 9)]
    {
        let plan = table(hosts, zones).plan();
        println!("hosts={hosts} zones={zones} per_round={}", plan.per_round());
        assert_eq!(plan.own_zone().len(), own_zone, "{hosts}");
        assert_eq!(plan.other_zones().len(), other_zones, "{hosts}");
    }
    let mut receivers = indexmap::IndexMap::<HostId, usize>::new();
    let roster = roster(1700, 10);
    for number in 0..170 {
        let plan = HeartbeatPlan::new(&host(number * 10), &zone(0), roster.iter());
        for peer in plan.own_zone() {
            *receivers.entry(peer.clone()).or_default() += 1;
        }
    }
    let (least, most) = (receivers.values().min(), receivers.values().max());
    println!(
        "zone=170 senders_min={} senders_max={}",
        least.unwrap(),
        most.unwrap()
    );
    assert_eq!(receivers.len(), 170, "some host gets no heartbeats");
}

/// Guards against hosts that choose different readers or none.
#[test]
fn two_readers_per_zone_in_any_order() {
    let hosts: Vec<_> = (0..16).map(host).collect();
    let choice = ReaderChoice::new(&zone(0), &hosts);
    assert_eq!(choice, ReaderChoice::new(&zone(0), hosts.iter().rev()));
    assert_eq!(choice.readers().len(), 2);
    let rest = hosts.iter().filter(|host| **host != choice.readers()[0]);
    assert!(ReaderChoice::new(&zone(0), rest).contains(&choice.readers()[1]));
    assert_eq!(ReaderChoice::new(&zone(0), &hosts[..1]).readers().len(), 1);
}

/// Guards against pairs in which both hosts initiate heartbeats or neither does, and against a host that initiates
/// those of most of its pairs.
#[test]
fn one_host_of_each_pair_initiates_heartbeats() {
    for own in 0..16 {
        let others = (0..16).filter(|peer| *peer != own);
        let initiated = others.filter(|&peer| {
            let initiates = is_initiator(&host(own), &host(peer));
            assert_ne!(initiates, is_initiator(&host(peer), &host(own)));
            initiates
        });
        let count = initiated.count();
        assert!(
            (3..=12).contains(&count),
            "host {own} initiates {count} of 15 pairs"
        );
    }
}

/// Guards against a responder that loses contact because the initiator stops sending heartbeats: it must send one
/// itself before its last acknowledged answer is too old.
#[test]
fn responder_sends_heartbeats_when_the_initiator_stops() {
    let table = table(16, 1);
    let peer = (1..16).find(|&peer| !is_initiator(&host(0), &host(peer)));
    let peer = peer.unwrap();
    let others = (1..16).filter(|&other| other != peer);
    // Contact requires more than half of the hosts. With 7 of the other 14, this peer is decisive.
    let others: Vec<_> = others.take(7).collect();
    let mut echo = None;
    for (sequence, millis) in [(1, 0), (2, 500)] {
        let mut received = heartbeat(peer, 5, sequence);
        received.echo = echo;
        table.on_heartbeat(&received, at(millis));
        table.on_initiated(&host(peer), at(millis));
        let answer = table.heartbeat_for(&host(peer), at(millis)).unwrap();
        echo = Some(HeartbeatId {
            incarnation: OWN,
            sequence: answer.sequence,
        });
        assert!(table.is_responder(&host(peer), at(millis + 600)));
    }
    // The initiator's heartbeats at 1000 and 1500 ms are lost.
    for millis in (510..2500).step_by(10) {
        if millis % 500 == 0 {
            for &other in &others {
                exchange(&table, other, millis, millis);
            }
        }
        let is_round = millis % 500 == 0 && !table.is_responder(&host(peer), at(millis));
        if is_round || (millis % 100 == 0 && table.is_overdue(&host(peer), at(millis))) {
            exchange(&table, peer, millis, millis);
        }
        if millis >= 1000 {
            assert!(table.in_contact(at(millis)), "no contact at {millis} ms");
        }
    }
}
