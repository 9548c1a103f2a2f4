//! Rate limit for the transfer requests that one host sends.
//!
//! A transfer request takes about 60 bytes and a grant about 110 with two batches, so that an
//! answered request costs 170 bytes at each end. A host that sends `d` requests a second answers as
//! many on average, which amounts to at most 340 x `d` bytes a second.
//!
//! - 48 hosts, 8 teams, a burst of one second: brokers query a source at most four times in the
//!   lifetime of a token, and 8 teams have 24 brokers. That amounts to at most 8 x 47 x 4 = 1,504
//!   requests a second in the fleet, 31 for each host. [`SMALL_FLEET`] allows 96, because one host
//!   may be the broker of several teams.
//! - 1,700 hosts, 10 zones: [`LARGE_FLEET`] allows 24 requests a second, at most 24 x 340 = 8.2
//!   KB/s of the 9 KB/s for control traffic. A broker queries the 169 hosts of its zone one after
//!   the other at that rate; the limit does not grow with the number of teams.

use std::time::Duration;

use chicorycroft_core::prelude::*;

/// Transfer requests per second and host in a small fleet.
pub const SMALL_FLEET: RequestRate = RequestRate::from_whole(96);

/// Transfer requests per second and host in a fleet of the design size.
pub const LARGE_FLEET: RequestRate = RequestRate::from_whole(24);

/// Time over which unused allowance accumulates: enough for two consecutive collections.
const ACCRUAL_MAX: Duration = Duration::from_secs(2);

/// Requests reserved for refills, so that collecting for other hosts never blocks a host's own
/// refill.
const REFILL_RESERVE: u32 = 8;

/// Token bucket of the transfer requests that a host may send.
#[derive(Clone, Copy, Debug)]
pub struct TransferAllowance {
    rate: RequestRate,
    level: TokenAmount,
    counted_until: MonoTime,
}

impl TransferAllowance {
    /// Creates a full allowance of `rate` requests a second.
    pub fn new(rate: RequestRate, now: MonoTime) -> Self {
        Self {
            rate,
            level: rate.accrued_over(ACCRUAL_MAX),
            counted_until: now,
        }
    }

    fn fill(&mut self, now: MonoTime) {
        let elapsed = now.since(self.counted_until);
        let accrued = self.rate.accrued_over(elapsed);
        let limit = self.rate.accrued_over(ACCRUAL_MAX);
        self.level = self.level.saturating_add(accrued).min(limit);
        self.counted_until = self.counted_until.max(now);
    }

    /// Takes the allowance for one refill and returns `true` if there was enough.
    pub fn take_refill(&mut self, now: MonoTime) -> bool {
        self.fill(now);
        let is_enough = self.level >= TokenAmount::ONE;
        if is_enough {
            self.level = self.level.saturating_sub(TokenAmount::ONE);
        }
        is_enough
    }

    /// Takes the allowance for up to `wanted` collecting requests and returns how many are allowed.
    pub fn take_collection(&mut self, wanted: usize, now: MonoTime) -> usize {
        self.fill(now);
        let reserved = TokenAmount::from_whole(REFILL_RESERVE);
        let free = self.level.saturating_sub(reserved).as_micros() / TokenAmount::ONE.as_micros();
        let taken = wanted.min(usize::try_from(free).unwrap_or(usize::MAX));
        let cost = TokenAmount::from_whole(u32::try_from(taken).unwrap_or(u32::MAX));
        self.level = self.level.saturating_sub(cost);
        taken
    }
}
