//! Runs real gateway processes on this machine and injects faults from outside them.
//!
//! The store and the targets are the stand-ins of the platform. Between the processes, and between them and
//! their callers, the store and the targets, stand relays that delay, hold, silence or reset connections;
//! processes are stopped, paused, killed and started again by signals. What callers got and what targets ran
//! is compared with the promises of the platform's pages.
//!
//! Clocks are left alone: from outside, a process can only be paused, which the steady clock does not count
//! when the whole machine sleeps. There is no storage.
//!
//! - [`plan`]: the faults of a run, drawn from a seed.
//! - [`relay`]: connections that are delayed, held, silenced or reset.
//! - [`process`]: one gateway process and its signals.
//! - [`fleet`]: the processes, relays, store and targets of a run.
//! - [`caller`]: callers that keep their connections.
//! - `injector`: injects the faults of a plan, and looks after the processes.
//! - [`ledger`]: what callers and targets saw, and which promises it breaks.
//! - [`run`]: plays a plan.

pub mod caller;
pub mod fleet;
mod injector;
pub mod ledger;
pub mod plan;
pub mod process;
pub mod relay;
pub mod run;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        ledger::{
            BrokenPromise,
            CallEnd,
            CallRecord,
            FaultSpan,
            RunRecord,
            SoakLedger, //
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
            play, //
        },
    };
}
