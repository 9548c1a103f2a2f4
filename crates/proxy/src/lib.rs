//! HTTP/1.1 and HTTP/2 towards callers and targets. This crate encodes and decodes; it decides
//! nothing.
//!
//! - [`names`]: the header names of callers, targets and the fleet, in one place.
//! - [`body`]: the streamed body type.
//! - [`keys`]: finds a caller's key and removes it from a request.
//! - [`head`]: checks and cleans heads and trailers in both directions.
//! - [`signals`]: what a target says about itself in the head of an answer.
//! - [`refusal`]: answers that the fleet gives itself.
//! - [`server`]: accepts callers.
//! - [`client`]: connections to one target.

pub mod body;
pub mod client;
mod connection_guard;
mod framing;
pub mod head;
pub mod keys;
mod metered_stream;
pub mod names;
pub mod refusal;
mod sent_body;
pub mod server;
pub mod signals;
mod target_sender;
mod task_group;

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
            TargetAnswer,
            TargetClient,
            TargetProtocol, //
        },
        head::{
            CallerAddress, //
            clean_answer,
            clean_request,
        },
        keys::{
            CallerKey,
            KeyError, //
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
        signals::{
            TargetSignal,
            TargetState, //
        },
    };
}
