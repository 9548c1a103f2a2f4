//! One complete version of the configuration.
//!
//! A snapshot is built from all parts at once and refused as a whole if a part contradicts another,
//! so that no host ever serves a mixture of versions.

use std::sync::Arc;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;
use smol_str::SmolStr;
use thiserror::Error;

use crate::{
    bookings::BookedAction,
    keys::KeyRing,
    records::{
        FleetRules,
        RouteAccess,
        RouteRecord,
        ServiceRecord,
        TargetRecord,
        TeamRecord,
        ZoneRecord, //
    },
    routes::RouteTable, //
};

/// The records of all parts, before they are checked against each other.
#[derive(Clone, Debug)]
pub struct SnapshotParts {
    /// All zones.
    pub zones: Vec<ZoneRecord>,
    /// All services.
    pub services: Vec<ServiceRecord>,
    /// All targets.
    pub targets: Vec<TargetRecord>,
    /// All teams.
    pub teams: Vec<TeamRecord>,
    /// All routes.
    pub routes: Vec<RouteRecord>,
    /// Rules for the fleet as a whole.
    pub rules: FleetRules,
}

/// Returned when parts do not form a valid snapshot.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SnapshotError {
    /// A name is listed twice.
    #[error("{kind} {name} is listed twice; remove one of them")]
    Duplicate {
        /// Kind of the record.
        kind: &'static str,
        /// Name of the record.
        name: SmolStr,
    },
    /// A record refers to another one that is not listed.
    #[error("{kind} {name} names {missing_kind} {missing}, which is not listed")]
    Missing {
        /// Kind of the referring record.
        kind: &'static str,
        /// Name of the referring record.
        name: SmolStr,
        /// Kind of the missing record.
        missing_kind: &'static str,
        /// Name of the missing record.
        missing: SmolStr,
    },
    /// Two teams have the same key.
    #[error("teams {first} and {second} list the same key digest; give each its own key")]
    SharedKey {
        /// The team that is listed first.
        first: TeamId,
        /// The team that is listed second.
        second: TeamId,
    },
    /// Two routes match the same requests.
    #[error("routes {first} and {second} take the same path and method")]
    RouteCollision {
        /// The route that is listed first.
        first: RouteId,
        /// The route that is listed second.
        second: RouteId,
    },
    /// A value is below its minimum.
    #[error("{kind} {name}: {field} must be at least {lowest}")]
    TooLow {
        /// Kind of the record.
        kind: &'static str,
        /// Name of the record.
        name: SmolStr,
        /// Name of the field.
        field: &'static str,
        /// Minimum value.
        lowest: u64,
    },
    /// A booking does not end after its start.
    #[error("booking {name} ends at {end}, which is not after its start {start}")]
    EndBeforeStart {
        /// Name of the booking.
        name: SmolStr,
        /// Start of the booking.
        start: UnixTime,
        /// End of the booking.
        end: UnixTime,
    },
}

impl SnapshotError {
    /// Returns the kind and name of the invalid record.
    pub fn record(&self) -> (&'static str, SmolStr) {
        match self {
            Self::Duplicate { kind, name }
            | Self::Missing { kind, name, .. }
            | Self::TooLow { kind, name, .. } => (kind, name.clone()),
            Self::SharedKey { second, .. } => ("team", second.as_str().into()),
            Self::RouteCollision { second, .. } => ("route", second.as_str().into()),
            Self::EndBeforeStart { name, .. } => ("booking", name.clone()),
        }
    }
}

/// A consistent version of the configuration.
#[derive(Clone, Debug)]
pub struct FleetSnapshot {
    version: ConfigVersion,
    zones: IndexMap<ZoneId, ZoneRecord>,
    services: IndexMap<ServiceId, ServiceRecord>,
    targets: IndexMap<TargetId, Arc<TargetRecord>>,
    targets_of: IndexMap<ServiceId, Vec<Arc<TargetRecord>>>,
    teams: IndexMap<TeamId, TeamRecord>,
    keys: KeyRing,
    routes: RouteTable,
    rules: FleetRules,
}

fn index_by<K, V>(
    kind: &'static str,
    records: Vec<V>,
    key_of: impl Fn(&V) -> &K,
) -> Result<IndexMap<K, V>, SnapshotError>
where
    K: Clone + Eq + std::hash::Hash + ToString,
{
    let mut index = IndexMap::with_capacity(records.len());
    for record in records {
        let key = key_of(&record).clone();
        if index.contains_key(&key) {
            return Err(SnapshotError::Duplicate {
                kind,
                name: key.to_string().into(),
            });
        }
        index.insert(key, record);
    }
    Ok(index)
}

fn require(
    is_listed: bool,
    (kind, name): (&'static str, &str),
    (missing_kind, missing): (&'static str, &str),
) -> Result<(), SnapshotError> {
    if is_listed {
        return Ok(());
    }
    Err(SnapshotError::Missing {
        kind,
        name: name.into(),
        missing_kind,
        missing: missing.into(),
    })
}

fn require_positive(
    value: u64,
    (kind, name): (&'static str, &str),
    field: &'static str,
) -> Result<(), SnapshotError> {
    if value > 0 {
        return Ok(());
    }
    Err(SnapshotError::TooLow {
        kind,
        name: name.into(),
        field,
        lowest: 1,
    })
}

impl FleetSnapshot {
    /// Checks the parts against each other and builds the snapshot.
    ///
    /// # Errors
    ///
    /// Returns the first contradiction with the record that is invalid.
    pub fn new(version: ConfigVersion, parts: SnapshotParts) -> Result<Self, SnapshotError> {
        let zones = index_by("zone", parts.zones, |zone| &zone.id)?;
        let services = index_by("service", parts.services, |service| &service.id)?;
        let targets = index_by(
            "target",
            parts.targets.into_iter().map(Arc::new).collect(),
            |target: &Arc<TargetRecord>| &target.id,
        )?;
        let teams = index_by("team", parts.teams, |team| &team.id)?;
        let mut snapshot = Self {
            version,
            zones,
            services,
            targets,
            targets_of: IndexMap::new(),
            teams,
            keys: KeyRing::new(),
            routes: RouteTable::new(),
            rules: parts.rules,
        };
        snapshot.check_services()?;
        snapshot.group_targets()?;
        snapshot.grant_keys()?;
        snapshot.add_routes(parts.routes)?;
        snapshot.check_rules()?;
        Ok(snapshot)
    }

    fn check_services(&self) -> Result<(), SnapshotError> {
        for service in self.services.values() {
            let at = ("service", service.id.as_str());
            require_positive(service.slots.get().into(), at, "slots")?;
            require_positive(service.connections.into(), at, "connections")?;
            require_positive(service.warm_up_answers.into(), at, "warm_up_answers")?;
            require_positive(service.deadline.as_millis() as u64, at, "deadline_ms")?;
        }
        Ok(())
    }

    fn group_targets(&mut self) -> Result<(), SnapshotError> {
        for target in self.targets.values() {
            let at = ("target", target.id.as_str());
            let (service, zone) = (&target.service, &target.zone);
            let has_service = self.services.contains_key(service);
            require(has_service, at, ("service", service.as_str()))?;
            require(self.zones.contains_key(zone), at, ("zone", zone.as_str()))?;
            let group = self.targets_of.entry(service.clone()).or_default();
            group.push(target.clone());
        }
        Ok(())
    }

    fn grant_keys(&mut self) -> Result<(), SnapshotError> {
        for team in self.teams.values() {
            for &digest in &team.keys {
                let shared_with = |first| SnapshotError::SharedKey {
                    first,
                    second: team.id.clone(),
                };
                self.keys.grant(digest, &team.id).map_err(shared_with)?;
            }
        }
        Ok(())
    }

    fn add_routes(&mut self, routes: Vec<RouteRecord>) -> Result<(), SnapshotError> {
        for route in index_by("route", routes, |route| &route.id)?.into_values() {
            let at = ("route", route.id.as_str());
            let service = &route.service;
            let has_service = self.services.contains_key(service);
            require(has_service, at, ("service", service.as_str()))?;
            if let RouteAccess::Teams(teams) = &route.access {
                for team in teams {
                    require(self.teams.contains_key(team), at, ("team", team.as_str()))?;
                }
            }
            let second = route.id.clone();
            let collision = |first: Arc<RouteRecord>| SnapshotError::RouteCollision {
                first: first.id.clone(),
                second,
            };
            self.routes.add(route).map_err(collision)?;
        }
        Ok(())
    }

    fn check_rules(&self) -> Result<(), SnapshotError> {
        require_positive(
            self.rules.host_bound.into(),
            ("rule", "rules"),
            "host_bound",
        )?;
        let mut names = indexmap::IndexSet::new();
        for booking in &self.rules.bookings {
            if !names.insert(&booking.id) {
                return Err(SnapshotError::Duplicate {
                    kind: "booking",
                    name: booking.id.clone(),
                });
            }
            if let Some(end) = booking.end.filter(|&end| end <= booking.start) {
                return Err(SnapshotError::EndBeforeStart {
                    name: booking.id.clone(),
                    start: booking.start,
                    end,
                });
            }
            let (is_listed, subject) = self.subject_of(&booking.action);
            require(is_listed, ("booking", &booking.id), subject)?;
        }
        Ok(())
    }

    fn subject_of<'a>(&self, action: &'a BookedAction) -> (bool, (&'static str, &'a str)) {
        match action {
            BookedAction::ZoneOut(zone) => (self.zones.contains_key(zone), ("zone", zone.as_str())),
            BookedAction::TargetStop(target) => (
                self.targets.contains_key(target),
                ("target", target.as_str()),
            ),
            // The platform's list of hosts changes on its own, so a booking may name a host in
            // advance.
            BookedAction::HostStop(host) => (true, ("host", host.as_str())),
            BookedAction::TeamLimit(team, _) | BookedAction::TeamSuspended(team) => {
                (self.teams.contains_key(team), ("team", team.as_str()))
            }
            BookedAction::ServiceFloor(service, _) => (
                self.services.contains_key(service),
                ("service", service.as_str()),
            ),
        }
    }

    /// Returns the version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns a zone, or `None` if it is not listed.
    pub fn zone(&self, id: &ZoneId) -> Option<&ZoneRecord> {
        self.zones.get(id)
    }

    /// Returns all zones.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneRecord> {
        self.zones.values()
    }

    /// Returns a service, or `None` if it is not listed.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceRecord> {
        self.services.get(id)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRecord> {
        self.services.values()
    }

    /// Returns a target, or `None` if it is not listed.
    pub fn target(&self, id: &TargetId) -> Option<&Arc<TargetRecord>> {
        self.targets.get(id)
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<TargetRecord>> {
        self.targets.values()
    }

    /// Returns the targets of a service; none for an unknown service.
    pub fn targets_of(&self, service: &ServiceId) -> &[Arc<TargetRecord>] {
        self.targets_of.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns a team, or `None` if it is not listed.
    pub fn team(&self, id: &TeamId) -> Option<&TeamRecord> {
        self.teams.get(id)
    }

    /// Returns all teams.
    pub fn teams(&self) -> impl Iterator<Item = &TeamRecord> {
        self.teams.values()
    }

    /// Returns the granted keys.
    pub fn keys(&self) -> &KeyRing {
        &self.keys
    }

    /// Returns the route table.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the rules for the fleet as a whole.
    pub fn rules(&self) -> &FleetRules {
        &self.rules
    }
}
