//! The HTTP edge towards callers and targets, over real sockets where sockets matter.

#![expect(
    clippy::unwrap_used,
    reason = "a test fails on what it does not expect"
)]

mod callers;
mod common;
mod heads;
mod keys;
mod streams;
mod targets;
mod targets_http2;
