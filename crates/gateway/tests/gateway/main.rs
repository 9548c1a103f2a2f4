//! Integration tests of one gateway process with callers, targets and a store, all on free local ports.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

mod configuration;
mod early_answers;
mod fleet_start;
mod large_configurations;
mod metrics;
mod peers;
mod pipelining;
mod rates;
mod refused_reads;
mod requests;
mod slow_link;
mod stops;
mod store_eras;
mod test_gateway;
mod zone_loads;
