//! Configuration in force at a given time.
//!
//! A view joins a snapshot with the bookings that are in force at one moment. It is rebuilt when a
//! snapshot arrives and at each start or end of a booking, and shared by reference in between.

use std::sync::Arc;

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};
use thiserror::Error;

use crate::{
    bookings::BookedAction,
    records::{
        RouteAccess,
        RouteRecord,
        TargetRecord,
        TeamLimit, //
    },
    snapshot::FleetSnapshot, //
};

/// Whether operators allow new work for a target.
///
/// The variant names are part of the reasons in log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetAvailability {
    /// The target may get new work.
    In,
    /// The zone of the target is taken out.
    ZoneOut,
    /// A planned stop of the target is in force.
    Stopping,
    /// The target is no longer listed.
    Unlisted,
}

/// Returned when a key does not permit the use of a route.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AccessError {
    /// The route needs a key, and the request has none.
    #[error("the route needs a key")]
    NoKey,
    /// The key is unknown, withdrawn or suspended.
    #[error("the key is not valid")]
    BadKey,
    /// The team may not use the route.
    #[error("the team may not use the route")]
    NotAllowed,
}

/// A snapshot with the bookings in force at one moment.
#[derive(Clone, Debug)]
pub struct FleetView {
    snapshot: Arc<FleetSnapshot>,
    at: UnixTime,
    zones_out: IndexSet<ZoneId>,
    targets_stopping: IndexSet<TargetId>,
    hosts_stopping: IndexSet<HostId>,
    teams_suspended: IndexSet<TeamId>,
    limits: IndexMap<TeamId, TeamLimit>,
    floors: IndexMap<ServiceId, CapacityRatio>,
}

impl FleetView {
    /// Joins a snapshot with the bookings in force at a time.
    pub fn new(snapshot: Arc<FleetSnapshot>, at: UnixTime) -> Self {
        let mut view = Self {
            snapshot: snapshot.clone(),
            at,
            zones_out: IndexSet::new(),
            targets_stopping: IndexSet::new(),
            hosts_stopping: IndexSet::new(),
            teams_suspended: IndexSet::new(),
            limits: IndexMap::new(),
            floors: IndexMap::new(),
        };
        let bookings = &snapshot.rules().bookings;
        for booking in bookings.iter().filter(|booking| booking.is_in_force(at)) {
            view.apply(&booking.action);
        }
        view
    }

    fn apply(&mut self, action: &BookedAction) {
        match action.clone() {
            BookedAction::ZoneOut(zone) => {
                self.zones_out.insert(zone);
            }
            BookedAction::TargetStop(target) => {
                self.targets_stopping.insert(target);
            }
            BookedAction::HostStop(host) => {
                self.hosts_stopping.insert(host);
            }
            BookedAction::TeamSuspended(team) => {
                self.teams_suspended.insert(team);
            }
            BookedAction::TeamLimit(team, limit) => {
                self.limits.insert(team, limit);
            }
            BookedAction::ServiceFloor(service, floor) => {
                self.floors.insert(service, floor);
            }
        }
    }

    /// Returns the snapshot.
    pub fn snapshot(&self) -> &Arc<FleetSnapshot> {
        &self.snapshot
    }

    /// Returns the time for which the view was built.
    pub fn at(&self) -> UnixTime {
        self.at
    }

    /// Returns the time of the next start or end of a booking.
    pub fn next_change(&self) -> Option<UnixTime> {
        let bookings = self.snapshot.rules().bookings.iter();
        bookings
            .filter_map(|booking| booking.next_change(self.at))
            .min()
    }

    /// Returns whether operators allow new work for a target.
    pub fn availability_of(&self, target: &TargetId) -> TargetAvailability {
        match self.snapshot.target(target) {
            None => TargetAvailability::Unlisted,
            Some(record) if self.zones_out.contains(&record.zone) => TargetAvailability::ZoneOut,
            Some(_) if self.targets_stopping.contains(target) => TargetAvailability::Stopping,
            Some(_) => TargetAvailability::In,
        }
    }

    /// Returns the targets of a service that may get new work.
    pub fn available_targets(
        &self,
        service: &ServiceId,
    ) -> impl Iterator<Item = &Arc<TargetRecord>> {
        let targets = self.snapshot.targets_of(service).iter();
        targets.filter(|target| self.availability_of(&target.id) == TargetAvailability::In)
    }

    /// Returns `true` if a planned stop of a host is in force.
    pub fn is_host_stopping(&self, host: &HostId) -> bool {
        self.hosts_stopping.contains(host)
    }

    /// Returns `true` if a zone is taken out.
    pub fn is_zone_out(&self, zone: &ZoneId) -> bool {
        self.zones_out.contains(zone)
    }

    /// Returns the rate and burst of a team, or `None` for an unknown team.
    pub fn limit_of(&self, team: &TeamId) -> Option<TeamLimit> {
        let booked = self.limits.get(team).copied();
        booked.or_else(|| self.snapshot.team(team).map(|record| record.limit))
    }

    /// Returns the capacity floor of a service, or `None` for an unknown service.
    pub fn floor_of(&self, service: &ServiceId) -> Option<CapacityRatio> {
        let booked = self.floors.get(service).copied();
        booked.or_else(|| self.snapshot.service(service).map(|record| record.floor))
    }

    /// Returns the team of a request, or `None` on a route that needs no key.
    ///
    /// # Errors
    ///
    /// Returns [`AccessError`] if the key does not permit the use of the route.
    pub fn authorize(
        &self,
        route: &RouteRecord,
        key: Option<&[u8]>,
    ) -> Result<Option<&TeamId>, AccessError> {
        if route.access == RouteAccess::Open {
            return Ok(None);
        }
        let key = key.ok_or(AccessError::NoKey)?;
        let team = self.snapshot.keys().team_of(key);
        let team = team
            .filter(|team| !self.teams_suspended.contains(*team))
            .ok_or(AccessError::BadKey)?;
        match &route.access {
            RouteAccess::Teams(teams) if !teams.contains(team) => Err(AccessError::NotAllowed),
            _ => Ok(Some(team)),
        }
    }
}
