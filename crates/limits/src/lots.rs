//! Tokens with the times at which they expire.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

use crate::terms::LimitTerms;

/// Most lots that one account holds; beyond it the two oldest are joined.
const LOTS_MAX: usize = 48;

/// Tokens that expire evenly over a span of time.
///
/// The span makes expiry exact, so that a burst of one token is usable in full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenLot {
    /// Number of tokens.
    pub amount: TokenAmount,
    /// Time at which the first part of the lot expires.
    pub first: MonoTime,
    /// Time at which the last part of the lot expires.
    pub last: MonoTime,
}

fn scaled(amount: TokenAmount, part: u64, whole: u64) -> TokenAmount {
    let micros = u128::from(amount.as_micros()) * u128::from(part) / u128::from(whole.max(1));
    TokenAmount::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

impl TokenLot {
    fn span(&self) -> u64 {
        self.last.as_micros().saturating_sub(self.first.as_micros())
    }

    /// Returns what is left of the lot at a time, rounded down.
    fn left_at(self, now: MonoTime) -> Option<Self> {
        if self.first >= now {
            return (!self.amount.is_zero()).then_some(self);
        }
        let rest = self.last.as_micros().saturating_sub(now.as_micros());
        let amount = scaled(self.amount, rest, self.span());
        (!amount.is_zero()).then_some(Self {
            amount,
            first: now,
            last: self.last,
        })
    }

    /// Takes the part that expires first. The rest is dated early by the rounding, never late.
    fn split(&mut self, part: TokenAmount) -> Self {
        let offset = scaled(
            TokenAmount::from_micros(self.span()),
            part.as_micros(),
            self.amount.as_micros(),
        );
        let cut = MonoTime::from_micros(self.first.as_micros() + offset.as_micros());
        let taken = Self {
            amount: part,
            first: self.first,
            last: cut,
        };
        self.amount = self.amount.saturating_sub(part);
        self.first = cut;
        taken
    }

    /// Adds another lot. The sum has the earlier times of both, and so expires no later than they would.
    fn join(&mut self, other: &Self) {
        self.amount = self.amount.saturating_add(other.amount);
        self.first = self.first.min(other.first);
        self.last = self.last.min(other.last);
    }

    fn earlier_by(self, time: Duration) -> Self {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let shift = |at: MonoTime| MonoTime::from_micros(at.as_micros().saturating_sub(micros));
        Self {
            amount: self.amount,
            first: shift(self.first),
            last: shift(self.last),
        }
    }
}

/// The lots of one account, the one that expires first in front.
#[derive(Debug, Default)]
pub struct LotQueue {
    lots: VecDeque<TokenLot>,
    is_back_open: bool,
}

impl LotQueue {
    /// Drops what has expired.
    pub fn expire(&mut self, now: MonoTime) {
        if self.lots.front().is_none_or(|lot| lot.first >= now) {
            return;
        }
        let lots = std::mem::take(&mut self.lots);
        self.lots = lots
            .into_iter()
            .filter_map(|lot| lot.left_at(now))
            .collect();
    }

    /// Adds tokens that were minted here; adjoining spans of one rate become one lot.
    pub fn mint(&mut self, lot: TokenLot) {
        match self.lots.back_mut() {
            Some(back) if self.is_back_open && back.last == lot.first => {
                back.amount = back.amount.saturating_add(lot.amount);
                back.last = lot.last;
            }
            _ => {
                self.insert(lot);
                self.is_back_open = self.lots.back() == Some(&lot);
            }
        }
    }

    /// Adds tokens that another host gave.
    pub fn insert(&mut self, lot: TokenLot) {
        if lot.amount.is_zero() {
            return;
        }
        let at = self.lots.partition_point(|held| held.first <= lot.first);
        self.is_back_open &= at < self.lots.len();
        self.lots.insert(at, lot);
        if self.lots.len() > LOTS_MAX {
            self.join_oldest();
        }
    }

    /// Adds tokens that another host gave, joined with a lot whose times differ by at most a slack.
    ///
    /// Hosts that are visited together give lots of nearly the same times, and each lot that goes on in
    /// a grant takes bytes.
    pub fn merge(&mut self, lot: TokenLot, slack: Duration) {
        let at = self.lots.partition_point(|held| held.first <= lot.first);
        let is_near = |a: MonoTime, b: MonoTime| a.since(b).max(b.since(a)) <= slack;
        let is_alike =
            |held: &TokenLot| is_near(held.first, lot.first) && is_near(held.last, lot.last);
        let near = [at.checked_sub(1), Some(at)].into_iter().flatten();
        let found = near
            .into_iter()
            .find(|&index| self.lots.get(index).is_some_and(is_alike));
        let Some(index) = found else {
            self.insert(lot);
            return;
        };
        // What is minted next has another density.
        self.is_back_open &= index + 1 < self.lots.len();
        if let Some(held) = self.lots.get_mut(index) {
            held.join(&lot);
        }
    }

    /// Dates the second lot as the first one, which is earlier and hence safe.
    fn join_oldest(&mut self) {
        if let Some(first) = self.lots.pop_front()
            && let Some(second) = self.lots.front_mut()
        {
            second.join(&first);
        }
    }

    /// Returns the sum of all lots.
    pub fn balance(&self) -> TokenAmount {
        let sum = |sum: TokenAmount, lot: &TokenLot| sum.saturating_add(lot.amount);
        self.lots.iter().fold(TokenAmount::ZERO, sum)
    }

    /// Returns the sum of what has not expired by a later time.
    pub fn balance_at(&self, later: MonoTime) -> TokenAmount {
        let left = self.lots.iter().filter_map(|lot| lot.left_at(later));
        left.fold(TokenAmount::ZERO, |sum, lot| sum.saturating_add(lot.amount))
    }

    /// Removes up to an amount, what expires first in front.
    pub fn withdraw(&mut self, amount: TokenAmount) -> Vec<TokenLot> {
        let mut open = amount;
        let mut taken = Vec::new();
        while !open.is_zero() {
            let Some(lot) = self.lots.front_mut() else {
                break;
            };
            if lot.amount > open {
                taken.push(lot.split(open));
                break;
            }
            open = open.saturating_sub(lot.amount);
            taken.extend(self.lots.pop_front());
        }
        taken
    }

    /// Limits the lots to what hosts under the new terms could hold.
    ///
    /// A shorter life takes time off each lot, and a smaller share takes the same part of each lot,
    /// whichever host minted it. Larger limits add nothing.
    pub fn convert(&mut self, old: &LimitTerms, new: &LimitTerms, now: MonoTime) {
        let (old_share, new_share) = (old.share().as_micros(), new.share().as_micros());
        let cut = old.life().saturating_sub(new.life());
        self.is_back_open = false;
        self.expire(now.after(cut));
        for lot in &mut self.lots {
            *lot = lot.earlier_by(cut);
            if new_share < old_share {
                lot.amount = scaled(lot.amount, new_share, old_share);
            }
        }
        self.lots.retain(|lot| !lot.amount.is_zero());
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.lots.clear();
        self.is_back_open = false;
    }
}
