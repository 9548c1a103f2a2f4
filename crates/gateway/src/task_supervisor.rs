//! Restarts background tasks that end.
//!
//! A panic ends only the task in which it occurs. Without a restart, the process would stay up and ready without that
//! task: a host that no longer follows changes, or that other hosts take for lost.

use std::time::Duration;

use tokio::task::JoinSet;

/// Pause before an ended task starts again, so that a task that always fails does not use up the processor.
const RESTART_PAUSE: Duration = Duration::from_millis(250);

/// Runs a task, and starts it again whenever it ends. Dropping the future aborts the task.
pub async fn supervise<F>(name: &'static str, start: impl Fn() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let mut tasks = JoinSet::new();
        tasks.spawn(start());
        if let Some(Err(error)) = tasks.join_next().await {
            log::error!("event=task_failed task={name} error=\"{error}\"");
        } else {
            log::error!("event=task_ended task={name}");
        }
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}
