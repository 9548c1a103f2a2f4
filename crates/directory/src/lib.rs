//! What the platform publishes: the configuration of the gateway and the directory of targets.
//!
//! - [`config`]: routes, services, teams and limits of one version, checked as a whole.
//! - [`routing`]: finds the route, the team and the service of a request.
//! - [`targets`]: the targets that registered themselves, and the zones that are evacuated.
//! - [`keeper`]: follows the store's entries and bridges lapses while the store is away.
//! - [`contact`]: how old the knowledge of this host is, and what it may do with it.
//!
//! Decoding is elsewhere, and time is an argument.

pub mod config;
pub mod contact;
pub mod keeper;
pub mod routing;
pub mod targets;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        config::{
            CallerLimits,
            ConfigError,
            GatewayConfig,
            GatewayRoute,
            RequestClass,
            RouteDestination,
            ServiceTerms,
            TeamTerms, //
        },
        contact::{
            ContactAge,
            StoreContact, //
        },
        keeper::{
            DirectoryChange,
            DirectoryKeeper,
            StorePart, //
        },
        routing::{
            RouteIndex,
            RoutingError, //
        },
        targets::{
            ContentDigest,
            StoreRevision,
            TargetDirectory,
            TargetEntry,
            TargetPhase, //
        },
    };
}
