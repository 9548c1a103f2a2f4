//! Times at which refused requests may return, and the tickets that keep a place for them.
//!
//! Load pattern: for some seconds more requests arrive than the slots of a service can serve, and callers that were
//! told to return would meet a queue of newcomers. The schedule covers the next four seconds in slots of 50 ms. It
//! gives out a fraction of the completions that the pool was measured to have, less those that the queue needs. The
//! caller returns with a new request, so a ticket belongs to its team and priority: a request of these takes a ticket
//! that is due, and one that comes earlier takes none. Callers that state the time that they have left return with the
//! deadline of their first request. While such returns are seen, newcomers with a later deadline take no tickets.

use std::{
    cmp::Ordering,
    collections::BTreeMap,
    ops::RangeInclusive,
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

/// Largest difference between the deadlines of a request and its return: the ways to the hosts and their delays. A
/// newcomer with the same time left has one that is later by at least [`RETURN_MIN`] less an early slot.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(95);

/// Evidence that returns have the deadlines of their tickets: at most this, as at the start, and more by
/// [`RECOGNISED_STEP`] with each of them and less by one with each ticket that lapses. Without any, the callers state
/// their whole time again, and newcomers take tickets too.
const RECOGNISED_MAX: u64 = 16;

/// Evidence of one return: some callers do not return, so that one in five is enough.
const RECOGNISED_STEP: u64 = 4;

/// Fraction of the completions that are given to returns which still meet their objective.
const IN_TIME_SHARE: CapacityRatio = CapacityRatio::from_mille(900);

/// Fraction of the completions that are given to returns after their objective. Newcomers that are in time are worth
/// two to ten times as much.
const LATE_SHARE: CapacityRatio = CapacityRatio::from_mille(50);

/// Most tickets of a schedule.
const TICKETS_MAX: u64 = 4096;

/// The tickets of a slot: of each kind, their number by the deadline of the first request.
type SlotTickets = IndexMap<ReturnKind, BTreeMap<MonoTime, u64>>;

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
#[derive(Clone, Debug)]
pub struct ReturnSchedule {
    slots: BTreeMap<u64, SlotTickets>,
    /// Outstanding tickets of each team.
    teams: IndexMap<Option<TeamId>, u64>,
    count: u64,
    /// See [`RECOGNISED_MAX`].
    recognised: u64,
}

/// Returns the number of tickets of a kind in a slot.
fn count_of(tickets: &BTreeMap<MonoTime, u64>) -> u64 {
    tickets.values().sum()
}

/// Returns the deadlines that a return may have for a ticket with a deadline.
fn near(ends_at: MonoTime) -> RangeInclusive<MonoTime> {
    let tolerance = DEADLINE_TOLERANCE.as_micros() as u64;
    let earliest = ends_at.as_micros().saturating_sub(tolerance);
    MonoTime::from_micros(earliest)..=ends_at.after(DEADLINE_TOLERANCE)
}

/// Returns the number of the slot that a time falls into.
fn slot_of(time: MonoTime) -> u64 {
    time.as_micros() / (SLOT.as_micros() as u64)
}

impl Default for ReturnSchedule {
    fn default() -> Self {
        Self::new()
    }
}

impl ReturnSchedule {
    /// Creates a schedule without tickets.
    pub fn new() -> Self {
        Self {
            slots: BTreeMap::new(),
            teams: IndexMap::new(),
            count: 0,
            recognised: RECOGNISED_MAX,
        }
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
            for (kind, tickets) in slot.remove() {
                let count = count_of(&tickets);
                self.recognised = self.recognised.saturating_sub(count);
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

    /// Returns the numbers of tickets up to a time of a priority and of higher ones.
    pub fn due_before(&self, time: MonoTime, priority: u8) -> (u64, u64) {
        let (mut same, mut higher) = (0, 0);
        let slots = self.slots.range(..=slot_of(time));
        for (kind, tickets) in slots.flat_map(|(_, kinds)| kinds) {
            match kind.priority.cmp(&priority) {
                Ordering::Less => higher += count_of(tickets),
                Ordering::Equal => same += count_of(tickets),
                Ordering::Greater => {}
            }
        }
        (same, higher)
    }

    /// Returns the slot and the deadline of the ticket that a request with a deadline takes.
    fn due_ticket(
        &self,
        kind: &ReturnKind,
        ends_at: MonoTime,
        now: MonoTime,
    ) -> Option<(u64, MonoTime)> {
        let slot = slot_of(now);
        let slots = self
            .slots
            .range(slot.saturating_sub(LATE_SLOTS)..=slot + EARLY_SLOTS);
        let mut due = slots.filter_map(|(slot, kinds)| Some((*slot, kinds.get(kind)?)));
        let own = due.clone().find_map(|(slot, tickets)| {
            let (ends_at, _) = tickets.range(near(ends_at)).next()?;
            Some((slot, *ends_at))
        });
        if own.is_some() || self.recognised > 0 {
            return own;
        }
        let (slot, tickets) = due.next()?;
        tickets.keys().next().map(|ends_at| (slot, *ends_at))
    }

    /// Returns `true` if a ticket is due for a request of a kind with a deadline.
    pub fn is_due(&self, kind: &ReturnKind, ends_at: MonoTime, now: MonoTime) -> bool {
        self.due_ticket(kind, ends_at, now).is_some()
    }

    /// Returns `true` if a team has tickets, due or not.
    pub fn has_tickets(&self, team: &Option<TeamId>) -> bool {
        self.teams.contains_key(team)
    }

    /// Takes the ticket that is due for a request of a kind with a deadline, and returns `true` if there is one.
    pub fn take(&mut self, kind: &ReturnKind, ends_at: MonoTime, now: MonoTime) -> bool {
        let Some((slot, ticket)) = self.due_ticket(kind, ends_at, now) else {
            return false;
        };
        if near(ends_at).contains(&ticket) {
            self.recognised = (self.recognised + RECOGNISED_STEP).min(RECOGNISED_MAX);
        }
        if let Some(kinds) = self.slots.get_mut(&slot)
            && let Some(tickets) = kinds.get_mut(kind)
            && let Some(count) = tickets.get_mut(&ticket)
        {
            *count -= 1;
            if *count == 0 {
                tickets.remove(&ticket);
            }
            if tickets.is_empty() {
                kinds.swap_remove(kind);
            }
            if kinds.is_empty() {
                self.slots.remove(&slot);
            }
        }
        self.drop_tickets(&kind.team, 1);
        true
    }

    /// Gives a ticket to a request with a deadline, for the earliest time at which the pool has completions to spare, and
    /// returns the time until then; `None` if there is none that is of use.
    pub fn give(
        &mut self,
        kind: &ReturnKind,
        ends_at: MonoTime,
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
            .or_default()
            .entry(ends_at)
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
                .map_or(0, |kinds| kinds.values().map(count_of).sum());
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
