//! What new files would change, and when.
//!
//! Most changes are in force as soon as the fleet has the new version. Booked changes carry their
//! own time. Keys are shown by the first digits of their digest.

use std::fmt::Write;

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};

use crate::{
    CommandOutcome,
    check::{
        findings,
        read_snapshot, //
    },
    usage_error,
};

/// Stands for `--` between the old and the new files. No argument can hold a NUL.
pub(crate) const SEPARATOR: &str = "\0--";

/// Hexadecimal digits of a digest that are shown.
const DIGEST_DIGITS: usize = 8;

/// A record as operators see it.
#[derive(Debug, Default)]
struct RecordFacts {
    fields: Vec<(&'static str, String)>,
    keys: IndexSet<String>,
}

type RecordList = IndexMap<String, RecordFacts>;

fn facts<const N: usize>(fields: [(&'static str, String); N]) -> RecordFacts {
    RecordFacts {
        fields: fields.into(),
        keys: IndexSet::new(),
    }
}

fn zones_of(snapshot: &FleetSnapshot) -> RecordList {
    let zones = snapshot.zones();
    zones
        .map(|zone| {
            (
                zone.id.to_string(),
                facts([("region", zone.region.to_string())]),
            )
        })
        .collect()
}

fn services_of(snapshot: &FleetSnapshot) -> RecordList {
    let services = snapshot.services().map(|service| {
        let fields = facts([
            ("floor", service.floor.to_string()),
            ("slots", service.slots.to_string()),
            ("connections", service.connections.to_string()),
            ("deadline_ms", service.deadline.as_millis().to_string()),
            ("queue_wait_ms", service.queue_wait.as_millis().to_string()),
            ("warm_up_answers", service.warm_up_answers.to_string()),
        ]);
        (service.id.to_string(), fields)
    });
    services.collect()
}

fn targets_of(snapshot: &FleetSnapshot) -> RecordList {
    let targets = snapshot.targets().map(|target| {
        let fields = facts([
            ("service", target.service.to_string()),
            ("zone", target.zone.to_string()),
            ("address", target.address.to_string()),
        ]);
        (target.id.to_string(), fields)
    });
    targets.collect()
}

fn teams_of(snapshot: &FleetSnapshot) -> RecordList {
    let teams = snapshot.teams().map(|team| {
        let mut record = facts([
            ("rate", team.limit.rate.to_string()),
            ("burst", team.limit.burst.to_string()),
        ]);
        record.keys = team.keys.iter().map(ToString::to_string).collect();
        (team.id.to_string(), record)
    });
    teams.collect()
}

fn routes_of(snapshot: &FleetSnapshot) -> RecordList {
    let routes = snapshot.routes().iter().map(|route| {
        let mut methods: Vec<_> = route.methods.iter().map(RequestMethod::as_str).collect();
        methods.sort_unstable();
        let access = match &route.access {
            RouteAccess::Open => "open".into(),
            RouteAccess::AnyTeam => "any-team".into(),
            RouteAccess::Teams(teams) => {
                let mut teams: Vec<_> = teams.iter().map(TeamId::as_str).collect();
                teams.sort_unstable();
                format!("teams {}", teams.join(","))
            }
        };
        let idempotent = match route.idempotency {
            IdempotencyRule::ByMethod => "by-method",
            IdempotencyRule::Always => "always",
            IdempotencyRule::Never => "never",
        };
        let deadline = route.deadline.map(|time| time.as_millis().to_string());
        let fields = facts([
            ("prefix", route.prefix.to_string()),
            (
                "methods",
                if methods.is_empty() {
                    "all".into()
                } else {
                    methods.join(",")
                },
            ),
            ("service", route.service.to_string()),
            ("access", access),
            ("idempotent", idempotent.into()),
            (
                "deadline_ms",
                deadline.unwrap_or_else(|| "of the service".into()),
            ),
        ]);
        (route.id.to_string(), fields)
    });
    routes.collect()
}

fn rules_of(snapshot: &FleetSnapshot) -> RecordList {
    let bound = snapshot.rules().host_bound.to_string();
    RecordList::from([("fleet".into(), facts([("host_bound", bound)]))])
}

fn bookings_of(snapshot: &FleetSnapshot) -> RecordList {
    let bookings = snapshot.rules().bookings.iter().map(|booking| {
        let end = booking
            .end
            .map_or_else(|| "open".into(), |end| end.to_string());
        let fields = facts([
            ("action", booking.action.to_string()),
            ("start", booking.start.to_string()),
            ("end", end),
        ]);
        (booking.id.to_string(), fields)
    });
    bookings.collect()
}

fn joined(fields: &[(&'static str, String)]) -> String {
    let fields = fields.iter().map(|(name, value)| format!("{name} {value}"));
    fields.collect::<Vec<_>>().join(", ")
}

fn key_lines(text: &mut String, keys: &IndexSet<String>, others: &IndexSet<String>, word: &str) {
    for key in keys.difference(others) {
        let shown: String = key.chars().take(DIGEST_DIGITS).collect();
        // Writing to a String cannot fail.
        let _ = writeln!(text, "      key {shown}... {word}");
    }
}

fn changed_fields(old: &RecordFacts, new: &RecordFacts) -> Vec<String> {
    let pairs = old.fields.iter().zip(&new.fields);
    let changed = pairs.filter(|(old, new)| old != new);
    changed
        .map(|((name, old), (_, new))| format!("{name} {old} -> {new}"))
        .collect()
}

/// Writes the changes of one kind: removed, added, changed.
fn compare(kind: &str, old: &RecordList, new: &RecordList) -> String {
    let mut text = String::new();
    // Writing to a String cannot fail.
    for (name, record) in old.iter().filter(|(name, _)| !new.contains_key(*name)) {
        let _ = writeln!(text, "  - {kind} {name}: {}", joined(&record.fields));
        key_lines(&mut text, &record.keys, &IndexSet::new(), "withdrawn");
    }
    for (name, record) in new {
        let Some(before) = old.get(name) else {
            let _ = writeln!(text, "  + {kind} {name}: {}", joined(&record.fields));
            key_lines(&mut text, &record.keys, &IndexSet::new(), "granted");
            continue;
        };
        let changed = changed_fields(before, record);
        if !changed.is_empty() || before.keys != record.keys {
            let _ = write!(text, "  ~ {kind} {name}: {}", changed.join(", "));
            // A booking is shown with its time, whichever field changed.
            if kind == "booking" {
                let _ = write!(text, " (now {})", joined(&record.fields));
            }
            text.push('\n');
            key_lines(&mut text, &before.keys, &record.keys, "withdrawn");
            key_lines(&mut text, &record.keys, &before.keys, "granted");
        }
    }
    text.replace(": \n", ":\n")
}

/// Writes all changes between two snapshots; empty when there are none.
pub fn diff_text(old: &FleetSnapshot, new: &FleetSnapshot) -> String {
    type ListRecords = fn(&FleetSnapshot) -> RecordList;
    let kinds: [(&str, ListRecords); 6] = [
        ("rules", rules_of),
        ("zone", zones_of),
        ("service", services_of),
        ("target", targets_of),
        ("team", teams_of),
        ("route", routes_of),
    ];
    let at_once = kinds.map(|(kind, list)| compare(kind, &list(old), &list(new)));
    let at_once = at_once.concat();
    let booked = compare("booking", &bookings_of(old), &bookings_of(new));
    let mut text = String::new();
    for (head, changes) in [
        ("In force when the fleet has the new version:", at_once),
        ("In force at the booked times:", booked),
    ] {
        if !changes.is_empty() {
            let _ = writeln!(text, "{head}\n{changes}");
        }
    }
    text.truncate(text.trim_end().len());
    if !text.is_empty() {
        text.push('\n');
    }
    text
}

/// Compares old with new files.
pub fn run(arguments: &[String]) -> CommandOutcome {
    let mut sides = arguments.split(|argument| argument == SEPARATOR);
    let (Some(old), Some(new), None) = (sides.next(), sides.next(), sides.next()) else {
        return usage_error("diff needs old files, `--`, and new files");
    };
    if old.is_empty() || new.is_empty() {
        return usage_error("diff needs files on both sides of `--`");
    }
    match (read_snapshot(old), read_snapshot(new)) {
        (Ok(old), Ok(new)) => {
            let text = diff_text(&old, &new);
            let is_same = text.is_empty();
            CommandOutcome::new(if is_same { "no changes\n".into() } else { text })
        }
        (old, new) => {
            let errors = [old.err(), new.err()].into_iter().flatten().flatten();
            findings(&errors.collect::<Vec<_>>())
        }
    }
}
