//! The tasks of one connection, which end together.

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

/// Tasks of one connection, with the permit of the connection while it is in use. The tasks own the
/// socket, and each of them keeps the permit, so that it becomes free only after the socket is
/// closed.
#[derive(Clone, Debug)]
pub(crate) struct TaskGroup {
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
    permit: Arc<Mutex<Option<OwnedSemaphorePermit>>>,
}

impl TaskGroup {
    /// Makes a group without tasks for a connection in use.
    pub(crate) fn new(permit: OwnedSemaphorePermit) -> Self {
        Self {
            tasks: Arc::default(),
            permit: Arc::new(Mutex::new(Some(permit))),
        }
    }

    fn tasks(&self) -> MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the permit when a request takes the connection, or takes it when the connection is idle.
    pub(crate) fn swap_permit(
        &self,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Option<OwnedSemaphorePermit> {
        let mut slot = self.permit.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *slot, permit)
    }

    /// Starts a task.
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

    /// Ends all tasks without waiting for it.
    pub(crate) fn abort(&self) {
        for task in self.tasks().iter() {
            task.abort();
        }
    }

    /// Ends all tasks and waits until they have ended.
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
                // A task fails only because it was ended.
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
