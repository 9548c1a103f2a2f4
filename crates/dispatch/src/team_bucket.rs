//! Distributed token bucket: the rate and burst of a team over all dispatchers.
//!
//! Load pattern: one team sends many times its rate through all zones at once, while network partitions
//! separate hosts. Each dispatcher refills a bucket at the whole rate and takes out the tokens that it
//! spends and those that the others report; a dispatcher without reports refills at its share of the rate only.
//! The bucket goes below zero on late reports, so that a burst is paid back and the sum stays at the rate. It is
//! nearly empty at the start of its process, because an earlier process may have spent the burst. The standby of
//! a dispatcher receives its spending for the same reason. A request that finds no slot gives its token back, so that
//! a team gets its whole rate also while many of its requests are refused for want of a slot.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

/// Millionths of a token.
const MICROS: i128 = 1_000_000;

/// Longest delay that a refused caller is asked to wait before a retry.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// Time for which a report of another dispatcher is valid. After a longer gap the two count as partitioned,
/// and the smaller partition keeps to its share of the rate from then on.
pub const REPORT_VALID_FOR: Duration = Duration::from_millis(1500);

/// Refill time that a bucket is credited with at the start of its process, as callers that were disconnected by a
/// restart return within this time. It is below the excess that the platform allows a team in a window of five
/// seconds: a quarter of that window's tokens.
const INITIAL_FILL: Duration = Duration::from_millis(500);

/// The tokens of a team at one dispatcher.
#[derive(Clone, Debug, Default)]
pub struct TeamBucket {
    /// Tokens in millionths; negative while late reports are paid back.
    tokens: i128,
    filled_at: Option<MonoTime>,
    spent: u64,
    /// Tokens spent here and reported by other dispatchers since the start.
    total: u64,
    /// Latest report of each other dispatcher, by host and incarnation.
    reports: IndexMap<(HostId, HostIncarnation), SpendingReport>,
}

/// Tokens that another dispatcher has spent since its start, by its latest report.
#[derive(Clone, Copy, Debug)]
struct SpendingReport {
    spent: u64,
    /// Tokens spent here at the time of the report.
    own_spent: u64,
    at: MonoTime,
}

fn share_of(micros: u64, share: CapacityRatio) -> i128 {
    i128::from(micros) * i128::from(share.as_mille()) / i128::from(CapacityRatio::MAX_MILLE)
}

impl TeamBucket {
    /// Creates a bucket that is nearly empty at the start of the process and refills from then on.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the tokens since the last refill, and returns the share of the rate in millionths per second.
    fn refill(
        &mut self,
        rate: RequestRate,
        burst: BurstSize,
        share: CapacityRatio,
        now: MonoTime,
    ) -> i128 {
        let capacity = share_of(burst.as_micros(), share).max(MICROS);
        let rate = share_of(rate.as_micros(), share);
        let time = match self.filled_at.replace(now) {
            Some(at) => now.since(at),
            None => now.since(MonoTime::START) + INITIAL_FILL,
        };
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.tokens += rate.saturating_mul(i128::from(micros)) / MICROS;
        self.tokens = self.tokens.min(capacity);
        rate
    }

    /// Takes one token of a bucket with `share` of the team's rate and burst.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token, limited to 2 s, if the bucket is empty.
    pub fn try_take(
        &mut self,
        rate: RequestRate,
        burst: BurstSize,
        share: CapacityRatio,
        now: MonoTime,
    ) -> Result<(), Duration> {
        let rate = self.refill(rate, burst, share, now);
        if self.tokens >= MICROS {
            self.tokens -= MICROS;
            self.spent += 1;
            self.total += 1;
            return Ok(());
        }
        let micros = ((MICROS - self.tokens) * MICROS).checked_div(rate);
        let micros = micros.and_then(|micros| u64::try_from(micros).ok());
        Err(micros
            .map_or(RETRY_DELAY_MAX, Duration::from_micros)
            .min(RETRY_DELAY_MAX))
    }

    /// Returns the token of a request that was not sent to a target. Other dispatchers that were told of it count one
    /// token less of the later ones.
    pub fn give_back(&mut self) {
        if self.spent == 0 {
            return;
        }
        self.tokens += MICROS;
        self.spent -= 1;
        self.total -= 1;
    }

    /// Returns the number of tokens spent here since the start.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the number of tokens spent here or reported by other dispatchers since the start.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Records the tokens that another dispatcher has spent since its start, and charges the increase since its
    /// last report. A report that is lower than an earlier one of the same incarnation has no effect on the tokens.
    pub fn on_report(
        &mut self,
        host: &HostId,
        incarnation: HostIncarnation,
        spent: u64,
        now: MonoTime,
    ) {
        let key = (host.clone(), incarnation);
        let previous = self.reports.get(&key).copied();
        // The first report of a dispatcher may cover hours, so only later increases are charged.
        let increase = previous.map_or(0, |previous| spent.saturating_sub(previous.spent));
        let report = SpendingReport {
            spent: spent.max(previous.map_or(0, |previous| previous.spent)),
            own_spent: self.spent,
            at: now,
        };
        self.reports
            .retain(|(name, start), _| name != host || *start == incarnation);
        self.reports.insert(key, report);
        self.total += increase;
        if let Some(previous) = previous {
            self.tokens -= self.debt_of(increase, previous, now);
        }
    }

    /// Returns the tokens that a reported increase takes from this bucket, in millionths.
    ///
    /// After a gap of more than [`REPORT_VALID_FOR`] between reports, the debt is limited to the tokens that were
    /// spent here, scaled to the part of the gap in which this bucket still used the whole rate. For the rest of
    /// the gap it kept to its share and is charged nothing.
    fn debt_of(&self, increase: u64, previous: SpendingReport, now: MonoTime) -> i128 {
        let gap = now.since(previous.at);
        if gap <= REPORT_VALID_FOR {
            return i128::from(increase) * MICROS;
        }
        let own = self.spent.saturating_sub(previous.own_spent);
        let unreported = i128::from(increase.min(own)) * MICROS;
        let micros = |time: Duration| i128::try_from(time.as_micros()).unwrap_or(i128::MAX);
        unreported * micros(REPORT_VALID_FOR) / micros(gap)
    }
}
