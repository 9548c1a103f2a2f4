//! The `demo` command, which runs a whole fleet in one process.

use chicorycroft_demo::{
    measures::DemoReport,
    plan::{
        DemoPlan,
        SECONDS,
        SECONDS_DEFAULT, //
    },
    table,
};
use getopts::Matches;

use crate::{
    CommandOutcome,
    EXIT_FINDINGS,
    EXIT_UNAVAILABLE,
    usage_error, //
};

/// Default seed of the load.
const SEED_DEFAULT: u64 = 1;

/// Runs `demo`, or with `--hold` keeps its fleet running without load.
///
/// Progress is written to the standard error output while the load runs.
pub fn run(matches: &Matches) -> CommandOutcome {
    let plan = match plan_of(matches) {
        Ok(plan) => plan,
        Err(reason) => return usage_error(reason),
    };
    if !matches.free.is_empty() {
        return usage_error("demo takes options only, no arguments");
    }
    if matches.opt_present("hold") {
        return match chicorycroft_demo::hold(plan, |line| println!("{line}")) {
            Ok(()) => CommandOutcome::default(),
            Err(error) => CommandOutcome::with_error(EXIT_UNAVAILABLE, error),
        };
    }
    match chicorycroft_demo::run(plan, |line| eprintln!("{line}")) {
        Ok(report) => outcome_of(&report),
        Err(error) => CommandOutcome::with_error(EXIT_UNAVAILABLE, error),
    }
}

fn outcome_of(report: &DemoReport) -> CommandOutcome {
    let mut outcome = CommandOutcome::new(table::render_report(report));
    if !report.violations.is_empty() {
        outcome.status = EXIT_FINDINGS;
    }
    outcome
}

fn plan_of(matches: &Matches) -> Result<DemoPlan, String> {
    let seconds = match matches.opt_str("seconds") {
        None => SECONDS_DEFAULT,
        Some(text) => {
            let seconds = text
                .parse()
                .ok()
                .filter(|seconds| SECONDS.contains(seconds));
            let (min, max) = (SECONDS.start(), SECONDS.end());
            seconds
                .ok_or_else(|| format!("--seconds {text:?} is not a number from {min} to {max}"))?
        }
    };
    let seed = match matches.opt_str("seed") {
        None => SEED_DEFAULT,
        Some(text) => text
            .parse()
            .map_err(|_| format!("--seed {text:?} is not a whole number"))?,
    };
    Ok(DemoPlan::new(seconds, seed))
}
