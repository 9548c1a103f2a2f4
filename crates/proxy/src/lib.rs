//! HTTP/1.1 and HTTP/2 towards callers and targets. This crate encodes and decodes; it decides
//! nothing.
//!
//! - [`names`]: the header names of callers, targets and the fleet, in one place.
//! - [`body`]: the streamed body type.
//! - [`keys`]: finds a caller's key and removes it from a request.
//! - [`refusal`]: answers that the fleet gives itself.
//! - [`server`]: accepts callers.
//! - [`client`]: connections to one target.

pub mod body;
pub mod client;
pub mod keys;
pub mod names;
pub mod refusal;
pub mod server;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        body::{
            BodyEnd,
            BodyError,
            ProxyBody,
            WatchedBody, //
            empty_body,
            full_body,
        },
        client::{
            AttemptError,
            TargetClient, //
        },
        keys::{
            CallerKey, //
            take_key,
        },
        refusal::{
            RefusalKind,
            RunStatement, //
        },
        server::{
            CallerServer,
            ServerLimits, //
        },
    };
}
