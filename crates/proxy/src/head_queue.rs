//! Arrival times of the requests of one connection.
//!
//! A caller may send further requests before the first one is answered. The HTTP library hands them over one after the
//! other, each after the answer to the one before, so that the time at which a request is handed over is not the time
//! from which its caller waits.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use tokio::time::Instant;

/// Time for which a request waited behind others of its connection, as an extension of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedTime(pub Duration);

/// Arrival times of the heads that the HTTP library has and has not handed over yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadQueue(Arc<Mutex<VecDeque<Instant>>>);

impl HeadQueue {
    /// Creates the queue of a new connection.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a head that is passed to the HTTP library.
    pub(crate) fn push(&self, arrived_at: Instant) {
        self.lock().push_back(arrived_at);
    }

    /// Removes the first head and returns the time since its arrival; zero over HTTP/2, where requests do not wait for
    /// each other.
    pub(crate) fn pop(&self) -> QueuedTime {
        let arrived_at = self.lock().pop_front();
        QueuedTime(arrived_at.map_or(Duration::ZERO, |at| at.elapsed()))
    }

    /// Returns `true` if the HTTP library has handed over all heads.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }
}
