//! What is in force at a given time.
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

/// Whether operators let a target have new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetStanding {
    /// The target may have new work.
    In,
    /// Its zone is taken out.
    ZoneOut,
    /// A planned stop is in force.
    Stopping,
    /// The target is no longer listed.
    Unlisted,
}

/// Why a key does not open a route.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AccessError {
    /// The route needs a key and none came.
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

    /// Returns the time that the view stands for.
    pub fn at(&self) -> UnixTime {
        self.at
    }

    /// Returns the time of the next start or end of a booking.
    pub fn next_edge(&self) -> Option<UnixTime> {
        let bookings = self.snapshot.rules().bookings.iter();
        bookings
            .filter_map(|booking| booking.next_edge(self.at))
            .min()
    }

    /// Tells whether operators let a target have new work.
    pub fn standing_of(&self, target: &TargetId) -> TargetStanding {
        match self.snapshot.target(target) {
            None => TargetStanding::Unlisted,
            Some(record) if self.zones_out.contains(&record.zone) => TargetStanding::ZoneOut,
            Some(_) if self.targets_stopping.contains(target) => TargetStanding::Stopping,
            Some(_) => TargetStanding::In,
        }
    }

    /// Returns the targets of a service that may have new work.
    pub fn targets_in(&self, service: &ServiceId) -> impl Iterator<Item = &Arc<TargetRecord>> {
        let targets = self.snapshot.targets_of(service).iter();
        targets.filter(|target| self.standing_of(&target.id) == TargetStanding::In)
    }

    /// Tells whether a planned stop of a host is in force.
    pub fn is_host_stopping(&self, host: &HostId) -> bool {
        self.hosts_stopping.contains(host)
    }

    /// Tells whether a zone is taken out.
    pub fn is_zone_out(&self, zone: &ZoneId) -> bool {
        self.zones_out.contains(zone)
    }

    /// Returns the rate and burst of a team.
    pub fn limit_of(&self, team: &TeamId) -> Option<TeamLimit> {
        let booked = self.limits.get(team).copied();
        booked.or_else(|| self.snapshot.team(team).map(|record| record.limit))
    }

    /// Returns the floor of a service.
    pub fn floor_of(&self, service: &ServiceId) -> Option<CapacityRatio> {
        let booked = self.floors.get(service).copied();
        booked.or_else(|| self.snapshot.service(service).map(|record| record.floor))
    }

    /// Returns the team that a request runs for; `None` stands for an open route.
    ///
    /// # Errors
    ///
    /// Fails when the key does not open the route.
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
