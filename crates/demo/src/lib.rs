//! Runs a fleet with its targets and callers in one process, injects faults and prints the measures.
//!
//! - [`plan`]: the length and seed of a run and the times of the faults.
//! - [`scenario`]: the teams, zones and targets, and the configuration that lists them.
//! - [`fleet`]: starts hosts, targets and the platform on free ports.
//! - [`balancer`]: distributes requests among the hosts that report themselves ready.
//! - [`caller`]: sends one request and classifies its answer.
//! - [`load`]: generates an open-loop load for each team.
//! - [`script`]: injects the faults at their times.
//! - [`records`]: the events recorded by callers and targets.
//! - [`limits`]: compares a team's requests with its rate and burst.
//! - [`measures`]: computes the measures from the records.
//! - [`violations`]: finds the invariants that a run violated.
//! - [`table`]: formats the measures as tables.
//! - [`mod@hold`]: keeps the fleet running for manual trials.
//!
//! Every figure in the tables is computed from records of the run.

pub mod balancer;
pub mod caller;
pub mod fleet;
pub mod hold;
pub mod limits;
pub mod load;
pub mod measures;
pub mod plan;
pub mod records;
pub mod scenario;
pub mod script;
pub mod table;
pub mod violations;

use std::io;

use thiserror::Error;

use crate::{
    measures::DemoReport,
    plan::DemoPlan, //
};

/// The reason why the demo cannot run.
#[derive(Debug, Error)]
pub enum DemoError {
    /// An operating system call failed, for example because no port or file handle is available.
    #[error("operating system error: {0}")]
    System(#[from] io::Error),
    /// A host cannot be started.
    #[error("cannot start a host: {0}")]
    Host(#[from] chicorycroft_node::prelude::HostError),
    /// The built-in configuration is invalid.
    #[error("the built-in configuration is invalid: {0}")]
    Config(String),
    /// Some targets had no owner when the timeout expired.
    #[error("some targets had no owning host after {seconds} s")]
    OwnershipTimeout {
        /// Timeout, in seconds.
        seconds: u64,
    },
}

fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
}

/// Runs the demo, passing each line of progress to a closure.
///
/// # Errors
///
/// Returns an error if the fleet does not start or a restarted target cannot bind its port again.
pub fn run(
    plan: DemoPlan,
    progress: impl Fn(&str) + Send + Sync + 'static,
) -> Result<DemoReport, DemoError> {
    runtime()?.block_on(script::run_script(plan, progress))
}

/// Keeps the fleet running until Ctrl-C, passing example commands that call it line by line to a
/// closure.
///
/// # Errors
///
/// Returns an error if the fleet does not start or the signal handler cannot be installed.
pub fn hold(plan: DemoPlan, print: impl Fn(&str) + Send + Sync + 'static) -> Result<(), DemoError> {
    runtime()?.block_on(hold::hold_fleet(plan, print))
}
