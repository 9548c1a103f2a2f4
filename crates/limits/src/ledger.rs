//! Token accounts of all teams on this host.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;

use crate::{
    account::TeamAccount,
    fence::MintingFence,
    shortage::TokenShortage,
    terms::LimitTerms,
    transfers::{
        TokenGrant,
        TransferId,
        TransferPurpose,
        TransferRequest, //
    },
};

/// Minimum idle time after which an account is dropped.
const IDLE_MIN: Duration = Duration::from_secs(60);

/// Token accounts of all teams on this host.
///
/// A team without an account uses no memory: the tokens minted since its last use, for at most one
/// token lifetime, are computed when the account is created.
#[derive(Debug)]
pub struct TokenLedger {
    host: HostId,
    incarnation: HostIncarnation,
    accounts: ShardMap<TeamId, TeamAccount>,
    fence: MintingFence,
    dropped_until: AtomicU64,
    last_sequence: AtomicU64,
}

impl TokenLedger {
    /// Creates an empty ledger that mints from `minting_since` on.
    pub fn new(host: HostId, incarnation: HostIncarnation, minting_since: MonoTime) -> Self {
        Self {
            host,
            incarnation,
            accounts: ShardMap::new(),
            fence: MintingFence::new(minting_since),
            dropped_until: AtomicU64::new(0),
            last_sequence: AtomicU64::new(0),
        }
    }

    /// Returns the fence that stops minting after a pause of the process.
    pub fn fence(&self) -> &MintingFence {
        &self.fence
    }

    /// Returns the host that the ledger belongs to.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Runs a closure on the current account of a team, or returns `None` while minting is
    /// suspended.
    fn with_account<R>(
        &self,
        team: &TeamId,
        terms: &LimitTerms,
        now: MonoTime,
        act: impl FnOnce(&mut TeamAccount) -> R,
    ) -> Option<R> {
        let fence = self.fence.state(now)?;
        let make = || {
            // Tokens that a dropped account has spent must not be minted again.
            let dropped = MonoTime::from_micros(self.dropped_until.load(Ordering::SeqCst));
            TeamAccount::new(*terms, fence.since.max(dropped), fence.epoch)
        };
        let act = |account: &mut TeamAccount| {
            account.advance(&fence, terms, now);
            act(account)
        };
        Some(self.accounts.with_or_insert(team, make, act))
    }

    /// Takes the token for one request of a team.
    ///
    /// # Errors
    ///
    /// Returns [`TokenShortage`] if the host holds less than one token of the team, or if minting
    /// is suspended after a pause of the process.
    pub fn try_take(
        &self,
        team: &TeamId,
        terms: &LimitTerms,
        now: MonoTime,
    ) -> Result<(), TokenShortage> {
        let take = |account: &mut TeamAccount| {
            if account.spend_new(now) {
                return Ok(());
            }
            Err(TokenShortage {
                retry_after: account.time_to_one(),
                is_grant_expected: account.is_request_pending(now)
                    || account.due_refill(now).is_some(),
            })
        };
        let suspended = TokenShortage {
            retry_after: Duration::MAX,
            is_grant_expected: false,
        };
        self.with_account(team, terms, now, take)
            .unwrap_or(Err(suspended))
    }

    /// Takes the token for a request that has waited for a grant since its `try_take`.
    ///
    /// The request is not counted as demand a second time.
    pub fn take_after_wait(&self, team: &TeamId, terms: &LimitTerms, now: MonoTime) -> bool {
        self.with_account(team, terms, now, TeamAccount::spend_counted)
            .unwrap_or(false)
    }

    /// Returns `true` if the host is short of a team's tokens and no refill is in flight.
    pub fn is_refill_due(&self, team: &TeamId, terms: &LimitTerms, now: MonoTime) -> bool {
        let is_due = |account: &mut TeamAccount| account.due_refill(now).is_some();
        self.with_account(team, terms, now, is_due).unwrap_or(false)
    }

    /// Returns `true` if two refill requests of the last second were not answered.
    pub fn is_broker_unresponsive(&self, team: &TeamId, now: MonoTime) -> bool {
        let count = |account: &mut TeamAccount| account.unanswered_refills(now);
        self.accounts.with(team, count).unwrap_or(0) >= 2
    }

    /// Opens a refill request for the team's broker if the host is short and no refill is in
    /// flight.
    pub fn open_refill(
        &self,
        team: &TeamId,
        terms: &LimitTerms,
        now: MonoTime,
    ) -> Option<TransferRequest> {
        let make = |account: &mut TeamAccount| {
            let wanted = account.due_refill(now)?;
            Some(self.open_request(account, team, wanted, TransferPurpose::Refill, now))
        };
        self.with_account(team, terms, now, make).flatten()
    }

    /// Opens a transfer request of a given size, as used by a broker that collects surplus.
    pub fn open_transfer(
        &self,
        (team, terms): (&TeamId, &LimitTerms),
        wanted: TokenAmount,
        purpose: TransferPurpose,
        now: MonoTime,
    ) -> Option<TransferRequest> {
        let make =
            |account: &mut TeamAccount| self.open_request(account, team, wanted, purpose, now);
        self.with_account(team, terms, now, make)
    }

    fn open_request(
        &self,
        account: &mut TeamAccount,
        team: &TeamId,
        wanted: TokenAmount,
        purpose: TransferPurpose,
        now: MonoTime,
    ) -> TransferRequest {
        let sequence = self.last_sequence.fetch_add(1, Ordering::SeqCst) + 1;
        account.open_request(sequence, wanted, purpose, now);
        TransferRequest {
            id: TransferId {
                host: self.host.clone(),
                incarnation: self.incarnation,
                sequence,
            },
            team: team.clone(),
            wanted,
            minimum: match purpose {
                TransferPurpose::Refill => account.missing_to_one(),
                _ => TokenAmount::ZERO,
            },
            sent_at: now,
            purpose,
        }
    }

    /// Deducts the tokens for another host's request. `None` means that the request gets no answer.
    pub fn answer_request(
        &self,
        request: &TransferRequest,
        terms: &LimitTerms,
        now: MonoTime,
    ) -> Option<TokenGrant> {
        if request.id.host == self.host {
            return None;
        }
        let answer = |account: &mut TeamAccount| account.answer(request, now);
        self.with_account(&request.team, terms, now, answer)
            .flatten()
    }

    /// Credits the tokens of a grant and returns how many there were.
    ///
    /// A grant is credited once, and only for an open request of this incarnation. `None` means
    /// that it was a duplicate, too late or meant for another process.
    pub fn accept_grant(
        &self,
        grant: &TokenGrant,
        terms: &LimitTerms,
        now: MonoTime,
    ) -> Option<TokenAmount> {
        if grant.request_id.host != self.host || grant.request_id.incarnation != self.incarnation {
            return None;
        }
        let accept = |account: &mut TeamAccount| account.accept(grant, now);
        self.with_account(&grant.team, terms, now, accept).flatten()
    }

    /// Returns the tokens that this host holds for a team.
    pub fn balance(&self, team: &TeamId, terms: &LimitTerms, now: MonoTime) -> TokenAmount {
        let read = |account: &mut TeamAccount| account.balance();
        self.with_account(team, terms, now, read)
            .unwrap_or(TokenAmount::ZERO)
    }

    /// Returns the tokens of a team that this host can grant without running short itself.
    pub fn surplus(&self, team: &TeamId, terms: &LimitTerms, now: MonoTime) -> TokenAmount {
        let read = |account: &mut TeamAccount| account.surplus(now);
        self.with_account(team, terms, now, read)
            .unwrap_or(TokenAmount::ZERO)
    }

    /// Applies changed limits to all accounts; accounts of teams without limits are dropped.
    pub fn apply_limits(&self, terms_of: impl Fn(&TeamId) -> Option<LimitTerms>, now: MonoTime) {
        let Some(fence) = self.fence.state(now) else {
            return;
        };
        self.accounts.retain(|team, account| match terms_of(team) {
            Some(terms) => {
                account.advance(&fence, &terms, now);
                true
            }
            None => {
                self.dropped_until
                    .fetch_max(account.last_used_at().as_micros(), Ordering::SeqCst);
                false
            }
        });
    }

    /// Drops accounts that have been idle for longer than the lifetime of a token, and for 60 s at least.
    pub fn drop_idle(&self, now: MonoTime) {
        self.accounts
            .retain(|_, account| match account.idle_since(IDLE_MIN, now) {
                Some(at) => {
                    self.dropped_until
                        .fetch_max(at.as_micros(), Ordering::SeqCst);
                    false
                }
                None => true,
            });
    }

    /// Returns the number of accounts.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }
}
