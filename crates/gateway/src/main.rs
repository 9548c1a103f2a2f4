//! The gateway process on each entry host of the users' platform.

use std::{
    net::SocketAddr,
    process::ExitCode,
    time::{
        Duration,
        SystemTime, //
    },
};

use chicorycroft_adapter::{
    prelude::*,
    settings::{
        PATH_DEFAULT,
        PATH_VARIABLE, //
    },
};
use chicorycroft_gateway::{
    host::RUNTIME_STACK_BYTES,
    prelude::*, //
};
use eyre::Result;
use getopts::Options;
use log::LevelFilter;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

/// Exit status for an invalid command line (`EX_USAGE` of `sysexits`).
const EXIT_USAGE: u8 = 64;

/// Interval at which the settings file is checked for changes.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);

/// Threads of the runtime. An entry host has a part of one core; with a second thread, readiness checks
/// are answered during a long computation.
const WORKER_THREADS: usize = 2;

/// Options of the command line.
struct LaunchOptions {
    settings_path: String,
    metrics_port: Option<u16>,
    peer_address: Option<SocketAddr>,
}

async fn run(options: &LaunchOptions, settings: GatewaySettings) -> Result<bool> {
    let path = options.settings_path.as_str();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let name = settings.host.clone();
    let ip = settings.ready_listen.ip();
    let mut host = GatewayHost::start(settings, GatewayClock::with_suspension()).await?;
    if let Some(port) = options.metrics_port {
        // The process serves requests even if the metrics port is unavailable.
        if let Err(error) = host.serve_metrics(SocketAddr::new(ip, port)).await {
            log::warn!("event=metrics_unavailable error=\"{error}\"");
        }
    }
    log::info!(
        "event=started host={name} callers={}",
        host.caller_address()
    );
    let mut modified_at = modified(path);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            () = host.until_failed() => return Ok(false),
            _ = reload.recv() => {}
            // Detects changes of the file that come without a SIGHUP.
            () = tokio::time::sleep(SETTINGS_PERIOD) => {
                if modified(path) == modified_at {
                    continue;
                }
            }
        }
        modified_at = modified(path);
        reload_settings(path, &host);
    }
    log::info!("event=stop_begun host={name}");
    let is_drained = host.stop().await;
    log::info!("event=stopped host={name} drained={is_drained}");
    Ok(is_drained)
}

/// Returns the modification time of the settings file, or `None` if it cannot be read.
fn modified(path: &str) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|file| file.modified())
        .ok()
}

/// Reads the settings again and applies their seeds. Changed addresses and limits take effect only after
/// a restart. Invalid settings are logged and ignored.
fn reload_settings(path: &str, host: &GatewayHost) {
    match GatewaySettings::with_file(path) {
        Ok(settings) => {
            let count = settings.seeds.len();
            let is_changed = host.state().set_seeds(settings.seeds);
            log::info!("event=settings_reloaded seeds={count} seeds_changed={is_changed}");
        }
        Err(error) => log::warn!("event=settings_refused error=\"{error}\""),
    }
}

fn start(options: &LaunchOptions) -> Result<bool> {
    let mut settings = GatewaySettings::with_file(&options.settings_path)?;
    if let Some(address) = options.peer_address {
        settings.peer_address = address;
    }
    EventLog::new(std::io::stdout())?.install(LevelFilter::Info)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .thread_stack_size(RUNTIME_STACK_BYTES)
        .enable_all()
        .build()?;
    runtime.block_on(run(options, settings))
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("s", "settings", "settings file of the platform", "FILE");
    options.optopt(
        "",
        "metrics-port",
        "additional port at the readiness address that serves only the metrics",
        "PORT",
    );
    options.optopt(
        "",
        "peer-address",
        "address advertised to other hosts, if it differs from the listen address",
        "ADDRESS",
    );
    let brief = format!(
        "Usage: chicorycroft-gateway [--settings FILE] [--metrics-port PORT] [--peer-address ADDRESS]\n\n\
         Runs one gateway process. Without --settings, the path is read from the environment variable {PATH_VARIABLE}."
    );
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("chicorycroft-gateway: {error}\n\n{}", options.usage(&brief));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("h") {
        println!("{}", options.usage(&brief));
        return ExitCode::SUCCESS;
    }
    let metrics_port = match matches.opt_get("metrics-port") {
        Ok(port) => port,
        Err(error) => {
            eprintln!("chicorycroft-gateway: --metrics-port must be a port number: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let peer_address = match matches.opt_get("peer-address") {
        Ok(address) => address,
        Err(error) => {
            eprintln!(
                "chicorycroft-gateway: --peer-address must be an IP address with a port: {error}"
            );
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let settings_path = matches
        .opt_str("s")
        .or_else(|| std::env::var(PATH_VARIABLE).ok())
        .unwrap_or_else(|| PATH_DEFAULT.to_owned());
    let launch = LaunchOptions {
        settings_path,
        metrics_port,
        peer_address,
    };
    match start(&launch) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("chicorycroft-gateway: {error:#}");
            ExitCode::FAILURE
        }
    }
}
