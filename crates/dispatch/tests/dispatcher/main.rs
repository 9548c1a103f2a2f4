//! Tests of the decisions of a dispatcher, without I/O.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

mod charging;
mod common;
mod floor;
mod limits;
mod replay;
mod replay_plan;
mod retry_terms;
mod selection;
mod speed;
mod team_bucket;
mod time_budget;
mod trials;
mod waiting;
