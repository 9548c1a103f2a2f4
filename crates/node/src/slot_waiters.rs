//! Requests that wait for a slot of an owned target.
//!
//! The order is decided by the fair queue; this module only wakes the request whose turn it is.

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

/// Longest time that a slot stays taken when nothing gives it back.
///
/// A lease gives its slot back on every path, so that this only bounds a fault; it must exceed the
/// longest upload, which goes on beyond the request's deadline while it makes progress.
const PERMIT_LIFE_MAX: std::time::Duration = std::time::Duration::from_secs(3600);

/// What a waiting request is told.
enum QueueTurn {
    /// It has a slot.
    Slot(SlotLease),
    /// Another team's request took its place in a full queue.
    Displaced,
}

/// State of a ticket between its entry and its turn.
enum TurnState {
    Waiting(oneshot::Sender<QueueTurn>),
    /// The turn came before the request began to wait.
    Ready(QueueTurn),
}

/// Requests that wait for a slot, by service.
pub struct SlotWaiters {
    queues: QueueTable,
    turns: ShardMap<(ServiceId, QueueTicket), TurnState>,
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
    /// Makes a waiters where nothing waits.
    pub fn new() -> Self {
        Self {
            queues: QueueTable::new(QueueBounds::default()),
            turns: ShardMap::new(),
        }
    }

    /// Counts the waiting requests of a service.
    pub fn length_of(&self, service: &ServiceId) -> usize {
        self.queues.length_of(service)
    }

    fn announce(&self, service: &ServiceId, ticket: QueueTicket, turn: QueueTurn) {
        let key = (service.clone(), ticket);
        match self.turns.remove(&key) {
            // A request that has gone drops the lease, which gives the slot back.
            Some(TurnState::Waiting(waiter)) => drop(waiter.send(turn)),
            _ => drop(self.turns.insert(key, TurnState::Ready(turn))),
        }
    }

    fn wait(&self, key: &(ServiceId, QueueTicket)) -> oneshot::Receiver<QueueTurn> {
        let (sender, receiver) = oneshot::channel();
        match self.turns.remove(key) {
            Some(TurnState::Ready(turn)) => drop(sender.send(turn)),
            _ => drop(self.turns.insert(key.clone(), TurnState::Waiting(sender))),
        }
        receiver
    }
}

/// A slot in use. Dropping it gives the slot back.
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

    /// Sets the outcome that the slot's target is judged by.
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
            hand_out(&self.state, &self.target.service);
        }
    }
}

/// Takes a slot of an owned target of a service, the preferred one first.
fn take_slot(
    state: &Arc<HostState>,
    service: &ServiceId,
    preferred: Option<&TargetId>,
) -> Option<SlotLease> {
    let now = state.clock.mono();
    let owned = state.owned_targets(service);
    // The preferred target first, suspects last.
    let rank = |target: &&Arc<TargetRecord>| {
        let is_preferred = Some(&target.id) == preferred;
        (state.is_suspect(&target.id), !is_preferred)
    };
    let mut targets: Vec<&Arc<TargetRecord>> = owned.iter().collect();
    targets.sort_by_key(rank);
    targets.into_iter().find_map(|target| {
        if !state.health.takes_work(&target.id) {
            return None;
        }
        state.may_serve(target, now).ok()?;
        let until = now.after(PERMIT_LIFE_MAX);
        let permit = state.slots.try_acquire(&target.id, until, now).ok()?;
        Some(SlotLease {
            state: state.clone(),
            target: target.clone(),
            permit: Some(permit),
            outcome: AttemptOutcome::Cancelled,
        })
    })
}

/// Gives free slots of a service to the requests whose turn it is.
pub fn hand_out(state: &Arc<HostState>, service: &ServiceId) {
    while state.waiters.length_of(service) > 0 {
        let Some(mut lease) = take_slot(state, service, None) else {
            return;
        };
        let now = state.clock.mono();
        let Some(ticket) = state.waiters.queues.next(service, now) else {
            // Another thread served the last one; the slot goes back without a new round.
            if let Some(permit) = lease.permit.take() {
                let outcome = AttemptOutcome::Cancelled;
                state.slots.release(permit, outcome, now);
            }
            return;
        };
        state
            .waiters
            .announce(service, ticket, QueueTurn::Slot(lease));
    }
}

/// Removes a ticket when its request goes away while it waits.
struct TicketGuard<'a> {
    waiters: &'a SlotWaiters,
    key: (ServiceId, QueueTicket),
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        self.waiters.queues.cancel(&self.key.0, &self.key.1);
        drop(self.waiters.turns.remove(&self.key));
    }
}

/// Waits for a slot of an owned target of a service.
///
/// # Errors
///
/// Fails when the queue is full, or no slot came free before the deadline.
pub async fn acquire(
    state: &Arc<HostState>,
    service: &ServiceId,
    (team, preferred): (QueueTeam, &TargetId),
    deadline: Instant,
) -> Result<SlotLease, QueueRefusal> {
    if state.waiters.length_of(service) == 0
        && let Some(lease) = take_slot(state, service, Some(preferred))
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
            .announce(service, displaced, QueueTurn::Displaced);
    }
    let guard = TicketGuard {
        waiters: &state.waiters,
        key: (service.clone(), admission.ticket),
    };
    let turn = state.waiters.wait(&guard.key);
    hand_out(state, service);
    match tokio::time::timeout_at(deadline, turn).await {
        Ok(Ok(QueueTurn::Slot(lease))) => Ok(lease),
        Ok(Ok(QueueTurn::Displaced)) => Err(QueueRefusal::QueueFull {
            length: state.waiters.length_of(service),
        }),
        Ok(Err(_)) | Err(_) => Err(QueueRefusal::TooLate {
            expected_wait: wait,
        }),
    }
}
