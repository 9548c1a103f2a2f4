//! Leases of units, the count of the fleet, and shares.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;

use crate::common::at;

fn host(number: usize) -> HostId {
    HostId::new(&format!("host-{number}")).unwrap()
}

fn process(number: usize, incarnation: u64) -> LeaseBorrower {
    LeaseBorrower {
        host: host(number),
        incarnation: HostIncarnation::new(incarnation),
    }
}

/// Returns a roster that heard of `count` other hosts at `now`.
fn roster_of(count: usize, now: MonoTime) -> FleetRoster {
    let mut roster = FleetRoster::new();
    for number in 0..count {
        roster.on_beat(&host(number), HostIncarnation::new(1), 1, now);
    }
    roster
}

/// Guards against a unit that two dispatchers spend at once, and against one that nobody uses after its borrower has ended.
#[test]
fn unit_is_lent_to_one_dispatcher_at_a_time() {
    let (first, second) = (process(1, 7), process(2, 7));
    let mut book = LeaseBook::new();
    let mut holder = LeaseHolder::new();
    assert_eq!(holder.try_lend(&first, at(1000)), Ok(None));
    // The lease arrives 200 ms later.
    book.on_lease(&host(9), LEASE_TERM, at(1200));
    assert_eq!(holder.try_lend(&second, at(2199)), Err(first.clone()));
    assert_eq!(book.units(at(2199)), 1);
    assert_eq!(book.units(at(2200)), 0);
    assert_eq!(holder.try_lend(&second, at(2250)), Ok(Some(first.clone())));
    assert!(holder.is_lent(at(2250)));
    // News of another process free nothing; those of a later process on the borrower's host do.
    holder.on_returned(&first);
    holder.on_started(&process(2, 7));
    assert!(holder.is_lent(at(2250)));
    holder.on_started(&process(2, 8));
    assert!(!holder.is_lent(at(2250)));
}

/// Guards against hosts that know nobody and each use the whole rate, and against a dispatcher that knows its own zone only
/// and uses the rate of all zones.
#[test]
fn host_that_knows_nobody_has_one_unit_of_32() {
    let share = |units, roster: &mut FleetRoster| {
        let count = roster.count(at(1000)).with_floor(size_assumed(units, 3));
        share_of_units(units, count).as_mille()
    };
    assert_eq!(share(1, &mut FleetRoster::new()), 31);
    assert_eq!(share(16, &mut roster_of(15, at(1000))), 333);
}

/// Guards against a part of the fleet that takes itself for the whole, after 8 s or after a minute, so that both parts
/// together use more than a quarter beyond the rate.
#[test]
fn both_sides_of_a_cut_stay_within_the_allowance() {
    for smaller in 1..24 {
        let mut sides = [smaller, 48 - smaller].map(|size| (size, roster_of(47, at(10_000))));
        for millis in (10_000..300_000).step_by(500) {
            let mut sum = 0;
            for (size, roster) in &mut sides {
                for number in 0..*size - 1 {
                    let beat = millis / 1000;
                    roster.on_beat(&host(number), HostIncarnation::new(1), beat, at(millis));
                }
                let units = u32::try_from(*size).unwrap();
                sum += share_of_units(units, roster.count(at(millis))).as_mille();
            }
            assert!(sum <= 1200, "{smaller} hosts, {millis} ms: {sum}");
        }
        let (_, larger) = &mut sides[1];
        let count = larger.count(at(300_000));
        assert_eq!(count.known, u32::try_from(48 - smaller).unwrap());
    }
}

/// Guards against a process that takes the hosts of its own zone for the whole fleet, and against one that for ever waits for
/// hosts of a zone that has none.
#[test]
fn zones_that_were_not_heard_of_count_for_a_minute() {
    let is_partial = |roster: &mut FleetRoster, millis: u64| {
        let count = roster.count(at(millis));
        count.is_partial(Duration::from_millis(millis), 2)
    };
    let zone = |name: &str| ZoneId::new(name).unwrap();
    let mut roster = roster_of(8, at(1000));
    roster.on_zone(&zone("a"));
    assert!(is_partial(&mut roster, 5000));
    assert!(is_partial(&mut roster, 59_999));
    assert!(!is_partial(&mut roster, 60_000));
    let mut told = roster.clone();
    told.on_size(48, at(4000));
    assert!(!is_partial(&mut told, 5000));
    roster.on_zone(&zone("b"));
    assert!(is_partial(&mut roster, 2999));
    assert!(!is_partial(&mut roster, 3000));
}

/// Guards against a process that starts on the smaller side of a cut and takes that side for the whole fleet.
#[test]
fn size_told_by_the_dispatcher_counts() {
    let mut roster = roster_of(8, at(4000));
    roster.on_size(48, at(4000));
    assert_eq!(roster.count(at(5000)).known, 48);
    roster.on_size(0, at(5000));
    assert_eq!(roster.count(at(5000)).known, 48);
}

/// Guards against a standby that uses the share of a dispatcher which is only cut off from it.
#[test]
fn share_of_a_dispatcher_is_inherited_once_it_has_ended() {
    let share = CapacityRatio::from_mille(333);
    let mut copy = StandbyCopy {
        source: process(1, 7),
        share,
        at: at(1000),
        is_ended: false,
    };
    assert_eq!(copy.inherited(at(2500)), CapacityRatio::default());
    copy.is_ended = true;
    assert_eq!(copy.inherited(at(1100)), share);
    let late = at(1000).after(Duration::from_secs(2));
    assert_eq!(copy.inherited(late), CapacityRatio::default());
}
