//! Changes that operators schedule in advance, with a start and an optional end.

use std::fmt;

use chicorycroft_core::prelude::*;
use smol_str::SmolStr;

use crate::records::TeamLimit;

/// Effect of a booked change while it is in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BookedAction {
    /// Takes a zone out: its targets get no new work.
    ZoneOut(ZoneId),
    /// Stops a target: it gets no new work.
    TargetStop(TargetId),
    /// Stops a host: it becomes unready and drains.
    HostStop(HostId),
    /// Replaces the rate and burst of a team.
    TeamLimit(TeamId, TeamLimit),
    /// Suspends all keys of a team.
    TeamSuspended(TeamId),
    /// Replaces the capacity floor of a service.
    ServiceFloor(ServiceId, CapacityRatio),
}

impl fmt::Display for BookedAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ZoneOut(zone) => write!(f, "zone_out {zone}"),
            Self::TargetStop(target) => write!(f, "target_stop {target}"),
            Self::HostStop(host) => write!(f, "host_stop {host}"),
            Self::TeamSuspended(team) => write!(f, "team_suspended {team}"),
            Self::TeamLimit(team, limit) => {
                write!(
                    f,
                    "team_limit {team} rate {} burst {}",
                    limit.rate, limit.burst
                )
            }
            Self::ServiceFloor(service, floor) => write!(f, "service_floor {service} {floor}"),
        }
    }
}

/// A booked change with the period in which it is in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BookedChange {
    /// Name of the booking, for logs and operators.
    pub id: SmolStr,
    /// Start of the period.
    pub start: UnixTime,
    /// End of the period, which is not part of it; `None` for an unlimited period.
    pub end: Option<UnixTime>,
    /// Effect of the change.
    pub action: BookedAction,
}

impl BookedChange {
    /// Returns `true` if the change is in force at a time.
    pub fn is_in_force(&self, at: UnixTime) -> bool {
        self.start <= at && self.end.is_none_or(|end| at < end)
    }

    /// Returns the next start or end after a time.
    pub fn next_change(&self, at: UnixTime) -> Option<UnixTime> {
        [Some(self.start), self.end]
            .into_iter()
            .flatten()
            .filter(|&time| time > at)
            .min()
    }
}
