//! Lots that are joined.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_limits::lots::{
    LotQueue,
    TokenLot, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

const SEED: u64 = 20_261_204;

/// Amount, first and last time of a lot, in steps.
type LotSteps = (u16, u8, u8);

fn lot((amount, first, span): LotSteps) -> TokenLot {
    let at = |steps: u64| MonoTime::from_micros(1_000 + steps * 97);
    TokenLot {
        amount: TokenAmount::from_micros(u64::from(amount) + 1),
        first: at(first.into()),
        last: at(u64::from(first) + u64::from(span)),
    }
}

/// Returns what is left of a lot, rounded up.
fn left_at(lot: &TokenLot, now: MonoTime) -> u64 {
    let rest = lot.last.since(now).as_micros();
    let span = lot.last.since(lot.first).as_micros();
    match lot.first >= now {
        true => lot.amount.as_micros(),
        false => (u128::from(lot.amount.as_micros()) * rest).div_ceil(span.max(1)) as u64,
    }
}

/// Guards against joined lots that outlive their parts, which would break the bound on what is spent.
#[test]
fn joined_lots_expire_no_later_than_their_parts() {
    fn check(parts: Vec<LotSteps>, later: u16) -> bool {
        let now = MonoTime::from_micros(1_000 + u64::from(later));
        let mut queue = LotQueue::default();
        let lots: Vec<_> = parts.into_iter().take(8).map(lot).collect();
        for lot in &lots {
            queue.merge(*lot, Duration::from_millis(2));
        }
        queue.expire(now);
        let allowed: u64 = lots.iter().map(|lot| left_at(lot, now)).sum();
        queue.balance().as_micros() <= allowed
    }
    QuickCheck::new()
        .tests(3000)
        .rng(Gen::from_size_and_seed(60, SEED))
        .quickcheck(check as fn(Vec<LotSteps>, u16) -> bool);
}
