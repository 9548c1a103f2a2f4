//! HTTP connections to callers and targets, over real sockets where the socket behaviour matters.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

mod callers;
mod common;
mod heads;
mod keys;
mod streams;
mod targets;
mod targets_http2;
