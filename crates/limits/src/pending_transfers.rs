//! State of a broker for one team.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};

use crate::{
    demand::DemandMeter,
    transfers::{
        TransferPurpose,
        TransferRequest, //
    },
};

/// Queries of one source in the lifetime of a token. A source that was just queried has minted
/// little, so more queries would cost messages and collect few tokens.
const QUERIES_PER_LIFETIME: u32 = 4;

/// Longest time between two queries of one source when tokens have a long lifetime. With a longer
/// interval the broker would run empty in between.
const QUERY_INTERVAL_MAX: Duration = Duration::from_millis(300);

/// Maximum number of sources whose last query is remembered. Beyond it all are forgotten and
/// count as never queried.
const QUERIED_SOURCES_MAX: usize = 1024;

/// Delay after the first collection that returned few tokens.
const COLLECT_DELAY_MIN: Duration = Duration::from_millis(25);

/// Longest delay after such a collection, for teams above their rate.
const COLLECT_DELAY_MAX: Duration = Duration::from_secs(1);

/// Time without transfer requests after which the state of a team is dropped.
const PENDING_IDLE_MAX: Duration = Duration::from_secs(5);

/// Returns how long a transfer request waits for a collection.
///
/// The 14 ms of a refill include the 7 ms of the broker of another zone and the two messages to and
/// from it, of 1.5 ms each. Together with the two messages of the refill itself, and with the delay
/// until the next [`TokenBroker::poll`](crate::broker::TokenBroker::poll), it stays below the 25 ms
/// that a caller waits for a token.
fn collection_timeout(purpose: TransferPurpose) -> Duration {
    match purpose {
        TransferPurpose::Refill => Duration::from_millis(14),
        _ => Duration::from_millis(7),
    }
}

/// A transfer request that waits for a collection.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: TransferRequest,
    pub(crate) answer_by: MonoTime,
}

/// State of a broker for one team while some host is short of its tokens.
#[derive(Debug)]
pub(crate) struct PendingTransfers {
    pub(crate) waiting: Vec<WaitingRequest>,
    open_sequences: IndexSet<u64>,
    demand: DemandMeter,
    expected: TokenAmount,
    collected: TokenAmount,
    sent_at: Option<MonoTime>,
    delay: Duration,
    last_request_at: MonoTime,
    queried: IndexMap<HostId, MonoTime>,
}

impl PendingTransfers {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            waiting: Vec::new(),
            open_sequences: IndexSet::new(),
            demand: DemandMeter::default(),
            expected: TokenAmount::ZERO,
            collected: TokenAmount::ZERO,
            sent_at: None,
            delay: COLLECT_DELAY_MIN,
            last_request_at: now,
            queried: IndexMap::new(),
        }
    }

    /// Records the demand of a transfer request.
    pub(crate) fn record_request(&mut self, wanted: TokenAmount, now: MonoTime) {
        self.demand.record(wanted, now);
        self.last_request_at = now;
    }

    /// Queues a transfer request, unless it is already waiting.
    pub(crate) fn enqueue(&mut self, request: TransferRequest, now: MonoTime) {
        if self
            .waiting
            .iter()
            .all(|waiting| waiting.request.id != request.id)
        {
            let answer_by = now.after(collection_timeout(request.purpose));
            self.waiting.push(WaitingRequest { request, answer_by });
        }
    }

    /// Returns the tokens to collect beyond the surplus, for the waiting requests and the expected
    /// demand.
    pub(crate) fn need(
        &self,
        surplus: TokenAmount,
        lifetime: Duration,
        now: MonoTime,
    ) -> TokenAmount {
        let add =
            |sum: TokenAmount, waiting: &WaitingRequest| sum.saturating_add(waiting.request.wanted);
        let waiting = self.waiting.iter().fold(TokenAmount::ZERO, add);
        waiting
            .saturating_add(self.demand.desired_balance(lifetime, now))
            .saturating_sub(surplus)
    }

    /// Returns `true` if no collection is open and the last one returned enough or is long enough ago.
    pub(crate) fn may_collect(&self, now: MonoTime) -> bool {
        let was_productive = self.collected.as_micros() >= self.expected.as_micros() / 4;
        let delay = if was_productive {
            Duration::ZERO
        } else {
            self.delay
        };
        let is_over = |sent_at: MonoTime| now.since(sent_at) >= delay;
        self.is_complete(now) && self.sent_at.is_none_or(is_over)
    }

    /// Returns the time for which a source has minted since its last query, at most a token's
    /// lifetime, or `None` if that query is too recent.
    ///
    /// The broker of another zone limits the queries in its zone itself, so it may be queried again
    /// for the rest of the zone's tokens.
    pub(crate) fn time_since_query(
        &self,
        (source, purpose): (&HostId, TransferPurpose),
        lifetime: Duration,
        now: MonoTime,
    ) -> Option<Duration> {
        let Some(queried_at) = self.queried.get(source) else {
            return Some(lifetime);
        };
        let interval_min = match purpose {
            TransferPurpose::ZoneSurplus => COLLECT_DELAY_MIN,
            _ => (lifetime / QUERIES_PER_LIFETIME).min(QUERY_INTERVAL_MAX),
        };
        let since = now.since(*queried_at).min(lifetime);
        (since >= interval_min).then_some(since)
    }

    /// Records the time up to which a source's minted tokens were requested.
    pub(crate) fn record_query(&mut self, source: &HostId, until: MonoTime) {
        if self.queried.len() >= QUERIED_SOURCES_MAX {
            self.queried.clear();
        }
        self.queried.insert(source.clone(), until);
    }

    /// Records the start of a collection. If the previous one returned few tokens, the delay
    /// doubles.
    pub(crate) fn begin_collection(
        &mut self,
        sequences: impl Iterator<Item = u64>,
        expected: TokenAmount,
        now: MonoTime,
    ) {
        let is_low_yield = self.collected.as_micros() < self.expected.as_micros() / 4;
        self.delay = match is_low_yield {
            true => (self.delay * 2).min(COLLECT_DELAY_MAX),
            false => COLLECT_DELAY_MIN,
        };
        self.expected = expected;
        self.collected = TokenAmount::ZERO;
        self.sent_at = Some(now);
        self.open_sequences = sequences.collect();
    }

    /// Records the grant for a collecting request.
    pub(crate) fn record_grant(&mut self, sequence: u64, amount: TokenAmount) {
        self.open_sequences.swap_remove(&sequence);
        self.collected = self.collected.saturating_add(amount);
    }

    /// Returns `true` if all grants of the last collection have arrived or timed out.
    pub(crate) fn is_complete(&self, now: MonoTime) -> bool {
        let timeout = collection_timeout(TransferPurpose::Refill);
        let is_over = |sent_at: MonoTime| now.since(sent_at) >= timeout;
        self.open_sequences.is_empty() || self.sent_at.is_none_or(is_over)
    }

    /// Returns `true` if no host has been short for a while.
    pub(crate) fn is_idle(&self, now: MonoTime) -> bool {
        self.waiting.is_empty() && now.since(self.last_request_at) > PENDING_IDLE_MAX
    }
}
