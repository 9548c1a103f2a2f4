//! One running host: joins the decisions with the edges.
//!
//! - [`clock`]: the clocks of the runtime and of the world.
//! - [`replay`]: request bodies that can be sent again.
//! - [`state`]: what all tasks of the host share.
//! - [`decision_log`]: one key=value line for each decision.
//! - [`admission`]: route, key and rate of a request.
//! - [`dispatch`]: choice of a target and the attempts.
//! - [`config_loop`]: follows the published configuration.
//! - [`admin`]: health, readiness, metrics and status.
//! - [`host`]: starts and stops all of it.

pub mod admin;
pub mod admission;
pub mod clock;
pub mod config_loop;
pub mod decision_log;
pub mod dispatch;
pub mod host;
pub mod replay;
pub mod state;

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
