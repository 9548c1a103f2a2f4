//! Prints one request's way in the logs of many hosts.

use std::{
    fs::File,
    io::{
        self,
        BufRead,
        BufReader, //
    },
    path::Path,
};

use chicorycroft_trace::prelude::*;
use getopts::Matches;

use crate::{
    CommandOutcome,
    EXIT_FINDINGS,
    EXIT_IO,
    usage_error, //
};

/// Name of the host for lines of the standard input that name none.
const HOST_UNKNOWN: &str = "-";

/// Reads the logs, one file a host, or the standard input, and prints the way of a request.
pub fn run(matches: &Matches) -> CommandOutcome {
    let Some((request, files)) = matches.free.split_first() else {
        return usage_error("trace takes the id of a request");
    };
    let mut trace = RequestTrace::new(request);
    let read = match files.is_empty() {
        true => take_lines(&mut trace, io::stdin().lock(), HOST_UNKNOWN),
        false => files
            .iter()
            .try_for_each(|path| take_file(&mut trace, path)),
    };
    if let Err(error) = read {
        return CommandOutcome::with_error(EXIT_IO, error);
    }
    let report = trace.finish();
    let output = match matches.opt_present("json") {
        true => match serde_json::to_string(&report) {
            Ok(text) => text + "\n",
            Err(error) => return CommandOutcome::with_error(EXIT_IO, error),
        },
        false => report.to_string(),
    };
    let mut outcome = CommandOutcome::new(output);
    if report.steps.is_empty() {
        outcome.status = EXIT_FINDINGS;
        outcome.errors = format!("chicorycroft: no line tells of request {request}\n");
    }
    outcome
}

fn take_file(trace: &mut RequestTrace, path: &str) -> io::Result<()> {
    let failure = |error: io::Error| io::Error::new(error.kind(), format!("{path}: {error}"));
    let file = File::open(path).map_err(failure)?;
    let host = Path::new(path).file_stem().and_then(|name| name.to_str());
    take_lines(trace, BufReader::new(file), host.unwrap_or(HOST_UNKNOWN)).map_err(failure)
}

/// Takes the lines of one source. Bytes that are not UTF-8 count as a cut line.
fn take_lines(trace: &mut RequestTrace, mut from: impl BufRead, host: &str) -> io::Result<()> {
    let mut bytes = Vec::new();
    while from.read_until(b'\n', &mut bytes)? > 0 {
        trace.take(&String::from_utf8_lossy(&bytes), host);
        bytes.clear();
    }
    Ok(())
}
