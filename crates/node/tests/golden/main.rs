//! Golden files of complete sessions: the caller's requests, the requests that each target received,
//! the decision log and the responses, in chronological order.
//!
//! All sockets are real. The runtime's clock is paused unless a session advances it, so that waits,
//! deadlines and rates are the same in every run. Only ports and dates are masked.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

mod admission;
mod answers;
mod operations;
mod peers;
mod retries;
mod session;
mod target;
mod transcript;

use std::time::Duration;

use session::{
    FleetPlan,
    Session, //
};

/// Real time after which a session is aborted as hung.
const HANG_LIMIT: Duration = Duration::from_secs(30);

/// Runs a session on a clock that only the session advances.
fn run(plan: FleetPlan, script: impl AsyncFnOnce(&mut Session)) -> Session {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let (end, ended) = std::sync::mpsc::channel::<()>();
        // The runtime does not advance a paused clock while a blocking task is running.
        let watchdog = tokio::task::spawn_blocking(move || ended.recv_timeout(HANG_LIMIT));
        let session = async {
            let mut session = Session::start(plan).await;
            script(&mut session).await;
            session
        };
        let session = tokio::select! {
            session = session => session,
            _ = watchdog => panic!("the session hung after:\n{}", transcript::take()),
        };
        drop(end);
        session
    })
}

/// Runs a session and compares it with its golden file.
fn assert_golden(name: &str, plan: FleetPlan, script: impl AsyncFnOnce(&mut Session)) {
    let session = run(plan, script);
    insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
        insta::assert_snapshot!(name, session.masked(transcript::take()));
    });
}
