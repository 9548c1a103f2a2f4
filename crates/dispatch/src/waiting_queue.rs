//! Requests that wait for a slot.
//!
//! Load pattern: for some seconds more requests come than the slots of a service bear, with one team
//! sending many times its usual. The queue serves the highest rank first, inside a rank the team with the
//! fewest requests under way, and then the one that came first; a request that cannot be served
//! within its wait is refused when it comes and not when its time is over.

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::messages::{
    AdmitRequest,
    TicketNumber, //
};

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// What was asked for.
    pub request: AdmitRequest,
    /// When it came.
    pub since: MonoTime,
    /// When it gives up.
    pub until: MonoTime,
}

/// The queue of one pool.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    waiting: IndexMap<TicketNumber, WaitingRequest>,
}

impl WaitingQueue {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests that would be served before one of this rank.
    pub fn ahead_of(&self, priority: u8) -> usize {
        let waiting = self.waiting.values();
        waiting
            .filter(|waiting| waiting.request.priority <= priority)
            .count()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request at its end.
    pub fn push(&mut self, ticket: TicketNumber, request: AdmitRequest, now: MonoTime) {
        let until = now.after(request.wait());
        let waiting = WaitingRequest {
            request,
            since: now,
            until,
        };
        self.waiting.insert(ticket, waiting);
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: TicketNumber) -> Option<WaitingRequest> {
        self.waiting.shift_remove(&ticket)
    }

    /// Removes and returns the requests whose wait is over.
    pub fn take_expired(&mut self, now: MonoTime) -> Vec<TicketNumber> {
        let mut expired = Vec::new();
        self.waiting.retain(|ticket, waiting| {
            let is_over = now >= waiting.until;
            if is_over {
                expired.push(*ticket);
            }
            !is_over
        });
        expired
    }

    /// Returns the waiting requests in the order in which they are served.
    pub fn in_order(&self, open_of: impl Fn(Option<&TeamId>) -> usize) -> Vec<TicketNumber> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|(ticket, waiting)| {
                let request = &waiting.request;
                let open = open_of(request.team.as_ref());
                (request.priority, open, *ticket)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, ticket)| ticket).collect()
    }

    /// Returns a waiting request.
    pub fn get(&self, ticket: TicketNumber) -> Option<&WaitingRequest> {
        self.waiting.get(&ticket)
    }
}
