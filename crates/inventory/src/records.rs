//! Zones, services, targets, teams, routes and rules as operators list them.

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

/// A service: a set of targets that answer alike.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRecord {
    /// Name of the service.
    pub id: ServiceId,
    /// Part of the targets that ejection must leave in use.
    pub floor: CapacityRatio,
    /// Requests that one warm target works on at once.
    pub slots: SlotCount,
    /// Connections that one target accepts in all.
    pub connections: u32,
    /// Time that a request may take from its arrival at the fleet.
    pub deadline: Duration,
    /// Time that a request may wait for a slot.
    pub queue_wait: Duration,
    /// Good answers in a row after which a cold target gets one more slot.
    pub warm_up_answers: u32,
}

/// A back end of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// Name of the target.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Zone that the target is in.
    pub zone: ZoneId,
    /// Address by IP number.
    pub address: SocketAddr,
}

/// Rate and burst of a team over all hosts together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamLimit {
    /// Requests per second in the long run.
    pub rate: RequestRate,
    /// Requests beyond the rate at once.
    pub burst: BurstSize,
}

/// A customer with its keys and limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamRecord {
    /// Name of the team.
    pub id: TeamId,
    /// Digests of the keys that are granted.
    pub keys: Vec<KeyDigest>,
    /// Rate and burst.
    pub limit: TeamLimit,
}

/// Who may use a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteAccess {
    /// Everybody, without a key.
    Open,
    /// Every team with a valid key.
    AnyTeam,
    /// The listed teams with a valid key.
    Teams(IndexSet<TeamId>),
}

/// How to tell whether a request may be sent twice.
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

/// A path prefix that leads to a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRecord {
    /// Name of the route.
    pub id: RouteId,
    /// Path prefix in whole segments, such as `/rates`.
    pub prefix: SmolStr,
    /// Methods that the route takes; empty stands for all.
    pub methods: IndexSet<RequestMethod>,
    /// Service that answers.
    pub service: ServiceId,
    /// Who may use the route.
    pub access: RouteAccess,
    /// Whether requests may be sent twice.
    pub idempotency: IdempotencyRule,
    /// Deadline that replaces the one of the service.
    pub deadline: Option<Duration>,
}

/// Rules for the fleet as a whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetRules {
    /// Most hosts that may mint tokens at once, surge during replacement included.
    pub host_bound: u32,
    /// Changes booked ahead.
    pub bookings: Vec<BookedChange>,
}
