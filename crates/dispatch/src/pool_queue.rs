//! Decides which requests of a pool wait, which are turned away, and when these may return.
//!
//! Load pattern: for some seconds callers ask for up to three times the slots of a service. A request is turned away on
//! arrival if it would not be served in time, and one that waits is told as soon as it no longer will be. A return
//! ticket keeps the place of a request that was turned away against newcomers; without one, a return has no use.

use std::time::Duration;

use chicorycroft_core::prelude::*;

use crate::{
    messages::{
        AdmitRequest,
        TicketNumber, //
    },
    pool_answer::{
        BusyTerms,
        QueueTotals, //
    },
    return_schedule::{
        ReturnKind,
        ReturnSchedule,
        ReturnTerms, //
    },
    wait_estimate::PoolPace,
    waiting_queue::{
        WaitingQueue,
        WaitingRequest, //
    },
};

/// Part of the time left within which callers return.
const RETURN_PART: u32 = 3;

/// Multiple of the mean latency, in quarters, that a return is expected to take at its target.
const RETURN_LATENCY_QUARTERS: u32 = 5;

/// Time that a return takes beside its target: the ways to and from the caller, and its turn among other returns.
const RETURN_TIME: Duration = Duration::from_millis(100);

/// The queue of a pool and its return schedule.
#[derive(Clone, Debug, Default)]
pub struct PoolQueue {
    queue: WaitingQueue,
    returns: ReturnSchedule,
    totals: QueueTotals,
}

fn kind_of(request: &AdmitRequest) -> ReturnKind {
    ReturnKind {
        team: request.team.clone(),
        priority: request.priority,
    }
}

impl PoolQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of waiting requests of each priority that has been used, the highest priority first.
    pub fn counts(&self) -> impl Iterator<Item = (u8, u64)> {
        self.queue.counts()
    }

    /// Returns what happened in the queue since its start, and what waits.
    pub fn totals(&self) -> QueueTotals {
        let mut totals = self.totals.clone();
        totals.waiting = self.queue.counts().collect();
        totals
    }

    fn is_return(&self, request: &AdmitRequest, now: MonoTime) -> bool {
        let returns = &self.returns;
        !request.is_repeat && returns.is_due(&kind_of(request), request.ends_at(now), now)
    }

    /// Returns `true` if a request that arrives gets a free slot before those that wait.
    pub fn is_next(&self, request: &AdmitRequest, now: MonoTime) -> bool {
        let is_return = self.is_return(request, now);
        self.queue.is_next(request.priority, is_return)
    }

    /// Records that a request got a slot on arrival.
    pub fn record_grant(&mut self, request: &AdmitRequest, now: MonoTime) {
        self.take_ticket(request, now);
        self.queue
            .record_grant(request.priority, &request.team, now);
    }

    fn take_ticket(&mut self, request: &AdmitRequest, now: MonoTime) {
        if request.is_repeat {
            return;
        }
        self.returns.expire(now);
        if self
            .returns
            .take(&kind_of(request), request.ends_at(now), now)
        {
            self.totals.kept += 1;
        } else if self.returns.has_tickets(&request.team) {
            self.totals.early += 1;
        }
    }

    /// Returns the expected wait of a new request: those that are served before it, and the returns that are due until
    /// then.
    fn expected_wait(&self, waiting: &WaitingRequest, pace: PoolPace, now: MonoTime) -> Duration {
        let (priority, place) = (waiting.request.priority, self.queue.place_of(waiting));
        let wait_for = |same: u64, higher_due: u64| {
            let before = self.queue.grants_before(priority, same, higher_due);
            pace.time_for(before + 1).max(place.by_pace)
        };
        let wait = wait_for(place.ahead, 0);
        if waiting.is_return {
            return wait;
        }
        let (same_due, higher_due) = self.returns.due_before(now.after(wait), priority);
        wait_for(place.ahead + same_due, higher_due)
    }

    /// Returns how long a request may wait: while others wait, a new one only for as long as it will meet an objective
    /// that it can meet at all.
    fn wait_max(&self, request: &AdmitRequest, is_return: bool, pace: PoolPace) -> Duration {
        let in_time = request.objective_left();
        let in_time = in_time.and_then(|left| left.checked_sub(pace.mean_latency));
        match in_time.filter(|_| !is_return && !self.queue.is_empty()) {
            Some(in_time) => request.wait().min(in_time),
            None => request.wait(),
        }
    }

    /// Adds a request to the queue, unless it would not be served in time.
    ///
    /// # Errors
    ///
    /// Returns the expected wait and the return time of a request that is turned away.
    pub fn enter(
        &mut self,
        request: &AdmitRequest,
        ticket: impl FnOnce() -> TicketNumber,
        pace: PoolPace,
        now: MonoTime,
    ) -> Result<TicketNumber, BusyTerms> {
        let is_return = self.is_return(request, now);
        let waiting = WaitingRequest::new(request.clone(), pace.mean_latency, now);
        let waiting = waiting.with_return(is_return);
        let expected_wait = self.expected_wait(&waiting, pace, now);
        if request.wait_millis == 0 {
            return Err(BusyTerms {
                expected_wait,
                return_after: None,
            });
        }
        if expected_wait > self.wait_max(request, is_return, pace) {
            return Err(self.turn_away(request, expected_wait, pace, now));
        }
        self.take_ticket(request, now);
        let ticket = ticket();
        self.queue.push(ticket, waiting);
        Ok(ticket)
    }

    /// Gives a return time to a request that is turned away.
    fn turn_away(
        &mut self,
        request: &AdmitRequest,
        expected_wait: Duration,
        pace: PoolPace,
        now: MonoTime,
    ) -> BusyTerms {
        let objective = request.objective_left();
        let needed = pace.mean_latency * RETURN_LATENCY_QUARTERS / 4 + RETURN_TIME;
        let terms = ReturnTerms {
            interval: pace.time_for(self.queue.grants_per_turn(request.priority)),
            team_count: self.queue.team_count(request.priority),
            queue_time: pace.time_for(self.queue.len() as u64),
            latest: request.time_left() / RETURN_PART,
            latest_in_time: objective.map(|left| left.saturating_sub(needed)),
        };
        let return_after = match request.is_repeat {
            true => None,
            false => self
                .returns
                .give(&kind_of(request), request.ends_at(now), terms, now),
        };
        self.totals.refused += 1;
        self.totals.given += u64::from(return_after.is_some());
        BusyTerms {
            expected_wait,
            return_after,
        }
    }

    /// Removes a request that will not be served in time, and returns it with its return time.
    pub fn take_late(
        &mut self,
        pace: PoolPace,
        now: MonoTime,
    ) -> Option<(TicketNumber, WaitingRequest, BusyTerms)> {
        let expired = self.queue.take_expired(now);
        let late = expired.or_else(|| self.queue.take_hopeless(pace.interval, now));
        let (ticket, waiting) = late?;
        self.totals.told_late += 1;
        let request = waiting.request_at(now);
        let expected_wait = pace.time_for(self.queue.len() as u64 + 1);
        let terms = self.turn_away(&request, expected_wait, pace, now);
        Some((ticket, waiting, terms))
    }

    /// Returns the request that is served first, with the time that it has left now.
    pub fn first(&mut self, now: MonoTime) -> Option<(TicketNumber, AdmitRequest)> {
        let ticket = self.queue.first(now)?;
        let request = self.queue.get(ticket)?.request_at(now);
        Some((ticket, request))
    }

    /// Removes a request that got a slot.
    pub fn grant(&mut self, ticket: TicketNumber, now: MonoTime) {
        self.queue.grant(ticket, now);
    }

    /// Removes a request that no free slot suits, for as long as others are served.
    pub fn set_aside(&mut self, ticket: TicketNumber) -> Option<(TicketNumber, WaitingRequest)> {
        Some((ticket, self.queue.remove(ticket)?))
    }

    /// Adds a request that was set aside.
    pub fn put_back(&mut self, ticket: TicketNumber, waiting: WaitingRequest) {
        self.queue.push(ticket, waiting);
    }

    /// Removes a request whose caller has disconnected.
    pub fn remove(&mut self, ticket: TicketNumber) -> Option<WaitingRequest> {
        self.queue.remove(ticket)
    }
}
