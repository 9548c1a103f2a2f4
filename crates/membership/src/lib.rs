//! Which hosts exist and which are reachable.
//!
//! - [`roster`]: the platform's lagging list of hosts.

pub mod roster;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::roster::{
        HostEntry,
        HostRoster, //
    };
}
