//! Experiments on the decisions of the fleet. Each prints the rows of one table.
//!
//! - [`latency`]: latency that one entry host adds.
//! - [`fairness`]: service level of the worst-served team while another one exceeds its share.
//! - [`cold`]: requests at cold targets while a zone returns to service.
//! - [`detection`]: time until a failing target is ejected, and false ejections.
//! - [`faults`]: the faults that are simulated in [`detection`].
//! - [`owners`]: how evenly rendezvous hashing distributes targets over hosts.
//! - [`rates`]: refusals within the rate, overshoot and cost of token transfers between hosts.
//! - [`rates_counts`]: the counters of [`rates`].
//! - [`rates_simulation`]: the simulated fleet that [`rates`] runs on.
//! - [`slopes`]: growth of the inventory's memory and of the messages with the size of the fleet.

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
mod rates_simulation;
mod slopes;

/// Exit status for an invalid command line, as defined by `sysexits`.
const EXIT_USAGE: u8 = 64;

/// An experiment that can be selected on the command line.
struct ExperimentEntry {
    name: &'static str,
    description: &'static str,
    run: fn(seed: u64) -> Result<()>,
}

const EXPERIMENTS: &[ExperimentEntry] = &[
    ExperimentEntry {
        name: "latency",
        description: "latency that one entry host adds",
        run: latency::run,
    },
    ExperimentEntry {
        name: "fairness",
        description: "share of the worst-served team beside a team at five times its share",
        run: fairness::run,
    },
    ExperimentEntry {
        name: "cold",
        description: "requests at cold targets while a zone returns",
        run: cold::run,
    },
    ExperimentEntry {
        name: "detection",
        description: "time to eject failing targets, and false ejections",
        run: detection::run,
    },
    ExperimentEntry {
        name: "owners",
        description: "spread of targets over their owners",
        run: owners::run,
    },
    ExperimentEntry {
        name: "rates",
        description: "refusals within the rate and overshoot over the whole fleet",
        run: rates::run,
    },
    ExperimentEntry {
        name: "slopes",
        description: "memory of the inventory, and messages as the fleet grows",
        run: slopes::run,
    },
];

fn print_help(options: &Options) {
    let usage = "Usage: chicorycroft-bench EXPERIMENT [--seed NUMBER]";
    println!("{}\nExperiments:", options.usage(usage));
    for entry in EXPERIMENTS {
        println!("    {:<12}{}", entry.name, entry.description);
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
