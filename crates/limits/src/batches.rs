//! Batches of tokens with their expiry times.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

use crate::terms::LimitTerms;

/// Maximum number of batches in one account; beyond it the two oldest are combined.
const BATCHES_MAX: usize = 48;

/// Tokens that expire evenly over a span of time.
///
/// The span makes expiry exact, so that a burst of one token is usable in full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenBatch {
    /// Number of tokens.
    pub amount: TokenAmount,
    /// Time at which the first part of the batch expires.
    pub first_expiry: MonoTime,
    /// Time at which the last part of the batch expires.
    pub last_expiry: MonoTime,
}

fn scaled(amount: TokenAmount, part: u64, whole: u64) -> TokenAmount {
    let micros = u128::from(amount.as_micros()) * u128::from(part) / u128::from(whole.max(1));
    TokenAmount::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

impl TokenBatch {
    fn span(&self) -> u64 {
        self.last_expiry
            .as_micros()
            .saturating_sub(self.first_expiry.as_micros())
    }

    /// Returns the part of the batch that has not expired at a time, rounded down.
    fn remaining_at(self, now: MonoTime) -> Option<Self> {
        if self.first_expiry >= now {
            return (!self.amount.is_zero()).then_some(self);
        }
        let rest = self.last_expiry.as_micros().saturating_sub(now.as_micros());
        let amount = scaled(self.amount, rest, self.span());
        (!amount.is_zero()).then_some(Self {
            amount,
            first_expiry: now,
            last_expiry: self.last_expiry,
        })
    }

    /// Splits off the part that expires first. Rounding makes the remainder expire early, never
    /// late.
    fn split(&mut self, part: TokenAmount) -> Self {
        let offset = scaled(
            TokenAmount::from_micros(self.span()),
            part.as_micros(),
            self.amount.as_micros(),
        );
        let boundary = MonoTime::from_micros(self.first_expiry.as_micros() + offset.as_micros());
        let taken = Self {
            amount: part,
            first_expiry: self.first_expiry,
            last_expiry: boundary,
        };
        self.amount = self.amount.saturating_sub(part);
        self.first_expiry = boundary;
        taken
    }

    /// Adds another batch. The sum has the earlier expiry times of both, and so expires no later
    /// than they would.
    fn combine(&mut self, other: &Self) {
        self.amount = self.amount.saturating_add(other.amount);
        self.first_expiry = self.first_expiry.min(other.first_expiry);
        self.last_expiry = self.last_expiry.min(other.last_expiry);
    }

    fn earlier_by(self, time: Duration) -> Self {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let shift = |at: MonoTime| MonoTime::from_micros(at.as_micros().saturating_sub(micros));
        Self {
            amount: self.amount,
            first_expiry: shift(self.first_expiry),
            last_expiry: shift(self.last_expiry),
        }
    }
}

/// The batches of one account, ordered by expiry.
#[derive(Debug, Default)]
pub struct BatchQueue {
    batches: VecDeque<TokenBatch>,
    can_extend_back: bool,
}

impl BatchQueue {
    /// Drops expired tokens.
    pub fn expire(&mut self, now: MonoTime) {
        if self
            .batches
            .front()
            .is_none_or(|batch| batch.first_expiry >= now)
        {
            return;
        }
        let batches = std::mem::take(&mut self.batches);
        self.batches = batches
            .into_iter()
            .filter_map(|batch| batch.remaining_at(now))
            .collect();
    }

    /// Adds tokens that were minted on this host; adjoining spans of one rate become one batch.
    pub fn mint(&mut self, batch: TokenBatch) {
        match self.batches.back_mut() {
            Some(back) if self.can_extend_back && back.last_expiry == batch.first_expiry => {
                back.amount = back.amount.saturating_add(batch.amount);
                back.last_expiry = batch.last_expiry;
            }
            _ => {
                self.insert(batch);
                self.can_extend_back = self.batches.back() == Some(&batch);
            }
        }
    }

    /// Adds tokens that were received from another host.
    pub fn insert(&mut self, batch: TokenBatch) {
        if batch.amount.is_zero() {
            return;
        }
        let at = self
            .batches
            .partition_point(|held| held.first_expiry <= batch.first_expiry);
        self.can_extend_back &= at < self.batches.len();
        self.batches.insert(at, batch);
        if self.batches.len() > BATCHES_MAX {
            self.combine_oldest();
        }
    }

    /// Adds tokens that were received from another host, combined with a batch whose expiry times
    /// differ by at most `slack`.
    ///
    /// Hosts that are queried together return batches with nearly the same expiry times, and each
    /// batch that is passed on in a grant takes bytes.
    pub fn merge(&mut self, batch: TokenBatch, slack: Duration) {
        let at = self
            .batches
            .partition_point(|held| held.first_expiry <= batch.first_expiry);
        let is_near = |a: MonoTime, b: MonoTime| a.since(b).max(b.since(a)) <= slack;
        let is_alike = |held: &TokenBatch| {
            is_near(held.first_expiry, batch.first_expiry)
                && is_near(held.last_expiry, batch.last_expiry)
        };
        let near = [at.checked_sub(1), Some(at)].into_iter().flatten();
        let found = near
            .into_iter()
            .find(|&index| self.batches.get(index).is_some_and(is_alike));
        let Some(index) = found else {
            self.insert(batch);
            return;
        };
        // The batch no longer has the density of one minting rate, so minted tokens must not extend
        // it.
        self.can_extend_back &= index + 1 < self.batches.len();
        if let Some(held) = self.batches.get_mut(index) {
            held.combine(&batch);
        }
    }

    /// Combines the two oldest batches. The earlier expiry of the first one is safe for both.
    fn combine_oldest(&mut self) {
        if let Some(first) = self.batches.pop_front()
            && let Some(second) = self.batches.front_mut()
        {
            second.combine(&first);
        }
    }

    /// Returns the number of tokens in all batches.
    pub fn balance(&self) -> TokenAmount {
        let sum = |sum: TokenAmount, batch: &TokenBatch| sum.saturating_add(batch.amount);
        self.batches.iter().fold(TokenAmount::ZERO, sum)
    }

    /// Returns the number of tokens that will not have expired at a later time.
    pub fn balance_at(&self, later: MonoTime) -> TokenAmount {
        let remaining = self
            .batches
            .iter()
            .filter_map(|batch| batch.remaining_at(later));
        remaining.fold(TokenAmount::ZERO, |sum, batch| {
            sum.saturating_add(batch.amount)
        })
    }

    /// Removes up to `amount` tokens, starting with those that expire first.
    pub fn withdraw(&mut self, amount: TokenAmount) -> Vec<TokenBatch> {
        let mut remaining = amount;
        let mut taken = Vec::new();
        while !remaining.is_zero() {
            let Some(batch) = self.batches.front_mut() else {
                break;
            };
            if batch.amount > remaining {
                taken.push(batch.split(remaining));
                break;
            }
            remaining = remaining.saturating_sub(batch.amount);
            taken.extend(self.batches.pop_front());
        }
        taken
    }

    /// Limits the batches to what hosts under the new limits could hold.
    ///
    /// A shorter lifetime makes each batch expire earlier, and a smaller share of the rate reduces
    /// each batch in proportion, whichever host minted it. Larger limits add nothing.
    pub fn apply_limits(&mut self, old: &LimitTerms, new: &LimitTerms, now: MonoTime) {
        let (old_rate, new_rate) = (old.host_rate().as_micros(), new.host_rate().as_micros());
        let reduction = old.token_lifetime().saturating_sub(new.token_lifetime());
        self.can_extend_back = false;
        self.expire(now.after(reduction));
        for batch in &mut self.batches {
            *batch = batch.earlier_by(reduction);
            if new_rate < old_rate {
                batch.amount = scaled(batch.amount, new_rate, old_rate);
            }
        }
        self.batches.retain(|batch| !batch.amount.is_zero());
    }

    /// Drops all batches.
    pub fn clear(&mut self) {
        self.batches.clear();
        self.can_extend_back = false;
    }
}
