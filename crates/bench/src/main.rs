//! Experiments on the decisions of the fleet. Each prints the rows of one table.
//!
//! - [`latency`]: latency that one entry host adds.
//! - [`fairness`]: the share of the worst-served team while another one sends too much.
//! - [`cold`]: requests at cold targets while a zone returns.
//! - [`detection`]: time until a failing target is out of use, and false ejections.
//! - [`faults`]: the faults that [`detection`] draws.
//! - [`owners`]: how evenly rendezvous hashing spreads targets over hosts.
//! - [`rates`]: refusals within the rate, overshoot and cost of moving tokens between hosts.
//! - [`rates_driver`]: the fleet in virtual time on which `rates` runs.
//! - [`slopes`]: memory of the inventory, and messages as the fleet grows.

use std::process::ExitCode;

use eyre::Result;
use getopts::Options;

mod cold;
mod detection;
mod fairness;
mod faults;
mod latency;
mod owners;
mod rates;
mod rates_counts;
mod rates_driver;
mod slopes;

/// Exit status for a command line that is not valid, as `sysexits` has it.
const EXIT_USAGE: u8 = 64;

/// An experiment that can be named on the command line.
struct ExperimentEntry {
    name: &'static str,
    brief: &'static str,
    run: fn(seed: u64) -> Result<()>,
}

const EXPERIMENTS: &[ExperimentEntry] = &[
    ExperimentEntry {
        name: "latency",
        brief: "latency that one entry host adds",
        run: latency::run,
    },
    ExperimentEntry {
        name: "fairness",
        brief: "share of the worst-served team beside a team at five times its share",
        run: fairness::run,
    },
    ExperimentEntry {
        name: "cold",
        brief: "requests at cold targets while a zone returns",
        run: cold::run,
    },
    ExperimentEntry {
        name: "detection",
        brief: "time to eject failing targets, and false ejections",
        run: detection::run,
    },
    ExperimentEntry {
        name: "owners",
        brief: "spread of targets over their owners",
        run: owners::run,
    },
    ExperimentEntry {
        name: "rates",
        brief: "refusals within the rate and overshoot over the whole fleet",
        run: rates::run,
    },
    ExperimentEntry {
        name: "slopes",
        brief: "memory of the inventory, and messages as the fleet grows",
        run: slopes::run,
    },
];

fn print_help(options: &Options) {
    let brief = "Usage: chicorycroft-bench EXPERIMENT [--seed NUMBER]";
    println!("{}\nExperiments:", options.usage(brief));
    for entry in EXPERIMENTS {
        println!("    {:<12}{}", entry.name, entry.brief);
    }
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("s", "seed", "seed of the random numbers (1)", "NUMBER");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("chicorycroft-bench: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") {
        print_help(&options);
        return ExitCode::SUCCESS;
    }
    let seed = matches.opt_get_default("seed", 1);
    let name = matches.free.first().map(String::as_str).unwrap_or_default();
    let entry = EXPERIMENTS.iter().find(|entry| entry.name == name);
    let (Ok(seed), Some(entry)) = (seed, entry) else {
        print_help(&options);
        return ExitCode::from(EXIT_USAGE);
    };
    match (entry.run)(seed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chicorycroft-bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}
