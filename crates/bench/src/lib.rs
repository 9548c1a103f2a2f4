//! Code that the experiments and the benchmarks share.
//!
//! - [`fleet_size`]: generated inventories of the design size or a fraction of it.

pub mod fleet_size;
