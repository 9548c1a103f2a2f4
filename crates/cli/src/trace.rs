//! The `trace` command, which reconstructs the trace of a request from the logs of many hosts.

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

/// Host name for lines that contain none, if there is no file name to use instead.
const HOST_UNKNOWN: &str = "-";

/// Runs `trace`, which reads one log file per host, or the standard input, and prints the trace of a request.
pub fn run(matches: &Matches) -> CommandOutcome {
    let Some((request, files)) = matches.free.split_first() else {
        return usage_error("trace needs REQUEST-ID");
    };
    let mut trace = RequestTrace::new(request);
    let read = match files.is_empty() {
        true => add_lines(&mut trace, io::stdin().lock(), HOST_UNKNOWN),
        false => files.iter().try_for_each(|path| add_file(&mut trace, path)),
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
        outcome.errors =
            format!("chicorycroft: no log line has id={request}; check the id and the files\n");
    }
    outcome
}

/// Adds the lines of a log file. The file name without extension is the default host name.
fn add_file(trace: &mut RequestTrace, path: &str) -> io::Result<()> {
    let failure = |error: io::Error| io::Error::new(error.kind(), format!("{path}: {error}"));
    let file = File::open(path).map_err(failure)?;
    let host = Path::new(path).file_stem().and_then(|name| name.to_str());
    add_lines(trace, BufReader::new(file), host.unwrap_or(HOST_UNKNOWN)).map_err(failure)
}

/// Adds the lines of one log. Bytes that are not UTF-8 are replaced by U+FFFD.
fn add_lines(trace: &mut RequestTrace, mut reader: impl BufRead, host: &str) -> io::Result<()> {
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        trace.add_line(&String::from_utf8_lossy(&bytes), host);
        bytes.clear();
    }
    Ok(())
}
