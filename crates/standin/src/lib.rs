//! Small stand-ins for the platform and for targets, for the demo, tests and trials by hand.
//!
//! - [`platform`]: values and hosts in memory, served over HTTP.
//! - [`target`]: a target with slots, a cold start and gray failures on demand.

pub mod platform;
pub mod target;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        platform::StandinPlatform,
        target::{
            StandinTarget,
            TargetArrival,
            TargetFault, //
        },
    };
}
