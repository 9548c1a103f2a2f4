//! Token bucket of a team at one dispatcher.
//!
//! Load pattern: one team sends many times its rate through all zones at once, while dispatchers are replaced and network
//! partitions separate hosts. The bucket refills at the dispatcher's share of the rate at each time, so that the buckets of
//! all dispatchers together refill at the rate. Tokens move between dispatchers to where the requests are; they are
//! deducted before they are sent. The bucket is nearly empty at the start of its process, because an earlier process may
//! have spent the burst. A standby copies the level of the dispatcher's bucket and goes on from it. A request that finds no
//! slot gives its token back, so that a team gets its whole rate also while many of its requests are refused for want of a
//! slot.

use std::time::Duration;

use chicorycroft_core::prelude::*;

use crate::rate_share::ShareHistory;

/// Millionths of a token.
const MICROS: i128 = 1_000_000;

/// Tokens that all dispatchers together may be in debt. A dispatcher with a part of a token grants a request if the parts
/// of all of them may be a whole one; the platform allows a team 20 requests beyond its window.
const DEBT_MAX: i128 = 10 * MICROS;

/// Longest delay that a refused caller is asked to wait before a retry.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// Refill time that a bucket is credited with at the start of its process, as callers that were disconnected by a
/// restart return within this time. It is below the excess that the platform allows a team in a window of five
/// seconds: a quarter of that window's tokens.
const INITIAL_FILL: Duration = Duration::from_millis(500);

/// Longest time before a takeover for which a copy is refilled: the age of the latest copy.
const COPY_AGE_MAX: Duration = Duration::from_millis(300);

/// Time after the start of the process in which a growing share brings its part of the initial fill.
const INITIAL_PERIOD: Duration = Duration::from_secs(5);

/// Length of a period in which demand is counted. Dispatchers exchange tokens within it.
const DEMAND_PERIOD: Duration = Duration::from_millis(500);

/// Rate and burst of a team.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TeamLimit {
    /// Requests per second.
    pub rate: RequestRate,
    /// Requests at once beyond the rate.
    pub burst: BurstSize,
}

/// The tokens of a team at one dispatcher.
#[derive(Clone, Debug, Default)]
pub struct TeamBucket {
    /// Tokens in millionths; negative by at most one token.
    tokens: i128,
    filled_at: MonoTime,
    /// Largest share whose part of the initial fill was credited.
    initial_share: CapacityRatio,
    /// Whether the level is that of another dispatcher, which may have refilled and spent it since.
    is_copy: bool,
    spent: u64,
    limit: TeamLimit,
    demand: DemandCount,
}

/// Requests in the current period and in the one before.
#[derive(Clone, Copy, Debug, Default)]
struct DemandCount {
    period: u128,
    current: u64,
    previous: u64,
}

impl DemandCount {
    fn advance(&mut self, now: MonoTime) {
        let period = u128::from(now.as_micros()) / DEMAND_PERIOD.as_micros();
        if period > self.period {
            self.previous = match period == self.period + 1 {
                true => self.current,
                false => 0,
            };
            (self.period, self.current) = (period, 0);
        }
    }

    /// Returns the tokens in millionths that are needed within a period, if demand stays as it was.
    fn tokens(&mut self, now: MonoTime) -> i128 {
        self.advance(now);
        i128::from(self.current.max(self.previous)) * MICROS
    }
}

fn share_of(micros: u64, share: CapacityRatio) -> i128 {
    i128::from(micros) * i128::from(share.as_mille()) / i128::from(CapacityRatio::MAX_MILLE)
}

/// Returns the tokens that accrue over a time.
fn accrued(rate: i128, time: Duration) -> i128 {
    let time = i128::try_from(time.as_micros()).unwrap_or(i128::MAX);
    rate.saturating_mul(time) / MICROS
}

/// Returns the tokens from which a dispatcher with a share grants a request. Those of all dispatchers add up to one token
/// at least, as long as the debts together are within [`DEBT_MAX`].
fn threshold(share: CapacityRatio) -> i128 {
    let whole = i128::from(CapacityRatio::MAX_MILLE);
    let share = i128::from(share.as_mille());
    let debt = (MICROS * (whole - share) / whole).min(DEBT_MAX * share / whole);
    MICROS - debt
}

/// Returns an amount of tokens, zero for a debt.
fn amount_of(micros: i128) -> TokenAmount {
    TokenAmount::from_micros(u64::try_from(micros.max(0)).unwrap_or(u64::MAX))
}

impl TeamBucket {
    /// Creates a bucket that is nearly empty at the start of the process and refills from then on.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the most tokens that a bucket of a share refills to.
    fn capacity(&self, share: CapacityRatio) -> i128 {
        share_of(self.limit.burst.as_micros(), share).max(MICROS)
    }

    /// Adds the tokens since the last refill, by the shares that held. Tokens above the capacity of a share that has
    /// become smaller are kept.
    fn refill(&mut self, shares: &ShareHistory, now: MonoTime) {
        let Some(active_since) = shares.active_since() else {
            return;
        };
        if self.limit.rate.is_zero() {
            return;
        }
        let is_taken_over = self.filled_at < active_since;
        let from = match std::mem::take(&mut self.is_copy) {
            true => {
                let age_max = u64::try_from(COPY_AGE_MAX.as_micros()).unwrap_or(0);
                let since = active_since.as_micros().saturating_sub(age_max);
                self.filled_at.max(MonoTime::from_micros(since))
            }
            false => self.filled_at,
        };
        if is_taken_over {
            // The dispatcher that had the share before may still spend its tokens, unless that share is inherited.
            self.fill(shares, from, active_since);
            let capacity = self.capacity(shares.share_at(active_since));
            self.tokens = self.tokens.min(capacity);
        }
        self.fill(shares, from.max(active_since), now);
        self.filled_at = self.filled_at.max(now);
        self.fill_initially(shares, now);
    }

    /// Adds the tokens of a span by the shares that held.
    fn fill(&mut self, shares: &ShareHistory, from: MonoTime, until: MonoTime) {
        let rate = self.limit.rate.as_micros();
        for (share, time) in shares.between(from, until) {
            let credit = accrued(share_of(rate, share), time);
            let filled = (self.tokens + credit).min(self.capacity(share));
            self.tokens = self.tokens.max(filled);
        }
    }

    /// Adds the initial fill for a part of the share that is new.
    fn fill_initially(&mut self, shares: &ShareHistory, now: MonoTime) {
        let rate = self.limit.rate.as_micros();
        let share = shares.latest();
        if share > self.initial_share {
            if now.since(MonoTime::START) < INITIAL_PERIOD {
                let part = share.as_mille() - self.initial_share.as_mille();
                let rate = share_of(rate, CapacityRatio::from_mille(part));
                let filled = self.tokens + accrued(rate, INITIAL_FILL);
                self.tokens = self.tokens.max(filled.min(self.capacity(share)));
            }
            self.initial_share = share;
        }
    }

    /// Takes one token of a bucket that refills by a history of shares.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token, limited to 2 s, if the bucket is empty.
    pub fn try_take(
        &mut self,
        limit: TeamLimit,
        shares: &ShareHistory,
        now: MonoTime,
    ) -> Result<(), Duration> {
        self.limit = limit;
        self.refill(shares, now);
        self.demand.advance(now);
        self.demand.current += 1;
        let threshold = threshold(shares.latest());
        if self.tokens >= threshold {
            self.tokens -= MICROS;
            self.spent += 1;
            return Ok(());
        }
        let rate = share_of(limit.rate.as_micros(), shares.latest());
        let micros = ((threshold - self.tokens) * MICROS).checked_div(rate);
        let micros = micros.and_then(|micros| u64::try_from(micros).ok());
        Err(micros
            .map_or(RETRY_DELAY_MAX, Duration::from_micros)
            .min(RETRY_DELAY_MAX))
    }

    /// Returns the token of a request that was not sent to a target.
    pub fn give_back(&mut self) {
        if self.spent == 0 {
            return;
        }
        self.tokens += MICROS;
        self.spent -= 1;
    }

    /// Returns the number of tokens spent here since the start.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the tokens that the team lacks for its demand within the next period, at most up to the capacity.
    pub fn shortage(&mut self, shares: &ShareHistory, now: MonoTime) -> TokenAmount {
        self.refill(shares, now);
        let demand = self.demand.tokens(now);
        let wanted = demand.min(self.capacity(shares.latest()));
        amount_of(wanted - self.tokens)
    }

    /// Deducts tokens for another dispatcher, at most those that are not needed here within the next period.
    pub fn give(
        &mut self,
        wanted: TokenAmount,
        limit: TeamLimit,
        shares: &ShareHistory,
        now: MonoTime,
    ) -> TokenAmount {
        self.limit = limit;
        self.refill(shares, now);
        let surplus = self.tokens - self.demand.tokens(now);
        let given = surplus.min(wanted.as_micros().into()).max(0);
        self.tokens -= given;
        amount_of(given)
    }

    /// Adds tokens that another dispatcher has deducted.
    pub fn receive(&mut self, tokens: TokenAmount) {
        self.tokens += i128::from(tokens.as_micros());
    }

    /// Returns the tokens above a debt of one, for a standby, or `None` if the bucket is full.
    pub fn level(
        &mut self,
        limit: TeamLimit,
        shares: &ShareHistory,
        now: MonoTime,
    ) -> Option<TokenAmount> {
        self.limit = limit;
        self.refill(shares, now);
        let is_below = self.tokens < self.capacity(shares.latest());
        is_below.then(|| amount_of(self.tokens + MICROS))
    }

    /// Returns `true` if the team sent a request in the current period or the one before.
    pub fn is_in_use(&mut self, now: MonoTime) -> bool {
        self.demand.tokens(now) > 0
    }

    /// Takes over the [`level`](Self::level) of a dispatcher's bucket, whose share is `share`.
    pub fn copy_level(&mut self, tokens: TokenAmount, share: CapacityRatio, now: MonoTime) {
        self.tokens = i128::from(tokens.as_micros()) - MICROS;
        self.filled_at = now;
        self.initial_share = share;
        self.is_copy = true;
    }

    /// Returns `true` if the level was copied at `now`.
    pub fn is_copied_at(&self, now: MonoTime) -> bool {
        self.is_copy && self.filled_at == now
    }
}
