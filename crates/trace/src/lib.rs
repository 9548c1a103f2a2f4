//! Reconstructs the trace of one request from the logs of many hosts.
//!
//! - [`log_line`]: parses one line of a log.
//! - [`request_trace`]: collects the lines of a request and puts them in causal order.

pub mod log_line;
pub mod request_trace;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        log_line::{
            LineError,
            LogLine, //
        },
        request_trace::{
            RequestTrace,
            TraceGap,
            TraceReport,
            TraceStep, //
        },
    };
}
