//! A fleet, its targets and its callers in one process, with faults, and a table of what happened.
//!
//! - [`plan`]: length, seed and the times of the faults.
//! - [`setting`]: teams, zones and targets, and the configuration that lists them.
//! - [`fleet`]: starts hosts, targets and the platform on free ports.
//! - [`balancer`]: sends callers to the hosts that say that they are ready.
//! - [`caller`]: sends one request and judges its answer.
//! - [`load`]: an open loop of requests for each team.
//! - [`script`]: causes the faults at their times.
//! - [`records`]: what callers and targets saw.
//! - [`limits`]: a team's requests against its rate and burst.
//! - [`measures`]: computes the measures from the records.
//! - [`broken`]: which invariants a run broke, by its measures.
//! - [`table`]: prints them.
//! - [`mod@hold`]: keeps the fleet up for trials by hand.
//!
//! Every figure of the table is computed from records of the run.

pub mod balancer;
pub mod broken;
pub mod caller;
pub mod fleet;
pub mod hold;
pub mod limits;
pub mod load;
pub mod measures;
pub mod plan;
pub mod records;
pub mod script;
pub mod setting;
pub mod table;

use std::io;

use thiserror::Error;

use crate::{
    measures::DemoReport,
    plan::DemoPlan, //
};

/// Why the demo does not run.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A port or a file handle is missing.
    #[error("the system refuses: {0}")]
    System(#[from] io::Error),
    /// A host does not start.
    #[error("a host does not start: {0}")]
    Host(#[from] chicorycroft_node::prelude::HostError),
    /// The built-in configuration is not valid.
    #[error("the built-in configuration is not valid: {0}")]
    Setting(String),
    /// The hosts did not share out the targets.
    #[error("the hosts did not own all targets within {seconds} s")]
    NoOwners {
        /// Time that the demo waited, in seconds.
        seconds: u64,
    },
}

fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
}

/// Runs the demo and calls a closure with each line of progress.
///
/// # Errors
///
/// Fails when the fleet does not start.
pub fn run(
    plan: DemoPlan,
    progress: impl Fn(&str) + Send + Sync + 'static,
) -> Result<DemoReport, DemoError> {
    runtime()?.block_on(script::play(plan, progress))
}

/// Keeps the fleet up until Ctrl-C and calls a closure with each line that tells how to call it.
///
/// # Errors
///
/// Fails when the fleet does not start.
pub fn hold(plan: DemoPlan, print: impl Fn(&str) + Send + Sync + 'static) -> Result<(), DemoError> {
    runtime()?.block_on(hold::keep(plan, print))
}
