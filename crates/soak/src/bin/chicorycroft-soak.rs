//! Executes soak runs and prints the guarantees that they violated.

use std::{
    path::PathBuf,
    process::ExitCode,
    time::Duration, //
};

use chicorycroft_soak::prelude::*;
use eyre::{
    Result,
    WrapErr,
    eyre, //
};
use getopts::{
    Matches,
    Options, //
};
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

/// Exit status for an invalid command line (`EX_USAGE` of `sysexits`).
const EXIT_USAGE: u8 = 64;

/// Default sizes of a run: two zones of three hosts, and enough targets to lose some of them.
const HOSTS: usize = 6;
const TARGETS: usize = 6;
const CALLERS: usize = 24;

/// Default length of a run, in seconds: about twenty faults, and the fault-free times before and after them.
const RUN_SECONDS: u64 = 30;

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "seed", "seed of the first run (1)", "NUMBER");
    options.optopt("", "runs", "runs with seeds in a row (1)", "COUNT");
    options.optopt("", "seconds", "length of a run (30)", "SECONDS");
    options.optopt("", "hosts", "gateway processes (6)", "COUNT");
    options.optopt("", "targets", "targets (6)", "COUNT");
    options.optopt("", "callers", "callers (24)", "COUNT");
    options.optopt("", "program", "the gateway program", "FILE");
    options.optopt("", "dir", "where settings and logs go (target/soak)", "DIR");
    options
}

fn settings(matches: &Matches) -> Result<(SoakSettings, u64)> {
    let program = match matches.opt_str("program") {
        Some(path) => PathBuf::from(path),
        // Cargo builds all programs of a workspace into one directory.
        None => std::env::current_exe()?.with_file_name("chicorycroft-gateway"),
    };
    let settings = SoakSettings {
        seed: matches.opt_get_default("seed", 1)?,
        length: Duration::from_secs(matches.opt_get_default("seconds", RUN_SECONDS)?),
        hosts: matches.opt_get_default("hosts", HOSTS)?,
        targets: matches.opt_get_default("targets", TARGETS)?,
        callers: matches.opt_get_default("callers", CALLERS)?,
        program,
        dir: matches
            .opt_str("dir")
            .unwrap_or_else(|| "target/soak".into())
            .into(),
    };
    Ok((settings, matches.opt_get_default("runs", 1)?))
}

/// Executes the runs and returns `true` if no guarantee was violated.
async fn run_all(first: SoakSettings, runs: u64) -> Result<bool> {
    let mut is_clean = true;
    for seed in first.seed..first.seed + runs {
        let settings = SoakSettings {
            seed,
            dir: first.dir.join(format!("seed-{seed}")),
            ..first.clone()
        };
        // Logs are appended to, so those of an earlier run with this seed are removed.
        if settings.dir.exists() {
            std::fs::remove_dir_all(&settings.dir)?;
        }
        let report = run_soak(&settings)
            .await
            .wrap_err_with(|| format!("seed {seed}"))?;
        println!(
            "seed {seed}: {} faults, {} requests, {} served, {} broken promises",
            report.fault_count,
            report.call_count,
            report.served_count,
            report.violations.len()
        );
        for violation in &report.violations {
            println!("  BROKEN {violation}");
        }
        is_clean &= report.violations.is_empty();
    }
    Ok(is_clean)
}

/// Executes the runs until they end or SIGTERM or SIGINT arrives. The gateway processes are killed on return.
async fn run_until_signal(settings: SoakSettings, runs: u64) -> Result<bool> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        result = run_all(settings, runs) => result,
        _ = terminate.recv() => Err(eyre!("ended by SIGTERM")),
        _ = interrupt.recv() => Err(eyre!("ended by SIGINT")),
    }
}

fn main() -> ExitCode {
    let options = options();
    let usage = options.usage("Usage: chicorycroft-soak [OPTIONS]");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.opt_present("h") => {
            println!("{usage}");
            return ExitCode::SUCCESS;
        }
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("chicorycroft-soak: {error}\n\n{usage}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let (settings, runs) = match settings(&matches) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("chicorycroft-soak: {error:#}\n\n{usage}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let result = tokio::runtime::Runtime::new()
        .wrap_err("failed to start the async runtime")
        .and_then(|runtime| runtime.block_on(run_until_signal(settings, runs)));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("chicorycroft-soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}
