//! Client of the platform's configuration service.
//!
//! - [`budget`]: limits the rate of calls of one host.
//! - [`client`]: the client interface, which reads a value, watches it for changes and lists hosts.
//! - [`http_adapter`]: the client over HTTP. The wire format is defined only in this module.

pub mod budget;
pub mod client;
pub mod http_adapter;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        budget::{
            CallBudget,
            RetryBackoff, //
        },
        client::{
            HostListing,
            PlatformClient,
            PlatformError,
            PlatformValue, //
        },
        http_adapter::http_client,
    };
}
