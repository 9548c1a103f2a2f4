//! Loads of the zones: calls to dispatchers, the zone that a request goes to, and refusals without a call.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;

use crate::{
    common::*,
    zone_fleet::*, //
};

const ZONE_WAYS_MS: [u64; 3] = [0, 4, 8];

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn zone_ids() -> Vec<ZoneId> {
    ["a", "b", "c"].map(|id| ZoneId::new(id).unwrap()).to_vec()
}

/// Returns the load of a pool with a number of free slots and an expected wait of requests of priority 1.
fn load(free_slots: u64, wait_millis: u32) -> PoolLoad {
    PoolLoad {
        free_slots: SlotTotal::new(free_slots),
        waiting: WaitingCount::new(3),
        next_slot_millis: 20,
        waits: vec![PriorityWait {
            priority: 1,
            wait_millis,
        }],
        ..PoolLoad::default()
    }
}

/// Returns the loads of zones a, b and c that arrived at one time.
fn loads_of(pools: [PoolLoad; 3], at: MonoTime) -> ZoneLoads {
    let loads = ZoneLoads::new();
    for ((zone, pool), way) in zone_ids().iter().zip(pools).zip(ZONE_WAYS_MS) {
        loads.record(&service(), zone, pool, at);
        loads.record_way(zone, millis(way));
    }
    loads
}

fn order_of(loads: &ZoneLoads, length: u64, now: MonoTime) -> String {
    let ids = zone_ids();
    let terms = OrderTerms {
        home: &ids[0],
        priority: 1,
        length: BodyLength::new(length),
    };
    let views = terms.order(loads.views(&service(), &ids, now));
    views.iter().map(|view| view.zone.as_str()).collect()
}

fn decide(loads: &ZoneLoads, team: &str, priority: u8, now: MonoTime) -> DoorAnswer {
    let (service, team) = (service(), TeamId::new(team).unwrap());
    let request = DoorRequest {
        service: &service,
        team: Some(&team),
        priority,
        wait: WAIT,
        body_time: Duration::ZERO,
    };
    loads.decide(&request, &zone_ids(), now)
}

/// Records that the dispatchers refused a request of a team and priority 1.
fn refuse(loads: &ZoneLoads, team: &str, now: MonoTime) {
    let (service, team) = (service(), TeamId::new(team).unwrap());
    let request = DoorRequest {
        service: &service,
        team: Some(&team),
        priority: 1,
        wait: WAIT,
        body_time: Duration::ZERO,
    };
    loads.record_refusal(&request, Duration::ZERO, now);
}

/// Sends requests of a team at an interval between two times.
fn send_between(fleet: &mut ZoneFleet, (from, to): (u64, u64), every_ms: usize) {
    for now in (from..to).step_by(every_ms) {
        fleet.advance(at(now));
        fleet.send("crowd", at(now));
    }
}

/// Guards against calls to all zones for each request that is refused: sends 200 requests per second of one host to three
/// zones that serve 8 each.
#[test]
fn requests_beyond_all_slots_cost_few_calls() {
    let tally_of = |search| {
        let mut fleet = ZoneFleet::new(search, &[1, 1, 1]);
        send_between(&mut fleet, (0, 4000), 5);
        fleet.tally
    };
    let (before, after) = (tally_of(HostSearch::InTurn), tally_of(HostSearch::ByLoad));
    let calls_of = |tally: &FleetTally| f64::from(tally.calls) / f64::from(tally.refused);
    let summary = format!(
        "calls for a refused request {:.2} and {:.2}, served {} and {}, {} of {} refused at the door",
        calls_of(&before),
        calls_of(&after),
        before.served.len(),
        after.served.len(),
        after.refused_at_door,
        after.refused
    );
    println!("{summary}");
    assert!(calls_of(&before) > 3.9, "{summary}");
    assert!(calls_of(&after) < 0.8, "{summary}");
    assert!(
        after.served.len() * 100 >= before.served.len() * 97,
        "{summary}"
    );
}

/// Guards against a wait in the first busy zone while another one serves sooner: the home zone has no slot for four
/// seconds, and the others get bursts that their slots serve in two turns.
#[test]
fn requests_wait_where_slots_become_free() {
    let tally_of = |search| {
        let mut fleet = ZoneFleet::new(search, &[1, 2, 2]);
        fleet.fill(0, at(10_000), at(0));
        for now in (0..4000).step_by(10) {
            fleet.advance(at(now));
            let burst = if now % 500 == 0 { 14 } else { 0 };
            (0..burst).for_each(|_| {
                fleet.send("crowd", at(now));
            });
        }
        fleet.tally
    };
    let (before, after) = (tally_of(HostSearch::InTurn), tally_of(HostSearch::ByLoad));
    let waited = |tally: &FleetTally| {
        let waits = tally.served.iter().map(|(_, waited, _)| *waited);
        waits.sum::<Duration>() / u32::try_from(tally.served.len().max(1)).unwrap()
    };
    let summary = format!(
        "served {} and {}, mean wait {:?} and {:?}",
        before.served.len(),
        after.served.len(),
        waited(&before),
        waited(&after)
    );
    println!("{summary}");
    // One request of each burst of 14 waits at home, whose dispatcher expects its slots after the mean latency.
    let served = (before.served.len(), after.served.len());
    assert_eq!(served, (64, 104), "{summary}");
    assert!(after.served.iter().all(|(zone, ..)| zone.as_str() != "a"));
}

/// Guards against requests that wait at home although another zone has a free slot.
#[test]
fn requests_go_to_the_zone_with_free_slots() {
    let mut fleet = ZoneFleet::new(HostSearch::ByLoad, &[1, 8, 8]);
    fleet.fill(0, at(10_000), at(0));
    send_between(&mut fleet, (0, 2000), 20);
    let tally = &fleet.tally;
    assert_eq!((tally.served.len(), tally.refused), (100, 0));
    assert!(tally.served.iter().all(|(_, waited, _)| waited.is_zero()));
    // The full home zone is asked again once its load is older than a period.
    assert!(tally.calls < 115, "{} calls", tally.calls);
}

/// Guards against a view that refuses requests for longer than a period after slots have become free.
#[test]
fn stale_view_ends_within_one_period() {
    let mut fleet = ZoneFleet::new(HostSearch::ByLoad, &[2, 2, 2]);
    for zone in 0..3 {
        fleet.fill(zone, at(2000), at(0));
    }
    // Requests that wait make the expected wait longer than what the further ones may wait.
    send_between(&mut fleet, (0, 2000), 4);
    assert!(fleet.tally.refused_at_door > 100, "{:?}", fleet.tally);
    let mut taken = (2000..3000).step_by(40).map(|now| {
        fleet.advance(at(now));
        (now, fleet.send("crowd", at(now)))
    });
    let first = taken.find(|(_, is_taken)| *is_taken);
    assert!(first.is_some_and(|(now, _)| now <= 2250), "{first:?}");
    assert!(taken.all(|(_, is_taken)| is_taken));
}

/// Guards against refusals by loads that are missing, too old, or show a free slot, of requests that a dispatcher may
/// serve before others, and of one in eight requests that renew the loads.
#[test]
fn door_refuses_only_what_fresh_loads_of_all_zones_refuse() {
    let full = || load(0, 900);
    let loads = loads_of([full(), load(0, 800), full()], at(1000));
    assert_eq!(decide(&loads, "crowd", 1, at(1001)), DoorAnswer::Open);
    refuse(&loads, "crowd", at(1000));
    let DoorAnswer::Refused(refusal) = decide(&loads, "crowd", 1, at(1100)) else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.expected_wait, millis(700));
    assert_eq!(refusal.age, millis(100));
    // Nothing tells that a team with few requests or a higher priority gets no slot.
    assert_eq!(decide(&loads, "small", 1, at(1100)), DoorAnswer::Open);
    assert_eq!(decide(&loads, "crowd", 0, at(1100)), DoorAnswer::Open);
    assert_eq!(decide(&loads, "crowd", 1, at(1250)), DoorAnswer::Open);
    let answers = (0..80).map(|_| decide(&loads, "crowd", 1, at(1100)));
    let samples = answers.filter(|answer| *answer == DoorAnswer::Sample);
    assert_eq!(samples.count(), 10);
    for other in [load(1, 900), load(0, 400)] {
        let loads = loads_of([full(), full(), other], at(1000));
        refuse(&loads, "crowd", at(1000));
        assert_eq!(decide(&loads, "crowd", 1, at(1001)), DoorAnswer::Open);
    }
    let partial = ZoneLoads::new();
    for zone in &zone_ids()[..2] {
        partial.record(&service(), zone, full(), at(1000));
    }
    refuse(&partial, "crowd", at(1000));
    assert_eq!(decide(&partial, "crowd", 1, at(1001)), DoorAnswer::Open);
}

/// Guards against an expected wait that counts requests of a lower priority, or the queue while a slot is free.
#[test]
fn load_of_a_pool_tells_waits_by_priority() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let load_at = |now| dispatcher.load(&service(), Some(&zone()), at(now)).unwrap();
    let held = grant(&dispatcher, &directory, &request("first"), at(0));
    assert_eq!(load_at(1).free_slots, SlotTotal::new(1));
    grant(&dispatcher, &directory, &request("second"), at(0));
    for number in 0..4 {
        let waiting = AdmitRequest {
            priority: 2,
            wait_millis: 2000,
            ..request(&number.to_string())
        };
        admit(&dispatcher, &directory, &waiting, at(1));
    }
    let load = load_at(2);
    assert_eq!((load.free_slots.get(), load.waiting.get()), (0, 4));
    // Two slots with requests of 250 ms are free each 125 ms.
    assert_eq!(load.expected_wait(1), millis(125));
    assert_eq!(load.expected_wait(2), millis(625));
    release(&dispatcher, &held, AttemptResult::Good, at(100));
    assert_eq!(load_at(100).waiting, WaitingCount::new(3));
}

/// Guards against an order that ignores ways or the price of bytes between zones, or that uses old loads.
#[test]
fn zones_are_ordered_by_the_time_to_an_answer() {
    let free = || load(2, 0);
    let equal = loads_of([free(), free(), free()], at(0));
    assert_eq!(order_of(&equal, 0, at(0)), "abc");
    let busy_home = loads_of([load(0, 100), free(), free()], at(0));
    assert_eq!(order_of(&busy_home, 0, at(0)), "bca");
    assert_eq!(order_of(&busy_home, 1 << 18, at(0)), "abc");
    assert_eq!(order_of(&busy_home, 0, at(2001)), "abc");
    let far = loads_of([load(0, 100), free(), free()], at(0));
    far.record_way(&zone_ids()[1], millis(900));
    assert_eq!(order_of(&far, 0, at(0)), "cab");
    far.record_silence(&zone_ids()[2], at(0));
    assert_eq!(order_of(&far, 0, at(0)), "abc");
    assert_eq!(order_of(&far, 0, at(1)), "abc");
    far.record_way(&zone_ids()[2], millis(8));
    assert_eq!(order_of(&far, 0, at(2)), "cab");
}

/// Guards against a refusal before the body is read, of a request for which slots are expected by the end of its body, and
/// against a body that is read although the zones were full all the time.
#[test]
fn body_time_counts_unless_zones_are_full_for_long() {
    let loads = loads_of([load(0, 600), load(0, 600), load(0, 600)], at(1000));
    let decide_with = |body_length, now| {
        let (service, team) = (service(), TeamId::new("crowd").unwrap());
        let request = DoorRequest {
            service: &service,
            team: Some(&team),
            priority: 1,
            wait: WAIT,
            body_time: body_time(body_length),
        };
        loads.decide(&request, &zone_ids(), now)
    };
    refuse(&loads, "crowd", at(1000));
    let is_refused = |answer| matches!(answer, DoorAnswer::Refused(_));
    assert!(is_refused(decide_with(0, at(1001))));
    assert_eq!(decide_with(360_000, at(1001)), DoorAnswer::Open);
    for now in [1200, 1400] {
        for zone in zone_ids() {
            loads.record(&service(), &zone, load(0, 600), at(now));
        }
        refuse(&loads, "crowd", at(now));
    }
    assert!(is_refused(decide_with(360_000, at(1401))));
}

/// Guards against calls to zones that answer late, which use up the time of a request that its home zone would serve.
#[test]
fn zones_that_answer_late_are_left_out_if_another_serves_in_time() {
    let loads = loads_of([load(0, 100), load(2, 0), load(2, 0)], at(0));
    let ids = zone_ids();
    loads.record_silence(&ids[1], at(0));
    let terms = OrderTerms {
        home: &ids[0],
        priority: 1,
        length: BodyLength::new(0),
    };
    let views = terms.order(loads.views(&service(), &ids, at(0)));
    let mut choice = WaitChoice::new(terms, views);
    assert!(!choice.leaves_out(&ids[1], WAIT), "no zone serves it yet");
    choice.add_stated(&ids[0], millis(100));
    assert!(choice.leaves_out(&ids[1], WAIT));
    assert!(
        !choice.leaves_out(&ids[1], millis(50)),
        "the wait is too long"
    );
    assert!(
        !choice.leaves_out(&ids[2], WAIT),
        "the zone answers in time"
    );
}
