//! Which targets fail, and which of them may be taken out of use.
//!
//! - [`latency`]: latencies in logarithmic buckets.
//! - [`baseline`]: how the other targets of a service do at the moment.
//! - [`evidence`]: sequential test of one target against its service.
//! - [`lifecycle`]: state machine of one target.
//! - [`path`]: whether this host's own path is at fault.
//! - [`arbiter`]: permits that keep ejections above the floor of a service.
//! - [`lease`]: the ejecting owner's side of a permit.

pub mod arbiter;
pub mod baseline;
pub mod evidence;
pub mod latency;
pub mod lease;
pub mod lifecycle;
pub mod path;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        arbiter::{
            EjectionArbiter,
            EjectionRefusal, //
        },
        baseline::{
            BaselineReference,
            ServiceBaseline,
            ServiceCounters, //
        },
        evidence::{
            EvidenceTest,
            EvidenceTimes,
            FailureKind,
            HealthVerdict, //
        },
        latency::LatencyHistogram,
        lease::{
            EjectionGrant,
            EjectionLease,
            EjectionRequest,
            PermitId,
            RequestPurpose, //
        },
        lifecycle::{
            EjectTimes,
            LifecycleEvent,
            TargetLifecycle,
            TargetPhase, //
        },
        path::{
            PathDecision,
            PathFault, //
        },
    };
}
