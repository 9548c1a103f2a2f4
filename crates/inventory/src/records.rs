//! Zones, services, targets, teams, routes and rules as listed by operators.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use indexmap::IndexSet;
use smol_str::SmolStr;

use crate::{
    bookings::BookedChange,
    routes::RequestMethod, //
};

/// An availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneRecord {
    /// Name of the zone.
    pub id: ZoneId,
    /// Region that the zone belongs to.
    pub region: RegionId,
}

/// A service: a set of equivalent targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRecord {
    /// Name of the service.
    pub id: ServiceId,
    /// Fraction of the targets that ejections must leave in use.
    pub floor: CapacityRatio,
    /// Maximum number of concurrent requests of one warm target.
    pub slots: SlotCount,
    /// Maximum number of connections that one target accepts in total.
    pub connections: u32,
    /// Maximum duration of a request from its arrival at the fleet.
    pub deadline: Duration,
    /// Maximum time that a request waits for a slot.
    pub queue_wait: Duration,
    /// Consecutive good answers after which a cold target gets one more slot.
    pub warm_up_answers: u32,
}

/// A back end of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// Name of the target.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Zone of the target.
    pub zone: ZoneId,
    /// IP address and port.
    pub address: SocketAddr,
}

/// Rate and burst of a team in the whole fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamLimit {
    /// Sustained requests per second.
    pub rate: RequestRate,
    /// Requests that are allowed at once on top of the rate.
    pub burst: BurstSize,
}

/// A customer with its keys and limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamRecord {
    /// Name of the team.
    pub id: TeamId,
    /// Digests of the granted keys.
    pub keys: Vec<KeyDigest>,
    /// Rate and burst of the team.
    pub limit: TeamLimit,
}

/// Callers that may use a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteAccess {
    /// All callers, without a key.
    Open,
    /// Every team with a valid key.
    AnyTeam,
    /// The listed teams with a valid key.
    Teams(IndexSet<TeamId>),
}

/// Determines whether a request may be sent twice.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum IdempotencyRule {
    /// By the method, as RFC 9110 defines it.
    #[default]
    ByMethod,
    /// Every request of the route is idempotent.
    Always,
    /// No request of the route is idempotent.
    Never,
}

/// A path prefix with the service that answers its requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRecord {
    /// Name of the route.
    pub id: RouteId,
    /// Path prefix in whole segments, such as `/rates`.
    pub prefix: SmolStr,
    /// Methods that the route matches; empty for all methods.
    pub methods: IndexSet<RequestMethod>,
    /// Service that answers the requests.
    pub service: ServiceId,
    /// Callers that may use the route.
    pub access: RouteAccess,
    /// Whether requests may be sent twice.
    pub idempotency: IdempotencyRule,
    /// Deadline that replaces the one of the service.
    pub deadline: Option<Duration>,
}

/// Rules for the fleet as a whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetRules {
    /// Maximum number of hosts that may mint tokens at the same time, including the surge during
    /// replacement.
    pub host_bound: u32,
    /// Changes that are scheduled in advance.
    pub bookings: Vec<BookedChange>,
}
