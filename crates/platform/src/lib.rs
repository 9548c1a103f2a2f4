//! The platform's configuration service behind one narrow interface.
//!
//! - [`budget`]: bounds on the calls of one host.
//! - [`client`]: read one value, wait for a newer one, list hosts.
//! - [`http_adapter`]: the same over HTTP. Nothing outside this module knows the wire.

pub mod budget;
pub mod client;
pub mod http_adapter;

/// The names that most users of the crate need.
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
