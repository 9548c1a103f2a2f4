//! Turns configuration documents into inventory records.
//!
//! A document holds any of the lists, so that operators can keep one file or many. Errors name the
//! document and the entry at fault.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;

pub use crate::{
    errors::BorderError,
    sources::SourceDocument, //
};
use crate::{
    generated::configuration::{
        AccessKind,
        ActionEntry,
        BookingEntry,
        IdempotencyKind,
        RouteEntry,
        RulesEntry,
        ServiceEntry,
        TargetEntry,
        TeamEntry,
        ZoneEntry, //
    },
    places::DocumentPlace,
    sources::EntryPlace, //
};

/// Parses one document.
///
/// # Errors
///
/// Fails when the text does not follow the schema.
pub fn read_document(name: &str, text: &str) -> Result<SourceDocument, BorderError> {
    SourceDocument::new(name, text)
}

fn find_rules(documents: &[SourceDocument]) -> Result<FleetRules, BorderError> {
    let mut holders = documents.iter().filter_map(|document| {
        document
            .content()
            .rules
            .as_ref()
            .map(|rules| (document, rules))
    });
    let Some((document, rules)) = holders.next() else {
        let first = documents
            .first()
            .map_or("configuration", |first| first.name());
        return Err(BorderError::NoRules {
            place: DocumentPlace::new(first),
        });
    };
    match holders.next() {
        Some((second, _)) => Err(BorderError::SecondRules {
            place: second.place_of(("rule", 0), ""),
            first: document.place_of(("rule", 0), ""),
        }),
        None => read_rules(document, rules),
    }
}

/// Joins documents into the parts of a snapshot.
///
/// # Errors
///
/// Fails on the first value that is not valid.
pub fn read_parts(documents: &[SourceDocument]) -> Result<SnapshotParts, BorderError> {
    let mut parts = SnapshotParts {
        zones: Vec::new(),
        services: Vec::new(),
        targets: Vec::new(),
        teams: Vec::new(),
        routes: Vec::new(),
        rules: find_rules(documents)?,
    };
    for document in documents {
        let content = document.content();
        append(&mut parts.zones, document, &content.zones, read_zone)?;
        append(
            &mut parts.services,
            document,
            &content.services,
            read_service,
        )?;
        append(&mut parts.targets, document, &content.targets, read_target)?;
        append(&mut parts.teams, document, &content.teams, read_team)?;
        append(&mut parts.routes, document, &content.routes, read_route)?;
    }
    Ok(parts)
}

/// Joins documents into a snapshot. A contradiction is reported at the record at fault.
///
/// # Errors
///
/// Fails on the first value that is not valid, and on the first contradiction.
pub fn build_snapshot(
    version: ConfigVersion,
    documents: &[SourceDocument],
) -> Result<FleetSnapshot, BorderError> {
    let parts = read_parts(documents)?;
    FleetSnapshot::new(version, parts).map_err(|error| BorderError::Snapshot {
        place: place_of_fault(documents, &error),
        error,
    })
}

fn place_of_fault(documents: &[SourceDocument], error: &SnapshotError) -> DocumentPlace {
    let (kind, name) = error.record();
    let field = match error {
        SnapshotError::Duplicate { .. } => "id",
        SnapshotError::Missing { .. } if kind == "booking" => "action",
        SnapshotError::Missing { wanted_kind, .. } if *wanted_kind == "team" => "teams",
        SnapshotError::Missing { wanted_kind, .. } => wanted_kind,
        SnapshotError::SharedKey { .. } => "key_digests",
        SnapshotError::RouteCollision { .. } => "prefix",
        SnapshotError::TooLow { field, .. } => field,
        SnapshotError::EndBeforeStart { .. } => "end",
    };
    let is_duplicate = matches!(error, SnapshotError::Duplicate { .. });
    let mut found = documents.iter().flat_map(|document| {
        let indexes = document.find(kind, &name).into_iter();
        indexes.map(move |index| (document, index))
    });
    match found.nth(usize::from(is_duplicate)) {
        Some((document, index)) => document.place_of((kind, index), field),
        None => DocumentPlace::new(
            documents
                .first()
                .map_or("configuration", |first| first.name()),
        ),
    }
}

fn append<E, R>(
    records: &mut Vec<R>,
    document: &SourceDocument,
    entries: &[E],
    read: impl Fn((&SourceDocument, usize), &E) -> Result<R, BorderError>,
) -> Result<(), BorderError> {
    records.reserve(entries.len());
    for (index, entry) in entries.iter().enumerate() {
        records.push(read((document, index), entry)?);
    }
    Ok(())
}

fn read_zone(
    (document, index): (&SourceDocument, usize),
    entry: &ZoneEntry,
) -> Result<ZoneRecord, BorderError> {
    let place = EntryPlace {
        document,
        index,
        kind: "zone",
        id: &entry.id,
    };
    Ok(ZoneRecord {
        id: place.parse("id", &entry.id)?,
        region: place.parse("region", &entry.region)?,
    })
}

fn read_service(
    (document, index): (&SourceDocument, usize),
    entry: &ServiceEntry,
) -> Result<ServiceRecord, BorderError> {
    let place = EntryPlace {
        document,
        index,
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

fn read_target(
    (document, index): (&SourceDocument, usize),
    entry: &TargetEntry,
) -> Result<TargetRecord, BorderError> {
    let place = EntryPlace {
        document,
        index,
        kind: "target",
        id: &entry.id,
    };
    Ok(TargetRecord {
        id: place.parse("id", &entry.id)?,
        service: place.parse("service", &entry.service)?,
        zone: place.parse("zone", &entry.zone)?,
        address: read_address(place, &entry.address)?,
    })
}

fn read_address(place: EntryPlace<'_>, text: &str) -> Result<SocketAddr, BorderError> {
    let remedy = "write an IP number and a port, such as 127.0.0.1:9000";
    text.parse().map_err(|_| place.refuse("address", remedy))
}

fn read_team(
    (document, index): (&SourceDocument, usize),
    entry: &TeamEntry,
) -> Result<TeamRecord, BorderError> {
    let place = EntryPlace {
        document,
        index,
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

fn read_route(
    (document, index): (&SourceDocument, usize),
    entry: &RouteEntry,
) -> Result<RouteRecord, BorderError> {
    let place = EntryPlace {
        document,
        index,
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

fn read_rules(document: &SourceDocument, entry: &RulesEntry) -> Result<FleetRules, BorderError> {
    let bookings = entry
        .bookings
        .iter()
        .enumerate()
        .map(|(index, booking)| read_booking((document, index), booking));
    Ok(FleetRules {
        host_bound: entry.host_bound.get(),
        bookings: bookings.collect::<Result<_, _>>()?,
    })
}

fn read_booking(
    (document, index): (&SourceDocument, usize),
    entry: &BookingEntry,
) -> Result<BookedChange, BorderError> {
    let place = EntryPlace {
        document,
        index,
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
