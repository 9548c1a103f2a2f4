//! Tests of combined batches.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_limits::batches::{
    BatchQueue,
    TokenBatch, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

const SEED: u64 = 20_261_204;

/// Amount, first expiry and span of a batch, in steps.
type BatchSteps = (u16, u8, u8);

fn batch((amount, first, span): BatchSteps) -> TokenBatch {
    let at = |steps: u64| MonoTime::from_micros(1_000 + steps * 97);
    TokenBatch {
        amount: TokenAmount::from_micros(u64::from(amount) + 1),
        first_expiry: at(first.into()),
        last_expiry: at(u64::from(first) + u64::from(span)),
    }
}

/// Returns the part of a batch that has not expired, rounded up.
fn remaining_at(batch: &TokenBatch, now: MonoTime) -> u64 {
    let rest = batch.last_expiry.since(now).as_micros();
    let span = batch.last_expiry.since(batch.first_expiry).as_micros();
    match batch.first_expiry >= now {
        true => batch.amount.as_micros(),
        false => (u128::from(batch.amount.as_micros()) * rest).div_ceil(span.max(1)) as u64,
    }
}

/// Guards against combined batches that outlive their parts, which would break the bound on spent
/// tokens.
#[test]
fn joined_batches_expire_no_later_than_their_parts() {
    fn check(parts: Vec<BatchSteps>, later: u16) -> bool {
        let now = MonoTime::from_micros(1_000 + u64::from(later));
        let mut queue = BatchQueue::default();
        let batches: Vec<_> = parts.into_iter().take(8).map(batch).collect();
        for batch in &batches {
            queue.merge(*batch, Duration::from_millis(2));
        }
        queue.expire(now);
        let allowed: u64 = batches.iter().map(|batch| remaining_at(batch, now)).sum();
        queue.balance().as_micros() <= allowed
    }
    QuickCheck::new()
        .tests(3000)
        .rng(Gen::from_size_and_seed(60, SEED))
        .quickcheck(check as fn(Vec<BatchSteps>, u16) -> bool);
}
