//! Tokens of one team on one host.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::{
    demand::DemandMeter,
    draws::{
        DrawPurpose,
        GrantedLot,
        TokenDraw,
        TokenGrant, //
    },
    gate::GateState,
    lots::{
        LotQueue,
        TokenLot, //
    },
    terms::LimitTerms,
};

/// Time after which a draw without a grant no longer holds up the next one.
const DRAW_PENDING: Duration = Duration::from_millis(20);

/// Time after which the grant of a draw is no longer taken.
const DRAW_OPEN: Duration = Duration::from_secs(1);

/// Pause after a grant of less than half of what was wanted; it doubles up to [`DRAW_PAUSE_MAX`].
/// Teams above their rate would otherwise draw without end on every host.
const DRAW_PAUSE_MIN: Duration = Duration::from_millis(10);
const DRAW_PAUSE_MAX: Duration = Duration::from_millis(800);

/// Least share of a burst at which a host keeps tokens for its own demand. Hosts with a smaller one
/// seldom complete a token, and what they keep would expire in parts of less than one.
const KEEPING_SHARE: TokenAmount = TokenAmount::from_whole(4);

/// Longest time from a draw to the arrival of its grant. The life of moved tokens counts from the
/// sending of the draw, so that a grant of older tokens would arrive as less than was drawn.
const GRANT_TRANSIT: Duration = Duration::from_millis(25);

/// Part of a token's life by which the times of two received lots may differ to become one.
const MERGE_PART: u32 = 64;

/// Most drawers whose last draw is remembered, to recognise doubled draws.
const DRAWERS_MAX: usize = 64;

/// A draw whose grant has not come.
#[derive(Clone, Copy, Debug)]
struct OpenDraw {
    sent_at: MonoTime,
    wanted: TokenAmount,
    purpose: DrawPurpose,
}

/// Tokens of one team on one host, its open draws and its demand.
#[derive(Debug)]
pub(crate) struct TeamAccount {
    terms: LimitTerms,
    lots: LotQueue,
    minted_until: MonoTime,
    touched_at: MonoTime,
    epoch: u64,
    demand: DemandMeter,
    open_draws: IndexMap<u64, OpenDraw>,
    is_unmet: bool,
    drawers: IndexMap<HostId, (HostIncarnation, u64)>,
    next_draw_at: MonoTime,
    draw_pause: Duration,
}

impl TeamAccount {
    pub(crate) fn new(terms: LimitTerms, minted_until: MonoTime, epoch: u64) -> Self {
        Self {
            terms,
            lots: LotQueue::default(),
            minted_until,
            touched_at: minted_until,
            epoch,
            demand: DemandMeter::default(),
            open_draws: IndexMap::new(),
            is_unmet: false,
            drawers: IndexMap::new(),
            next_draw_at: MonoTime::START,
            draw_pause: DRAW_PAUSE_MIN,
        }
    }

    /// Brings the account up to a time and to the terms in force.
    pub(crate) fn advance(&mut self, gate: &GateState, terms: &LimitTerms, now: MonoTime) {
        if self.epoch != gate.epoch {
            self.epoch = gate.epoch;
            self.lots.clear();
            self.open_draws.clear();
            self.minted_until = gate.since;
        }
        self.touched_at = now;
        self.lots.expire(now);
        if self.terms != *terms {
            // The time of the change is unknown, so the gap is minted at the lower rate.
            let share = self.terms.share().min(terms.share());
            self.lots.convert(&self.terms, terms, now);
            self.terms = *terms;
            self.mint(share, now);
            self.minted_until = now;
        }
        self.mint(terms.share(), now);
    }

    fn mint(&mut self, share: RequestRate, now: MonoTime) {
        let life = self.terms.life();
        let life_micros = u64::try_from(life.as_micros()).unwrap_or(u64::MAX);
        let oldest = MonoTime::from_micros(now.as_micros().saturating_sub(life_micros));
        let from = self.minted_until.max(oldest);
        self.minted_until = from;
        let amount = share.accrued_over(now.since(from));
        if amount.is_zero() {
            return;
        }
        // Only the time that whole millionths need is used up; slow rates lose no remainder.
        let used =
            (u128::from(amount.as_micros()) * 1_000_000).div_ceil(u128::from(share.as_micros()));
        let used = Duration::from_micros(u64::try_from(used).unwrap_or(u64::MAX));
        self.minted_until = from.after(used);
        self.lots.mint(TokenLot {
            amount,
            first: from.after(life),
            last: self.minted_until.after(life),
        });
    }

    pub(crate) fn balance(&self) -> TokenAmount {
        self.lots.balance()
    }

    /// Spends one token if there is one.
    pub(crate) fn spend_one(&mut self, now: MonoTime) -> bool {
        self.demand.record(TokenAmount::ONE, now);
        self.spend_held()
    }

    /// Spends one token if there is one, for a request that was counted before.
    pub(crate) fn spend_held(&mut self) -> bool {
        let is_enough = self.balance() >= TokenAmount::ONE;
        if is_enough {
            self.lots.withdraw(TokenAmount::ONE);
        }
        self.is_unmet = !is_enough;
        is_enough
    }

    /// Returns what the balance lacks to one token.
    pub(crate) fn missing_to_one(&self) -> TokenAmount {
        TokenAmount::ONE.saturating_sub(self.balance())
    }

    /// Returns the time up to which tokens must live to be of use after a transfer.
    fn arrival(&self, now: MonoTime) -> MonoTime {
        now.after(GRANT_TRANSIT.min(self.terms.life() / 10))
    }

    /// Returns how long minting alone takes to complete one token.
    pub(crate) fn time_to_one(&self) -> Duration {
        let missing = BurstSize::from_micros(self.missing_to_one().as_micros());
        missing
            .accrual_time(self.terms.share())
            .unwrap_or(Duration::MAX)
    }

    fn target(&self, now: MonoTime) -> TokenAmount {
        self.demand.target(self.terms.life(), now)
    }

    /// Tells whether a draw is on its way, so that a waiting request may still be served.
    pub(crate) fn is_draw_pending(&self, now: MonoTime) -> bool {
        let is_recent = |draw: &OpenDraw| now.since(draw.sent_at) < DRAW_PENDING;
        self.open_draws.values().any(is_recent)
    }

    fn is_refill_pending(&self, now: MonoTime) -> bool {
        self.open_draws.values().any(|draw| {
            draw.purpose == DrawPurpose::Refill && now.since(draw.sent_at) < DRAW_PENDING
        })
    }

    /// Counts refills without an answer in the last second. One may be a lost message.
    pub(crate) fn unanswered_refills(&self, now: MonoTime) -> usize {
        let is_unanswered = |draw: &&OpenDraw| {
            draw.purpose == DrawPurpose::Refill
                && (DRAW_PENDING..=DRAW_OPEN).contains(&now.since(draw.sent_at))
        };
        self.open_draws.values().filter(is_unanswered).count()
    }

    /// Returns what this host keeps for its own demand.
    fn kept(&self, now: MonoTime) -> TokenAmount {
        let share = self.terms.burst.as_micros() / u64::from(self.terms.minters.max(1));
        let has_demand = !self.demand.level_at(now).is_zero();
        match has_demand && share >= KEEPING_SHARE.as_micros() {
            true => self.target(now).saturating_add(TokenAmount::ONE),
            false => TokenAmount::ZERO,
        }
    }

    /// Returns what this host can give without running short itself, and what lives long enough to
    /// arrive.
    pub(crate) fn surplus(&self, now: MonoTime) -> TokenAmount {
        let lasting = self.lots.balance_at(self.arrival(now));
        lasting.saturating_sub(self.kept(now))
    }

    /// Returns the tokens that the next draw should ask for, if one is due.
    ///
    /// A host with few requests draws only when one finds no token; others draw ahead of need.
    pub(crate) fn due_draw(&self, now: MonoTime) -> Option<TokenAmount> {
        let is_held_up = now < self.next_draw_at || self.is_refill_pending(now);
        let is_useless = self.terms.life().is_zero()
            || self.terms.burst.as_micros() < TokenAmount::ONE.as_micros();
        if is_held_up || is_useless {
            return None;
        }
        let (target, balance) = (self.target(now), self.balance());
        let least = TokenAmount::from_micros(target.as_micros() / 3);
        let is_low = target >= TokenAmount::ONE && balance < least.max(TokenAmount::ONE);
        let is_short = self.is_unmet && balance < TokenAmount::ONE;
        let lasting = self.lots.balance_at(self.arrival(now));
        let wanted = target.max(TokenAmount::ONE).saturating_sub(lasting);
        (is_low || is_short).then_some(wanted)
    }

    pub(crate) fn open_draw(
        &mut self,
        sequence: u64,
        wanted: TokenAmount,
        purpose: DrawPurpose,
        now: MonoTime,
    ) {
        self.open_draws
            .retain(|_, draw| now.since(draw.sent_at) <= DRAW_OPEN);
        let draw = OpenDraw {
            sent_at: now,
            wanted,
            purpose,
        };
        self.open_draws.insert(sequence, draw);
    }

    /// Deducts what a draw may have: all but what this host is about to need itself.
    ///
    /// Returns `None` for a draw that was answered before or was overtaken by a later one.
    pub(crate) fn answer(&mut self, draw: &TokenDraw, now: MonoTime) -> Option<TokenGrant> {
        let stamp = (draw.id.incarnation, draw.id.sequence);
        if self
            .drawers
            .get(&draw.id.host)
            .is_some_and(|&last| last >= stamp)
        {
            return None;
        }
        if self.drawers.len() >= DRAWERS_MAX {
            self.drawers.shift_remove_index(0);
        }
        self.drawers.insert(draw.id.host.clone(), stamp);
        let lots = self.lots.withdraw(self.grant_for(draw, now));
        let granted = |lot: TokenLot| GrantedLot {
            amount: lot.amount,
            first_left: lot.first.since(now),
            last_left: lot.last.since(now),
        };
        Some(TokenGrant {
            draw: draw.id.clone(),
            team: draw.team.clone(),
            terms: self.terms,
            lots: lots.into_iter().map(granted).collect(),
        })
    }

    /// Returns how much a draw gets. What expires before a grant can arrive comes on top, as it is of
    /// no other use.
    fn grant_for(&self, draw: &TokenDraw, now: MonoTime) -> TokenAmount {
        // A request here waits for what is missing to these very tokens.
        if draw.purpose == DrawPurpose::HostSurplus && self.is_unmet && self.is_refill_pending(now)
        {
            return TokenAmount::ZERO;
        }
        let lasting = self.lots.balance_at(self.arrival(now));
        let expiring = self.balance().saturating_sub(lasting);
        let surplus = lasting.saturating_sub(self.kept(now));
        if draw.purpose != DrawPurpose::Refill {
            return surplus.saturating_add(expiring).min(draw.wanted);
        }
        let given = surplus.min(draw.wanted).saturating_add(expiring);
        match given >= draw.least {
            true => given,
            false => TokenAmount::ZERO,
        }
    }

    /// Takes the tokens of a grant for an open draw and returns how many there were.
    ///
    /// Their life counts from the time at which the draw was sent, which is before the deduction.
    pub(crate) fn accept(&mut self, grant: &TokenGrant, now: MonoTime) -> Option<TokenAmount> {
        let draw = self.open_draws.swap_remove(&grant.draw.sequence)?;
        let sent_at = draw.sent_at;
        if now.since(sent_at) > DRAW_OPEN {
            return None;
        }
        let mut lots = LotQueue::default();
        for lot in &grant.lots {
            lots.insert(TokenLot {
                amount: lot.amount,
                first: sent_at.after(lot.first_left),
                last: sent_at.after(lot.last_left),
            });
        }
        lots.expire(now);
        lots.convert(&grant.terms, &self.terms, now);
        let amount = lots.balance();
        let slack = self.terms.life() / MERGE_PART;
        for lot in lots.withdraw(amount) {
            self.lots.merge(lot, slack);
        }
        if draw.purpose == DrawPurpose::Refill {
            self.pace_draws(amount < TokenAmount::ONE.min(draw.wanted), now);
        }
        Some(amount)
    }

    fn pace_draws(&mut self, is_poor: bool, now: MonoTime) {
        if is_poor {
            self.next_draw_at = now.after(self.draw_pause);
            self.draw_pause = (self.draw_pause * 2).min(DRAW_PAUSE_MAX);
        } else {
            self.draw_pause = (self.draw_pause / 2).max(DRAW_PAUSE_MIN);
        }
    }

    pub(crate) fn touched_at(&self) -> MonoTime {
        self.touched_at
    }

    /// Returns when the account was last used, if that was longer ago than a token lives.
    pub(crate) fn idle_since(&self, least: Duration, now: MonoTime) -> Option<MonoTime> {
        let bound = self.terms.life().max(least);
        (now.since(self.touched_at) > bound).then_some(self.touched_at)
    }
}
