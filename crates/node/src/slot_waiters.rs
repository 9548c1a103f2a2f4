//! Requests that wait for a slot of an owned target.
//!
//! The fair queue decides the order; this module wakes the request that is next.

use std::sync::Arc;

use chicorycroft_core::prelude::*;
use chicorycroft_fairness::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_placement::prelude::*;
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use crate::state::HostState;

/// Time after which a slot that was never released becomes free.
///
/// A lease releases its slot on every path, so that this only limits the effect of a fault. It must
/// exceed the longest upload, which may continue beyond the request's deadline while it makes
/// progress.
const SLOT_HOLD_MAX: std::time::Duration = std::time::Duration::from_secs(3600);

/// How the wait of a request ended.
enum WaitOutcome {
    /// A slot was assigned.
    Slot(SlotLease),
    /// A request of another team replaced it in a full queue.
    Displaced,
}

/// State of a ticket in a queue.
enum TicketState {
    Waiting(oneshot::Sender<WaitOutcome>),
    /// The outcome arrived before the request began to wait.
    Ready(WaitOutcome),
}

/// Requests that wait for a slot, by service.
pub struct SlotWaiters {
    queues: QueueTable,
    tickets: ShardMap<(ServiceId, QueueTicket), TicketState>,
}

impl std::fmt::Debug for SlotWaiters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SlotWaiters(..)")
    }
}

impl Default for SlotWaiters {
    fn default() -> Self {
        Self::new()
    }
}

impl SlotWaiters {
    /// Creates empty queues.
    pub fn new() -> Self {
        Self {
            queues: QueueTable::new(QueueBounds::default()),
            tickets: ShardMap::new(),
        }
    }

    /// Returns the number of waiting requests of a service.
    pub fn length_of(&self, service: &ServiceId) -> usize {
        self.queues.length_of(service)
    }

    fn resolve(&self, service: &ServiceId, ticket: QueueTicket, outcome: WaitOutcome) {
        let key = (service.clone(), ticket);
        match self.tickets.remove(&key) {
            // If the request has been cancelled, the lease is dropped, which releases the slot.
            Some(TicketState::Waiting(waiter)) => drop(waiter.send(outcome)),
            _ => drop(self.tickets.insert(key, TicketState::Ready(outcome))),
        }
    }

    fn wait(&self, key: &(ServiceId, QueueTicket)) -> oneshot::Receiver<WaitOutcome> {
        let (sender, receiver) = oneshot::channel();
        match self.tickets.remove(key) {
            Some(TicketState::Ready(outcome)) => drop(sender.send(outcome)),
            _ => drop(
                self.tickets
                    .insert(key.clone(), TicketState::Waiting(sender)),
            ),
        }
        receiver
    }
}

/// A slot in use, which is released on drop.
pub struct SlotLease {
    state: Arc<HostState>,
    target: Arc<TargetRecord>,
    permit: Option<SlotPermit>,
    outcome: AttemptOutcome,
}

impl SlotLease {
    /// Returns the target of the slot.
    pub fn target(&self) -> &Arc<TargetRecord> {
        &self.target
    }

    /// Sets the outcome of the attempt, which is recorded when the slot is released.
    pub fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let now = self.state.clock.mono();
            self.state.slots.release(permit, self.outcome, now);
            self.state.metrics.on_attempt(self.outcome);
            assign_free_slots(&self.state, &self.target.service);
        }
    }
}

/// Acquires a free slot of an owned target of a service, from the preferred target if possible.
fn try_acquire(
    state: &Arc<HostState>,
    service: &ServiceId,
    preferred: Option<&TargetId>,
) -> Option<SlotLease> {
    let now = state.clock.mono();
    let owned = state.owned_targets(service);
    // Suspect targets come last; within each group the preferred target comes first.
    let rank = |target: &&Arc<TargetRecord>| {
        let is_preferred = Some(&target.id) == preferred;
        (state.is_suspect(&target.id), !is_preferred)
    };
    let mut targets: Vec<&Arc<TargetRecord>> = owned.iter().collect();
    targets.sort_by_key(rank);
    targets.into_iter().find_map(|target| {
        if !state.health.accepts_requests(&target.id) {
            return None;
        }
        state.may_serve(target, now).ok()?;
        let until = now.after(SLOT_HOLD_MAX);
        let permit = state.slots.try_acquire(&target.id, until, now).ok()?;
        Some(SlotLease {
            state: state.clone(),
            target: target.clone(),
            permit: Some(permit),
            outcome: AttemptOutcome::Cancelled,
        })
    })
}

/// Assigns free slots of a service to the requests that are next in its queue.
pub fn assign_free_slots(state: &Arc<HostState>, service: &ServiceId) {
    while state.waiters.length_of(service) > 0 {
        let Some(mut lease) = try_acquire(state, service, None) else {
            return;
        };
        let now = state.clock.mono();
        let Some(ticket) = state.waiters.queues.next(service, now) else {
            // Another thread served the last request. The permit is released here, because the drop
            // of the lease would call this function again.
            if let Some(permit) = lease.permit.take() {
                let outcome = AttemptOutcome::Cancelled;
                state.slots.release(permit, outcome, now);
            }
            return;
        };
        state
            .waiters
            .resolve(service, ticket, WaitOutcome::Slot(lease));
    }
}

/// Removes the ticket of a request that is cancelled while it waits.
struct TicketGuard<'a> {
    waiters: &'a SlotWaiters,
    key: (ServiceId, QueueTicket),
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        self.waiters.queues.cancel(&self.key.0, &self.key.1);
        drop(self.waiters.tickets.remove(&self.key));
    }
}

/// Waits for a slot of an owned target of a service.
///
/// # Errors
///
/// Returns an error if the queue is full, or no slot becomes free before the deadline.
pub async fn acquire(
    state: &Arc<HostState>,
    service: &ServiceId,
    (team, preferred): (QueueTeam, &TargetId),
    deadline: Instant,
) -> Result<SlotLease, QueueRefusal> {
    if state.waiters.length_of(service) == 0
        && let Some(lease) = try_acquire(state, service, Some(preferred))
    {
        return Ok(lease);
    }
    let now = state.clock.mono();
    let wait = deadline.saturating_duration_since(Instant::now());
    let queues = &state.waiters.queues;
    let admission = queues.enqueue(service, team, now.after(wait), now)?;
    if let Some(displaced) = admission.displaced {
        state
            .waiters
            .resolve(service, displaced, WaitOutcome::Displaced);
    }
    let guard = TicketGuard {
        waiters: &state.waiters,
        key: (service.clone(), admission.ticket),
    };
    let outcome = state.waiters.wait(&guard.key);
    assign_free_slots(state, service);
    match tokio::time::timeout_at(deadline, outcome).await {
        Ok(Ok(WaitOutcome::Slot(lease))) => Ok(lease),
        Ok(Ok(WaitOutcome::Displaced)) => Err(QueueRefusal::QueueFull {
            length: state.waiters.length_of(service),
        }),
        Ok(Err(_)) | Err(_) => Err(QueueRefusal::TooLate {
            expected_wait: wait,
        }),
    }
}
