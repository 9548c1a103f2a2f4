//! The tokens that this host holds for each team.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use thiserror::Error;

/// Lots into which the life of a token is divided.
///
/// A lot expires as its oldest token does, so that at most 1/16 of the tokens expire early.
const LOTS_PER_LIFE: u32 = 16;

/// Why a request gets no token.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the team has no token on this host; the next one is due in {} ms", retry_after.as_millis())]
pub struct TokenShortage {
    /// Time after which this host mints enough for a request.
    pub retry_after: Duration,
}

/// Tokens that were minted at about the same time.
#[derive(Clone, Copy, Debug)]
struct TokenLot {
    amount: TokenAmount,
    expires_at: MonoTime,
}

/// Tokens of one team on this host.
#[derive(Debug)]
struct TeamAccount {
    lots: VecDeque<TokenLot>,
    minted_until: MonoTime,
}

impl TeamAccount {
    fn new(minted_until: MonoTime) -> Self {
        Self {
            lots: VecDeque::new(),
            minted_until,
        }
    }

    /// Mints what accrued since the last call, except what has expired by now.
    fn mint(&mut self, rate: RequestRate, life: Duration, now: MonoTime) {
        self.lots.retain(|lot| lot.expires_at > now);
        let oldest = MonoTime::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(life.as_micros()).unwrap_or(u64::MAX)),
        );
        let from = self.minted_until.max(oldest);
        let elapsed = now.since(from);
        let is_due = elapsed >= life / LOTS_PER_LIFE;
        let amount = rate.accrued_over(elapsed);
        if is_due && !amount.is_zero() {
            self.minted_until = now;
            self.lots.push_back(TokenLot {
                amount,
                expires_at: from.after(life),
            });
        }
    }

    fn balance(&self) -> TokenAmount {
        self.lots
            .iter()
            .fold(TokenAmount::ZERO, |sum, lot| sum.saturating_add(lot.amount))
    }

    /// Spends an amount, the oldest lots first, if all of it is there.
    fn spend(&mut self, amount: TokenAmount) -> bool {
        if self.balance() < amount {
            return false;
        }
        let mut open = amount;
        while !open.is_zero() {
            let Some(lot) = self.lots.front_mut() else {
                break;
            };
            let part = lot.amount.min(open);
            lot.amount = lot.amount.saturating_sub(part);
            open = open.saturating_sub(part);
            if lot.amount.is_zero() {
                self.lots.pop_front();
            }
        }
        true
    }
}

/// The tokens that this host holds for each team.
#[derive(Debug)]
pub struct TokenLedger {
    accounts: ShardMap<TeamId, TeamAccount>,
    minting_since: MonoTime,
}

impl TokenLedger {
    /// Makes an empty ledger that mints from a point in time on.
    pub fn new(minting_since: MonoTime) -> Self {
        Self {
            accounts: ShardMap::new(),
            minting_since,
        }
    }

    /// Takes the token for one request of a team.
    ///
    /// `rate` and `burst` are those of the team over the whole fleet; `minters` is the number of
    /// hosts that may mint at once.
    ///
    /// # Errors
    ///
    /// Fails when the host holds less than one token of the team.
    pub fn try_take(
        &self,
        team: &TeamId,
        (rate, burst): (RequestRate, BurstSize),
        minters: u32,
        now: MonoTime,
    ) -> Result<(), TokenShortage> {
        let share = rate.divided_by(minters);
        let life = burst.accrual_time(rate).unwrap_or(Duration::ZERO);
        let make = || TeamAccount::new(self.minting_since);
        self.accounts.with_or_insert(team, make, |account| {
            account.mint(share, life, now);
            if account.spend(TokenAmount::ONE) {
                return Ok(());
            }
            let missing = TokenAmount::ONE.saturating_sub(account.balance());
            let retry_after = BurstSize::from_micros(missing.as_micros()).accrual_time(share);
            Err(TokenShortage {
                retry_after: retry_after.unwrap_or(Duration::MAX),
            })
        })
    }
}
