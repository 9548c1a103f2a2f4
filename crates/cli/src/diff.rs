//! The `diff` command, which shows what new files would change, and when.
//!
//! Most changes take effect as soon as the fleet has adopted the new version; bookings take effect at their own
//! times. Keys are identified by the first digits of their digests.

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
        findings_outcome,
        read_snapshot, //
    },
    usage_error,
};

/// Replacement for the `--` between the old and the new files. It cannot collide with an argument, because
/// arguments never contain a NUL.
pub(crate) const SEPARATOR: &str = "\0--";

/// Number of hexadecimal digits shown of a digest.
const DIGEST_DIGITS: usize = 8;

/// The displayed content of a record.
#[derive(Debug, Default)]
struct RecordContent {
    fields: Vec<(&'static str, String)>,
    /// Digests of a team's keys.
    keys: IndexSet<String>,
}

/// Records of one kind by name.
type RecordList = IndexMap<String, RecordContent>;

fn content<const N: usize>(fields: [(&'static str, String); N]) -> RecordContent {
    RecordContent {
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
                content([("region", zone.region.to_string())]),
            )
        })
        .collect()
}

fn services_of(snapshot: &FleetSnapshot) -> RecordList {
    let services = snapshot.services().map(|service| {
        let fields = content([
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
        let fields = content([
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
        let mut record = content([
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
        let fields = content([
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
    RecordList::from([("fleet".into(), content([("host_bound", bound)]))])
}

fn bookings_of(snapshot: &FleetSnapshot) -> RecordList {
    let bookings = snapshot.rules().bookings.iter().map(|booking| {
        let end = booking
            .end
            .map_or_else(|| "open".into(), |end| end.to_string());
        let fields = content([
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

/// Writes a line for each key that `others` does not contain.
fn write_key_lines(
    text: &mut String,
    keys: &IndexSet<String>,
    others: &IndexSet<String>,
    word: &str,
) {
    for key in keys.difference(others) {
        let shown: String = key.chars().take(DIGEST_DIGITS).collect();
        // Writing to a String cannot fail.
        let _ = writeln!(text, "      key {shown}... {word}");
    }
}

fn changed_fields(old: &RecordContent, new: &RecordContent) -> Vec<String> {
    let pairs = old.fields.iter().zip(&new.fields);
    let changed = pairs.filter(|(old, new)| old != new);
    changed
        .map(|((name, old), (_, new))| format!("{name} {old} -> {new}"))
        .collect()
}

/// Returns the changes of one kind of record: the removed, then the added and changed ones.
fn compare(kind: &str, old: &RecordList, new: &RecordList) -> String {
    let mut text = String::new();
    // Writing to a String cannot fail.
    for (name, record) in old.iter().filter(|(name, _)| !new.contains_key(*name)) {
        let _ = writeln!(text, "  - {kind} {name}: {}", joined(&record.fields));
        write_key_lines(&mut text, &record.keys, &IndexSet::new(), "withdrawn");
    }
    for (name, record) in new {
        let Some(before) = old.get(name) else {
            let _ = writeln!(text, "  + {kind} {name}: {}", joined(&record.fields));
            write_key_lines(&mut text, &record.keys, &IndexSet::new(), "granted");
            continue;
        };
        let changed = changed_fields(before, record);
        if !changed.is_empty() || before.keys != record.keys {
            let _ = write!(text, "  ~ {kind} {name}: {}", changed.join(", "));
            // A booking is shown with its times, whichever field changed.
            if kind == "booking" {
                let _ = write!(text, " (now {})", joined(&record.fields));
            }
            text.push('\n');
            write_key_lines(&mut text, &before.keys, &record.keys, "withdrawn");
            write_key_lines(&mut text, &record.keys, &before.keys, "granted");
        }
    }
    text.replace(": \n", ":\n")
}

/// Returns the text of all changes between two snapshots, which is empty if there are none.
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
    let immediate = kinds.map(|(kind, list)| compare(kind, &list(old), &list(new)));
    let immediate = immediate.concat();
    let booked = compare("booking", &bookings_of(old), &bookings_of(new));
    let mut text = String::new();
    for (head, changes) in [
        ("In force when the fleet has the new version:", immediate),
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

/// Runs `diff`, which compares old files with new ones.
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
            findings_outcome(&errors.collect::<Vec<_>>())
        }
    }
}
