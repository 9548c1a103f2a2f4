//! Rate and burst of a team over all dispatchers.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::team_bucket::TeamBucket;

const RATE: RequestRate = RequestRate::from_whole(20);
const BURST: BurstSize = BurstSize::from_whole(20);
const WHOLE: CapacityRatio = CapacityRatio::from_mille(1000);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn host(name: &str) -> HostId {
    HostId::new(name).unwrap()
}

/// Takes all tokens that the bucket has at `now`, and returns their number.
fn take_all(bucket: &mut TeamBucket, share: CapacityRatio, now: MonoTime) -> u64 {
    let mut count = 0;
    while bucket.try_take(RATE, BURST, share, now).is_ok() {
        count += 1;
    }
    count
}

/// Guards against a full burst after each restart: the whole fleet is killed while a team sends many times its
/// rate, and the new processes admit another burst within one window.
#[test]
fn bucket_of_a_new_process_holds_half_a_second() {
    let mut bucket = TeamBucket::new();
    assert_eq!(take_all(&mut bucket, WHOLE, at(0)), 10);
    assert_eq!(take_all(&mut bucket, WHOLE, at(500)), 10);
    let mut idle = TeamBucket::new();
    assert_eq!(take_all(&mut idle, WHOLE, at(60_000)), 20);
}

/// Guards against three zones that each admit the whole rate.
#[test]
fn reports_of_other_dispatchers_are_paid_back() {
    let mut bucket = TeamBucket::new();
    let start = HostIncarnation::new(7);
    assert_eq!(take_all(&mut bucket, WHOLE, at(10_000)), 20);
    bucket.on_report(&host("other"), start, 100, at(10_000));
    bucket.on_report(&host("other"), start, 120, at(10_500));
    // The 20 tokens reported since the first report are paid back before the next grant.
    assert_eq!(take_all(&mut bucket, WHOLE, at(11_000)), 0);
    assert_eq!(take_all(&mut bucket, WHOLE, at(12_000)), 20);
}

/// Guards against a report that is charged twice, or again after a restart of its sender.
#[test]
fn report_counts_once() {
    let mut bucket = TeamBucket::new();
    let start = HostIncarnation::new(7);
    assert_eq!(take_all(&mut bucket, WHOLE, at(10_000)), 20);
    for spent in [5, 10, 10, 8] {
        bucket.on_report(&host("other"), start, spent, at(10_000));
    }
    bucket.on_report(&host("other"), HostIncarnation::new(8), 3, at(10_000));
    assert_eq!(bucket.total(), 25);
    assert_eq!(take_all(&mut bucket, WHOLE, at(11_000)), 15);
}

/// Guards against isolated hosts that each admit the whole rate.
#[test]
fn partition_refills_its_share_only() {
    let mut bucket = TeamBucket::new();
    let share = CapacityRatio::from_mille(100);
    assert_eq!(take_all(&mut bucket, share, at(60_000)), 2);
    assert_eq!(take_all(&mut bucket, share, at(65_000)), 2);
}

/// Guards against a retry delay that is longer or shorter than the time until the next token.
#[test]
fn refusal_names_the_time_of_the_next_token() {
    let mut bucket = TeamBucket::new();
    take_all(&mut bucket, WHOLE, at(10_000));
    let wait = bucket.try_take(RATE, BURST, WHOLE, at(10_000));
    assert_eq!(wait, Err(Duration::from_millis(50)));
}

/// Guards against a second burst within one window when the whole fleet restarts while a team sends at its limit:
/// at first each of 48 new processes takes itself for one of 32 hosts, and then three of them share the rate.
#[test]
fn restart_of_the_whole_fleet_stays_within_the_window() {
    let mut before = TeamBucket::new();
    let early = take_all(&mut before, WHOLE, at(60_000)) + 20 * 2;
    let single_host = CapacityRatio::from_mille(1000 / 32);
    let mut buckets: Vec<TeamBucket> = (0..48).map(|_| TeamBucket::new()).collect();
    let mut late = 0;
    for bucket in &mut buckets {
        late += take_all(bucket, single_host, at(300));
    }
    let third = CapacityRatio::from_mille(333);
    for bucket in buckets.iter_mut().take(3) {
        late += take_all(bucket, third, at(3000));
    }
    // The platform allows (rate x 5 + burst) x 1.25 + 20 in five seconds.
    let allowed = (20 * 5 + 20) * 5 / 4 + 20;
    assert!(
        early + late <= allowed,
        "{early} requests before and {late} after the restart, of {allowed} allowed"
    );
}

/// Guards against refusals within the rate for seconds after a network partition: a dispatcher that had kept to its
/// share received the spending of the others all at once and paid it back. Simulates a partition of six seconds of
/// a third of the fleet, while a team sends half its rate, evenly from three zones.
#[test]
fn end_of_a_cut_refuses_nothing_within_the_rate() {
    let mut buckets = [0; 3].map(|_| TeamBucket::new());
    let names = ["a", "b", "c"].map(host);
    let start = HostIncarnation::new(7);
    let is_partitioned = |millis: u64| (10_000..16_000).contains(&millis);
    let third = CapacityRatio::from_mille(333);
    let (mut sent, mut refused) = (0, 0);
    for millis in (2000..22_000).step_by(100) {
        // Half of 20 a second is one in each 300 ms at each of three zones.
        let zone = usize::try_from(millis / 100 % 3).unwrap();
        let share = match is_partitioned(millis) && zone == 2 {
            true => third,
            false => WHOLE,
        };
        sent += 1;
        let taken = buckets[zone].try_take(RATE, BURST, share, at(millis));
        refused += u64::from(taken.is_err());
        if millis % 500 > 0 {
            continue;
        }
        for (from, to) in [(0, 1), (1, 0), (0, 2), (1, 2), (2, 0), (2, 1)] {
            if is_partitioned(millis) && (from == 2 || to == 2) {
                continue;
            }
            let spent = buckets[from].spent();
            buckets[to].on_report(&names[from], start, spent, at(millis));
        }
    }
    assert_eq!(refused, 0, "refused requests of {sent}");
}

/// Guards against three zones that each admit the whole rate, because each report arrives so late that its spending
/// is no longer charged in full. Simulates a team that takes all tokens from dispatchers that exchange reports each
/// 1.6 s, and checks every span of five seconds.
#[test]
fn slow_reports_stay_within_the_window() {
    let mut buckets = [0; 3].map(|_| TeamBucket::new());
    let names = ["a", "b", "c"].map(host);
    let start = HostIncarnation::new(7);
    let mut taken: Vec<(u64, u64)> = Vec::new();
    for millis in (10_000..30_000).step_by(100) {
        for bucket in &mut buckets {
            taken.push((millis, take_all(bucket, WHOLE, at(millis))));
        }
        if millis % 1600 > 0 {
            continue;
        }
        let spent = [0, 1, 2].map(|zone| buckets[zone].spent());
        for (from, to) in [(0, 1), (1, 0), (0, 2), (1, 2), (2, 0), (2, 1)] {
            buckets[to].on_report(&names[from], start, spent[from], at(millis));
        }
    }
    // The platform allows (rate x 5 + burst) x 1.25 + 20 in five seconds. The first bursts of all three and their
    // spending before the first reports are outside the window after eight seconds.
    let allowed = (20 * 5 + 20) * 5 / 4 + 20;
    for from in (18_000..25_000).step_by(100) {
        let span = taken
            .iter()
            .filter(|(at, _)| (from..from + 5000).contains(at));
        let sum: u64 = span.map(|(_, count)| count).sum();
        assert!(
            sum <= allowed,
            "{sum} requests of {allowed} allowed in five seconds from {from} ms"
        );
    }
}
