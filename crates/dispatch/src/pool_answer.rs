//! What a pool decides about a request, and about those that wait.

use std::time::Duration;

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
        /// Whether a target below the requested trust has a slot.
        has_less_trusted: bool,
    },
    /// The retry budget of the service is used up.
    NoBudget,
    /// The pool has no target that accepts new requests.
    NoTarget,
}

/// Waiting requests that left the queue.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QueueChange {
    /// Requests that got a slot.
    pub granted: Vec<(TicketNumber, DispatchGrant)>,
    /// Requests whose wait is over, and the expected time until a slot is free.
    pub expired: Vec<(TicketNumber, Duration)>,
    /// Teams that were charged for the requests whose wait is over.
    pub expired_teams: Vec<TeamId>,
}
