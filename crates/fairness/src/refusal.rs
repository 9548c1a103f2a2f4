//! Reasons why a request may not wait.

use std::time::Duration;

use thiserror::Error;

/// Returned when a request may not wait. It has not run.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum QueueRefusal {
    /// The team has the maximum number of waiting requests.
    #[error("the team has {length} waiting requests")]
    TeamFull {
        /// Number of waiting requests of the team.
        length: usize,
    },
    /// The queue is full, and no other team has more waiting requests.
    #[error("the service has {length} waiting requests")]
    QueueFull {
        /// Number of waiting requests of all teams.
        length: usize,
    },
    /// The request would get a slot after its deadline.
    #[error("the expected wait of {} ms passes the deadline", expected_wait.as_millis())]
    TooLate {
        /// Expected time until the request gets a slot.
        expected_wait: Duration,
    },
}
