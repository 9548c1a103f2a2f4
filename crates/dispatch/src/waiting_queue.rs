//! Queue of the requests that wait for a slot.
//!
//! Load pattern: for some seconds more requests arrive than the slots of a service can serve, with one team
//! sending many times its usual load. The queue serves the highest priority first, within a priority the team
//! with the fewest requests in flight, and then in order of arrival. A request that cannot be served within
//! its wait is refused on arrival and not at the end of its wait.

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::messages::{
    AdmitRequest,
    TicketNumber, //
};

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// The request.
    pub request: AdmitRequest,
    /// Time of arrival.
    pub since: MonoTime,
    /// End of the longest time that it waits.
    pub until: MonoTime,
}

/// The queue of one pool.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    waiting: IndexMap<TicketNumber, WaitingRequest>,
}

impl WaitingQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests that may be served before a new one of this priority.
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

    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request, which waits for at most [`AdmitRequest::wait`].
    pub fn push(&mut self, ticket: TicketNumber, request: AdmitRequest, now: MonoTime) {
        let until = now.after(request.wait());
        let waiting = WaitingRequest {
            request,
            since: now,
            until,
        };
        self.waiting.insert(ticket, waiting);
    }

    /// Removes a request that was granted or cancelled; `None` if it no longer waits.
    pub fn remove(&mut self, ticket: TicketNumber) -> Option<WaitingRequest> {
        self.waiting.shift_remove(&ticket)
    }

    /// Removes and returns the requests whose wait is over.
    pub fn take_expired(&mut self, now: MonoTime) -> Vec<(TicketNumber, AdmitRequest)> {
        let mut expired = Vec::new();
        self.waiting.retain(|ticket, waiting| {
            let is_over = now >= waiting.until;
            if is_over {
                expired.push((*ticket, waiting.request.clone()));
            }
            !is_over
        });
        expired
    }

    /// Returns the waiting requests in the order in which they are served. `open_of` returns the number of
    /// requests in flight of a team.
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

    /// Returns a waiting request; `None` if it no longer waits.
    pub fn get(&self, ticket: TicketNumber) -> Option<&WaitingRequest> {
        self.waiting.get(&ticket)
    }
}
