//! The published configuration of the fleet, as one aggregate with its own rules.
//!
//! - [`records`]: zones, services, targets, teams, routes and rules as plain records.
//! - [`bookings`]: changes that operators schedule in advance.
//! - [`snapshot`]: one complete version of the configuration, validated as a whole.
//! - [`routes`]: lookup of the route for a request.
//! - [`keys`]: lookup of the team for a key.
//! - [`view`]: configuration in force at a given time, bookings included.
//! - [`follow`]: decides which published version to fetch, adopt or refuse, and whether the host is
//!   ready.
//! - [`clock`]: clock that decides when bookings are in force.
//!
//! Parsing is done elsewhere, so that any front end can build a snapshot.

pub mod bookings;
pub mod clock;
pub mod follow;
mod follow_states;
pub mod keys;
mod readiness;
pub mod records;
pub mod routes;
pub mod snapshot;
pub mod view;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        bookings::{
            BookedAction,
            BookedChange, //
        },
        clock::BookingClock,
        follow::{
            AdoptionError,
            ConfigFollower,
            FetchPlan,
            HostCount,
            HostReadiness,
            IndexSource,
            IndexSummary,
            IndexVerdict,
            PartSummary,
            PartVerdict, //
        },
        keys::KeyRing,
        records::{
            FleetRules,
            IdempotencyRule,
            RouteAccess,
            RouteRecord,
            ServiceRecord,
            TargetRecord,
            TeamLimit,
            TeamRecord,
            ZoneRecord, //
        },
        routes::{
            RequestMethod,
            RouteTable, //
        },
        snapshot::{
            FleetSnapshot,
            SnapshotError,
            SnapshotParts, //
        },
        view::{
            FleetView,
            TargetAvailability, //
        },
    };
}
