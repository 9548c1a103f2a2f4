//! Data that the platform publishes in its store: the configuration of the gateway and the directory of targets.
//!
//! - [`config`]: routes, services, teams and limits of one version, validated together.
//! - [`config_delta`]: the difference between two versions of the configuration.
//! - [`config_spread`]: distribution of a large configuration among the hosts of a zone.
//! - [`routing`]: lookup of the route, the team and the service of a request.
//! - [`targets`]: the registered targets and the evacuated zones.
//! - [`position`]: the era and revision up to which the store was read.
//! - [`eras`]: what stays in use when the store comes back from an older copy.
//! - [`delta`]: the difference between two directories.
//! - [`signals`]: what a target says about itself in an answer.
//! - [`tracker`]: applies changes of the store to the directory, and keeps entries that lapse in a store outage.
//! - [`removals`]: tells a target that registers again from a late write of one that has left.
//! - [`change_budget`]: time limits of the steps from a change in the store to its use.
//! - [`reader_search`]: selects the hosts that a dispatcher asks to read the store in its place.
//! - [`outage`]: tells an outage of the store from a refusal of this host alone.
//! - [`contact`]: age of this host's copy of the store, and whether keys may still be trusted.
//!
//! The crate decodes no messages and reads no clock: callers pass decoded records and the current time.

pub mod change_budget;
pub mod config;
pub mod config_delta;
pub mod config_spread;
pub mod contact;
pub mod delta;
pub mod eras;
pub mod outage;
pub mod position;
pub mod reader_search;
pub mod removals;
pub mod routing;
pub mod signals;
pub mod targets;
pub mod tracker;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        change_budget::ChangeBudget,
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
        config_delta::{
            ConfigBase,
            ConfigChange,
            ConfigDelta,
            ConfigDigest,
            ConfigHistory,
            config_base, //
        },
        config_spread::{
            ConfigSource,
            ConfigSpread,
            HolderPoll,
            transfers_max, //
        },
        contact::{
            ConfigOutcome,
            ContactAge,
            ContactSource,
            CopyContacts,
            StoreContact,
            StorePart, //
        },
        delta::{
            DirectoryDelta,
            DirectoryHistory, //
        },
        eras::EraSighting,
        outage::ServedSpan,
        position::{
            PartPositions,
            StoreEra,
            StorePosition,
            StoreRevision, //
        },
        reader_search::{
            OwnCopy,
            ReaderSearch, //
        },
        routing::{
            RouteIndex,
            RoutingError, //
        },
        signals::TargetSignals,
        targets::{
            ContentDigest,
            SentDirectory,
            TargetDirectory,
            TargetEntry,
            TargetPhase, //
        },
        tracker::{
            DirectoryChange,
            DirectoryTracker, //
        },
    };
}
