//! The share of the team rates that a dispatcher may spend, and its history.
//!
//! Load pattern: the share of a dispatcher changes several times a second while hosts restart, and a team may send nothing
//! for many seconds between two requests. Buckets are refilled from the history, so that one look at a small share costs
//! the team nothing.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

use crate::{
    fleet_roster::FleetCount,
    rate_lease::LeaseBorrower, //
};

/// Number of shares that are kept.
const SPANS_MAX: usize = 256;

/// Time from its last copy for which a standby may use the share of a dispatcher that has ended. The leases of its
/// followers move within this time.
const INHERITED_FOR: Duration = Duration::from_millis(2000);

/// Sum of the shares that both sides of a cut may use, in thousandths of the rate. The platform allows teams 1.25; the rest
/// is for tokens that are spent twice because a dispatcher ends during the cut.
const SUM_MAX_MILLE: u64 = 1200;

/// Part of its units that the smaller side of a cut uses in the end, in thousandths: at most 0.2 of the rate, beside the
/// whole rate of the larger side.
const YIELDED_MILLE: u64 = 400;

/// Returns the share of a dispatcher with a number of units, its own included.
///
/// The larger side of a cut also uses the units of hosts that were silent for 8 s, as far as both sides together stay
/// within the platform's allowance although those hosts may still use their units. The smaller side uses 0.4 of its units
/// before the larger one forgets it.
pub fn share_of_units(units: u32, count: FleetCount) -> CapacityRatio {
    let (units, known) = (u64::from(units), u64::from(count.known.max(1)));
    let whole = u64::from(CapacityRatio::MAX_MILLE);
    let mille = match (count.is_larger_side(), count.must_yield) {
        (true, _) => {
            let silent = u64::from(count.silent);
            let usable = (SUM_MAX_MILLE * known / whole - silent).min(known);
            units * whole * usable / (known * (known - silent))
        }
        (false, true) => units * YIELDED_MILLE / known,
        (false, false) => units * whole / known,
    };
    CapacityRatio::from_mille(u16::try_from(mille).unwrap_or(u16::MAX))
}

/// A share that holds from a time on.
#[derive(Clone, Copy, Debug)]
struct ShareSpan {
    from: MonoTime,
    share: CapacityRatio,
}

/// The shares of a dispatcher since its start.
#[derive(Clone, Debug, Default)]
pub struct ShareHistory {
    spans: VecDeque<ShareSpan>,
    /// When the dispatcher last began to spend tokens itself; `None` while it only has copies of the buckets.
    active_since: Option<MonoTime>,
}

impl ShareHistory {
    /// Creates a history whose first share holds since the start of the process.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the share from `now` on, and whether the dispatcher spends tokens itself.
    pub fn record(&mut self, share: CapacityRatio, is_active: bool, now: MonoTime) {
        self.active_since = match (is_active, self.active_since) {
            (false, _) => None,
            (true, None) if self.spans.is_empty() => Some(MonoTime::START),
            (true, since) => since.or(Some(now)),
        };
        let from = match self.spans.back() {
            Some(last) if last.share == share => return,
            Some(last) => now.max(last.from),
            None => MonoTime::START,
        };
        self.spans.push_back(ShareSpan { from, share });
        if self.spans.len() > SPANS_MAX {
            self.spans.pop_front();
        }
    }

    /// Returns `true` if this share and state are the latest ones.
    pub fn is_latest(&self, share: CapacityRatio, is_active: bool) -> bool {
        self.latest() == share && self.active_since.is_some() == is_active && !self.spans.is_empty()
    }

    /// Returns the latest share.
    pub fn latest(&self) -> CapacityRatio {
        self.spans.back().map(|span| span.share).unwrap_or_default()
    }

    /// Returns the share at a time.
    pub fn share_at(&self, time: MonoTime) -> CapacityRatio {
        let span = self.spans.iter().rev().find(|span| span.from <= time);
        span.map(|span| span.share).unwrap_or_default()
    }

    /// Returns the time since which the dispatcher spends tokens itself.
    pub fn active_since(&self) -> Option<MonoTime> {
        self.active_since
    }

    /// Returns the shares between two times, with the duration of each.
    pub fn between(
        &self,
        from: MonoTime,
        until: MonoTime,
    ) -> impl Iterator<Item = (CapacityRatio, Duration)> {
        let ends = self.spans.iter().skip(1).map(|span| span.from);
        let ends = ends.chain([MonoTime::from_micros(u64::MAX)]);
        self.spans
            .iter()
            .zip(ends)
            .map(move |(span, end)| (span.share, end.min(until).since(span.from.max(from))))
            .filter(|(_, time)| !time.is_zero())
    }
}

/// The share of the dispatcher whose buckets a standby copies.
#[derive(Clone, Debug)]
pub struct StandbyCopy {
    /// The dispatcher.
    pub source: LeaseBorrower,
    /// Its share.
    pub share: CapacityRatio,
    /// When the copy was made.
    pub at: MonoTime,
    /// Whether the dispatcher spends nothing any more: it has left, or its process has ended.
    pub is_ended: bool,
}

impl StandbyCopy {
    /// Returns `true` if the copy is recent enough to go on from.
    pub fn is_recent(&self, now: MonoTime) -> bool {
        now.since(self.at) < INHERITED_FOR
    }

    /// Returns the share that the standby may use if it takes over at `now`. It is zero while the dispatcher may still
    /// live, as on the other side of a cut, and for a copy that is too old.
    pub fn inherited(&self, now: MonoTime) -> CapacityRatio {
        match self.is_ended && self.is_recent(now) {
            true => self.share,
            false => CapacityRatio::default(),
        }
    }
}
