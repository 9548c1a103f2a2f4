//! What operators publish, as one aggregate with its own rules.
//!
//! - [`records`]: zones, services, targets, teams, routes and rules as plain records.
//! - [`bookings`]: changes that operators book ahead.
//! - [`snapshot`]: one whole version of the configuration, checked as a whole.
//! - [`routes`]: finds the route of a request.
//! - [`keys`]: finds the team of a key.
//! - [`view`]: what is in force at a given time, bookings included.
//! - [`follow`]: which published version to fetch, adopt or refuse, and readiness.
//! - [`clock`]: the time by which bookings come into force.
//!
//! Parsing is elsewhere, so that any front end can build a snapshot.

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

/// The names that most users of the crate need.
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
            TargetStanding, //
        },
    };
}
