//! Bound on the draws that one host sends.
//!
//! A draw takes about 60 bytes and a grant about 110 with two lots, so that an answered draw costs
//! 170 bytes at each end. A host that sends `d` draws a second answers as many on average, which
//! makes 340 x `d` bytes a second at most.
//!
//! - 48 hosts, 8 teams, a burst of one second: brokers visit a giver at most four times in the life of
//!   a token, and 8 teams have 24 brokers. That makes at most 8 x 47 x 4 = 1,504 draws a second in the
//!   fleet, 31 for each host. [`SMALL_FLEET`] allows 96, because one host may be the broker of several
//!   teams.
//! - 1,700 hosts, 10 zones: [`LARGE_FLEET`] allows 24 draws a second, at most 24 x 340 = 8.2 KB/s of
//!   the 9 KB/s for control. A broker visits the 169 hosts of its zone in turn as that permits; the
//!   bound does not grow with the number of teams.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Draws a second that a host of a small fleet may send.
pub const SMALL_FLEET: RequestRate = RequestRate::from_whole(96);

/// Draws a second that a host of a fleet of the design size may send.
pub const LARGE_FLEET: RequestRate = RequestRate::from_whole(24);

/// Time over which unused draws add up: two collections one after the other.
const SAVED_FOR: Duration = Duration::from_secs(2);

/// Draws that only refills may use, so that collecting for others never stops a host's own.
const REFILLS_AT_ONCE: u32 = 8;

/// Counts the draws that a host may send now.
#[derive(Clone, Copy, Debug)]
pub struct DrawAllowance {
    rate: RequestRate,
    level: TokenAmount,
    counted_until: MonoTime,
}

impl DrawAllowance {
    /// Makes a full allowance of a number of draws a second.
    pub fn new(rate: RequestRate, now: MonoTime) -> Self {
        Self {
            rate,
            level: rate.accrued_over(SAVED_FOR),
            counted_until: now,
        }
    }

    fn fill(&mut self, now: MonoTime) {
        let elapsed = now.since(self.counted_until);
        let accrued = self.rate.accrued_over(elapsed);
        let limit = self.rate.accrued_over(SAVED_FOR);
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
