//! One gateway process between callers, targets and a store, all on free ports of this machine.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

mod configuration;
mod metrics;
mod peers;
mod requests;
mod setting;
mod stops;
