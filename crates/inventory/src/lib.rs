//! What operators publish, as one aggregate with its own rules.
//!
//! - [`records`]: zones, services, targets, teams, routes and rules as plain records.
//! - [`bookings`]: changes that operators book ahead.
//! - [`snapshot`]: one whole version of the configuration, checked as a whole.
//! - [`routes`]: finds the route of a request.
//! - [`keys`]: finds the team of a key.
//! - [`view`]: what is in force at a given time, bookings included.
//!
//! Parsing is elsewhere, so that any front end can build a snapshot.

pub mod bookings;
pub mod keys;
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
