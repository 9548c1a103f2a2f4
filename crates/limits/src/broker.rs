//! Collects surplus and hands it to hosts that are short.
//!
//! A team has one broker in each zone. A broker works only while some host is short of the team's
//! tokens: it asks hosts of its zone and brokers of other zones for what they can spare, the one
//! not visited for longest first and no more than it needs, and answers refills from its host's
//! ledger. A refill that finds too little waits for the collection, a few milliseconds at most.
//!
//! Hosts refill from the first broker of the fleet, so that the tokens of a small team come together
//! in one place instead of lying in parts of less than one token in each zone. While that broker
//! does not answer, they refill from the one of their own zone.

use std::{
    cmp::Reverse,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;

use crate::{
    allowance::DrawAllowance,
    draws::{
        DrawPurpose,
        TokenDraw,
        TokenGrant,
        TokenLetter, //
    },
    ledger::TokenLedger,
    pending_draws::PendingDraws,
    roster::ZoneRoster,
    terms::LimitTerms,
};

/// What a decision of the broker depends on.
#[derive(Clone, Copy, Debug)]
pub struct BrokerContext<'a> {
    /// Ledger of this host, which holds what the broker collects.
    pub ledger: &'a TokenLedger,
    /// Live hosts.
    pub roster: &'a ZoneRoster,
    /// Limits of the team.
    pub terms: LimitTerms,
    /// Time of the decision.
    pub now: MonoTime,
}

impl BrokerContext<'_> {
    fn surplus(&self, team: &TeamId) -> TokenAmount {
        self.ledger.surplus(team, &self.terms, self.now)
    }

    fn answer(&self, draw: &TokenDraw) -> Option<TokenLetter> {
        self.ledger
            .answer_draw(draw, &self.terms, self.now)
            .map(TokenLetter::with_grant)
    }
}

/// A host that may have tokens to give.
struct TokenGiver {
    host: HostId,
    purpose: DrawPurpose,
    /// Time since the last visit, at most the life of a token.
    unvisited: Duration,
    /// What the giver, or the zone that it speaks for, has minted in that time.
    expected: TokenAmount,
    /// The most that can have been minted and not expired.
    most: TokenAmount,
}

impl TokenGiver {
    /// Returns what to ask for: all that a host has, and of a zone what is needed.
    fn wanted(&self, need: TokenAmount) -> TokenAmount {
        match self.purpose {
            DrawPurpose::ZoneSurplus => need.min(self.most),
            _ => self.most,
        }
    }

    /// Returns the time up to which a draw takes what was minted.
    fn visited_until(&self, wanted: TokenAmount, now: MonoTime) -> MonoTime {
        let rest = self.expected.saturating_sub(wanted).as_micros();
        let rest = u128::from(rest) * self.unvisited.as_micros();
        let rest = rest / u128::from(self.expected.as_micros().max(1));
        let rest = u64::try_from(rest).unwrap_or(u64::MAX);
        MonoTime::from_micros(now.as_micros().saturating_sub(rest))
    }
}

/// The part of this host as broker of teams, and as one that draws from brokers.
#[derive(Debug)]
pub struct TokenBroker {
    zone: ZoneId,
    pending_draws: ShardMap<TeamId, PendingDraws>,
    allowance: Mutex<DrawAllowance>,
}

fn half_of(amount: TokenAmount) -> TokenAmount {
    TokenAmount::from_micros(amount.as_micros() / 2)
}

fn divided(amount: TokenAmount, count: usize) -> TokenAmount {
    TokenAmount::from_micros(amount.as_micros() / u64::try_from(count.max(1)).unwrap_or(u64::MAX))
}

impl TokenBroker {
    /// Makes the broker of a host in a zone, which may send a number of draws a second.
    pub fn new(zone: ZoneId, draws: RequestRate, now: MonoTime) -> Self {
        Self {
            zone,
            pending_draws: ShardMap::new(),
            allowance: Mutex::new(DrawAllowance::new(draws, now)),
        }
    }

    fn with_allowance<R>(&self, act: impl FnOnce(&mut DrawAllowance) -> R) -> R {
        act(&mut self
            .allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns what to send when this host runs short of a team's tokens; often nothing.
    ///
    /// Call it after each `try_take`, so that a host draws before it is empty.
    pub fn refill(&self, team: &TeamId, context: &BrokerContext<'_>) -> Vec<TokenLetter> {
        let (ledger, now) = (context.ledger, context.now);
        let broker = match ledger.is_broker_silent(team, now) {
            false => context.roster.home_of(team),
            true => context.roster.broker_of(&self.zone, team),
        };
        let Some(broker) = broker else {
            return Vec::new();
        };
        if !ledger.is_draw_due(team, &context.terms, now)
            || !self.with_allowance(|allowance| allowance.take_refill(now))
        {
            return Vec::new();
        }
        let Some(draw) = ledger.draw_wish(team, &context.terms, now) else {
            return Vec::new();
        };
        if broker != ledger.host() {
            return vec![TokenLetter::with_draw(broker.clone(), draw)];
        }
        self.pending_draws.with_or_insert(
            team,
            || PendingDraws::new(now),
            |pending| {
                pending.record_draw(draw.wanted, now);
                self.collect(pending, team, DrawPurpose::Refill, true, context)
            },
        )
    }

    /// Answers a draw of another host, at once or after a collection.
    pub fn on_draw(&self, draw: TokenDraw, context: &BrokerContext<'_>) -> Vec<TokenLetter> {
        if draw.purpose == DrawPurpose::HostSurplus {
            return context.answer(&draw).into_iter().collect();
        }
        let (team, purpose, now) = (draw.team.clone(), draw.purpose, context.now);
        self.pending_draws.with_or_insert(
            &team,
            || PendingDraws::new(now),
            |pending| {
                pending.record_draw(draw.wanted, now);
                let is_short = context.surplus(&team)
                    < half_of(draw.wanted).max(TokenAmount::ONE.min(draw.wanted));
                let mut letters = Vec::new();
                if is_short {
                    pending.wait(draw, now);
                } else {
                    letters.extend(context.answer(&draw));
                }
                letters.extend(self.collect(pending, &team, purpose, is_short, context));
                if pending.is_complete(context.now) {
                    letters.extend(Self::answer_all(pending, context));
                }
                letters
            },
        )
    }

    /// Sends collecting draws if the pending draws need more than the ledger can spare.
    ///
    /// It asks those who were not visited for longest, and only as many as the need takes.
    fn collect(
        &self,
        pending: &mut PendingDraws,
        team: &TeamId,
        purpose: DrawPurpose,
        is_urgent: bool,
        context: &BrokerContext<'_>,
    ) -> Vec<TokenLetter> {
        let (ledger, now, life) = (context.ledger, context.now, context.terms.life());
        let surplus = context.surplus(team);
        let mut need = pending.need(surplus, life, now);
        if !pending.may_collect(now) || (!is_urgent && need < surplus) {
            return Vec::new();
        }
        need = need.max(TokenAmount::ONE);
        let mut chosen = Vec::new();
        let mut expected = TokenAmount::ZERO;
        for giver in self.givers(pending, team, purpose, context) {
            if expected >= need {
                break;
            }
            let open = need.saturating_sub(expected);
            let wanted = giver.wanted(open);
            expected = expected.saturating_add(wanted.min(giver.expected));
            chosen.push((giver, wanted));
        }
        let allowed = self.with_allowance(|allowance| allowance.take_collection(chosen.len(), now));
        chosen.truncate(allowed);
        if chosen.is_empty() {
            return Vec::new();
        }
        let of = (team, &context.terms);
        let mut draws = Vec::new();
        for (giver, wanted) in chosen {
            pending.visit(&giver.host, giver.visited_until(wanted, now));
            let draw = ledger.draw_surplus(of, wanted, giver.purpose, now);
            draws.extend(draw.map(|draw| (giver.host, draw)));
        }
        let sequences = draws.iter().map(|(_, draw)| draw.id.sequence);
        pending.begin_collection(sequences, expected, now);
        let letter = |(to, draw)| TokenLetter::with_draw(to, draw);
        draws.into_iter().map(letter).collect()
    }

    /// Lists whom to ask, the one not visited for longest first. The brokers of other zones are asked
    /// only for hosts of this zone, so that a collection never goes on from zone to zone.
    fn givers(
        &self,
        pending: &PendingDraws,
        team: &TeamId,
        purpose: DrawPurpose,
        context: &BrokerContext<'_>,
    ) -> Vec<TokenGiver> {
        let (own, roster, terms) = (context.ledger.host(), context.roster, &context.terms);
        let is_waiting = |host: &HostId| {
            pending
                .waiting
                .iter()
                .any(|open| open.draw.id.host == *host)
        };
        let hosts = roster.hosts_in(&self.zone).iter();
        let hosts = hosts
            .filter(|host| *host != own && !is_waiting(host))
            .map(|host| (host, DrawPurpose::HostSurplus, 1));
        let brokers = roster
            .brokers_outside(&self.zone, team)
            .filter(|_| purpose == DrawPurpose::Refill)
            .map(|(zone, host)| (host, DrawPurpose::ZoneSurplus, roster.hosts_in(zone).len()));
        let giver = |(host, purpose, hosts): (&HostId, _, usize)| {
            let unvisited = pending.unvisited((host, purpose), terms.life(), context.now)?;
            let hosts = u64::try_from(hosts).unwrap_or(u64::MAX);
            let times = |part: u64| TokenAmount::from_micros(part.saturating_mul(hosts));
            Some(TokenGiver {
                host: host.clone(),
                purpose,
                unvisited,
                expected: times(terms.share().accrued_over(unvisited).as_micros()),
                most: times(terms.burst.as_micros() / u64::from(terms.minters.max(1))),
            })
        };
        let mut givers: Vec<_> = brokers.chain(hosts).filter_map(giver).collect();
        givers.sort_by_key(|giver| Reverse(giver.unvisited));
        givers
    }

    /// Takes a grant into the ledger and answers the draws that waited for it.
    pub fn on_grant(&self, grant: &TokenGrant, context: &BrokerContext<'_>) -> Vec<TokenLetter> {
        let accepted = context
            .ledger
            .accept_grant(grant, &context.terms, context.now);
        let Some(amount) = accepted else {
            return Vec::new();
        };
        let serve = |pending: &mut PendingDraws| {
            pending.record_grant(grant.draw.sequence, amount);
            let mut letters = Self::answer_some(pending, context);
            if pending.is_complete(context.now) {
                letters.extend(self.collect_on(pending, context));
            }
            letters
        };
        self.pending_draws
            .with(&grant.team, serve)
            .unwrap_or_default()
    }

    /// Goes on collecting for draws that still wait, or answers them if nobody is left to ask.
    fn collect_on(
        &self,
        pending: &mut PendingDraws,
        context: &BrokerContext<'_>,
    ) -> Vec<TokenLetter> {
        let Some(first) = pending.waiting.first() else {
            return Vec::new();
        };
        let (team, purpose) = (first.draw.team.clone(), first.draw.purpose);
        let letters = self.collect(pending, &team, purpose, true, context);
        match letters.is_empty() {
            true => Self::answer_all(pending, context),
            false => letters,
        }
    }

    /// Answers the first draws for which there is enough.
    fn answer_some(pending: &mut PendingDraws, context: &BrokerContext<'_>) -> Vec<TokenLetter> {
        let mut letters = Vec::new();
        while let Some(first) = pending.waiting.first() {
            if context.surplus(&first.draw.team) < first.draw.wanted {
                break;
            }
            letters.extend(context.answer(&pending.waiting.remove(0).draw));
        }
        letters
    }

    /// Divides what there is among all draws that wait.
    fn answer_all(pending: &mut PendingDraws, context: &BrokerContext<'_>) -> Vec<TokenLetter> {
        let mut letters = Vec::new();
        while !pending.waiting.is_empty() {
            let count = pending.waiting.len();
            let mut draw = pending.waiting.remove(0).draw;
            if count > 1 {
                let part = divided(context.surplus(&draw.team), count);
                draw.wanted = draw.wanted.min(part.max(draw.least));
            }
            letters.extend(context.answer(&draw));
        }
        letters
    }

    /// Answers draws whose collection takes too long, and drops those of teams that nobody draws for.
    ///
    /// `context_of` returns the context of a team, or `None` where the team has no limits.
    pub fn poll<'a>(
        &self,
        context_of: impl Fn(&TeamId) -> Option<BrokerContext<'a>>,
        now: MonoTime,
    ) -> Vec<TokenLetter> {
        let mut letters = Vec::new();
        self.pending_draws.retain(|team, pending| {
            if pending.waiting.iter().any(|draw| draw.answer_by <= now) {
                match context_of(team) {
                    Some(context) => letters.extend(Self::answer_all(pending, &context)),
                    None => pending.waiting.clear(),
                }
            }
            !pending.is_idle(now)
        });
        letters
    }

    /// Returns the next time at which [`TokenBroker::poll`] has a draw to answer.
    pub fn next_due(&self) -> Option<MonoTime> {
        let mut earliest: Option<MonoTime> = None;
        self.pending_draws.for_each(|_, pending| {
            let due = pending.waiting.iter().map(|draw| draw.answer_by);
            earliest = due.chain(earliest).min();
        });
        earliest
    }

    /// Counts the teams for which some host is or was just short.
    pub fn pending_count(&self) -> usize {
        self.pending_draws.len()
    }
}
