//! What a pool decides about a request, and about those that wait.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

use crate::messages::{
    DispatchGrant,
    TicketNumber, //
};

/// Decision of a pool about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoolAnswer {
    /// The request may be sent.
    Granted(DispatchGrant),
    /// The request waits in the queue.
    Waiting(TicketNumber),
    /// The team is over its rate.
    OverRate {
        /// Time until the team's next token.
        retry_after: Duration,
    },
    /// No acceptable target has a slot, and none is expected within the wait.
    Busy {
        /// Expected time until a slot is free.
        expected_wait: Duration,
        /// Time until a caller may return and has a place kept; `None` if a return has no use.
        return_after: Option<Duration>,
        /// Whether a target below the requested trust has a slot.
        has_less_trusted: bool,
    },
    /// The retry budget of the service is used up.
    NoBudget,
    /// The pool has no target that accepts new requests.
    NoTarget,
}

/// What a request is told that is turned away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BusyTerms {
    /// Expected time until a slot is free.
    pub expected_wait: Duration,
    /// Time until a caller may return and has a place kept; `None` if a return has no use.
    pub return_after: Option<Duration>,
}

/// What happened in the queues of a dispatcher since its start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QueueTotals {
    /// Requests that wait now, by priority.
    pub waiting: BTreeMap<u8, u64>,
    /// Requests that were turned away, on arrival or after a wait.
    pub refused: u64,
    /// Requests that waited and were told that they will not be served in time.
    pub told_late: u64,
    /// Return tickets that were given.
    pub given: u64,
    /// Return tickets that were taken by a request that came when they were due.
    pub kept: u64,
    /// Requests that came while their team had tickets of which none was due.
    pub early: u64,
}

impl QueueTotals {
    /// Adds the numbers of another queue.
    pub fn add(&mut self, other: &Self) {
        for (priority, count) in &other.waiting {
            *self.waiting.entry(*priority).or_default() += count;
        }
        self.refused += other.refused;
        self.told_late += other.told_late;
        self.given += other.given;
        self.kept += other.kept;
        self.early += other.early;
    }
}

/// Waiting requests that left the queue.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QueueChange {
    /// Requests that got a slot.
    pub granted: Vec<(TicketNumber, DispatchGrant)>,
    /// Requests that will not be served in time, and what they are told.
    pub expired: Vec<(TicketNumber, BusyTerms)>,
    /// Teams that were charged for the requests that will not be served in time.
    pub expired_teams: Vec<TeamId>,
}
