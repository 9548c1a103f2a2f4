//! A model of a fleet that shares the rates of teams, with the real decision code and without a network.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

mod fleet_model;
mod model_team;
mod scenarios;
