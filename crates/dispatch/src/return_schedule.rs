//! Times at which refused requests may return, and the tickets that keep a place for them.
//!
//! Load pattern: for some seconds more requests arrive than the slots of a service can serve, and callers that were
//! told to return would meet a queue of newcomers. The schedule covers the next four seconds in slots of 50 ms. It
//! gives out a fraction of the completions that the pool was measured to have, less those that the queue needs. The
//! caller returns with a new request, so a ticket belongs to its team and priority: a request of these takes a ticket
//! that is due, and one that comes earlier takes none.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

/// Length of a slot.
const SLOT: Duration = Duration::from_millis(50);

/// Number of slots ahead in which tickets are given.
const SLOT_COUNT: u64 = 80;

/// Shortest return time. It covers the time in which another host takes over as dispatcher.
const RETURN_MIN: Duration = Duration::from_millis(150);

/// Slots before that of its ticket in which a return counts as due, as callers round their times.
const EARLY_SLOTS: u64 = 1;

/// Slots after that of its ticket in which a return counts as due: the ways to and from the caller, and the delays
/// of hosts with a tenth of a core.
const LATE_SLOTS: u64 = 8;

/// Fraction of the completions that are given to returns which still meet their objective.
const IN_TIME_SHARE: CapacityRatio = CapacityRatio::from_mille(900);

/// Fraction of the completions that are given to returns after their objective. Newcomers that are in time are worth
/// two to ten times as much.
const LATE_SHARE: CapacityRatio = CapacityRatio::from_mille(200);

/// Most tickets of a schedule.
const TICKETS_MAX: u64 = 4096;

/// Whose return a ticket is for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ReturnKind {
    /// Team of the request.
    pub team: Option<TeamId>,
    /// Priority of the request.
    pub priority: u8,
}

/// What the pool can promise.
#[derive(Clone, Copy, Debug)]
pub struct ReturnTerms {
    /// Mean time between completions.
    pub interval: Duration,
    /// Number of teams that wait with the priority of the request.
    pub team_count: u64,
    /// Time that the pool needs for the requests that wait.
    pub queue_time: Duration,
    /// Longest return time that is of use to the caller.
    pub latest: Duration,
    /// Longest return time with which the request meets its objective; `None` without one.
    pub latest_in_time: Option<Duration>,
}

/// The return schedule of one pool.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    slots: BTreeMap<u64, IndexMap<ReturnKind, u64>>,
    /// Outstanding tickets of each team.
    teams: IndexMap<Option<TeamId>, u64>,
    count: u64,
}

/// Returns the number of the slot that a time falls into.
fn slot_of(time: MonoTime) -> u64 {
    time.as_micros() / (SLOT.as_micros() as u64)
}

impl ReturnSchedule {
    /// Creates a schedule without tickets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of tickets that are neither taken nor lapsed.
    pub fn ticket_count(&self) -> u64 {
        self.count
    }

    /// Drops the tickets whose callers did not return.
    pub fn expire(&mut self, now: MonoTime) {
        while let Some(slot) = self.slots.first_entry()
            && slot.key() + LATE_SLOTS < slot_of(now)
        {
            for (kind, count) in slot.remove() {
                self.drop_tickets(&kind.team, count);
            }
        }
    }

    fn drop_tickets(&mut self, team: &Option<TeamId>, count: u64) {
        self.count -= count;
        if let Some(left) = self.teams.get_mut(team) {
            *left -= count;
            if *left == 0 {
                self.teams.swap_remove(team);
            }
        }
    }

    /// Returns the number of tickets up to a time that go before newcomers of a priority.
    pub fn due_before(&self, time: MonoTime, priority: u8) -> u64 {
        let slots = self.slots.range(..=slot_of(time));
        let tickets = slots.flat_map(|(_, tickets)| tickets);
        let before = tickets.filter(|(kind, _)| kind.priority <= priority);
        before.map(|(_, count)| count).sum()
    }

    fn due_slot(&self, kind: &ReturnKind, now: MonoTime) -> Option<u64> {
        let slot = slot_of(now);
        let mut due = self
            .slots
            .range(slot.saturating_sub(LATE_SLOTS)..=slot + EARLY_SLOTS);
        let slot = due.find(|(_, tickets)| tickets.contains_key(kind));
        slot.map(|(slot, _)| *slot)
    }

    /// Returns `true` if a ticket of a kind is due.
    pub fn is_due(&self, kind: &ReturnKind, now: MonoTime) -> bool {
        self.due_slot(kind, now).is_some()
    }

    /// Returns `true` if a team has tickets, due or not.
    pub fn has_tickets(&self, team: &Option<TeamId>) -> bool {
        self.teams.contains_key(team)
    }

    /// Takes the earliest due ticket of a kind, and returns `true` if there is one.
    pub fn take(&mut self, kind: &ReturnKind, now: MonoTime) -> bool {
        let Some(slot) = self.due_slot(kind, now) else {
            return false;
        };
        if let Some(tickets) = self.slots.get_mut(&slot) {
            if let Some(count) = tickets.get_mut(kind) {
                *count -= 1;
            }
            tickets.retain(|_, count| *count > 0);
            if tickets.is_empty() {
                self.slots.remove(&slot);
            }
        }
        self.drop_tickets(&kind.team, 1);
        true
    }

    /// Gives a ticket for the earliest time at which the pool has completions to spare, and returns the time until
    /// then; `None` if there is none that is of use.
    pub fn give(
        &mut self,
        kind: &ReturnKind,
        terms: ReturnTerms,
        now: MonoTime,
    ) -> Option<Duration> {
        self.expire(now);
        let in_time = terms
            .latest_in_time
            .map_or(terms.latest, |time| time.min(terms.latest));
        let share = |ratio: CapacityRatio| f64::from(ratio.as_mille()) / 1000.0;
        let slot = self
            .find_slot(terms, (share(IN_TIME_SHARE), in_time), now)
            .or_else(|| self.find_slot(terms, (share(LATE_SHARE), terms.latest), now))?;
        let own = self.teams.get(&kind.team).copied().unwrap_or(0);
        if own >= self.team_max(&terms, slot, own, now) || self.count >= TICKETS_MAX {
            return None;
        }
        *self
            .slots
            .entry(slot)
            .or_default()
            .entry(kind.clone())
            .or_default() += 1;
        *self.teams.entry(kind.team.clone()).or_default() += 1;
        self.count += 1;
        Some(start_of(slot).since(now))
    }

    /// Returns the most tickets of a team until a slot. A team that asks for more than the others gets at most what is
    /// left for one more team.
    fn team_max(&self, terms: &ReturnTerms, slot: u64, own: u64, now: MonoTime) -> u64 {
        let teams = self.teams.len() as u64 + u64::from(own == 0);
        let teams = teams.max(terms.team_count);
        let share = u128::from(IN_TIME_SHARE.as_mille());
        let time = start_of(slot + 1).since(now).as_micros();
        let count = time * share / 1000 / terms.interval.as_micros().max(1);
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        (count / (teams + 1)).max(1)
    }

    /// Returns the earliest slot in which a share of the completions is not yet promised, and in none after it.
    fn find_slot(
        &self,
        terms: ReturnTerms,
        (share, latest): (f64, Duration),
        now: MonoTime,
    ) -> Option<u64> {
        let per_second = share / terms.interval.as_secs_f64().max(1e-6);
        let slot_max = (per_second * SLOT.as_secs_f64()).ceil() as u64;
        let first = slot_of(now.after(RETURN_MIN)) + 1;
        let last = slot_of(now) + SLOT_COUNT;
        let mut promised = self.count;
        let mut found = None;
        for slot in (first..=last).rev() {
            let time = start_of(slot + 1)
                .since(now)
                .saturating_sub(terms.queue_time);
            if (promised + 1) as f64 > per_second * time.as_secs_f64() {
                break;
            }
            let in_slot = self
                .slots
                .get(&slot)
                .map_or(0, |kinds| kinds.values().sum());
            if in_slot < slot_max && start_of(slot).since(now) <= latest {
                found = Some(slot);
            }
            promised -= in_slot;
        }
        found
    }
}

fn start_of(slot: u64) -> MonoTime {
    MonoTime::from_micros(slot.saturating_mul(SLOT.as_micros() as u64))
}
