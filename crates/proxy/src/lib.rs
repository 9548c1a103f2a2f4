//! HTTP/1.1 and HTTP/2 connections to callers and targets.
//!
//! This crate encodes and decodes messages; routing and admission decisions are made elsewhere.
//!
//! - [`names`]: the header names used with callers and targets.
//! - [`body`]: the streaming body type.
//! - [`keys`]: extracts a caller's API key from a request.
//! - [`head`]: validates and sanitizes message heads and trailers in both directions.
//! - [`signals`]: the state that a target reports in its response headers.
//! - [`refusal`]: error responses that the fleet generates itself.
//! - [`server`]: accepts connections of callers.
//! - [`client`]: the connection pool of one target.
//! - [`metered_stream`]: a socket that counts bytes and limits what precedes the head of a response.

pub mod body;
pub mod client;
mod connection_guard;
mod framing;
pub mod head;
pub mod head_queue;
pub mod keys;
pub mod metered_stream;
pub mod names;
pub mod refusal;
mod sent_body;
pub mod server;
pub mod signals;
mod target_sender;
mod task_group;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        body::{
            BodyEnd,
            BodyError,
            ProxyBody,
            WatchedBody,
            empty_body,
            full_body, //
        },
        client::{
            AttemptError,
            TargetClient,
            TargetProtocol,
            TargetResponse, //
        },
        head::{
            CallerAddress,
            sanitize_request,
            sanitize_response, //
        },
        head_queue::QueuedTime,
        keys::{
            CallerKey,
            KeyError,
            take_key, //
        },
        metered_stream::{
            MeteredStream,
            ReadMeter, //
        },
        refusal::{
            ExecutionStatus,
            RefusalKind, //
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
