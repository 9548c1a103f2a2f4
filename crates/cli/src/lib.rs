//! The operators' command line client: validates and compares configurations, and queries running hosts.
//!
//! - [`check`]: validates files without a running fleet.
//! - [`diff`]: shows what another configuration would change, and when.
//! - [`parts`]: splits files into parts and writes them with their index for publishing.
//! - [`admin_client`]: sends requests to the admin address of a host.
//! - [`report`]: formats status and explanations as tables.
//! - [`demo`]: runs a whole fleet in one process, with load and faults.
//! - [`trace`]: reconstructs the trace of a request from the logs of many hosts.
//! - [`files`]: reads files with a size limit.
//!
//! Every command is a function from arguments to a [`CommandOutcome`], which [`finish`] writes; only `demo` also
//! prints while it runs. The output has no colour, and is the same on a terminal and in a file.

use std::{
    io::{
        self,
        Write, //
    },
    process::ExitCode,
};

use getopts::{
    Matches,
    Options, //
};

pub mod admin_client;
pub mod check;
pub mod demo;
pub mod diff;
pub mod files;
pub mod parts;
pub mod report;
pub mod trace;

/// Exit status of a command that has findings, such as invalid files.
pub const EXIT_FINDINGS: u8 = 1;
/// Exit status for an invalid command line (`EX_USAGE` of `sysexits`).
pub const EXIT_USAGE: u8 = 64;
/// Exit status when a host does not respond (`EX_UNAVAILABLE` of `sysexits`).
pub const EXIT_UNAVAILABLE: u8 = 69;
/// Exit status when output cannot be written or a log cannot be read (`EX_IOERR` of `sysexits`).
pub const EXIT_IO: u8 = 74;

/// Output and exit status of a command.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CommandOutcome {
    /// Text for the standard output.
    pub output: String,
    /// Text for the standard error output.
    pub errors: String,
    /// Exit status.
    pub status: u8,
}

impl CommandOutcome {
    /// Creates the outcome of a success with text for the standard output.
    pub fn new(output: impl Into<String>) -> Self {
        Self {
            output: output.into(),
            ..Self::default()
        }
    }

    /// Creates the outcome of a failure with one line for the standard error output.
    pub fn with_error(status: u8, error: impl std::fmt::Display) -> Self {
        Self {
            errors: format!("chicorycroft: {error}\n"),
            status,
            ..Self::default()
        }
    }
}

/// One subcommand.
struct CommandEntry {
    name: &'static str,
    arguments: &'static str,
    summary: &'static str,
    options: fn(&mut Options),
    run: fn(&Matches) -> CommandOutcome,
}

const COMMANDS: &[CommandEntry] = &[
    CommandEntry {
        name: "check",
        arguments: "FILE... [--settings FILE]",
        summary: "Validates an inventory, rules and settings without a fleet.",
        options: |options| {
            options.optmulti("", "settings", "settings of a host to validate too", "FILE");
        },
        run: |matches| check::run(&matches.free, &matches.opt_strs("settings")),
    },
    CommandEntry {
        name: "diff",
        arguments: "OLD... -- NEW...",
        summary: "Shows what new files would change, and when.",
        options: |_| {},
        run: |matches| diff::run(&matches.free),
    },
    CommandEntry {
        name: "parts",
        arguments: "FILE... --out DIR",
        summary: "Writes an index and its parts for publishing.",
        options: |options| {
            options.optopt("", "out", "directory for the index and the parts", "DIR");
            options.optopt("", "previous", "index that is published now", "FILE");
            options.optopt(
                "",
                "version",
                "version; one above the previous by default",
                "N",
            );
        },
        run: parts::run,
    },
    CommandEntry {
        name: "status",
        arguments: "--admin ADDR... [--json]",
        summary: "Shows versions, targets, teams and bookings of hosts.",
        options: |options| {
            options.optmulti(
                "",
                "admin",
                "admin address of a host, may be repeated",
                "ADDR",
            );
            options.optflag("", "json", "print the hosts' answers as JSON lines");
        },
        run: |matches| {
            admin_client::status(&matches.opt_strs("admin"), matches.opt_present("json"))
        },
    },
    CommandEntry {
        name: "explain",
        arguments: "--admin ADDR METHOD PATH [--team TEAM]",
        summary: "Shows the route, limits and targets that a request would get.",
        options: |options| {
            options.optopt("", "admin", "admin address of a host", "ADDR");
            options.optopt("", "team", "team that would send the request", "TEAM");
        },
        run: admin_client::explain,
    },
    CommandEntry {
        name: "drain",
        arguments: "--admin ADDR",
        summary: "Starts the planned stop of a host.",
        options: |options| {
            options.optopt("", "admin", "admin address of the host", "ADDR");
        },
        run: admin_client::drain,
    },
    CommandEntry {
        name: "demo",
        arguments: "[--seconds N] [--seed N] [--hold]",
        summary: "Runs a whole fleet with load and faults, and prints what happened.",
        options: |options| {
            options.optopt("", "seconds", "length of the load; 38 by default", "N");
            options.optopt("", "seed", "seed of the load; 1 by default", "N");
            options.optflag(
                "",
                "hold",
                "keep the fleet up without load until Ctrl-C, and print curl lines",
            );
        },
        run: demo::run,
    },
    CommandEntry {
        name: "trace",
        arguments: "REQUEST-ID [FILE...] [--json]",
        summary: "Prints one request's way in the logs of gateway hosts.",
        options: |options| {
            options.optflag("", "json", "print the trace as one JSON object");
        },
        run: trace::run,
    },
];

/// Creates the outcome for an invalid command line.
pub(crate) fn usage_error(reason: impl std::fmt::Display) -> CommandOutcome {
    let reason = format!("{reason}; see chicorycroft --help");
    CommandOutcome::with_error(EXIT_USAGE, reason)
}

fn overview() -> String {
    let mut text = String::from("Usage: chicorycroft COMMAND [ARGUMENTS]\n\nCommands:\n");
    for command in COMMANDS {
        text.push_str(&format!("    {:<8} {}\n", command.name, command.summary));
    }
    text.push_str(
        "\nchicorycroft COMMAND --help shows the arguments of a command.\n\n\
         Exit status: 0 success, 1 findings, 64 wrong usage, 69 a host does not answer, 74 a file \
         cannot be written.\n",
    );
    text
}

/// Runs the command that the arguments name. The arguments do not include the name of the program.
pub fn run(arguments: &[String]) -> CommandOutcome {
    let Some((name, rest)) = arguments.split_first() else {
        return usage_error("a command is missing");
    };
    if matches!(name.as_str(), "-h" | "--help" | "help") {
        return CommandOutcome::new(overview());
    }
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        return usage_error(format!("there is no command {name:?}"));
    };
    let mut options = Options::new();
    (command.options)(&mut options);
    options.optflag("h", "help", "print this help");
    // getopts drops `--`, which `diff` needs as a separator.
    let arguments = rest
        .iter()
        .map(|argument| match (command.name, argument.as_str()) {
            ("diff", "--") => diff::SEPARATOR.to_owned(),
            _ => argument.clone(),
        });
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage_error(error),
    };
    if matches.opt_present("help") {
        let brief = format!(
            "Usage: chicorycroft {} {}\n\n{}",
            command.name, command.arguments, command.summary
        );
        return CommandOutcome::new(options.usage(&brief));
    }
    (command.run)(&matches)
}

/// Writes an outcome to the given streams and returns its exit status.
///
/// A pipe that its reader closes early, such as `head`, is not an error.
pub fn write_outcome(
    outcome: &CommandOutcome,
    output: &mut dyn Write,
    errors: &mut dyn Write,
) -> u8 {
    let written = output
        .write_all(outcome.output.as_bytes())
        .and_then(|()| output.flush());
    // There is no other stream to report a failed write to the standard error output.
    let _ = errors.write_all(outcome.errors.as_bytes());
    match written {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => EXIT_IO,
        _ => outcome.status,
    }
}

/// Writes an outcome to the standard streams and returns its exit status.
pub fn finish(outcome: &CommandOutcome) -> ExitCode {
    let (mut output, mut errors) = (io::stdout().lock(), io::stderr().lock());
    ExitCode::from(write_outcome(outcome, &mut output, &mut errors))
}
