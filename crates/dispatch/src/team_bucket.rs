//! The rate and burst of a team over all dispatchers.
//!
//! Load pattern: one team sends many times its rate through all zones at once, while hosts are cut off
//! from each other. Each dispatcher fills a bucket of the whole rate and takes out what it spends and
//! what the others report; one that does not hear the others fills its share only. The bucket goes below
//! zero when reports come late, so that a burst is paid back and the sum stays at the rate. It is nearly
//! empty when its process starts, because a process before it may have spent the burst; the host that would take over
//! from a dispatcher hears of its spending for the same reason.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

/// Millionths of a token.
const MICROS: i128 = 1_000_000;

/// Longest time that a caller is told to stay away.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Time for which what another dispatcher reported counts as known. After a longer silence the two were parted,
/// and the smaller part kept to its share of the rate from this time on.
pub const REPORT_FOR: Duration = Duration::from_millis(1500);

/// Time by which a bucket is ahead of the start of its process. A team may exceed its rate by a quarter of five
/// seconds in a window; callers that a restart sent away come back within this time.
const HEAD_START: Duration = Duration::from_millis(500);

/// The tokens of a team at one dispatcher.
#[derive(Clone, Debug, Default)]
pub struct TeamBucket {
    /// Tokens in millionths; negative while late reports are paid back.
    tokens: i128,
    filled_at: Option<MonoTime>,
    spent: u64,
    /// What was spent here and what was reported.
    total: u64,
    /// What each other dispatcher has reported, by host and incarnation.
    reported: IndexMap<(HostId, HostIncarnation), SpendingReport>,
}

/// What a dispatcher has spent since its start, as it last reported.
#[derive(Clone, Copy, Debug)]
struct SpendingReport {
    spent: u64,
    /// What was spent here when the report came.
    own_spent: u64,
    at: MonoTime,
}

fn part_of(micros: u64, share: CapacityRatio) -> i128 {
    i128::from(micros) * i128::from(share.as_mille()) / i128::from(CapacityRatio::MAX_MILLE)
}

impl TeamBucket {
    /// Makes a bucket that is nearly empty at the start of the process and fills from then on.
    pub fn new() -> Self {
        Self::default()
    }

    fn fill(
        &mut self,
        rate: RequestRate,
        burst: BurstSize,
        share: CapacityRatio,
        now: MonoTime,
    ) -> i128 {
        let capacity = part_of(burst.as_micros(), share).max(MICROS);
        let rate = part_of(rate.as_micros(), share);
        let time = match self.filled_at.replace(now) {
            Some(at) => now.since(at),
            None => now.since(MonoTime::START) + HEAD_START,
        };
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.tokens += rate.saturating_mul(i128::from(micros)) / MICROS;
        self.tokens = self.tokens.min(capacity);
        rate
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Fails with the time after which there is one.
    pub fn try_take(
        &mut self,
        rate: RequestRate,
        burst: BurstSize,
        share: CapacityRatio,
        now: MonoTime,
    ) -> Result<(), Duration> {
        let rate = self.fill(rate, burst, share, now);
        if self.tokens >= MICROS {
            self.tokens -= MICROS;
            self.spent += 1;
            self.total += 1;
            return Ok(());
        }
        let micros = ((MICROS - self.tokens) * MICROS).checked_div(rate);
        let micros = micros.and_then(|micros| u64::try_from(micros).ok());
        Err(micros
            .map_or(RETRY_MAX, Duration::from_micros)
            .min(RETRY_MAX))
    }

    /// Returns what was spent here since the start.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns what was spent here or reported since the start.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Takes what another dispatcher has spent since its start.
    pub fn on_report(
        &mut self,
        host: &HostId,
        incarnation: HostIncarnation,
        spent: u64,
        now: MonoTime,
    ) {
        let key = (host.clone(), incarnation);
        let known = self.reported.get(&key).copied();
        // The first report of a dispatcher may cover hours; only what follows it is news.
        let news = known.map_or(0, |known| spent.saturating_sub(known.spent));
        let report = SpendingReport {
            spent: spent.max(known.map_or(0, |known| known.spent)),
            own_spent: self.spent,
            at: now,
        };
        self.reported
            .retain(|(name, start), _| name != host || *start == incarnation);
        self.reported.insert(key, report);
        self.total += news;
        if let Some(known) = known {
            self.tokens -= self.owed(news, known, now);
        }
    }

    /// Returns what is paid back of spending that was reported, in millionths of a token.
    ///
    /// A bucket that heard nothing for a while owes at most what it spent itself, of the time in which it took
    /// the whole rate for its own; the rest of its spending was its share.
    fn owed(&self, news: u64, known: SpendingReport, now: MonoTime) -> i128 {
        let gap = now.since(known.at);
        if gap <= REPORT_FOR {
            return i128::from(news) * MICROS;
        }
        let own = self.spent.saturating_sub(known.own_spent);
        let unheard = i128::from(news.min(own)) * MICROS;
        let micros = |time: Duration| i128::try_from(time.as_micros()).unwrap_or(i128::MAX);
        unheard * micros(REPORT_FOR) / micros(gap)
    }
}
