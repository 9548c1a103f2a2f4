//! Bound on the draws that one host sends.
//!
//! A draw takes about 60 bytes and a grant about 110 with two lots, so that a draw that is answered
//! costs 170 bytes at each end. [`DRAWS_PER_SECOND`] is 24: a host sends and answers on average at
//! most 24 draws a second each, 2 x 24 x 170 = 8.2 KB/s in the worst case, below the 9 KB/s of the
//! design size, and the bound does not depend on the number of hosts or teams.
//!
//! - 48 hosts, 8 teams: a team whose whole load is at one host needs about 4 refills a second there
//!   and, at its broker, collections from 15 hosts of the zone and 2 brokers.
//! - 1,700 hosts, 10 zones: a broker has 169 hosts in its zone and 9 brokers elsewhere. It visits
//!   them in turn as the allowance permits; 1,700 hosts send at most 40,800 draws a second in all.

use chicorycroft_core::prelude::*;

/// Draws that a host may send each second in the long run.
pub const DRAWS_PER_SECOND: u32 = 24;

/// Draws that a host may send at once: two collections from the 17 givers of a fleet of 48 hosts
/// in 3 zones, with room for refills.
pub const DRAWS_AT_ONCE: u32 = 48;

/// Draws that only refills may use, so that collecting for others never stops a host's own.
const REFILLS_AT_ONCE: u32 = 8;

/// Counts the draws that a host may send now.
#[derive(Clone, Copy, Debug)]
pub struct DrawAllowance {
    level: TokenAmount,
    counted_until: MonoTime,
}

impl DrawAllowance {
    /// Makes a full allowance.
    pub fn new(now: MonoTime) -> Self {
        Self {
            level: TokenAmount::from_whole(DRAWS_AT_ONCE),
            counted_until: now,
        }
    }

    fn fill(&mut self, now: MonoTime) {
        let elapsed = now.since(self.counted_until);
        let accrued = RequestRate::from_whole(DRAWS_PER_SECOND).accrued_over(elapsed);
        let limit = TokenAmount::from_whole(DRAWS_AT_ONCE);
        self.level = self.level.saturating_add(accrued).min(limit);
        self.counted_until = self.counted_until.max(now);
    }

    /// Takes the allowance for one refill.
    pub fn take_refill(&mut self, now: MonoTime) -> bool {
        self.fill(now);
        let is_enough = self.level >= TokenAmount::ONE;
        if is_enough {
            self.level = self.level.saturating_sub(TokenAmount::ONE);
        }
        is_enough
    }

    /// Takes the allowance for up to a number of collecting draws, and returns how many.
    pub fn take_collection(&mut self, wanted: usize, now: MonoTime) -> usize {
        self.fill(now);
        let kept = TokenAmount::from_whole(REFILLS_AT_ONCE);
        let free = self.level.saturating_sub(kept).as_micros() / TokenAmount::ONE.as_micros();
        let taken = wanted.min(usize::try_from(free).unwrap_or(usize::MAX));
        let price = TokenAmount::from_whole(u32::try_from(taken).unwrap_or(u32::MAX));
        self.level = self.level.saturating_sub(price);
        taken
    }
}
