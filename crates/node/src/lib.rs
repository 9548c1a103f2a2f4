//! One running host: joins the decisions with the edges.
//!
//! - [`clock`]: the clocks of the runtime and of the world.
//! - [`state`]: what all tasks of the host share.
//! - [`decision_log`]: one key=value line for each decision.
//! - [`admission`]: route, key and rate of a request.
//! - [`dispatch`]: choice of a target and the attempts.
//! - [`config_loop`]: follows the published configuration.
//! - [`status`]: what operators see of the host.
//! - [`metrics`]: counters, gauges and histograms.
//! - [`admin`]: serves both, with health, readiness and planned stops.
//! - [`host`]: starts and stops all of it.

pub mod admin;
pub mod admission;
pub mod clock;
pub mod config_loop;
pub mod decision_log;
pub mod dispatch;
pub mod host;
pub mod metrics;
pub mod state;
pub mod status;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        clock::HostClock,
        host::{
            EntryHost,
            HostError, //
        },
    };
}
