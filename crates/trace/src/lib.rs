//! Finds one request's way in the logs of many hosts.
//!
//! - [`log_line`]: one line of a log, in fields.
//! - [`request_trace`]: gathers the lines of a request and orders them by cause.

pub mod log_line;
pub mod request_trace;

/// The names that most users of the crate need.
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
