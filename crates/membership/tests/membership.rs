//! Guards who counts as reachable, when a host may serve, and whom it talks to.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_membership::prelude::*;

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

/// The table of host 0 with a roster of the given size.
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
        mark: SequenceMark {
            incarnation: HostIncarnation::new(incarnation),
            sequence,
        },
        echo: None,
        is_leaving: false,
    }
}

/// Lets a peer answer a heartbeat that is sent at a time.
fn exchange(table: &PeerTable, peer: usize, sent: u64, answered: u64) {
    let sequence = table.heartbeat_for(&host(peer), at(sent)).unwrap().sequence;
    let echo = SequenceMark {
        incarnation: OWN,
        sequence,
    };
    table.on_ack(&host(peer), HostIncarnation::new(5), echo, at(answered));
}

fn exchange_all(table: &PeerTable, peers: std::ops::Range<usize>, sent: u64) {
    peers.for_each(|peer| exchange(table, peer, sent, sent));
}

/// Guards against two owners: one that is cut off must stop before another one takes over, also when
/// acknowledgements arrive late.
#[test]
fn owner_is_fenced_from_the_time_of_sending() {
    let table = table(4, 1);
    assert!(!table.in_contact(at(0)));
    exchange(&table, 1, 0, 1400);
    assert!(!table.in_contact(at(1400)), "one of three is not enough");
    exchange(&table, 2, 0, 1400);
    assert!(table.in_contact(at(1500)));
    assert!(
        !table.in_contact(at(1501)),
        "the late answer counted from its arrival"
    );
}

/// Guards against a cut-off host that drops all others one by one and goes on alone.
#[test]
fn cut_off_host_never_becomes_alone() {
    let table = table(5, 1);
    exchange_all(&table, 1..5, 0);
    for millis in (500..60_000).step_by(500) {
        table.on_tick(at(millis));
        exchange(&table, 1, millis, millis);
        assert!(millis <= 1500 || !table.in_contact(at(millis)), "{millis}");
    }
}

/// Guards against a zone that stays fenced after a minority of its hosts has died.
#[test]
fn majority_drops_dead_hosts_and_takes_them_back() {
    let table = table(5, 1);
    exchange_all(&table, 1..5, 0);
    for millis in (500..6000).step_by(500) {
        exchange_all(&table, 1..3, millis);
        table.on_tick(at(millis));
    }
    assert!(table.in_contact(at(5500)));
    assert_eq!(table.standing(&host(3)), Some(PeerStanding::Unreachable));
    assert_eq!(table.live_hosts().len(), 3);
    table.on_heartbeat(&heartbeat(3, 5, 1), at(5600));
    assert_eq!(table.live_hosts().len(), 4);
    assert!(table.in_contact(at(5600)), "two of three");
    exchange(&table, 3, 5600, 5600);
    assert_eq!(table.live_hosts().len(), 4);
}

/// Guards against late messages of a replaced process that revive it or acknowledge for the new one.
#[test]
fn late_messages_of_an_older_incarnation_are_ignored() {
    let table = table(2, 1);
    assert_eq!(
        table.on_heartbeat(&heartbeat(1, 5, 9), at(0)),
        HeartbeatOutcome::Fresh
    );
    let ticket = table.heartbeat_for(&host(1), at(10)).unwrap();
    assert_eq!(
        table.on_heartbeat(&heartbeat(1, 6, 1), at(20)),
        HeartbeatOutcome::Replaced
    );
    for (incarnation, sequence) in [(5, 10), (6, 1)] {
        let mut late = heartbeat(1, incarnation, sequence);
        late.echo = Some(SequenceMark {
            incarnation: OWN,
            sequence: ticket.sequence,
        });
        assert_eq!(table.on_heartbeat(&late, at(30)), HeartbeatOutcome::Stale);
    }
    let echo = SequenceMark {
        incarnation: OWN,
        sequence: ticket.sequence,
    };
    table.on_ack(&host(1), HostIncarnation::new(5), echo, at(40));
    assert!(!table.in_contact(at(40)));
    let mut foreign = heartbeat(1, 6, 2);
    foreign.echo = Some(SequenceMark {
        incarnation: HostIncarnation::new(999),
        sequence: 2,
    });
    table.heartbeat_for(&host(1), at(41));
    table.on_heartbeat(&foreign, at(42));
    assert!(
        !table.in_contact(at(42)),
        "the echo was for our predecessor"
    );
}

/// Guards against an early takeover: what another host of the zone heard counts, and ages.
#[test]
fn reports_of_others_keep_a_peer_from_being_unreachable() {
    let table = table(3, 1);
    table.on_heartbeat(&heartbeat(1, 5, 1), at(0));
    table.on_reports(
        |peer| (*peer == host(1)).then_some(Duration::from_millis(500)),
        at(3500),
    );
    table.on_tick(at(6900));
    assert_eq!(table.last_heard(&host(1)), Some(at(3000)));
    assert_eq!(table.standing(&host(1)), Some(PeerStanding::Suspect));
    table.on_tick(at(7001));
    assert_eq!(table.standing(&host(1)), Some(PeerStanding::Unreachable));
    assert!(
        table
            .heard_directly(at(3500))
            .iter()
            .all(|(_, age)| age.as_millis() == 3500)
    );
}

/// Guards against new work for a host that has announced its planned stop.
#[test]
fn leaving_host_leaves_at_once_and_late_messages_do_not_bring_it_back() {
    let table = table(3, 1);
    exchange_all(&table, 1..3, 0);
    let mut leaving = heartbeat(1, 5, 2);
    leaving.is_leaving = true;
    table.on_heartbeat(&leaving, at(100));
    exchange(&table, 1, 100, 100);
    table.on_tick(at(200));
    assert_eq!(table.standing(&host(1)), Some(PeerStanding::Left));
    assert_eq!(table.live_hosts().len(), 2);
    table.on_heartbeat(&heartbeat(1, 6, 1), at(300));
    assert_eq!(table.live_hosts().len(), 3, "its successor takes part");
}

/// Guards against an owner that serves after a pause by what it knew before.
#[test]
fn woken_host_needs_a_fresh_round() {
    let table = table(2, 1);
    let before = table.heartbeat_for(&host(1), at(0)).unwrap().sequence;
    exchange(&table, 1, 10, 10);
    assert!(table.in_contact(at(20)));
    table.on_wake(at(30));
    assert!(!table.in_contact(at(30)));
    assert!(table.is_isolated(at(30)));
    let echo = SequenceMark {
        incarnation: OWN,
        sequence: before,
    };
    table.on_ack(&host(1), HostIncarnation::new(5), echo, at(40));
    assert!(
        !table.in_contact(at(40)),
        "a heartbeat of before the pause counted"
    );
    exchange(&table, 1, 50, 51);
    assert!(table.in_contact(at(51)) && !table.is_isolated(at(51)));
}

/// Guards against a host that goes on with withdrawn keys, and against one that stops although it is
/// alone by the roster or sees its fleet while the platform is down.
#[test]
fn isolation_needs_the_loss_of_both_platform_and_fleet() {
    let cut_off = table(4, 1);
    exchange_all(&cut_off, 1..4, 1000);
    cut_off.on_tick(at(1000));
    assert!(!cut_off.is_isolated(at(6000)));
    assert!(cut_off.is_isolated(at(6001)));
    cut_off.on_platform(at(6001));
    assert!(!cut_off.is_isolated(at(6001)));

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

/// Guards against a host, alone in its zone, that takes itself for the only one when it is cut off.
#[test]
fn host_alone_in_its_zone_needs_the_other_zones() {
    let table = table(3, 3);
    assert!(!table.in_contact(at(0)));
    exchange_all(&table, 1..3, 0);
    assert!(table.in_contact(at(1500)) && !table.in_contact(at(1501)));
}

/// Guards against a pause that only one of the clocks shows, and against false alarms.
#[test]
fn pause_is_recognised_by_either_clock() {
    let wall = |millis: u64| UnixTime::from_millis(1_796_382_000_000 + millis);
    let mut detector = WakeDetector::new(Duration::from_millis(100), Duration::from_secs(1));
    assert_eq!(detector.on_tick(at(0), wall(0)), None);
    assert_eq!(detector.on_tick(at(1100), wall(1100)), None);
    let stopped = detector.on_tick(at(2300), wall(2300)).unwrap();
    assert_eq!(stopped.gap, Duration::from_millis(1100));
    assert!(!stopped.is_by_wall_only);
    let suspended = detector.on_tick(at(2400), wall(3_602_400)).unwrap();
    assert!(suspended.is_by_wall_only);
    assert_eq!(
        detector.on_tick(at(2500), wall(0)),
        None,
        "a step back is no pause"
    );
}

/// Guards against heartbeats that grow with the square of the fleet, and against a zone without
/// contact to another one.
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
        "zone=170 heard_by_min={} heard_by_max={}",
        least.unwrap(),
        most.unwrap()
    );
    assert_eq!(receivers.len(), 170, "a host gets no heartbeat at all");
}

/// Guards against hosts that choose different readers, or none.
#[test]
fn two_readers_per_zone_whatever_the_order() {
    let hosts: Vec<_> = (0..16).map(host).collect();
    let choice = ReaderChoice::new(&zone(0), &hosts);
    assert_eq!(choice, ReaderChoice::new(&zone(0), hosts.iter().rev()));
    assert_eq!(choice.readers().len(), 2);
    let rest = hosts.iter().filter(|host| **host != choice.readers()[0]);
    assert!(ReaderChoice::new(&zone(0), rest).contains(&choice.readers()[1]));
    assert_eq!(ReaderChoice::new(&zone(0), &hosts[..1]).readers().len(), 1);
}
