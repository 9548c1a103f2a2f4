//! Generated inventories of the design size or a fraction of it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use eyre::Result;

/// Numbers of the objects of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of services.
    pub services: usize,
    /// Number of targets of all services.
    pub targets: usize,
    /// Number of routes.
    pub routes: usize,
    /// Number of teams.
    pub teams: usize,
    /// Number of zones.
    pub zones: usize,
}

impl FleetSize {
    /// The size that the fleet is designed for.
    pub const DESIGN: Self = Self {
        services: 280,
        targets: 17_000,
        routes: 6_000,
        teams: 170_000,
        zones: 10,
    };

    /// Returns this size with all numbers but that of zones divided by `divisor`.
    pub fn divided_by(self, divisor: usize) -> Self {
        Self {
            services: (self.services / divisor).max(1),
            targets: (self.targets / divisor).max(1),
            routes: (self.routes / divisor).max(1),
            teams: (self.teams / divisor).max(1),
            zones: self.zones,
        }
    }

    /// Generates the records of an inventory of this size.
    ///
    /// # Errors
    ///
    /// Fails when a generated name is not valid.
    pub fn parts(self) -> Result<SnapshotParts> {
        let service_of = |n: usize| ServiceId::new(&format!("service-{}", n % self.services));
        let zone_of = |n: usize| ZoneId::new(&format!("zone-{}", n % self.zones));
        let zones = (0..self.zones).map(|n| {
            Ok(ZoneRecord {
                id: zone_of(n)?,
                region: RegionId::new(&format!("region-{}", n % 4))?,
            })
        });
        let services = (0..self.services).map(|n| {
            Ok(ServiceRecord {
                id: service_of(n)?,
                floor: CapacityRatio::from_mille(600),
                slots: SlotCount::new(2),
                connections: 330,
                deadline: Duration::from_secs(10),
                queue_wait: Duration::from_secs(2),
                warm_up_answers: 20,
            })
        });
        let targets = (0..self.targets).map(|n| {
            Ok(TargetRecord {
                id: TargetId::new(&format!("target-{n}"))?,
                service: service_of(n)?,
                zone: zone_of(n / self.services)?,
                address: SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 8080)),
            })
        });
        let teams = (0..self.teams).map(|n| {
            Ok(TeamRecord {
                id: TeamId::new(&format!("team-{n}"))?,
                keys: vec![KeyDigest::of_key(key_of(n).as_bytes())],
                limit: TeamLimit {
                    rate: RequestRate::from_whole(2),
                    burst: BurstSize::from_whole(10),
                },
            })
        });
        let routes = (0..self.routes).map(|n| {
            Ok(RouteRecord {
                id: RouteId::new(&format!("route-{n}"))?,
                prefix: path_of(n).into(),
                methods: [RequestMethod::new("GET")?].into_iter().collect(),
                service: service_of(n)?,
                access: RouteAccess::AnyTeam,
                idempotency: IdempotencyRule::ByMethod,
                deadline: None,
            })
        });
        Ok(SnapshotParts {
            zones: zones.collect::<Result<_>>()?,
            services: services.collect::<Result<_>>()?,
            targets: targets.collect::<Result<_>>()?,
            teams: teams.collect::<Result<_>>()?,
            routes: routes.collect::<Result<_>>()?,
            rules: FleetRules {
                host_bound: 1_700,
                bookings: Vec::new(),
            },
        })
    }
}

/// Returns the API key of a team.
pub fn key_of(team: usize) -> String {
    format!("key-of-team-{team}")
}

/// Returns the path prefix of a route.
pub fn path_of(route: usize) -> String {
    format!("/api/v{}/resource-{route}", route % 3)
}
