//! The tokens that this host holds for each team.

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
    draws::{
        DrawId,
        DrawPurpose,
        TokenDraw,
        TokenGrant, //
    },
    gate::MintingGate,
    shortage::TokenShortage,
    terms::LimitTerms,
};

/// Least time without use after which an account is dropped.
const IDLE_LEAST: Duration = Duration::from_secs(60);

/// The tokens that this host holds for each team.
///
/// A team without an account costs nothing: what it minted since its last use, up to one life, is
/// worked out when the account is made.
#[derive(Debug)]
pub struct TokenLedger {
    host: HostId,
    incarnation: HostIncarnation,
    accounts: ShardMap<TeamId, TeamAccount>,
    gate: MintingGate,
    forgotten_until: AtomicU64,
    last_sequence: AtomicU64,
}

impl TokenLedger {
    /// Makes an empty ledger that mints from a point in time on.
    pub fn new(host: HostId, incarnation: HostIncarnation, minting_since: MonoTime) -> Self {
        Self {
            host,
            incarnation,
            accounts: ShardMap::new(),
            gate: MintingGate::new(minting_since),
            forgotten_until: AtomicU64::new(0),
            last_sequence: AtomicU64::new(0),
        }
    }

    /// Returns the gate that stops minting after a pause of the process.
    pub fn gate(&self) -> &MintingGate {
        &self.gate
    }

    /// Returns the host that the ledger belongs to.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Runs a closure on the account of a team, brought up to date, if the gate is open.
    fn with_account<R>(
        &self,
        team: &TeamId,
        terms: &LimitTerms,
        now: MonoTime,
        act: impl FnOnce(&mut TeamAccount) -> R,
    ) -> Option<R> {
        let gate = self.gate.state(now)?;
        let make = || {
            // What a dropped account spent must not be minted again.
            let forgotten = MonoTime::from_micros(self.forgotten_until.load(Ordering::SeqCst));
            TeamAccount::new(*terms, gate.since.max(forgotten), gate.epoch)
        };
        let act = |account: &mut TeamAccount| {
            account.advance(&gate, terms, now);
            act(account)
        };
        Some(self.accounts.with_or_insert(team, make, act))
    }

    /// Takes the token for one request of a team.
    ///
    /// # Errors
    ///
    /// Fails when the host holds less than one token of the team, or has slept.
    pub fn try_take(
        &self,
        team: &TeamId,
        terms: &LimitTerms,
        now: MonoTime,
    ) -> Result<(), TokenShortage> {
        let take = |account: &mut TeamAccount| {
            if account.spend_one(now) {
                return Ok(());
            }
            Err(TokenShortage {
                retry_after: account.time_to_one(),
                is_draw_open: account.is_draw_pending(now) || account.due_draw(now).is_some(),
            })
        };
        let is_asleep = TokenShortage {
            retry_after: Duration::MAX,
            is_draw_open: false,
        };
        self.with_account(team, terms, now, take)
            .unwrap_or(Err(is_asleep))
    }

    /// Takes the token for a request that has waited for a grant since its `try_take`.
    ///
    /// The request is not counted as demand a second time.
    pub fn take_after_wait(&self, team: &TeamId, terms: &LimitTerms, now: MonoTime) -> bool {
        self.with_account(team, terms, now, TeamAccount::spend_held)
            .unwrap_or(false)
    }

    /// Tells whether the host is short of a team's tokens and no refill is on its way.
    pub fn is_draw_due(&self, team: &TeamId, terms: &LimitTerms, now: MonoTime) -> bool {
        let is_due = |account: &mut TeamAccount| account.due_draw(now).is_some();
        self.with_account(team, terms, now, is_due).unwrap_or(false)
    }

    /// Tells whether a broker seems to be away: two refills of the last second got no answer.
    pub fn is_broker_silent(&self, team: &TeamId, now: MonoTime) -> bool {
        let count = |account: &mut TeamAccount| account.unanswered_refills(now);
        self.accounts.with(team, count).unwrap_or(0) >= 2
    }

    /// Returns the draw to send to the team's broker, if the host is short and none is open.
    pub fn draw_wish(&self, team: &TeamId, terms: &LimitTerms, now: MonoTime) -> Option<TokenDraw> {
        let make = |account: &mut TeamAccount| {
            let wanted = account.due_draw(now)?;
            Some(self.open_draw(account, team, wanted, DrawPurpose::Refill, now))
        };
        self.with_account(team, terms, now, make).flatten()
    }

    /// Opens a draw of a given size, as a broker does that collects surplus.
    pub fn draw_surplus(
        &self,
        (team, terms): (&TeamId, &LimitTerms),
        wanted: TokenAmount,
        purpose: DrawPurpose,
        now: MonoTime,
    ) -> Option<TokenDraw> {
        let make = |account: &mut TeamAccount| self.open_draw(account, team, wanted, purpose, now);
        self.with_account(team, terms, now, make)
    }

    fn open_draw(
        &self,
        account: &mut TeamAccount,
        team: &TeamId,
        wanted: TokenAmount,
        purpose: DrawPurpose,
        now: MonoTime,
    ) -> TokenDraw {
        let sequence = self.last_sequence.fetch_add(1, Ordering::SeqCst) + 1;
        account.open_draw(sequence, wanted, purpose, now);
        TokenDraw {
            id: DrawId {
                host: self.host.clone(),
                incarnation: self.incarnation,
                sequence,
            },
            team: team.clone(),
            wanted,
            least: match purpose {
                DrawPurpose::Refill => account.missing_to_one(),
                _ => TokenAmount::ZERO,
            },
            sent_at: now,
            purpose,
        }
    }

    /// Deducts what a draw of another host may have. `None` means that there is no answer.
    pub fn answer_draw(
        &self,
        draw: &TokenDraw,
        terms: &LimitTerms,
        now: MonoTime,
    ) -> Option<TokenGrant> {
        if draw.id.host == self.host {
            return None;
        }
        let answer = |account: &mut TeamAccount| account.answer(draw, now);
        self.with_account(&draw.team, terms, now, answer).flatten()
    }

    /// Takes the tokens of a grant and returns how many there were.
    ///
    /// A grant counts once, only for an open draw of this incarnation. `None` means that it was
    /// doubled, too late or for another process.
    pub fn accept_grant(
        &self,
        grant: &TokenGrant,
        terms: &LimitTerms,
        now: MonoTime,
    ) -> Option<TokenAmount> {
        if grant.draw.host != self.host || grant.draw.incarnation != self.incarnation {
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

    /// Returns what this host can give of a team's tokens without running short itself.
    pub fn surplus(&self, team: &TeamId, terms: &LimitTerms, now: MonoTime) -> TokenAmount {
        let read = |account: &mut TeamAccount| account.surplus(now);
        self.with_account(team, terms, now, read)
            .unwrap_or(TokenAmount::ZERO)
    }

    /// Applies new limits to all accounts at once; accounts of teams without limits are dropped.
    pub fn revise(&self, terms_of: impl Fn(&TeamId) -> Option<LimitTerms>, now: MonoTime) {
        let Some(gate) = self.gate.state(now) else {
            return;
        };
        self.accounts.retain(|team, account| match terms_of(team) {
            Some(terms) => {
                account.advance(&gate, &terms, now);
                true
            }
            None => {
                self.forgotten_until
                    .fetch_max(account.touched_at().as_micros(), Ordering::SeqCst);
                false
            }
        });
    }

    /// Drops accounts that have not been used for longer than a token lives.
    pub fn drop_idle(&self, now: MonoTime) {
        self.accounts
            .retain(|_, account| match account.idle_since(IDLE_LEAST, now) {
                Some(at) => {
                    self.forgotten_until
                        .fetch_max(at.as_micros(), Ordering::SeqCst);
                    false
                }
                None => true,
            });
    }

    /// Counts the accounts.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }
}
