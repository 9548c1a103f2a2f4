//! Rate and burst of a team over all dispatchers.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::{
    prelude::*,
    rate_share::ShareHistory,
    team_bucket::TeamBucket, //
};

const RATE: RequestRate = RequestRate::from_whole(20);
const BURST: BurstSize = BurstSize::from_whole(20);
const WHOLE: CapacityRatio = CapacityRatio::from_mille(1000);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

const LIMIT: TeamLimit = TeamLimit {
    rate: RATE,
    burst: BURST,
};
const THIRD: CapacityRatio = CapacityRatio::from_mille(333);

/// A bucket with the shares that its dispatcher has had.
#[derive(Default)]
struct SharedBucket {
    bucket: TeamBucket,
    shares: ShareHistory,
}

impl SharedBucket {
    fn new() -> Self {
        Self::default()
    }

    fn try_take(
        &mut self,
        rate: RequestRate,
        burst: BurstSize,
        share: CapacityRatio,
        now: MonoTime,
    ) -> Result<(), Duration> {
        self.shares.record(share, true, now);
        self.bucket
            .try_take(TeamLimit { rate, burst }, &self.shares, now)
    }

    /// Deducts tokens for another dispatcher.
    fn give(&mut self, wanted: TokenAmount, now: MonoTime) -> TokenAmount {
        self.bucket.give(wanted, LIMIT, &self.shares, now)
    }

    /// Moves what this bucket lacks from another one, as dispatchers do with each poll.
    fn fetch_from(&mut self, other: &mut Self, now: MonoTime) {
        let wanted = self.bucket.shortage(&self.shares, now);
        self.bucket.receive(other.give(wanted, now));
    }
}

/// Takes all tokens that the bucket has at `now`, and returns their number.
fn take_all(bucket: &mut SharedBucket, share: CapacityRatio, now: MonoTime) -> u64 {
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
    let mut bucket = SharedBucket::new();
    assert_eq!(take_all(&mut bucket, WHOLE, at(0)), 10);
    assert_eq!(take_all(&mut bucket, WHOLE, at(500)), 10);
    let mut idle = SharedBucket::new();
    assert_eq!(take_all(&mut idle, WHOLE, at(60_000)), 20);
}

/// Guards against three zones that each admit the whole rate.
#[test]
fn shares_of_three_dispatchers_add_up_to_the_rate() {
    let mut buckets = [0; 3].map(|_| SharedBucket::new());
    let mut taken = 0;
    for bucket in &mut buckets {
        take_all(bucket, THIRD, at(10_000));
    }
    for millis in (10_000..=15_000).step_by(100) {
        for bucket in &mut buckets {
            taken += take_all(bucket, THIRD, at(millis));
        }
    }
    assert!((98..=100).contains(&taken), "{taken} of 100 in 5 s");
}

/// Guards against tokens that are spent twice: by the dispatcher that gave them, and by the one that got them.
#[test]
fn moved_tokens_are_spent_once() {
    let (mut from, mut to) = (SharedBucket::new(), SharedBucket::new());
    // Each has 6.66 tokens, of which it may spend 7: it grants a request from 0.34 tokens on.
    assert_eq!(take_all(&mut to, THIRD, at(10_000)), 7);
    from.shares.record(THIRD, true, at(10_000));
    let given = from.give(TokenAmount::from_whole(4), at(10_000));
    assert_eq!(given, TokenAmount::from_whole(4));
    to.bucket.receive(given);
    assert_eq!(take_all(&mut to, THIRD, at(10_000)), 4);
    assert_eq!(take_all(&mut from, THIRD, at(10_000)), 3);
    // What is needed here within the next period is not given away.
    take_all(&mut from, THIRD, at(10_300));
    let given = from.give(TokenAmount::from_whole(4), at(10_300));
    assert!(given < TokenAmount::ONE, "{given}");
}

/// Guards against refusals after a takeover: a standby charged all that its dispatcher spent, but refilled for the whole
/// time since its start at the share of the first request only. The dispatcher spends 100/s of 366/s for 15 s, its
/// standby copies the levels, and the share by its own units is small at first.
#[test]
fn standby_goes_on_from_the_level_of_its_dispatcher() {
    let limit = TeamLimit {
        rate: RequestRate::from_whole(366),
        burst: BurstSize::from_whole(366),
    };
    for first in [19, 336, 1000].map(CapacityRatio::from_mille) {
        let (mut old, mut new) = (SharedBucket::new(), SharedBucket::new());
        for millis in (10..=15_000).step_by(10) {
            assert!(
                old.try_take(limit.rate, limit.burst, WHOLE, at(millis))
                    .is_ok()
            );
            if millis % 500 == 0 {
                let level = old.bucket.level(limit, &old.shares, at(millis));
                let level = level.unwrap_or(TokenAmount::from_whole(367));
                new.shares.record(WHOLE, false, at(millis));
                new.bucket.copy_level(level, WHOLE, at(millis));
            }
        }
        let copy = StandbyCopy {
            source: LeaseBorrower {
                host: HostId::new("old").unwrap(),
                incarnation: HostIncarnation::new(7),
            },
            share: WHOLE,
            at: at(15_000),
            is_ended: true,
        };
        for millis in (15_000..16_000).step_by(10) {
            let share = first.max(copy.inherited(at(millis)));
            let taken = new.try_take(limit.rate, limit.burst, share, at(millis));
            assert!(
                taken.is_ok(),
                "refused {millis} ms after the start, share {first}"
            );
        }
    }
}

/// Guards against a team that loses its tokens because of one request in a moment in which the share is small.
#[test]
fn one_look_at_a_small_share_costs_nothing() {
    let mut bucket = SharedBucket::new();
    assert_eq!(take_all(&mut bucket, WHOLE, at(10_000)), 20);
    let small = CapacityRatio::from_mille(19);
    let taken = take_all(&mut bucket, small, at(25_000));
    assert_eq!(taken + take_all(&mut bucket, WHOLE, at(25_001)), 20);
}

/// Guards against isolated hosts that each admit the whole rate.
#[test]
fn partition_refills_its_share_only() {
    let mut bucket = SharedBucket::new();
    let share = CapacityRatio::from_mille(100);
    assert_eq!(take_all(&mut bucket, share, at(60_000)), 2);
    assert_eq!(take_all(&mut bucket, share, at(65_000)), 2);
}

/// Guards against a retry delay that is longer or shorter than the time until the next token.
#[test]
fn refusal_names_the_time_of_the_next_token() {
    let mut bucket = SharedBucket::new();
    take_all(&mut bucket, WHOLE, at(10_000));
    let wait = bucket.try_take(RATE, BURST, WHOLE, at(10_000));
    assert_eq!(wait, Err(Duration::from_millis(50)));
}

/// Guards against a second burst within one window when the whole fleet restarts while a team sends at its limit:
/// at first each of 48 new processes takes itself for one of 32 hosts, and then three of them share the rate.
#[test]
fn restart_of_the_whole_fleet_stays_within_the_window() {
    let mut before = SharedBucket::new();
    let early = take_all(&mut before, WHOLE, at(60_000)) + 20 * 2;
    let single_host = CapacityRatio::from_mille(1000 / 32);
    let mut buckets: Vec<SharedBucket> = (0..48).map(|_| SharedBucket::new()).collect();
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
    let mut buckets = [0; 3].map(|_| SharedBucket::new());
    let is_partitioned = |millis: u64| (10_000..16_000).contains(&millis);
    let (mut sent, mut refused) = (0, 0);
    for millis in (2000..22_000).step_by(100) {
        // Half of 20 a second is one in each 300 ms at each of three zones.
        let zone = usize::try_from(millis / 100 % 3).unwrap();
        sent += 1;
        let taken = buckets[zone].try_take(RATE, BURST, THIRD, at(millis));
        refused += u64::from(taken.is_err());
        if millis % 500 == 0 {
            exchange(&mut buckets, at(millis), |from, to| {
                is_partitioned(millis) && (from == 2 || to == 2)
            });
        }
    }
    assert_eq!(refused, 0, "refused requests of {sent}");
}

/// Moves tokens between all pairs of buckets that are not parted.
fn exchange(
    buckets: &mut [SharedBucket; 3],
    now: MonoTime,
    is_parted: impl Fn(usize, usize) -> bool,
) {
    for (from, to) in [(0, 1), (1, 0), (0, 2), (1, 2), (2, 0), (2, 1)] {
        if !is_parted(from, to)
            && let Ok([giver, taker]) = buckets.get_disjoint_mut([from, to])
        {
            taker.fetch_from(giver, now);
        }
    }
}

/// Guards against zones that together admit more than the rate because tokens move late. Simulates a team that takes
/// all tokens from dispatchers that exchange tokens each 1.6 s, and checks every span of five seconds.
#[test]
fn slow_exchanges_stay_within_the_window() {
    let mut buckets = [0; 3].map(|_| SharedBucket::new());
    let mut taken: Vec<(u64, u64)> = Vec::new();
    for millis in (10_000..30_000).step_by(100) {
        for bucket in &mut buckets {
            taken.push((millis, take_all(bucket, THIRD, at(millis))));
        }
        if millis % 1600 == 0 {
            exchange(&mut buckets, at(millis), |_, _| false);
        }
    }
    // The platform allows (rate x 5 s + burst) x 1.25 + 20 in five seconds.
    let allowed = (20 * 5 + 20) * 5 / 4 + 20;
    for from in (10_000..25_000).step_by(100) {
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
