//! Collects surplus tokens and grants them to hosts that are short.
//!
//! A team has one broker in each zone. A broker works only while some host is short of the team's
//! tokens: it queries hosts of its zone and brokers of other zones for their surplus, the least
//! recently queried first and no more of them than it needs, and answers refills from its host's
//! ledger. A refill that finds too little waits a few milliseconds for the collection.
//!
//! Hosts refill from the fleet-wide broker, so that the tokens of a small team are pooled on one
//! host instead of being spread over the zones in fractions of less than one token. While that
//! broker does not answer, they refill from the broker of their own zone.

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
    allowance::TransferAllowance,
    ledger::TokenLedger,
    pending_transfers::PendingTransfers,
    roster::ZoneRoster,
    terms::LimitTerms,
    transfers::{
        OutboundMessage,
        TokenGrant,
        TransferPurpose,
        TransferRequest, //
    },
};

/// Input of a broker decision.
#[derive(Clone, Copy, Debug)]
pub struct BrokerContext<'a> {
    /// Ledger of this host, which holds the collected tokens.
    pub ledger: &'a TokenLedger,
    /// Live hosts by zone.
    pub roster: &'a ZoneRoster,
    /// Limits of the team.
    pub terms: LimitTerms,
    /// Time of the decision, by the clock of this host.
    pub now: MonoTime,
}

impl BrokerContext<'_> {
    fn surplus(&self, team: &TeamId) -> TokenAmount {
        self.ledger.surplus(team, &self.terms, self.now)
    }

    fn answer(&self, request: &TransferRequest) -> Option<OutboundMessage> {
        self.ledger
            .answer_request(request, &self.terms, self.now)
            .map(OutboundMessage::with_grant)
    }
}

/// A host that may have surplus tokens.
struct TokenSource {
    host: HostId,
    purpose: TransferPurpose,
    /// Time since the last query, at maximum the lifetime of a token.
    time_since_query: Duration,
    /// Tokens that the host, or the zone that it is the broker of, has minted in that time.
    expected: TokenAmount,
    /// Upper bound on the tokens that have been minted and have not expired.
    maximum: TokenAmount,
}

impl TokenSource {
    /// Returns the amount to request: everything from a host, and only what is needed from a zone.
    fn wanted(&self, need: TokenAmount) -> TokenAmount {
        match self.purpose {
            TransferPurpose::ZoneSurplus => need.min(self.maximum),
            _ => self.maximum,
        }
    }

    /// Returns the time up to which a request covers the minted tokens.
    fn covered_until(&self, wanted: TokenAmount, now: MonoTime) -> MonoTime {
        let rest = self.expected.saturating_sub(wanted).as_micros();
        let rest = u128::from(rest) * self.time_since_query.as_micros();
        let rest = rest / u128::from(self.expected.as_micros().max(1));
        let rest = u64::try_from(rest).unwrap_or(u64::MAX);
        MonoTime::from_micros(now.as_micros().saturating_sub(rest))
    }
}

/// Broker of teams on this host, and client of the brokers on other hosts.
#[derive(Debug)]
pub struct TokenBroker {
    zone: ZoneId,
    pending: ShardMap<TeamId, PendingTransfers>,
    allowance: Mutex<TransferAllowance>,
}

fn half_of(amount: TokenAmount) -> TokenAmount {
    TokenAmount::from_micros(amount.as_micros() / 2)
}

fn divided(amount: TokenAmount, count: usize) -> TokenAmount {
    TokenAmount::from_micros(amount.as_micros() / u64::try_from(count.max(1)).unwrap_or(u64::MAX))
}

impl TokenBroker {
    /// Creates the broker of a host in `zone` that may send `rate` transfer requests a second.
    pub fn new(zone: ZoneId, rate: RequestRate, now: MonoTime) -> Self {
        Self {
            zone,
            pending: ShardMap::new(),
            allowance: Mutex::new(TransferAllowance::new(rate, now)),
        }
    }

    fn with_allowance<R>(&self, act: impl FnOnce(&mut TransferAllowance) -> R) -> R {
        act(&mut self
            .allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the messages to send if this host is short of a team's tokens; usually none.
    ///
    /// Call it after each `try_take`, so that the host refills before its account is empty.
    pub fn refill(&self, team: &TeamId, context: &BrokerContext<'_>) -> Vec<OutboundMessage> {
        let (ledger, now) = (context.ledger, context.now);
        let broker = match ledger.is_broker_unresponsive(team, now) {
            false => context.roster.fleet_broker(team),
            true => context.roster.broker_of(&self.zone, team),
        };
        let Some(broker) = broker else {
            return Vec::new();
        };
        if !ledger.is_refill_due(team, &context.terms, now)
            || !self.with_allowance(|allowance| allowance.take_refill(now))
        {
            return Vec::new();
        }
        let Some(request) = ledger.open_refill(team, &context.terms, now) else {
            return Vec::new();
        };
        if broker != ledger.host() {
            return vec![OutboundMessage::with_request(broker.clone(), request)];
        }
        self.pending.with_or_insert(
            team,
            || PendingTransfers::new(now),
            |pending| {
                pending.record_request(request.wanted, now);
                self.collect(pending, team, TransferPurpose::Refill, true, context)
            },
        )
    }

    /// Handles a transfer request of another host: answers it at once or after a collection.
    pub fn on_request(
        &self,
        request: TransferRequest,
        context: &BrokerContext<'_>,
    ) -> Vec<OutboundMessage> {
        if request.purpose == TransferPurpose::HostSurplus {
            return context.answer(&request).into_iter().collect();
        }
        let (team, purpose, now) = (request.team.clone(), request.purpose, context.now);
        self.pending.with_or_insert(
            &team,
            || PendingTransfers::new(now),
            |pending| {
                pending.record_request(request.wanted, now);
                let is_short = context.surplus(&team)
                    < half_of(request.wanted).max(TokenAmount::ONE.min(request.wanted));
                let mut messages = Vec::new();
                if is_short {
                    pending.enqueue(request, now);
                } else {
                    messages.extend(context.answer(&request));
                }
                messages.extend(self.collect(pending, &team, purpose, is_short, context));
                if pending.is_complete(context.now) {
                    messages.extend(Self::answer_all(pending, context));
                }
                messages
            },
        )
    }

    /// Queries other hosts if the pending requests need more than the ledger can spare.
    ///
    /// It queries the least recently queried hosts first, and only as many as are needed.
    fn collect(
        &self,
        pending: &mut PendingTransfers,
        team: &TeamId,
        purpose: TransferPurpose,
        is_urgent: bool,
        context: &BrokerContext<'_>,
    ) -> Vec<OutboundMessage> {
        let (ledger, now, lifetime) = (context.ledger, context.now, context.terms.token_lifetime());
        let surplus = context.surplus(team);
        let mut need = pending.need(surplus, lifetime, now);
        if !pending.may_collect(now) || (!is_urgent && need < surplus) {
            return Vec::new();
        }
        need = need.max(TokenAmount::ONE);
        let mut chosen = Vec::new();
        let mut expected = TokenAmount::ZERO;
        for source in self.sources(pending, team, purpose, context) {
            if expected >= need {
                break;
            }
            let missing = need.saturating_sub(expected);
            let wanted = source.wanted(missing);
            expected = expected.saturating_add(wanted.min(source.expected));
            chosen.push((source, wanted));
        }
        let allowed = self.with_allowance(|allowance| allowance.take_collection(chosen.len(), now));
        chosen.truncate(allowed);
        if chosen.is_empty() {
            return Vec::new();
        }
        let team_terms = (team, &context.terms);
        let mut requests = Vec::new();
        for (source, wanted) in chosen {
            pending.record_query(&source.host, source.covered_until(wanted, now));
            let request = ledger.open_transfer(team_terms, wanted, source.purpose, now);
            requests.extend(request.map(|request| (source.host, request)));
        }
        let sequences = requests.iter().map(|(_, request)| request.id.sequence);
        pending.begin_collection(sequences, expected, now);
        let outbound = |(to, request)| OutboundMessage::with_request(to, request);
        requests.into_iter().map(outbound).collect()
    }

    /// Lists the hosts to query, the least recently queried first. Brokers of other zones are
    /// queried only on behalf of hosts of this zone, so that a collection never cascades from zone
    /// to zone.
    fn sources(
        &self,
        pending: &PendingTransfers,
        team: &TeamId,
        purpose: TransferPurpose,
        context: &BrokerContext<'_>,
    ) -> Vec<TokenSource> {
        let (own, roster, terms) = (context.ledger.host(), context.roster, &context.terms);
        let is_waiting = |host: &HostId| {
            pending
                .waiting
                .iter()
                .any(|waiting| waiting.request.id.host == *host)
        };
        let hosts = roster.hosts_in(&self.zone).iter();
        let hosts = hosts
            .filter(|host| *host != own && !is_waiting(host))
            .map(|host| (host, TransferPurpose::HostSurplus, 1));
        let brokers = roster
            .brokers_outside(&self.zone, team)
            .filter(|_| purpose == TransferPurpose::Refill)
            .map(|(zone, host)| {
                (
                    host,
                    TransferPurpose::ZoneSurplus,
                    roster.hosts_in(zone).len(),
                )
            });
        let source = |(host, purpose, hosts): (&HostId, _, usize)| {
            let time_since_query =
                pending.time_since_query((host, purpose), terms.token_lifetime(), context.now)?;
            let hosts = u64::try_from(hosts).unwrap_or(u64::MAX);
            let for_all = |part: u64| TokenAmount::from_micros(part.saturating_mul(hosts));
            Some(TokenSource {
                host: host.clone(),
                purpose,
                time_since_query,
                expected: for_all(terms.host_rate().accrued_over(time_since_query).as_micros()),
                maximum: for_all(terms.burst.as_micros() / u64::from(terms.minters.max(1))),
            })
        };
        let mut sources: Vec<_> = brokers.chain(hosts).filter_map(source).collect();
        sources.sort_by_key(|source| Reverse(source.time_since_query));
        sources
    }

    /// Credits a grant to the ledger and answers the requests that waited for it.
    pub fn on_grant(
        &self,
        grant: &TokenGrant,
        context: &BrokerContext<'_>,
    ) -> Vec<OutboundMessage> {
        let accepted = context
            .ledger
            .accept_grant(grant, &context.terms, context.now);
        let Some(amount) = accepted else {
            return Vec::new();
        };
        let serve = |pending: &mut PendingTransfers| {
            pending.record_grant(grant.request_id.sequence, amount);
            let mut messages = Self::answer_covered(pending, context);
            if pending.is_complete(context.now) {
                messages.extend(self.continue_collection(pending, context));
            }
            messages
        };
        self.pending.with(&grant.team, serve).unwrap_or_default()
    }

    /// Continues the collection for waiting requests, or answers them if no host is left to query.
    fn continue_collection(
        &self,
        pending: &mut PendingTransfers,
        context: &BrokerContext<'_>,
    ) -> Vec<OutboundMessage> {
        let Some(first) = pending.waiting.first() else {
            return Vec::new();
        };
        let (team, purpose) = (first.request.team.clone(), first.request.purpose);
        let messages = self.collect(pending, &team, purpose, true, context);
        match messages.is_empty() {
            true => Self::answer_all(pending, context),
            false => messages,
        }
    }

    /// Answers waiting requests in order while the surplus covers them in full.
    fn answer_covered(
        pending: &mut PendingTransfers,
        context: &BrokerContext<'_>,
    ) -> Vec<OutboundMessage> {
        let mut messages = Vec::new();
        while let Some(first) = pending.waiting.first() {
            if context.surplus(&first.request.team) < first.request.wanted {
                break;
            }
            messages.extend(context.answer(&pending.waiting.remove(0).request));
        }
        messages
    }

    /// Divides the surplus among all waiting requests.
    fn answer_all(
        pending: &mut PendingTransfers,
        context: &BrokerContext<'_>,
    ) -> Vec<OutboundMessage> {
        let mut messages = Vec::new();
        while !pending.waiting.is_empty() {
            let count = pending.waiting.len();
            let mut request = pending.waiting.remove(0).request;
            if count > 1 {
                let part = divided(context.surplus(&request.team), count);
                request.wanted = request.wanted.min(part.max(request.minimum));
            }
            messages.extend(context.answer(&request));
        }
        messages
    }

    /// Answers requests whose collection takes too long, and drops the state of teams without
    /// recent requests.
    ///
    /// `context_of` returns the context of a team, or `None` if the team has no limits.
    pub fn poll<'a>(
        &self,
        context_of: impl Fn(&TeamId) -> Option<BrokerContext<'a>>,
        now: MonoTime,
    ) -> Vec<OutboundMessage> {
        let mut messages = Vec::new();
        self.pending.retain(|team, pending| {
            if pending
                .waiting
                .iter()
                .any(|waiting| waiting.answer_by <= now)
            {
                match context_of(team) {
                    Some(context) => messages.extend(Self::answer_all(pending, &context)),
                    None => pending.waiting.clear(),
                }
            }
            !pending.is_idle(now)
        });
        messages
    }

    /// Returns the next time at which [`TokenBroker::poll`] has a request to answer.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let mut earliest: Option<MonoTime> = None;
        self.pending.for_each(|_, pending| {
            let deadlines = pending.waiting.iter().map(|waiting| waiting.answer_by);
            earliest = deadlines.chain(earliest).min();
        });
        earliest
    }

    /// Returns the number of teams of which some host is or was recently short.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }
}
