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
mod overload;
mod queue_order;
mod rate_lease;
mod replay;
mod replay_plan;
mod retry_terms;
mod returns;
mod selection;
mod speed;
mod team_bucket;
mod time_budget;
mod trials;
mod turning_away;
mod waiting;
mod zone_fleet;
mod zone_loads;
