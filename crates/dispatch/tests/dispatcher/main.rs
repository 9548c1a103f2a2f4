//! The decisions of a dispatcher, replayed without I/O.

mod common;
mod placing;
mod team_bucket;
mod waiting;
