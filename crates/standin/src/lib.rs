//! Test doubles of the platform and of targets, for the demo, tests and manual trials.
//!
//! - [`platform`]: an in-memory platform, served over HTTP.
//! - [`target`]: a target with a limited number of slots, a cold start and injected faults.

pub mod platform;
pub mod target;

/// The most commonly used items of this crate.
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
