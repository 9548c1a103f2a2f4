//! A fleet of proxy daemons between callers and targets.
//!
//! This crate re-exports the crates that front ends use, so that they need only one dependency. The
//! binary of the same name is the operators' command line client.

pub use chicorycroft_border as border;
pub use chicorycroft_cli as cli;
pub use chicorycroft_core as core;
pub use chicorycroft_inventory as inventory;
pub use chicorycroft_limits as limits;
pub use chicorycroft_membership as membership;
pub use chicorycroft_node as node;
pub use chicorycroft_placement as placement;
pub use chicorycroft_platform as platform;
pub use chicorycroft_proxy as proxy;
pub use chicorycroft_retry as retry;

/// The most commonly used items of the crates that front ends need.
pub mod prelude {
    pub use chicorycroft_border::prelude::*;
    pub use chicorycroft_core::prelude::*;
    pub use chicorycroft_inventory::prelude::*;
    pub use chicorycroft_limits::prelude::*;
    pub use chicorycroft_node::prelude::*;
    pub use chicorycroft_placement::prelude::*;
    pub use chicorycroft_platform::prelude::*;
}
