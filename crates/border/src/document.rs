//! Turns configuration documents into inventory records.
//!
//! A document holds any of the lists, so that operators can keep one file or many. Errors name the
//! document and the entry at fault.

use std::{
    net::SocketAddr,
    str::FromStr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use smol_str::{
    SmolStr, //
    format_smolstr,
};
use thiserror::Error;

use crate::generated::configuration::{
    AccessKind,
    ActionEntry,
    BookingEntry,
    FleetDocument,
    IdempotencyKind,
    RouteEntry,
    RulesEntry,
    ServiceEntry,
    TargetEntry,
    TeamEntry,
    ZoneEntry, //
};

/// Why a document is refused.
#[derive(Clone, Debug, Error)]
pub enum BorderError {
    /// The text is no valid YAML or JSON, or does not follow the schema.
    #[error("{document}: {reason}")]
    Syntax {
        /// Name of the document.
        document: SmolStr,
        /// What the parser found, with line and column.
        reason: SmolStr,
    },
    /// A value is not valid.
    #[error("{document}: {entry}: {field}: {reason}")]
    Value {
        /// Name of the document.
        document: SmolStr,
        /// Entry at fault, such as `team lusail`.
        entry: SmolStr,
        /// Field at fault.
        field: &'static str,
        /// What is wrong and how to mend it.
        reason: SmolStr,
    },
    /// The rules are missing, or given more than once.
    #[error("the rules must be given in exactly one document, found {count}")]
    RulesCount {
        /// Number of documents that hold rules.
        count: usize,
    },
    /// The documents contradict each other.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// Where a value stands, for errors.
#[derive(Clone, Copy)]
struct EntryPlace<'a> {
    document: &'a str,
    kind: &'static str,
    id: &'a str,
}

impl EntryPlace<'_> {
    fn refuse(self, field: &'static str, reason: impl ToString) -> BorderError {
        BorderError::Value {
            document: self.document.into(),
            entry: format_smolstr!("{} {}", self.kind, self.id),
            field,
            reason: reason.to_string().into(),
        }
    }

    fn parse<T>(self, field: &'static str, text: &str) -> Result<T, BorderError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        text.parse()
            .map_err(|error: T::Err| self.refuse(field, error.to_string()))
    }

    fn parse_all<T, C>(self, field: &'static str, texts: &[String]) -> Result<C, BorderError>
    where
        T: FromStr,
        T::Err: ToString,
        C: FromIterator<T>,
    {
        texts.iter().map(|text| self.parse(field, text)).collect()
    }

    /// Turns a number into an amount by way of its decimal text, which keeps six decimals exact.
    fn amount<T>(self, field: &'static str, number: f64) -> Result<T, BorderError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        self.parse(field, &format!("{number}"))
    }
}

/// Parses one document.
///
/// # Errors
///
/// Fails when the text does not follow the schema.
pub fn read_document(name: &str, text: &str) -> Result<FleetDocument, BorderError> {
    serde_saphyr::from_str(text).map_err(|error| BorderError::Syntax {
        document: name.into(),
        reason: error.to_string().into(),
    })
}

/// Joins documents into the parts of a snapshot.
///
/// # Errors
///
/// Fails on the first value that is not valid.
pub fn read_parts(documents: &[(SmolStr, FleetDocument)]) -> Result<SnapshotParts, BorderError> {
    let rules: Vec<_> = documents
        .iter()
        .filter_map(|(name, document)| document.rules.as_ref().map(|rules| (name, rules)))
        .collect();
    let &[(rules_name, rules)] = rules.as_slice() else {
        return Err(BorderError::RulesCount { count: rules.len() });
    };
    let mut parts = SnapshotParts {
        zones: Vec::new(),
        services: Vec::new(),
        targets: Vec::new(),
        teams: Vec::new(),
        routes: Vec::new(),
        rules: read_rules(rules_name, rules)?,
    };
    for (name, document) in documents {
        append(&mut parts.zones, name, &document.zones, read_zone)?;
        append(&mut parts.services, name, &document.services, read_service)?;
        append(&mut parts.targets, name, &document.targets, read_target)?;
        append(&mut parts.teams, name, &document.teams, read_team)?;
        append(&mut parts.routes, name, &document.routes, read_route)?;
    }
    Ok(parts)
}

fn append<E, R>(
    records: &mut Vec<R>,
    document: &str,
    entries: &[E],
    read: impl Fn(&str, &E) -> Result<R, BorderError>,
) -> Result<(), BorderError> {
    records.reserve(entries.len());
    for entry in entries {
        records.push(read(document, entry)?);
    }
    Ok(())
}

fn read_zone(document: &str, entry: &ZoneEntry) -> Result<ZoneRecord, BorderError> {
    let place = EntryPlace {
        document,
        kind: "zone",
        id: &entry.id,
    };
    Ok(ZoneRecord {
        id: place.parse("id", &entry.id)?,
        region: place.parse("region", &entry.region)?,
    })
}

fn read_service(document: &str, entry: &ServiceEntry) -> Result<ServiceRecord, BorderError> {
    let place = EntryPlace {
        document,
        kind: "service",
        id: &entry.id,
    };
    Ok(ServiceRecord {
        id: place.parse("id", &entry.id)?,
        floor: place.amount("floor", entry.floor)?,
        slots: SlotCount::new(entry.slots.get()),
        connections: entry.connections.get(),
        deadline: Duration::from_millis(entry.deadline_ms.get().into()),
        queue_wait: Duration::from_millis(entry.queue_wait_ms.into()),
        warm_up_answers: entry.warm_up_answers.get(),
    })
}

fn read_target(document: &str, entry: &TargetEntry) -> Result<TargetRecord, BorderError> {
    let place = EntryPlace {
        document,
        kind: "target",
        id: &entry.id,
    };
    Ok(TargetRecord {
        id: place.parse("id", &entry.id)?,
        service: place.parse("service", &entry.service)?,
        zone: place.parse("zone", &entry.zone)?,
        address: place.parse::<SocketAddr>("address", &entry.address)?,
    })
}

fn read_team(document: &str, entry: &TeamEntry) -> Result<TeamRecord, BorderError> {
    let place = EntryPlace {
        document,
        kind: "team",
        id: &entry.id,
    };
    Ok(TeamRecord {
        id: place.parse("id", &entry.id)?,
        keys: place.parse_all("key_digests", &entry.key_digests)?,
        limit: read_limit(place, entry.rate, entry.burst)?,
    })
}

fn read_limit(place: EntryPlace<'_>, rate: f64, burst: f64) -> Result<TeamLimit, BorderError> {
    Ok(TeamLimit {
        rate: place.amount("rate", rate)?,
        burst: place.amount("burst", burst)?,
    })
}

fn read_route(document: &str, entry: &RouteEntry) -> Result<RouteRecord, BorderError> {
    let place = EntryPlace {
        document,
        kind: "route",
        id: &entry.id,
    };
    if !entry.prefix.starts_with('/') || entry.prefix.contains(['?', '#', ' ']) {
        return Err(place.refuse("prefix", "a prefix starts with / and has no query"));
    }
    let access = match entry.access {
        Some(AccessKind::Open) => RouteAccess::Open,
        Some(AccessKind::Teams) => RouteAccess::Teams(place.parse_all("teams", &entry.teams)?),
        Some(AccessKind::AnyTeam) | None => RouteAccess::AnyTeam,
    };
    if !entry.teams.is_empty() && !matches!(access, RouteAccess::Teams(_)) {
        return Err(place.refuse("teams", "teams may be listed only with access: teams"));
    }
    Ok(RouteRecord {
        id: place.parse("id", &entry.id)?,
        prefix: entry.prefix.as_str().into(),
        methods: place.parse_all("methods", &entry.methods)?,
        service: place.parse("service", &entry.service)?,
        access,
        idempotency: match entry.idempotent {
            Some(IdempotencyKind::Always) => IdempotencyRule::Always,
            Some(IdempotencyKind::Never) => IdempotencyRule::Never,
            Some(IdempotencyKind::ByMethod) | None => IdempotencyRule::ByMethod,
        },
        deadline: entry
            .deadline_ms
            .map(|millis| Duration::from_millis(millis.get().into())),
    })
}

fn read_rules(document: &str, entry: &RulesEntry) -> Result<FleetRules, BorderError> {
    let bookings = entry
        .bookings
        .iter()
        .map(|booking| read_booking(document, booking));
    Ok(FleetRules {
        host_bound: entry.host_bound.get(),
        bookings: bookings.collect::<Result<_, _>>()?,
    })
}

fn read_booking(document: &str, entry: &BookingEntry) -> Result<BookedChange, BorderError> {
    let place = EntryPlace {
        document,
        kind: "booking",
        id: &entry.id,
    };
    let end = entry.end.as_deref().map(|end| place.parse("end", end));
    Ok(BookedChange {
        id: entry.id.as_str().into(),
        start: place.parse("start", &entry.start)?,
        end: end.transpose()?,
        action: read_action(place, &entry.action)?,
    })
}

fn read_action(place: EntryPlace<'_>, entry: &ActionEntry) -> Result<BookedAction, BorderError> {
    Ok(match entry {
        ActionEntry::ZoneOut(zone) => BookedAction::ZoneOut(place.parse("zone_out", zone)?),
        ActionEntry::TargetStop(target) => {
            BookedAction::TargetStop(place.parse("target_stop", target)?)
        }
        ActionEntry::HostStop(host) => BookedAction::HostStop(place.parse("host_stop", host)?),
        ActionEntry::TeamSuspended(team) => {
            BookedAction::TeamSuspended(place.parse("team_suspended", team)?)
        }
        ActionEntry::TeamLimit(limit) => BookedAction::TeamLimit(
            place.parse("team", &limit.team)?,
            read_limit(place, limit.rate, limit.burst)?,
        ),
        ActionEntry::ServiceFloor(floor) => BookedAction::ServiceFloor(
            place.parse("service", &floor.service)?,
            place.amount("floor", floor.floor)?,
        ),
    })
}
