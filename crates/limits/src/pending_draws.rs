//! What a broker knows about one team.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};

use crate::{
    demand::DemandMeter,
    draws::{
        DrawPurpose,
        TokenDraw, //
    },
};

/// Visits of one giver in the life of a token. A giver that was just visited has nothing new, so that
/// more visits cost messages and bring few tokens.
const VISITS_IN_LIFE: u32 = 4;

/// Longest time between two visits of one giver, where tokens live long. A longer one leaves the
/// broker empty in between.
const VISIT_MAX: Duration = Duration::from_millis(300);

/// Most givers whose last visit is remembered; beyond it all are taken for full.
const VISITS_MAX: usize = 1024;

/// Pause after the first collection that brought little.
const COLLECT_LEAST: Duration = Duration::from_millis(25);

/// Longest pause after such a collection, for teams above their rate.
const COLLECT_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Time without draws after which they are dropped.
const PENDING_IDLE: Duration = Duration::from_secs(5);

/// Time that a draw waits for a collection. The sum of both and of four message delays of 1.5 ms
/// stays below the 25 ms that a request waits for its draw.
fn patience_of(purpose: DrawPurpose) -> Duration {
    match purpose {
        DrawPurpose::Refill => Duration::from_millis(14),
        _ => Duration::from_millis(7),
    }
}

/// A draw that waits for a collection.
#[derive(Debug)]
pub(crate) struct WaitingDraw {
    pub(crate) draw: TokenDraw,
    pub(crate) answer_by: MonoTime,
}

/// What a broker knows about one team while some host is short of its tokens.
#[derive(Debug)]
pub(crate) struct PendingDraws {
    pub(crate) waiting: Vec<WaitingDraw>,
    open: IndexSet<u64>,
    demand: DemandMeter,
    expected: TokenAmount,
    collected: TokenAmount,
    sent_at: Option<MonoTime>,
    pause: Duration,
    drawn_at: MonoTime,
    visited: IndexMap<HostId, MonoTime>,
}

impl PendingDraws {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            waiting: Vec::new(),
            open: IndexSet::new(),
            demand: DemandMeter::default(),
            expected: TokenAmount::ZERO,
            collected: TokenAmount::ZERO,
            sent_at: None,
            pause: COLLECT_LEAST,
            drawn_at: now,
            visited: IndexMap::new(),
        }
    }

    /// Notes how much was asked for.
    pub(crate) fn record_draw(&mut self, wanted: TokenAmount, now: MonoTime) {
        self.demand.record(wanted, now);
        self.drawn_at = now;
    }

    /// Makes a draw wait, unless it does already.
    pub(crate) fn wait(&mut self, draw: TokenDraw, now: MonoTime) {
        if self
            .waiting
            .iter()
            .all(|waiting| waiting.draw.id != draw.id)
        {
            let answer_by = now.after(patience_of(draw.purpose));
            self.waiting.push(WaitingDraw { draw, answer_by });
        }
    }

    /// Returns the tokens to collect beyond a surplus: for those who wait and the demand ahead.
    pub(crate) fn need(&self, surplus: TokenAmount, life: Duration, now: MonoTime) -> TokenAmount {
        let add = |sum: TokenAmount, waiting: &WaitingDraw| sum.saturating_add(waiting.draw.wanted);
        let waiting = self.waiting.iter().fold(TokenAmount::ZERO, add);
        waiting
            .saturating_add(self.demand.target(life, now))
            .saturating_sub(surplus)
    }

    /// Tells whether a collection may be sent: none is open, and the last one was worth it or long ago.
    pub(crate) fn may_collect(&self, now: MonoTime) -> bool {
        let is_worth = self.collected.as_micros() >= self.expected.as_micros() / 4;
        let pause = if is_worth { Duration::ZERO } else { self.pause };
        let is_over = |sent_at: MonoTime| now.since(sent_at) >= pause;
        self.is_complete(now) && self.sent_at.is_none_or(is_over)
    }

    /// Returns the time for which a giver has minted since its last visit, at most a token's life, or
    /// `None` when that visit was too recent.
    ///
    /// Another broker bounds the visits in its zone itself, and may be asked for the rest of it.
    pub(crate) fn unvisited(
        &self,
        (giver, purpose): (&HostId, DrawPurpose),
        life: Duration,
        now: MonoTime,
    ) -> Option<Duration> {
        let Some(visited_at) = self.visited.get(giver) else {
            return Some(life);
        };
        let least = match purpose {
            DrawPurpose::ZoneSurplus => COLLECT_LEAST,
            _ => (life / VISITS_IN_LIFE).min(VISIT_MAX),
        };
        let since = now.since(*visited_at).min(life);
        (since >= least).then_some(since)
    }

    /// Notes up to when a giver is asked for what it minted.
    pub(crate) fn visit(&mut self, giver: &HostId, until: MonoTime) {
        if self.visited.len() >= VISITS_MAX {
            self.visited.clear();
        }
        self.visited.insert(giver.clone(), until);
    }

    /// Notes that a collection starts. One that brought little doubles the pause after it.
    pub(crate) fn begin_collection(
        &mut self,
        sequences: impl Iterator<Item = u64>,
        expected: TokenAmount,
        now: MonoTime,
    ) {
        let is_poor = self.collected.as_micros() < self.expected.as_micros() / 4;
        self.pause = match is_poor {
            true => (self.pause * 2).min(COLLECT_PAUSE_MAX),
            false => COLLECT_LEAST,
        };
        self.expected = expected;
        self.collected = TokenAmount::ZERO;
        self.sent_at = Some(now);
        self.open = sequences.collect();
    }

    /// Notes the grant of a collecting draw.
    pub(crate) fn record_grant(&mut self, sequence: u64, amount: TokenAmount) {
        self.open.swap_remove(&sequence);
        self.collected = self.collected.saturating_add(amount);
    }

    /// Tells whether nothing more is expected of the last collection.
    pub(crate) fn is_complete(&self, now: MonoTime) -> bool {
        let patience = patience_of(DrawPurpose::Refill);
        let is_over = |sent_at: MonoTime| now.since(sent_at) >= patience;
        self.open.is_empty() || self.sent_at.is_none_or(is_over)
    }

    /// Tells whether no host has been short for a while.
    pub(crate) fn is_idle(&self, now: MonoTime) -> bool {
        self.waiting.is_empty() && now.since(self.drawn_at) > PENDING_IDLE
    }
}
