//! The decisions of a dispatcher, replayed without I/O.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

mod budget;
mod common;
mod placing;
mod team_bucket;
mod trials;
mod waiting;
