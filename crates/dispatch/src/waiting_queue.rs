//! Queue of the requests that wait for a slot.
//!
//! Load pattern: for some seconds more requests arrive than the slots of a service can serve, with one team
//! sending many times its usual load. The queue serves the highest priority first, but gives each lower one that
//! waits a part of the grants. Within a priority it is fair by team ([`crate::team_turns`]), and within a team it
//! serves requests that still meet their objective first ([`crate::priority_line`]). Push, grant and removal take
//! logarithmic time.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::{
    messages::{
        AdmitRequest,
        TicketNumber,
        whole_millis, //
    },
    priority_line::{
        LinePlace,
        PriorityLine, //
    },
};

/// Grants of which each lower priority that waits gets at least one.
const FLOOR_GRANTS: u64 = 10;

/// Fraction of its expected wait, in tenths, that a waiting request must have left. Below 10, because the completion
/// rate varies, and a request that is turned away by mistake has waited in vain.
const HOPELESS_TENTHS: u32 = 8;

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// The request.
    pub request: AdmitRequest,
    /// Time of arrival.
    pub since: MonoTime,
    /// Latest start with which it gets its answer before its deadline, or the end of the longest time that it waits.
    pub until: MonoTime,
    /// Latest start with which it meets its objective.
    pub in_time_until: MonoTime,
    /// Whether it came back at its return time.
    pub is_return: bool,
}

impl WaitingRequest {
    /// Creates a waiting request, which waits for at most [`AdmitRequest::wait`] and needs the mean latency of the
    /// pool after it.
    pub fn new(request: AdmitRequest, mean_latency: Duration, now: MonoTime) -> Self {
        let start_by = |left: Duration| now.after(left.saturating_sub(mean_latency));
        let in_time_until = start_by(request.objective_left().unwrap_or(request.time_left()));
        let until = start_by(request.time_left()).min(now.after(request.wait()));
        Self {
            request,
            since: now,
            until,
            in_time_until,
            is_return: false,
        }
    }

    /// Returns the request with the time that it has left at `now`.
    pub fn request_at(&self, now: MonoTime) -> AdmitRequest {
        let waited = whole_millis(now.since(self.since));
        let request = &self.request;
        let objective = request.objective_millis;
        AdmitRequest {
            left_millis: request.left_millis.saturating_sub(waited),
            objective_millis: objective.map(|left| left.saturating_sub(waited)),
            ..request.clone()
        }
    }

    /// Sets whether the request came back at its return time.
    pub fn with_return(mut self, is_return: bool) -> Self {
        self.is_return = is_return;
        self
    }
}

/// The queue of one priority, and the grants that went past it.
#[derive(Clone, Debug, Default)]
struct QueueLevel {
    line: PriorityLine,
    /// Grants to other priorities since this one got its latest, or began to wait.
    passed_count: u64,
}

/// The queue of one pool.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    waiting: IndexMap<TicketNumber, WaitingRequest>,
    levels: BTreeMap<u8, QueueLevel>,
    ends: BTreeSet<(MonoTime, TicketNumber)>,
}

impl WaitingQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests of each priority that has been used.
    pub fn counts(&self) -> impl Iterator<Item = (u8, u64)> {
        let levels = self.levels.iter();
        levels.map(|(priority, level)| (*priority, level.line.count()))
    }

    /// Returns the number of waiting requests of a higher priority.
    fn higher_than(&self, priority: u8) -> u64 {
        let higher = self.levels.range(..priority);
        higher.map(|(_, level)| level.line.count()).sum()
    }

    /// Returns the number of grants of which a priority gets one: one of ten while a higher priority waits.
    pub fn grants_per_turn(&self, priority: u8) -> u64 {
        match self.higher_than(priority) {
            0 => 1,
            _ => FLOOR_GRANTS,
        }
    }

    /// Returns `true` if a new request gets a free slot although others wait, as all of them are of a lower rank.
    pub fn is_next(&self, priority: u8, is_return: bool) -> bool {
        let level = self.levels.get(&priority);
        let same = level.map_or(0, |level| match is_return {
            true => level.line.returned_count(),
            false => level.line.count(),
        });
        same + self.higher_than(priority) == 0
    }

    /// Returns the number of teams that wait with a priority.
    pub fn team_count(&self, priority: u8) -> u64 {
        let level = self.levels.get(&priority);
        level.map_or(0, |level| level.line.team_count())
    }

    /// Returns the place of a new request among those of its priority.
    pub fn place_of(&self, waiting: &WaitingRequest) -> LinePlace {
        let (request, is_return) = (&waiting.request, waiting.is_return);
        let level = self.levels.get(&request.priority);
        let place = level.map(|level| {
            let line = &level.line;
            line.place_of(&request.team, waiting.in_time_until, is_return)
        });
        place.unwrap_or_default()
    }

    /// Returns the number of grants before a request that has `same` others of its priority ahead. `higher_due` is the
    /// number of returns of a higher priority that are due until then.
    pub fn grants_before(&self, priority: u8, same: u64, higher_due: u64) -> u64 {
        let by_floor = (same + 1).saturating_mul(FLOOR_GRANTS) - 1;
        let higher = self.higher_than(priority) + higher_due;
        (same + higher).min(by_floor)
    }

    /// Adds a request.
    pub fn push(&mut self, ticket: TicketNumber, waiting: WaitingRequest) {
        let level = self.levels.entry(waiting.request.priority).or_default();
        if level.line.count() == 0 {
            level.passed_count = 0;
        }
        level.line.push(ticket, &waiting);
        self.ends.insert((waiting.until, ticket));
        self.waiting.insert(ticket, waiting);
    }

    /// Removes a request that is not served; `None` if it no longer waits.
    pub fn remove(&mut self, ticket: TicketNumber) -> Option<WaitingRequest> {
        let waiting = self.waiting.swap_remove(&ticket)?;
        self.ends.remove(&(waiting.until, ticket));
        if let Some(level) = self.levels.get_mut(&waiting.request.priority) {
            level.line.remove(ticket, &waiting);
        }
        Some(waiting)
    }

    /// Removes a request that got a slot; `None` if it no longer waits.
    pub fn grant(&mut self, ticket: TicketNumber, now: MonoTime) -> Option<WaitingRequest> {
        let request = &self.waiting.get(&ticket)?.request;
        let (priority, team) = (request.priority, request.team.clone());
        self.record_grant(priority, &team, now);
        self.remove(ticket)
    }

    /// Records a grant to a request of a team, which waited or not.
    pub fn record_grant(&mut self, priority: u8, team: &Option<TeamId>, now: MonoTime) {
        for (other, level) in &mut self.levels {
            if *other != priority && level.line.count() > 0 {
                level.passed_count += 1;
            }
        }
        let level = self.levels.entry(priority).or_default();
        level.passed_count = 0;
        level.line.record_grant(team, now);
    }

    /// Returns the request that is served first.
    pub fn first(&mut self, now: MonoTime) -> Option<TicketNumber> {
        let waits = |level: &QueueLevel| level.line.count() > 0;
        let is_due = |level: &QueueLevel| level.passed_count >= FLOOR_GRANTS - 1;
        let due = self
            .levels
            .values()
            .position(|level| waits(level) && is_due(level));
        let next = due.or_else(|| self.levels.values().position(waits))?;
        self.levels.values_mut().nth(next)?.line.first(now)
    }

    /// Returns a waiting request; `None` if it no longer waits.
    pub fn get(&self, ticket: TicketNumber) -> Option<&WaitingRequest> {
        self.waiting.get(&ticket)
    }

    /// Removes and returns a request whose wait is over.
    pub fn take_expired(&mut self, now: MonoTime) -> Option<(TicketNumber, WaitingRequest)> {
        let (until, ticket) = self.ends.first().copied()?;
        match until <= now {
            true => self.take_late(ticket),
            false => None,
        }
    }

    /// Removes and returns a request that would be served after its wait is over, because others were served or queued
    /// before it since it arrived. `interval` is the mean time between grants.
    pub fn take_hopeless(
        &mut self,
        interval: Duration,
        now: MonoTime,
    ) -> Option<(TicketNumber, WaitingRequest)> {
        let mut up_to: u64 = self.waiting.len() as u64;
        let mut hopeless = None;
        for level in self.levels.values_mut().rev() {
            let count = level.line.count();
            let place = up_to.min(count.saturating_mul(FLOOR_GRANTS));
            up_to -= count;
            let Some(ticket) = level.line.last(now) else {
                continue;
            };
            let place = u32::try_from(place).unwrap_or(u32::MAX);
            let expected = interval.saturating_mul(place);
            let expected = expected.saturating_mul(HOPELESS_TENTHS) / 10;
            let until = self.waiting.get(&ticket).map(|waiting| waiting.until);
            if until.is_some_and(|until| now.after(expected) > until) {
                hopeless = Some(ticket);
                break;
            }
        }
        self.take_late(hopeless?)
    }

    fn take_late(&mut self, ticket: TicketNumber) -> Option<(TicketNumber, WaitingRequest)> {
        let request = &self.waiting.get(&ticket)?.request;
        if let Some(level) = self.levels.get_mut(&request.priority) {
            level.line.record_late(&request.team);
        }
        Some((ticket, self.remove(ticket)?))
    }
}
