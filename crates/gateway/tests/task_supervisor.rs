//! Restarts of background tasks.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU32,
            Ordering, //
        },
    },
    time::Duration,
};

use chicorycroft_gateway::task_supervisor::supervise;

/// Guards against a process that stays up without one of its background tasks after an unexpected error in it.
#[tokio::test(start_paused = true)]
async fn task_is_started_again_after_a_panic() {
    let starts = Arc::new(AtomicU32::new(0));
    let counted = starts.clone();
    let task = supervise("test", move || {
        let number = counted.fetch_add(1, Ordering::Relaxed);
        async move {
            match number {
                0 => panic!("a task fails"),
                1 => {}
                _ => std::future::pending().await,
            }
        }
    });
    let ended = tokio::time::timeout(Duration::from_secs(60), task).await;
    assert!(ended.is_err(), "the supervisor ended");
    assert_eq!(starts.load(Ordering::Relaxed), 3);
}
