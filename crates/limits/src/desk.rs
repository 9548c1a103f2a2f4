//! What a broker knows about one team.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexSet;

use crate::{
    demand::DemandMeter,
    draws::{
        DrawPurpose,
        TokenDraw, //
    },
};

/// Collections in the life of a token while a draw waits, and otherwise. A giver that was just
/// visited has nothing new, so that more collections cost messages and bring no tokens.
const COLLECTIONS_URGENT: u32 = 4;
const COLLECTIONS_AHEAD: u32 = 2;

/// Longest time between two collections while a draw waits, where tokens live long. A longer one
/// leaves the broker empty in between.
const COLLECT_URGENT_MAX: Duration = Duration::from_millis(300);

/// Least time between two collections, whatever the life of a token.
const COLLECT_LEAST: Duration = Duration::from_millis(25);

/// Longest time between two collections that brought nothing, for teams above their rate.
const COLLECT_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Time without draws after which a desk is dropped.
const DESK_IDLE: Duration = Duration::from_secs(5);

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
pub(crate) struct TeamDesk {
    pub(crate) waiting: Vec<WaitingDraw>,
    open: IndexSet<u64>,
    demand: DemandMeter,
    collected: TokenAmount,
    sent_at: Option<MonoTime>,
    pause: Duration,
    drawn_at: MonoTime,
    /// Position in the list of givers at which the next collection starts.
    pub(crate) cursor: usize,
}

impl TeamDesk {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            waiting: Vec::new(),
            open: IndexSet::new(),
            demand: DemandMeter::default(),
            collected: TokenAmount::ZERO,
            sent_at: None,
            pause: COLLECT_LEAST,
            drawn_at: now,
            cursor: 0,
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

    /// Returns the tokens to collect beyond a surplus: for those who wait and the next half second.
    pub(crate) fn need(&self, surplus: TokenAmount, life: Duration, now: MonoTime) -> TokenAmount {
        let add = |sum: TokenAmount, waiting: &WaitingDraw| sum.saturating_add(waiting.draw.wanted);
        let waiting = self.waiting.iter().fold(TokenAmount::ZERO, add);
        waiting
            .saturating_add(self.demand.target(life, now))
            .saturating_sub(surplus)
    }

    /// Tells whether a collection may be sent.
    pub(crate) fn may_collect(&self, is_urgent: bool, life: Duration, now: MonoTime) -> bool {
        let least = match is_urgent {
            true => (life / COLLECTIONS_URGENT).min(COLLECT_URGENT_MAX),
            false => (life / COLLECTIONS_AHEAD).min(COLLECT_URGENT_MAX * 2),
        };
        self.sent_at
            .is_none_or(|sent_at| now.since(sent_at) >= self.pause.max(least))
    }

    /// Notes that a collection starts. One that brought nothing doubles the pause after it.
    pub(crate) fn begin_collection(&mut self, sequences: impl Iterator<Item = u64>, now: MonoTime) {
        let is_fruitless = self.sent_at.is_some() && self.collected < TokenAmount::ONE;
        self.pause = match is_fruitless {
            true => (self.pause * 2).min(COLLECT_PAUSE_MAX),
            false => COLLECT_LEAST,
        };
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
        self.waiting.is_empty() && now.since(self.drawn_at) > DESK_IDLE
    }
}
