//! What the experiments and the benchmarks share.
//!
//! - [`fleet_size`]: an inventory of a given part of the size to design for.

pub mod fleet_size;
