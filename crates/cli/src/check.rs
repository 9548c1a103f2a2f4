//! The `check` command, which validates files without a running fleet.

use chicorycroft_border::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;

use crate::{
    CommandOutcome, EXIT_FINDINGS,
    files::{
        FileError,
        read_documents,
        read_file, //
    },
    usage_error,
};

/// Builds a snapshot from the files of an inventory and rules.
///
/// # Errors
///
/// Returns the errors of all files that cannot be read, or else the error of the snapshot.
pub fn read_snapshot(paths: &[String]) -> Result<FleetSnapshot, Vec<FileError>> {
    let documents = read_documents(paths)?;
    build_snapshot(ConfigVersion::default(), &documents).map_err(|error| vec![error.into()])
}

/// Creates an outcome that lists errors on the standard output, one per line.
pub fn findings_outcome(errors: &[FileError]) -> CommandOutcome {
    let lines = errors.iter().map(|error| format!("{error}\n"));
    CommandOutcome {
        output: lines.collect(),
        errors: String::new(),
        status: EXIT_FINDINGS,
    }
}

fn summary_of(snapshot: &FleetSnapshot) -> String {
    let rules = snapshot.rules();
    format!(
        "ok: {} zones, {} services, {} targets, {} teams, {} routes, {} bookings\n",
        snapshot.zones().count(),
        snapshot.services().count(),
        snapshot.targets().count(),
        snapshot.teams().count(),
        snapshot.routes().iter().count(),
        rules.bookings.len(),
    )
}

fn check_settings(path: &str, snapshot: Option<&FleetSnapshot>) -> Result<String, String> {
    let text = read_file(path).map_err(|error| error.to_string())?;
    let settings = HostSettings::with_name(path, &text).map_err(|error| error.to_string())?;
    if snapshot.is_some_and(|snapshot| snapshot.zone(&settings.zone).is_none()) {
        let location = chicorycroft_border::parsing::locate_field(path, &text, "zone");
        return Err(format!(
            "{location}: settings: zone: zone {} is not listed; list it, or correct the name",
            settings.zone
        ));
    }
    Ok(format!("ok: settings of {}\n", settings.host))
}

/// Runs `check`, which validates an inventory with rules, and settings against them.
pub fn run(paths: &[String], settings: &[String]) -> CommandOutcome {
    if paths.is_empty() && settings.is_empty() {
        return usage_error("check needs a file");
    }
    let mut outcome = CommandOutcome::default();
    let mut snapshot = None;
    if !paths.is_empty() {
        match read_snapshot(paths) {
            Ok(valid) => {
                outcome.output.push_str(&summary_of(&valid));
                snapshot = Some(valid);
            }
            Err(errors) => outcome = findings_outcome(&errors),
        }
    }
    for path in settings {
        match check_settings(path, snapshot.as_ref()) {
            Ok(line) => outcome.output.push_str(&line),
            Err(error) => {
                outcome.output.push_str(&format!("{error}\n"));
                outcome.status = EXIT_FINDINGS;
            }
        }
    }
    outcome
}
