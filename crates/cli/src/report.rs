//! Formats status and explanations as tables.

use std::fmt::Write;

use chicorycroft_border::generated::{
    explain::ExplainDocument,
    status::StatusDocument, //
};
use indexmap::IndexMap;

/// Formats rows in columns that are as wide as their widest cell.
pub fn table(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width_of = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..count).map(width_of).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, &width)| format!("{cell:<width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.map(str::to_owned).into()
}

fn text_or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".into(), |value| value.to_string())
}

fn hosts_table(documents: &[StatusDocument]) -> String {
    let mut rows = vec![row([
        "HOST", "ZONE", "VERSION", "READY", "REASON", "PEERS", "TIME",
    ])];
    for host in documents {
        rows.push(vec![
            host.host.clone(),
            host.zone.clone(),
            text_or_dash(host.version),
            if host.ready { "yes" } else { "no" }.into(),
            host.reason.clone(),
            host.peers.len().to_string(),
            host.time.clone(),
        ]);
    }
    table(&rows)
}

/// Returns the table of targets. The status from a target's owner takes precedence over that from other hosts.
fn targets_table(documents: &[StatusDocument]) -> String {
    let mut rows: IndexMap<&str, (bool, Vec<String>)> = IndexMap::new();
    for host in documents {
        for target in &host.targets {
            let is_owner = target.owner.as_deref() == Some(&*host.host);
            let has_owner_row = rows.get(&*target.id).is_some_and(|(is_owner, _)| *is_owner);
            if has_owner_row || rows.contains_key(&*target.id) && !is_owner {
                continue;
            }
            let slots = match (target.in_use, target.limit) {
                (Some(in_use), Some(limit)) => format!("{in_use}/{limit}"),
                _ => "-".into(),
            };
            let cells = vec![
                target.id.clone(),
                target.service.clone(),
                target.zone.clone(),
                if target.in_ { "in" } else { "out" }.into(),
                target.reason.clone(),
                text_or_dash(target.owner.as_ref()),
                slots,
                text_or_dash(target.waiting),
            ];
            rows.insert(&target.id, (is_owner, cells));
        }
    }
    let head = [
        "TARGET", "SERVICE", "ZONE", "STATE", "REASON", "OWNER", "SLOTS", "WAITING",
    ];
    let rows = rows.into_values().map(|(_, cells)| cells);
    table(&std::iter::once(row(head)).chain(rows).collect::<Vec<_>>())
}

/// Returns the table of teams, with counts summed over the queried hosts.
fn teams_table(documents: &[StatusDocument]) -> String {
    type Counts = (Option<u64>, Option<u64>);
    let mut teams: IndexMap<&str, (&str, &str, Counts)> = IndexMap::new();
    let sum = |left: Option<u64>, right: Option<u64>| match (left, right) {
        (None, None) => None,
        _ => Some(left.unwrap_or(0).saturating_add(right.unwrap_or(0))),
    };
    for team in documents.iter().flat_map(|host| &host.teams) {
        let empty = (&*team.rate, &*team.burst, (None, None));
        let (_, _, counts) = teams.entry(&team.id).or_insert(empty);
        *counts = (sum(counts.0, team.admitted), sum(counts.1, team.refused));
    }
    let mut rows = vec![row(["TEAM", "RATE/S", "BURST", "ADMITTED", "OVER RATE"])];
    for (id, (rate, burst, (admitted, refused))) in teams {
        let (admitted, refused) = (text_or_dash(admitted), text_or_dash(refused));
        rows.push(row([id, rate, burst, &admitted, &refused]));
    }
    table(&rows)
}

/// Returns the table of bookings, from a host with the newest configuration.
fn bookings_table(documents: &[StatusDocument]) -> String {
    let mut rows = vec![row(["BOOKING", "ACTION", "START", "END", "IN FORCE"])];
    let newest = documents.iter().max_by_key(|host| host.version);
    for booking in newest.iter().flat_map(|host| &host.bookings) {
        rows.push(vec![
            booking.id.clone(),
            booking.action.clone(),
            booking.start.clone(),
            text_or_dash(booking.end.as_ref()),
            if booking.in_force { "yes" } else { "no" }.into(),
        ]);
    }
    table(&rows)
}

/// Formats the status of hosts as tables.
pub fn status_text(documents: &[StatusDocument]) -> String {
    if documents.is_empty() {
        return String::new();
    }
    let mut text = hosts_table(documents);
    for host in documents {
        if let Some(refused) = &host.refused {
            // Writing to a String cannot fail.
            let _ = writeln!(text, "{} refused a version: {refused}", host.host);
        }
    }
    let tables = [
        targets_table(documents),
        teams_table(documents),
        bookings_table(documents),
    ];
    for table in tables {
        text.push('\n');
        text.push_str(&table);
    }
    text
}

/// Formats the explanation of a request.
pub fn explain_text(document: &ExplainDocument) -> String {
    let deadline = document.deadline_ms.map(|millis| format!("{millis} ms"));
    let idempotent = document
        .idempotent
        .map(|is_idempotent| if is_idempotent { "yes" } else { "no" }.to_owned());
    let limit = document.rate.as_ref().zip(document.burst.as_ref());
    let limit = limit.map(|(rate, burst)| format!("{rate} requests/s, burst {burst}"));
    let properties = [
        ("route", document.route.clone()),
        ("service", document.service.clone()),
        ("access", document.access.clone()),
        ("team", document.team.clone()),
        ("limit", limit),
        ("idempotent", idempotent),
        ("deadline", deadline),
    ];
    let mut text = format!(
        "{} {}: {}: {}\n\n",
        document.method, document.path, document.decision, document.reason
    );
    let rows = properties
        .into_iter()
        .map(|(name, value)| vec![name.into(), text_or_dash(value)]);
    text.push_str(&table(&rows.collect::<Vec<_>>()));
    if document.targets.is_empty() {
        return text;
    }
    let mut rows = vec![row(["TARGET", "ZONE", "STATE", "REASON", "OWNER"])];
    for target in &document.targets {
        let state = if target.in_ { "in" } else { "out" };
        let owner = text_or_dash(target.owner.as_ref());
        rows.push(row([
            &target.id,
            &target.zone,
            state,
            &target.reason,
            &owner,
        ]));
    }
    text.push('\n');
    text.push_str(&table(&rows));
    text
}
