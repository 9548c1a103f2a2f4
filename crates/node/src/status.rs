//! Builds the status and explain documents of the admin address from the facts of a host.

use std::sync::Arc;

use chicorycroft_border::generated::{
    explain::{
        ExplainDocument,
        ExplainDocumentDecision,
        TargetChoice, //
    },
    status::{
        BookingStatus,
        PeerStatus,
        StatusDocument,
        TargetStatus,
        TeamStatus, //
    },
};
use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use indexmap::IndexMap;
use smol_str::SmolStr;

/// Facts about a target in addition to the inventory.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetFacts {
    /// Host that sends requests to the target.
    pub owner: Option<HostId>,
    /// Why the target gets no requests although the configuration has it in use, such as an ejection.
    pub out_reason: Option<SmolStr>,
    /// Number of requests in flight at the target.
    pub in_use: Option<u32>,
    /// Largest number of requests that may be in flight at the target.
    pub limit: Option<u32>,
    /// Number of requests that wait for a slot of the target's service.
    pub waiting: Option<u32>,
}

/// Request counts of a team.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TeamFacts {
    /// Number of requests admitted since the start of the host.
    pub admitted: u64,
    /// Number of requests refused as over the rate since the start of the host.
    pub refused: u64,
}

/// Facts about another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerFacts {
    /// Name of the host.
    pub id: HostId,
    /// Zone of the host.
    pub zone: ZoneId,
    /// Membership state in one word, such as `live` or `leaving`.
    pub state: &'static str,
}

/// Facts about a host at one point in time.
#[derive(Clone, Debug)]
pub struct HostStatus {
    /// Name of the host.
    pub host: HostId,
    /// Zone of the host.
    pub zone: ZoneId,
    /// Why the host serves no requests; `None` while it is ready.
    pub unready_reason: Option<SmolStr>,
    /// Whether a planned stop has begun.
    pub is_stopping: bool,
    /// Time at which the facts were collected.
    pub at: UnixTime,
    /// The configuration in force; `None` before the first one is accepted.
    pub view: Option<Arc<FleetView>>,
    /// Why the last published version was refused.
    pub refused_version: Option<SmolStr>,
    /// Facts about targets; a target without an entry is known from the inventory only.
    pub targets: IndexMap<TargetId, TargetFacts>,
    /// Request counts of teams.
    pub teams: IndexMap<TeamId, TeamFacts>,
    /// Facts about the other hosts.
    pub peers: Vec<PeerFacts>,
}

/// Request whose handling operators want explained.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct ExplainQuery {
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Team of the caller; `None` for a request without a key.
    pub team: Option<String>,
}

/// Returns whether a target may get new requests, and the reason.
fn target_state(status: &HostStatus, view: &FleetView, target: &TargetId) -> (bool, String) {
    match view.availability_of(target) {
        TargetAvailability::ZoneOut => return (false, "zone taken out by a booking".into()),
        TargetAvailability::Stopping => return (false, "planned stop by a booking".into()),
        TargetAvailability::Unlisted => return (false, "not listed".into()),
        TargetAvailability::In => {}
    }
    let facts = status.targets.get(target);
    match facts.and_then(|facts| facts.out_reason.as_ref()) {
        Some(reason) => (false, reason.to_string()),
        None => (true, "in use".into()),
    }
}

/// Returns how many targets may get new requests, and how many may not.
pub fn count_targets(status: &HostStatus) -> (usize, usize) {
    let Some(view) = &status.view else {
        return (0, 0);
    };
    let targets = view.snapshot().targets();
    let is_in = targets.map(|target| target_state(status, view, &target.id).0);
    is_in.fold((0, 0), |(count_in, count_out), is_in| {
        if is_in {
            (count_in + 1, count_out)
        } else {
            (count_in, count_out + 1)
        }
    })
}

fn target_status(status: &HostStatus, view: &FleetView, target: &TargetRecord) -> TargetStatus {
    let facts = status.targets.get(&target.id).cloned().unwrap_or_default();
    let (in_, reason) = target_state(status, view, &target.id);
    TargetStatus {
        id: target.id.to_string(),
        service: target.service.to_string(),
        zone: target.zone.to_string(),
        in_,
        reason,
        owner: facts.owner.map(|owner| owner.to_string()),
        in_use: facts.in_use,
        limit: facts.limit,
        waiting: facts.waiting,
    }
}

fn team_status(status: &HostStatus, view: &FleetView, team: &TeamRecord) -> TeamStatus {
    let limit = view.limit_of(&team.id).unwrap_or(team.limit);
    let facts = status.teams.get(&team.id);
    TeamStatus {
        id: team.id.to_string(),
        rate: limit.rate.to_string(),
        burst: limit.burst.to_string(),
        admitted: facts.map(|facts| facts.admitted),
        refused: facts.map(|facts| facts.refused),
    }
}

fn booking_status(booking: &BookedChange, at: UnixTime) -> BookingStatus {
    BookingStatus {
        id: booking.id.to_string(),
        action: booking.action.to_string(),
        start: booking.start.to_string(),
        end: booking.end.map(|end| end.to_string()),
        in_force: booking.is_in_force(at),
    }
}

/// Builds the status document of a host.
pub fn status_document(status: &HostStatus) -> StatusDocument {
    let mut document = StatusDocument {
        host: status.host.to_string(),
        zone: status.zone.to_string(),
        ready: status.unready_reason.is_none(),
        reason: status.unready_reason.as_deref().unwrap_or("ready").into(),
        stopping: status.is_stopping,
        time: status.at.to_string(),
        version: None,
        refused: status.refused_version.as_ref().map(ToString::to_string),
        targets: Vec::new(),
        teams: Vec::new(),
        bookings: Vec::new(),
        peers: Vec::new(),
    };
    let peers = status.peers.iter().map(|peer| PeerStatus {
        id: peer.id.to_string(),
        zone: peer.zone.to_string(),
        state: peer.state.into(),
    });
    document.peers = peers.collect();
    if let Some(view) = &status.view {
        let snapshot = view.snapshot();
        let targets = snapshot.targets();
        let bookings = snapshot.rules().bookings.iter();
        document.version = Some(snapshot.version().get());
        document.targets = targets
            .map(|target| target_status(status, view, target))
            .collect();
        document.teams = snapshot
            .teams()
            .map(|team| team_status(status, view, team))
            .collect();
        document.bookings = bookings
            .map(|booking| booking_status(booking, view.at()))
            .collect();
    }
    document
}

/// Builds the document that explains how the host would handle a request.
pub fn explain_document(status: &HostStatus, query: &ExplainQuery) -> ExplainDocument {
    let mut document = ExplainDocument {
        method: query.method.clone(),
        path: query.path.clone(),
        decision: ExplainDocumentDecision::Refuse,
        reason: String::new(),
        route: None,
        service: None,
        access: None,
        team: query.team.clone(),
        rate: None,
        burst: None,
        idempotent: None,
        deadline_ms: None,
        targets: Vec::new(),
    };
    match explain(status, query, &mut document) {
        Ok(()) => {
            document.decision = ExplainDocumentDecision::Forward;
            document.reason = "access is granted and a target is available".into();
        }
        Err(reason) => document.reason = reason,
    }
    document
}

/// Fills in the document up to the first reason for a refusal, and returns that reason as an error.
fn explain(
    status: &HostStatus,
    query: &ExplainQuery,
    document: &mut ExplainDocument,
) -> Result<(), String> {
    let view = status.view.as_ref().ok_or("no configuration yet")?;
    let method = RequestMethod::new(&query.method).map_err(|error| error.to_string())?;
    let path = query.path.split('?').next().unwrap_or_default();
    let route = view.snapshot().routes().find(&method, path);
    let route = route.map_err(|error| error.to_string())?;
    let service = view.snapshot().service(&route.service);
    let service = service.ok_or("the service is not listed")?;
    let deadline = route.deadline.unwrap_or(service.deadline);
    document.route = Some(route.id.to_string());
    document.service = Some(service.id.to_string());
    document.idempotent = Some(route.is_idempotent(&method));
    document.deadline_ms = u64::try_from(deadline.as_millis()).ok();
    document.access = Some(match &route.access {
        RouteAccess::Open => "open to all".into(),
        RouteAccess::AnyTeam => "any team with a valid key".into(),
        RouteAccess::Teams(teams) => {
            let teams: Vec<_> = teams.iter().map(TeamId::as_str).collect();
            format!("only {}", teams.join(", "))
        }
    });
    let targets = view.snapshot().targets_of(&service.id).iter();
    let choices = targets.map(|target| {
        let status = target_status(status, view, target);
        TargetChoice {
            id: status.id,
            zone: status.zone,
            in_: status.in_,
            reason: status.reason,
            owner: status.owner,
        }
    });
    document.targets = choices.collect();
    check_team(view, route, query.team.as_deref(), document)?;
    if let Some(reason) = &status.unready_reason {
        return Err(format!("the host is not ready: {reason}"));
    }
    let has_target = document.targets.iter().any(|choice| choice.in_);
    has_target
        .then_some(())
        .ok_or_else(|| "no target of the service is available".into())
}

fn check_team(
    view: &FleetView,
    route: &RouteRecord,
    team: Option<&str>,
    document: &mut ExplainDocument,
) -> Result<(), String> {
    if route.access == RouteAccess::Open {
        return Ok(());
    }
    let team = team.ok_or("the route needs a key; name a team to explain its request")?;
    let team = TeamId::new(team).map_err(|error| error.to_string())?;
    let limit = view.limit_of(&team).ok_or("the team is not listed")?;
    document.rate = Some(limit.rate.to_string());
    document.burst = Some(limit.burst.to_string());
    let record = view.snapshot().team(&team);
    if record.is_none_or(|record| record.keys.is_empty()) {
        return Err("the team has no key".into());
    }
    let suspension = BookedAction::TeamSuspended(team.clone());
    let mut bookings = view.snapshot().rules().bookings.iter();
    if bookings.any(|booking| booking.action == suspension && booking.is_in_force(view.at())) {
        return Err("the team is suspended by a booking".into());
    }
    match &route.access {
        RouteAccess::Teams(teams) if !teams.contains(&team) => {
            Err("the team may not use the route".into())
        }
        _ => Ok(()),
    }
}
