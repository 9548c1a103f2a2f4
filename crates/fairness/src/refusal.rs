//! Why a request does not wait.

use std::time::Duration;

use thiserror::Error;

/// Why a request does not wait. It has certainly not run.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum QueueRefusal {
    /// The team has as many waiting requests as one team may have.
    #[error("the team has {length} waiting requests")]
    TeamFull {
        /// Waiting requests of the team.
        length: usize,
    },
    /// The queue is full and no other team has more waiting requests.
    #[error("the service has {length} waiting requests")]
    QueueFull {
        /// Waiting requests of all teams.
        length: usize,
    },
    /// The request would be served after its deadline.
    #[error("the expected wait of {} ms passes the deadline", expected_wait.as_millis())]
    TooLate {
        /// Time after which the request could be served.
        expected_wait: Duration,
    },
}
