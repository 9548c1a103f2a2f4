//! The daemon that runs one entry host.

use std::process::ExitCode;

use chicorycroft_border::{
    prelude::*,
    settings::LogLevel, //
};
use chicorycroft_node::prelude::*;
use chicorycroft_platform::prelude::*;
use eyre::{
    Context,
    Result, //
};
use getopts::Options;
use log::LevelFilter;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

/// Exit status for an invalid command line (`EX_USAGE` of `sysexits`).
const EXIT_USAGE: u8 = 64;

fn install_logger(level: LogLevel) -> Result<()> {
    let level = match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    let format = |out: fern::FormatCallback<'_>,
                  message: &std::fmt::Arguments<'_>,
                  record: &log::Record<'_>| {
        let now = HostClock::with_system_time().unix();
        out.finish(format_args!(
            "time={now} level={} {message}",
            record.level()
        ));
    };
    fern::Dispatch::new()
        .format(format)
        .level(level)
        .chain(std::io::stderr())
        .apply()
        .wrap_err("cannot install the logger")
}

async fn run(settings: HostSettings) -> Result<bool> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let platform = http_client(settings.platform);
    let host = EntryHost::start(settings, platform, HostClock::with_system_time()).await?;
    log::info!(
        "event=started callers={} admin={}",
        host.caller_address(),
        host.admin_address()
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = host.drain_requested() => {}
    }
    log::info!("event=stop_begun");
    let is_drained = host.stop().await;
    log::info!("event=stopped drained={is_drained}");
    Ok(is_drained)
}

fn start(path: &str) -> Result<bool> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read settings file {path}"))?;
    let settings = HostSettings::with_name(path, &text)?;
    install_logger(settings.log_level)?;
    tokio::runtime::Runtime::new()?.block_on(run(settings))
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.reqopt("s", "settings", "settings of this host, in YAML", "FILE");
    let brief = "Usage: chicorycroft-entry --settings FILE\n\nRuns one entry host.";
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments
        .iter()
        .any(|argument| argument == "-h" || argument == "--help")
    {
        println!("{}", options.usage(brief));
        return ExitCode::SUCCESS;
    }
    let path = match options.parse(&arguments) {
        Ok(matches) => matches.opt_str("settings").unwrap_or_default(),
        Err(error) => {
            eprintln!("chicorycroft-entry: {error}\n\n{}", options.usage(brief));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match start(&path) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("chicorycroft-entry: {error:#}");
            ExitCode::FAILURE
        }
    }
}
