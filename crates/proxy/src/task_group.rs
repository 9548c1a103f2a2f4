//! The tasks of one connection, which are aborted together.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use hyper::rt::Executor;
use tokio::{
    sync::OwnedSemaphorePermit,
    task::JoinHandle, //
};

/// Tasks of one connection, with the permit of the connection while it is in use.
///
/// The tasks own the socket, and each of them shares the permit, so that the permit is released only
/// after the socket is closed.
#[derive(Clone, Debug)]
pub(crate) struct TaskGroup {
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
    permit: Arc<Mutex<Option<OwnedSemaphorePermit>>>,
}

impl TaskGroup {
    /// Creates a group without tasks for a connection in use.
    pub(crate) fn new(permit: OwnedSemaphorePermit) -> Self {
        Self {
            tasks: Arc::default(),
            permit: Arc::new(Mutex::new(Some(permit))),
        }
    }

    fn tasks(&self) -> MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the permit and returns the previous one: a connection in use has a permit, an idle one has
    /// none.
    pub(crate) fn swap_permit(
        &self,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Option<OwnedSemaphorePermit> {
        let mut slot = self.permit.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *slot, permit)
    }

    /// Spawns a task that holds the permit of the connection until it ends.
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let permit = self.permit.clone();
        let task = tokio::spawn(async move {
            let _permit = permit;
            future.await;
        });
        let mut tasks = self.tasks();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// Aborts all tasks without waiting for their end.
    pub(crate) fn abort(&self) {
        for task in self.tasks().iter() {
            task.abort();
        }
    }

    /// Aborts all tasks and waits until they have ended.
    pub(crate) async fn close(&self) {
        loop {
            let tasks = std::mem::take(&mut *self.tasks());
            if tasks.is_empty() {
                return;
            }
            for task in &tasks {
                task.abort();
            }
            for task in tasks {
                // The only join error is the cancellation by `abort`.
                let _ = task.await;
            }
        }
    }
}

impl<F: Future<Output = ()> + Send + 'static> Executor<F> for TaskGroup {
    fn execute(&self, future: F) {
        self.spawn(future);
    }
}
