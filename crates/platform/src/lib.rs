//! The platform's configuration service behind one narrow interface.
//!
//! - [`client`]: read one value, wait for a newer one, list hosts.
//! - [`http_adapter`]: the same over HTTP. Nothing outside this module knows the wire.

pub mod client;
pub mod http_adapter;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        client::{
            HostListing,
            PlatformClient,
            PlatformError,
            PlatformValue, //
        },
        http_adapter::http_client,
    };
}
