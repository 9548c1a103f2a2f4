//! Queues of all services of which this host owns targets.

use chicorycroft_core::prelude::*;

use crate::{
    queue::{
        FairQueue,
        QueueAdmission,
        QueueBounds, //
    },
    refusal::QueueRefusal,
    ticket::{
        QueueTeam,
        QueueTicket, //
    },
};

/// Queues of all services, in shards by service.
#[derive(Debug)]
pub struct QueueTable {
    bounds: QueueBounds,
    queues: ShardMap<ServiceId, FairQueue>,
}

impl QueueTable {
    /// Creates a table of empty queues.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            queues: ShardMap::new(),
        }
    }

    /// Adds a request that waits for a slot of a service.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`FairQueue::enqueue`].
    pub fn enqueue(
        &self,
        service: &ServiceId,
        team: QueueTeam,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Result<QueueAdmission, QueueRefusal> {
        let make = || FairQueue::new(self.bounds);
        self.queues
            .with_or_insert(service, make, |queue| queue.enqueue(team, deadline, now))
    }

    /// Returns the request that gets a free slot.
    pub fn next(&self, service: &ServiceId, now: MonoTime) -> Option<QueueTicket> {
        self.queues.with(service, |queue| queue.next(now)).flatten()
    }

    /// Removes a request whose caller has disconnected. Returns `true` if it was still waiting.
    pub fn cancel(&self, service: &ServiceId, ticket: &QueueTicket) -> bool {
        let cancel = |queue: &mut FairQueue| queue.cancel(ticket);
        self.queues.with(service, cancel).unwrap_or(false)
    }

    /// Removes and returns the requests of all services whose deadline has passed.
    pub fn expire(&self, now: MonoTime) -> Vec<(ServiceId, QueueTicket)> {
        let mut expired = Vec::new();
        self.queues.for_each(|service, queue| {
            let tickets = queue.expire(now).into_iter();
            expired.extend(tickets.map(|ticket| (service.clone(), ticket)));
        });
        expired
    }

    /// Returns the next time at which [`QueueTable::expire`] has a request to remove.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let mut earliest: Option<MonoTime> = None;
        self.queues.for_each(|_, queue| {
            earliest = earliest.into_iter().chain(queue.next_deadline()).min();
        });
        earliest
    }

    /// Returns the number of waiting requests of a service.
    pub fn length_of(&self, service: &ServiceId) -> usize {
        self.queues.with(service, |queue| queue.len()).unwrap_or(0)
    }
}
