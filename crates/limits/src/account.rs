//! Token account of one team on one host.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::{
    batches::{
        BatchQueue,
        TokenBatch, //
    },
    demand::DemandMeter,
    fence::FenceState,
    terms::LimitTerms,
    transfers::{
        GrantedBatch,
        TokenGrant,
        TransferPurpose,
        TransferRequest, //
    },
};

/// Time after which an unanswered transfer request no longer blocks the next one.
const REQUEST_PENDING: Duration = Duration::from_millis(20);

/// Time after which the grant for a transfer request is rejected.
const REQUEST_OPEN: Duration = Duration::from_secs(1);

/// Delay after a refill that brought neither one whole token nor all that was requested. It doubles
/// up to [`REFILL_DELAY_MAX`]; otherwise every host would keep sending requests for teams above
/// their rate.
const REFILL_DELAY_MIN: Duration = Duration::from_millis(10);
const REFILL_DELAY_MAX: Duration = Duration::from_millis(800);

/// Minimum burst per host at which a host reserves tokens for its own demand. With a smaller one it
/// seldom completes a whole token, and the fractions that it reserved would expire.
const RESERVE_BURST_MIN: TokenAmount = TokenAmount::from_whole(4);

/// Longest time from a transfer request to the arrival of its grant. The lifetime of transferred
/// tokens counts from the sending of the request, so tokens that expire within this time would be
/// lost on the way.
const GRANT_TRANSIT: Duration = Duration::from_millis(25);

/// Received batches are merged when their expiry times differ by at most this fraction of a token's
/// lifetime.
const MERGE_FRACTION: u32 = 64;

/// Maximum number of requesting hosts whose last transfer request is remembered to detect
/// duplicates.
const REQUESTERS_MAX: usize = 64;

/// A transfer request that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    sent_at: MonoTime,
    wanted: TokenAmount,
    purpose: TransferPurpose,
}

/// Tokens of one team on one host, its open transfer requests and its demand.
#[derive(Debug)]
pub(crate) struct TeamAccount {
    terms: LimitTerms,
    batches: BatchQueue,
    minted_until: MonoTime,
    last_used_at: MonoTime,
    epoch: u64,
    demand: DemandMeter,
    open_requests: IndexMap<u64, OpenRequest>,
    has_unmet_demand: bool,
    last_requests: IndexMap<HostId, (HostIncarnation, u64)>,
    next_refill_at: MonoTime,
    refill_delay: Duration,
}

impl TeamAccount {
    pub(crate) fn new(terms: LimitTerms, minted_until: MonoTime, epoch: u64) -> Self {
        Self {
            terms,
            batches: BatchQueue::default(),
            minted_until,
            last_used_at: minted_until,
            epoch,
            demand: DemandMeter::default(),
            open_requests: IndexMap::new(),
            has_unmet_demand: false,
            last_requests: IndexMap::new(),
            next_refill_at: MonoTime::START,
            refill_delay: REFILL_DELAY_MIN,
        }
    }

    /// Applies the limits in force, drops expired tokens and mints new ones up to `now`.
    pub(crate) fn advance(&mut self, fence: &FenceState, terms: &LimitTerms, now: MonoTime) {
        if self.epoch != fence.epoch {
            self.epoch = fence.epoch;
            self.batches.clear();
            self.open_requests.clear();
            self.minted_until = fence.since;
        }
        self.last_used_at = now;
        self.batches.expire(now);
        if self.terms != *terms {
            // The time of the change is unknown, so the gap is minted at the lower rate.
            let rate = self.terms.host_rate().min(terms.host_rate());
            self.batches.apply_limits(&self.terms, terms, now);
            self.terms = *terms;
            self.mint(rate, now);
            self.minted_until = now;
        }
        self.mint(terms.host_rate(), now);
    }

    fn mint(&mut self, rate: RequestRate, now: MonoTime) {
        let lifetime = self.terms.token_lifetime();
        let lifetime_micros = u64::try_from(lifetime.as_micros()).unwrap_or(u64::MAX);
        let oldest = MonoTime::from_micros(now.as_micros().saturating_sub(lifetime_micros));
        let from = self.minted_until.max(oldest);
        self.minted_until = from;
        let amount = rate.accrued_over(now.since(from));
        if amount.is_zero() {
            return;
        }
        // Advances only by the time that whole micro-tokens take, so that slow rates lose no
        // remainder.
        let used =
            (u128::from(amount.as_micros()) * 1_000_000).div_ceil(u128::from(rate.as_micros()));
        let used = Duration::from_micros(u64::try_from(used).unwrap_or(u64::MAX));
        self.minted_until = from.after(used);
        self.batches.mint(TokenBatch {
            amount,
            first_expiry: from.after(lifetime),
            last_expiry: self.minted_until.after(lifetime),
        });
    }

    pub(crate) fn balance(&self) -> TokenAmount {
        self.batches.balance()
    }

    /// Spends one token, if available, and records the demand.
    pub(crate) fn spend_new(&mut self, now: MonoTime) -> bool {
        self.demand.record(TokenAmount::ONE, now);
        self.spend_counted()
    }

    /// Spends one token, if available, for a request whose demand was already recorded.
    pub(crate) fn spend_counted(&mut self) -> bool {
        let is_enough = self.balance() >= TokenAmount::ONE;
        if is_enough {
            self.batches.withdraw(TokenAmount::ONE);
        }
        self.has_unmet_demand = !is_enough;
        is_enough
    }

    /// Returns the amount that is missing for one whole token.
    pub(crate) fn missing_to_one(&self) -> TokenAmount {
        TokenAmount::ONE.saturating_sub(self.balance())
    }

    /// Returns the time until which tokens must be valid to be usable after a transfer.
    fn arrival_time(&self, now: MonoTime) -> MonoTime {
        now.after(GRANT_TRANSIT.min(self.terms.token_lifetime() / 10))
    }

    /// Returns how long minting alone takes to complete one token.
    pub(crate) fn time_to_one(&self) -> Duration {
        let missing = BurstSize::from_micros(self.missing_to_one().as_micros());
        missing
            .accrual_time(self.terms.host_rate())
            .unwrap_or(Duration::MAX)
    }

    fn desired_balance(&self, now: MonoTime) -> TokenAmount {
        self.demand
            .desired_balance(self.terms.token_lifetime(), now)
    }

    /// Returns `true` if a transfer request is in flight, so that a waiting request may still be
    /// served.
    pub(crate) fn is_request_pending(&self, now: MonoTime) -> bool {
        let is_recent = |request: &OpenRequest| now.since(request.sent_at) < REQUEST_PENDING;
        self.open_requests.values().any(is_recent)
    }

    fn is_refill_pending(&self, now: MonoTime) -> bool {
        self.open_requests.values().any(|request| {
            request.purpose == TransferPurpose::Refill
                && now.since(request.sent_at) < REQUEST_PENDING
        })
    }

    /// Returns the number of refill requests of the last second that were not answered. A single
    /// one may be a lost message.
    pub(crate) fn unanswered_refills(&self, now: MonoTime) -> usize {
        let is_unanswered = |request: &&OpenRequest| {
            request.purpose == TransferPurpose::Refill
                && (REQUEST_PENDING..=REQUEST_OPEN).contains(&now.since(request.sent_at))
        };
        self.open_requests.values().filter(is_unanswered).count()
    }

    /// Returns the tokens that this host reserves for its own demand.
    fn reserved(&self, now: MonoTime) -> TokenAmount {
        let burst_per_host = self.terms.burst.as_micros() / u64::from(self.terms.minters.max(1));
        let has_demand = !self.demand.level_at(now).is_zero();
        match has_demand && burst_per_host >= RESERVE_BURST_MIN.as_micros() {
            true => self.desired_balance(now).saturating_add(TokenAmount::ONE),
            false => TokenAmount::ZERO,
        }
    }

    /// Returns the tokens that this host can grant without running short itself and that are
    /// valid long enough to arrive.
    pub(crate) fn surplus(&self, now: MonoTime) -> TokenAmount {
        let lasting = self.batches.balance_at(self.arrival_time(now));
        lasting.saturating_sub(self.reserved(now))
    }

    /// Returns the number of tokens to request next, or `None` if no refill is due.
    ///
    /// A host with few requests refills only after a request found no token; other hosts refill
    /// ahead of demand.
    pub(crate) fn due_refill(&self, now: MonoTime) -> Option<TokenAmount> {
        let is_delayed = now < self.next_refill_at || self.is_refill_pending(now);
        let is_useless = self.terms.token_lifetime().is_zero()
            || self.terms.burst.as_micros() < TokenAmount::ONE.as_micros();
        if is_delayed || is_useless {
            return None;
        }
        let (desired, balance) = (self.desired_balance(now), self.balance());
        let minimum = TokenAmount::from_micros(desired.as_micros() / 3);
        let is_low = desired >= TokenAmount::ONE && balance < minimum.max(TokenAmount::ONE);
        let is_short = self.has_unmet_demand && balance < TokenAmount::ONE;
        let lasting = self.batches.balance_at(self.arrival_time(now));
        let wanted = desired.max(TokenAmount::ONE).saturating_sub(lasting);
        (is_low || is_short).then_some(wanted)
    }

    pub(crate) fn open_request(
        &mut self,
        sequence: u64,
        wanted: TokenAmount,
        purpose: TransferPurpose,
        now: MonoTime,
    ) {
        self.open_requests
            .retain(|_, request| now.since(request.sent_at) <= REQUEST_OPEN);
        let request = OpenRequest {
            sent_at: now,
            wanted,
            purpose,
        };
        self.open_requests.insert(sequence, request);
    }

    /// Deducts the tokens for a transfer request: all but what this host reserves for its own
    /// demand.
    ///
    /// Returns `None` for a request that was already answered or superseded by a later one.
    pub(crate) fn answer(
        &mut self,
        request: &TransferRequest,
        now: MonoTime,
    ) -> Option<TokenGrant> {
        let request_number = (request.id.incarnation, request.id.sequence);
        if self
            .last_requests
            .get(&request.id.host)
            .is_some_and(|&last| last >= request_number)
        {
            return None;
        }
        if self.last_requests.len() >= REQUESTERS_MAX {
            self.last_requests.shift_remove_index(0);
        }
        self.last_requests
            .insert(request.id.host.clone(), request_number);
        let batches = self.batches.withdraw(self.grantable(request, now));
        let granted = |batch: TokenBatch| GrantedBatch {
            amount: batch.amount,
            first_left: batch.first_expiry.since(now),
            last_left: batch.last_expiry.since(now),
        };
        Some(TokenGrant {
            request_id: request.id.clone(),
            team: request.team.clone(),
            terms: self.terms,
            batches: batches.into_iter().map(granted).collect(),
        })
    }

    /// Returns the number of tokens to grant. Tokens that expire before a grant can arrive are
    /// added, as they are of no other use.
    fn grantable(&self, request: &TransferRequest, now: MonoTime) -> TokenAmount {
        // A local request is waiting for a refill to complete these same tokens.
        if request.purpose == TransferPurpose::HostSurplus
            && self.has_unmet_demand
            && self.is_refill_pending(now)
        {
            return TokenAmount::ZERO;
        }
        let lasting = self.batches.balance_at(self.arrival_time(now));
        let expiring = self.balance().saturating_sub(lasting);
        let surplus = lasting.saturating_sub(self.reserved(now));
        if request.purpose != TransferPurpose::Refill {
            return surplus.saturating_add(expiring).min(request.wanted);
        }
        let amount = surplus.min(request.wanted).saturating_add(expiring);
        match amount >= request.minimum {
            true => amount,
            false => TokenAmount::ZERO,
        }
    }

    /// Credits the tokens of a grant for an open request and returns how many there were.
    ///
    /// Their lifetime counts from the time at which the request was sent, which is before the
    /// deduction.
    pub(crate) fn accept(&mut self, grant: &TokenGrant, now: MonoTime) -> Option<TokenAmount> {
        let request = self.open_requests.swap_remove(&grant.request_id.sequence)?;
        let sent_at = request.sent_at;
        if now.since(sent_at) > REQUEST_OPEN {
            return None;
        }
        let mut batches = BatchQueue::default();
        for batch in &grant.batches {
            batches.insert(TokenBatch {
                amount: batch.amount,
                first_expiry: sent_at.after(batch.first_left),
                last_expiry: sent_at.after(batch.last_left),
            });
        }
        batches.expire(now);
        batches.apply_limits(&grant.terms, &self.terms, now);
        let amount = batches.balance();
        let slack = self.terms.token_lifetime() / MERGE_FRACTION;
        for batch in batches.withdraw(amount) {
            self.batches.merge(batch, slack);
        }
        if request.purpose == TransferPurpose::Refill {
            self.adjust_refill_delay(amount < TokenAmount::ONE.min(request.wanted), now);
        }
        Some(amount)
    }

    fn adjust_refill_delay(&mut self, is_low_yield: bool, now: MonoTime) {
        if is_low_yield {
            self.next_refill_at = now.after(self.refill_delay);
            self.refill_delay = (self.refill_delay * 2).min(REFILL_DELAY_MAX);
        } else {
            self.refill_delay = (self.refill_delay / 2).max(REFILL_DELAY_MIN);
        }
    }

    pub(crate) fn last_used_at(&self) -> MonoTime {
        self.last_used_at
    }

    /// Returns the time of the last use if it is longer ago than `minimum` and than the lifetime
    /// of a token.
    pub(crate) fn idle_since(&self, minimum: Duration, now: MonoTime) -> Option<MonoTime> {
        let bound = self.terms.token_lifetime().max(minimum);
        (now.since(self.last_used_at) > bound).then_some(self.last_used_at)
    }
}
