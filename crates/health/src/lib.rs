//! Health of targets: detection of failing targets, and the decision which of them may be ejected.
//!
//! - [`latency`]: histograms of latencies.
//! - [`baseline`]: present failure rates and latencies of a whole service.
//! - [`evidence`]: sequential test of one target against its service.
//! - [`lifecycle`]: state machine of one target.
//! - [`path`]: detection of faults on this host's own network path.
//! - [`arbiter`]: permits that keep a service above its capacity floor.
//! - [`lease`]: holder's side of an ejection permit.

pub mod arbiter;
pub mod baseline;
pub mod evidence;
pub mod latency;
pub mod lease;
pub mod lifecycle;
pub mod path;

/// The most commonly used items of this crate.
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
            EvidenceSettings,
            EvidenceTest,
            FailureKind,
            HealthVerdict, //
        },
        latency::LatencyHistogram,
        lease::{
            EjectionGrant,
            EjectionLease,
            EjectionPurpose,
            EjectionRequest,
            PermitId, //
        },
        lifecycle::{
            EjectionBackoff,
            LifecycleEvent,
            TargetLifecycle,
            TargetPhase, //
        },
        path::{
            PathDecision,
            PathMonitor, //
        },
    };
}
