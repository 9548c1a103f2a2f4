//! Runs a stand-in platform or target as a separate process, for manual trials.

use std::{
    net::SocketAddr,
    process::ExitCode,
    time::Duration, //
};

use chicorycroft_platform::{
    http_adapter::HostJson,
    prelude::*, //
};
use chicorycroft_standin::prelude::*;
use getopts::{
    Matches,
    Options, //
};
use thiserror::Error;
use tokio::net::TcpListener;

/// The reason why a stand-in cannot run.
#[derive(Debug, Error)]
enum StandinError {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    File {
        path: String,
        source: std::io::Error,
    },
    /// The list of hosts is invalid.
    #[error("invalid list of hosts {path}: {reason}")]
    Hosts { path: String, reason: String },
    /// A network operation failed.
    #[error("{0}")]
    Network(#[from] std::io::Error),
}

fn read_file(path: &str) -> Result<String, StandinError> {
    std::fs::read_to_string(path).map_err(|source| StandinError::File {
        path: path.to_owned(),
        source,
    })
}

fn read_hosts(path: &str) -> Result<Vec<HostListing>, StandinError> {
    let invalid = |reason: String| StandinError::Hosts {
        path: path.to_owned(),
        reason,
    };
    let hosts: Vec<HostJson> =
        serde_json::from_str(&read_file(path)?).map_err(|error| invalid(error.to_string()))?;
    let read = |host: HostJson| {
        Ok(HostListing {
            id: host
                .id
                .parse()
                .map_err(|error| invalid(format!("{error}")))?,
            zone: host
                .zone
                .parse()
                .map_err(|error| invalid(format!("{error}")))?,
            address: host
                .address
                .parse()
                .map_err(|error| invalid(format!("{error}")))?,
            is_leaving: host.leaving,
        })
    };
    hosts.into_iter().map(read).collect()
}

async fn run_platform(listener: TcpListener, matches: &Matches) -> Result<(), StandinError> {
    let platform = StandinPlatform::new();
    if let Some(path) = matches.opt_str("hosts") {
        platform.set_hosts(read_hosts(&path)?);
    }
    let paths = matches.opt_strs("document");
    let mut parts = Vec::new();
    for path in &paths {
        parts.push((path.as_str(), read_file(path)?));
    }
    let names: Vec<String> = (0..parts.len())
        .map(|number| format!("part-{number}"))
        .collect();
    let named: Vec<(&str, String)> = names
        .iter()
        .zip(parts)
        .map(|(name, (_, content))| (name.as_str(), content))
        .collect();
    platform.publish(1, &named);
    Ok(platform.serve(listener).await?)
}

async fn run_target(listener: TcpListener, matches: &Matches) -> Result<(), StandinError> {
    let number = |name: &str, fallback: u64| match matches.opt_str(name) {
        None => Ok(fallback),
        Some(text) => text.parse().map_err(|_| {
            StandinError::Usage(format!("--{name} expects a whole number, but got {text:?}"))
        }),
    };
    let slots = usize::try_from(number("slots", 2)?).unwrap_or(usize::MAX);
    let service_time = Duration::from_millis(number("service-ms", 5)?);
    let target = StandinTarget::new(slots, service_time);
    Ok(target.serve(listener).await?)
}

async fn run(matches: &Matches) -> Result<(), StandinError> {
    let usage = |text: &str| StandinError::Usage(text.to_owned());
    let address = matches
        .opt_str("listen")
        .ok_or_else(|| usage("missing option --listen IP:PORT"))?;
    let address: SocketAddr = address
        .parse()
        .map_err(|_| usage("--listen expects an address in the form IP:PORT"))?;
    let listener = TcpListener::bind(address).await?;
    eprintln!("event=started listen={}", listener.local_addr()?);
    match matches.free.first().map(String::as_str) {
        Some("platform") => run_platform(listener, matches).await,
        Some("target") => run_target(listener, matches).await,
        _ => Err(usage(
            "expected `platform` or `target` as the first argument",
        )),
    }
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("l", "listen", "address to listen at", "IP:PORT");
    options.optmulti("d", "document", "platform: a document to publish", "FILE");
    options.optopt("", "hosts", "platform: list of hosts, in JSON", "FILE");
    options.optopt("", "slots", "target: requests at once (2)", "COUNT");
    options.optopt("", "service-ms", "target: time a request takes (5)", "MS");
    let brief = "Usage: chicorycroft-standin (platform|target) --listen IP:PORT [OPTIONS]";
    let outcome = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.opt_present("help") => {
            println!("{}", options.usage(brief));
            return ExitCode::SUCCESS;
        }
        Ok(matches) => tokio::runtime::Runtime::new()
            .map_err(StandinError::Network)
            .and_then(|runtime| runtime.block_on(run(&matches))),
        Err(error) => Err(StandinError::Usage(error.to_string())),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ StandinError::Usage(_)) => {
            eprintln!("chicorycroft-standin: {error}\n\n{}", options.usage(brief));
            ExitCode::from(64)
        }
        Err(error) => {
            eprintln!("chicorycroft-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
