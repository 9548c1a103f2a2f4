//! Integration tests of one gateway process with callers, targets and a store, all on free local ports.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

mod configuration;
mod fleet_start;
mod metrics;
mod peers;
mod pipelining;
mod refused_reads;
mod requests;
mod stops;
mod test_gateway;
mod zone_loads;
