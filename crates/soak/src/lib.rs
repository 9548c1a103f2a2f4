//! Fault-injection tests on real gateway processes on this machine.
//!
//! The store and the targets are the stand-ins of the platform. Relays connect the gateways with each other and
//! with their callers, the store and the targets. They can delay, hold or drop the data of these connections, or
//! reset the connections. Signals stop, pause, kill and restart the processes. The answers that callers received
//! and the requests that targets executed are checked against the guarantees that the platform documents.
//!
//! Clock faults are not injected: from outside, a process can only be paused, and suspending the whole machine,
//! which stops the monotonic clock, is not possible here. The processes have no storage to inject faults into.
//!
//! - [`plan`]: the faults of a run, drawn from a seed.
//! - [`relay`]: TCP relays that inject connection faults.
//! - [`process`]: one gateway process and its signals.
//! - [`fleet`]: the processes, relays, store and targets of a run.
//! - [`caller`]: callers with keep-alive connections.
//! - [`history`]: the recorded requests and executions, and the checks on them.
//! - `injector`: injects the faults of a plan and restarts processes.
//! - [`run`]: executes a run and reports the violations.

pub mod caller;
pub mod fleet;
pub mod history;
mod injector;
pub mod plan;
pub mod process;
pub mod relay;
pub mod run;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        history::{
            CallOutcome,
            CallRecord,
            ExecutionRecord,
            FaultSpan,
            GuaranteeViolation,
            SoakHistory, //
        },
        plan::{
            FaultKind,
            HostIndex,
            LinkKind,
            PlannedFault,
            SoakPlan,
            TargetIndex, //
        },
        relay::{
            FaultRelay,
            LinkMode, //
        },
        run::{
            SoakReport,
            SoakSettings,
            run_soak, //
        },
    };
}
