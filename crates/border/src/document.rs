//! Converts configuration documents into inventory records.
//!
//! A document may contain any subset of the lists, so operators can keep their configuration in one
//! file or in several. Errors name the document and the invalid entry.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;

pub use crate::{
    errors::DocumentError,
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
    parsing::DocumentLocation,
    sources::EntryContext, //
};

/// Parses one document. `name` identifies it in errors.
///
/// # Errors
///
/// Returns an error if the text is too long or does not follow the schema.
pub fn read_document(name: &str, text: &str) -> Result<SourceDocument, DocumentError> {
    SourceDocument::new(name, text)
}

fn find_rules(documents: &[SourceDocument]) -> Result<FleetRules, DocumentError> {
    let mut with_rules = documents.iter().filter_map(|document| {
        document
            .content()
            .rules
            .as_ref()
            .map(|rules| (document, rules))
    });
    let Some((document, rules)) = with_rules.next() else {
        let first = documents
            .first()
            .map_or("configuration", |first| first.name());
        return Err(DocumentError::NoRules {
            location: DocumentLocation::new(first),
        });
    };
    match with_rules.next() {
        Some((second, _)) => Err(DocumentError::DuplicateRules {
            location: second.locate(("rule", 0), ""),
            first: document.locate(("rule", 0), ""),
        }),
        None => read_rules(document, rules),
    }
}

/// Merges documents into the parts of a snapshot.
///
/// # Errors
///
/// Returns an error for the first invalid value, and if the documents do not contain exactly one
/// `rules` entry.
pub fn read_parts(documents: &[SourceDocument]) -> Result<SnapshotParts, DocumentError> {
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

/// Merges documents into a validated snapshot.
///
/// # Errors
///
/// Returns an error for the first invalid value, and for the first conflict between records, located
/// at the record that causes it.
pub fn build_snapshot(
    version: ConfigVersion,
    documents: &[SourceDocument],
) -> Result<FleetSnapshot, DocumentError> {
    let parts = read_parts(documents)?;
    FleetSnapshot::new(version, parts).map_err(|error| DocumentError::Snapshot {
        location: locate_conflict(documents, &error),
        error,
    })
}

fn locate_conflict(documents: &[SourceDocument], error: &SnapshotError) -> DocumentLocation {
    let (kind, name) = error.record();
    let field = match error {
        SnapshotError::Duplicate { .. } => "id",
        SnapshotError::Missing { .. } if kind == "booking" => "action",
        SnapshotError::Missing { missing_kind, .. } if *missing_kind == "team" => "teams",
        SnapshotError::Missing { missing_kind, .. } => missing_kind,
        SnapshotError::SharedKey { .. } => "key_digests",
        SnapshotError::RouteCollision { .. } => "prefix",
        SnapshotError::TooLow { field, .. } => field,
        SnapshotError::EndBeforeStart { .. } => "end",
    };
    let is_duplicate = matches!(error, SnapshotError::Duplicate { .. });
    let mut found = documents.iter().flat_map(|document| {
        let indexes = document.find_entries(kind, &name).into_iter();
        indexes.map(move |index| (document, index))
    });
    match found.nth(usize::from(is_duplicate)) {
        Some((document, index)) => document.locate((kind, index), field),
        None => DocumentLocation::new(
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
    read: impl Fn((&SourceDocument, usize), &E) -> Result<R, DocumentError>,
) -> Result<(), DocumentError> {
    records.reserve(entries.len());
    for (index, entry) in entries.iter().enumerate() {
        records.push(read((document, index), entry)?);
    }
    Ok(())
}

fn read_zone(
    (document, index): (&SourceDocument, usize),
    entry: &ZoneEntry,
) -> Result<ZoneRecord, DocumentError> {
    let context = EntryContext {
        document,
        index,
        kind: "zone",
        id: &entry.id,
    };
    Ok(ZoneRecord {
        id: context.parse("id", &entry.id)?,
        region: context.parse("region", &entry.region)?,
    })
}

fn read_service(
    (document, index): (&SourceDocument, usize),
    entry: &ServiceEntry,
) -> Result<ServiceRecord, DocumentError> {
    let context = EntryContext {
        document,
        index,
        kind: "service",
        id: &entry.id,
    };
    Ok(ServiceRecord {
        id: context.parse("id", &entry.id)?,
        floor: context.parse_amount("floor", entry.floor)?,
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
) -> Result<TargetRecord, DocumentError> {
    let context = EntryContext {
        document,
        index,
        kind: "target",
        id: &entry.id,
    };
    Ok(TargetRecord {
        id: context.parse("id", &entry.id)?,
        service: context.parse("service", &entry.service)?,
        zone: context.parse("zone", &entry.zone)?,
        address: read_address(context, &entry.address)?,
    })
}

fn read_address(context: EntryContext<'_>, text: &str) -> Result<SocketAddr, DocumentError> {
    let remedy = "write an IP number and a port, such as 127.0.0.1:9000";
    text.parse().map_err(|_| context.invalid("address", remedy))
}

fn read_team(
    (document, index): (&SourceDocument, usize),
    entry: &TeamEntry,
) -> Result<TeamRecord, DocumentError> {
    let context = EntryContext {
        document,
        index,
        kind: "team",
        id: &entry.id,
    };
    Ok(TeamRecord {
        id: context.parse("id", &entry.id)?,
        keys: context.parse_all("key_digests", &entry.key_digests)?,
        limit: read_limit(context, entry.rate, entry.burst)?,
    })
}

fn read_limit(
    context: EntryContext<'_>,
    rate: f64,
    burst: f64,
) -> Result<TeamLimit, DocumentError> {
    Ok(TeamLimit {
        rate: context.parse_amount("rate", rate)?,
        burst: context.parse_amount("burst", burst)?,
    })
}

fn read_route(
    (document, index): (&SourceDocument, usize),
    entry: &RouteEntry,
) -> Result<RouteRecord, DocumentError> {
    let context = EntryContext {
        document,
        index,
        kind: "route",
        id: &entry.id,
    };
    if !entry.prefix.starts_with('/') || entry.prefix.contains(['?', '#', ' ']) {
        return Err(context.invalid("prefix", "a prefix starts with / and has no query"));
    }
    let access = match entry.access {
        Some(AccessKind::Open) => RouteAccess::Open,
        Some(AccessKind::Teams) => RouteAccess::Teams(context.parse_all("teams", &entry.teams)?),
        Some(AccessKind::AnyTeam) | None => RouteAccess::AnyTeam,
    };
    if !entry.teams.is_empty() && !matches!(access, RouteAccess::Teams(_)) {
        return Err(context.invalid("teams", "teams may be listed only with access: teams"));
    }
    Ok(RouteRecord {
        id: context.parse("id", &entry.id)?,
        prefix: entry.prefix.as_str().into(),
        methods: context.parse_all("methods", &entry.methods)?,
        service: context.parse("service", &entry.service)?,
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

fn read_rules(document: &SourceDocument, entry: &RulesEntry) -> Result<FleetRules, DocumentError> {
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
) -> Result<BookedChange, DocumentError> {
    let context = EntryContext {
        document,
        index,
        kind: "booking",
        id: &entry.id,
    };
    let end = entry.end.as_deref().map(|end| context.parse("end", end));
    Ok(BookedChange {
        id: entry.id.as_str().into(),
        start: context.parse("start", &entry.start)?,
        end: end.transpose()?,
        action: read_action(context, &entry.action)?,
    })
}

fn read_action(
    context: EntryContext<'_>,
    entry: &ActionEntry,
) -> Result<BookedAction, DocumentError> {
    Ok(match entry {
        ActionEntry::ZoneOut(zone) => BookedAction::ZoneOut(context.parse("zone_out", zone)?),
        ActionEntry::TargetStop(target) => {
            BookedAction::TargetStop(context.parse("target_stop", target)?)
        }
        ActionEntry::HostStop(host) => BookedAction::HostStop(context.parse("host_stop", host)?),
        ActionEntry::TeamSuspended(team) => {
            BookedAction::TeamSuspended(context.parse("team_suspended", team)?)
        }
        ActionEntry::TeamLimit(limit) => BookedAction::TeamLimit(
            context.parse("team", &limit.team)?,
            read_limit(context, limit.rate, limit.burst)?,
        ),
        ActionEntry::ServiceFloor(floor) => BookedAction::ServiceFloor(
            context.parse("service", &floor.service)?,
            context.parse_amount("floor", floor.floor)?,
        ),
    })
}
