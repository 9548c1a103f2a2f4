//! Runs the demo of a whole fleet.

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

/// Seed of the load unless another one is asked for.
const SEED_DEFAULT: u64 = 1;

/// Runs the demo, or keeps its fleet up. Lines of progress go to the standard error output at once.
pub fn run(matches: &Matches) -> CommandOutcome {
    let plan = match plan_of(matches) {
        Ok(plan) => plan,
        Err(reason) => return usage_error(reason),
    };
    if !matches.free.is_empty() {
        return usage_error("demo takes no arguments but its options");
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
            let seconds = text.parse().ok().filter(|it| SECONDS.contains(it));
            let (least, most) = (SECONDS.start(), SECONDS.end());
            seconds.ok_or_else(|| format!("--seconds takes a number from {least} to {most}"))?
        }
    };
    let seed = match matches.opt_str("seed") {
        None => SEED_DEFAULT,
        Some(text) => text.parse().map_err(|_| "--seed takes a whole number")?,
    };
    Ok(DemoPlan::new(seconds, seed))
}
