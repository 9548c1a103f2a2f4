//! Keeps the fleet running for manual trials.

use chicorycroft_node::prelude::*;
use tokio::{
    task::JoinSet,
    time::Instant, //
};

use crate::{
    DemoError,
    fleet::DemoFleet,
    plan::DemoPlan,
    scenario::{
        TEAMS,
        team_key, //
    },
};

/// Keeps the fleet running, without load or faults, until Ctrl-C.
///
/// As with the daemon, a request to `/drain` at its admin address starts the planned stop of a host.
///
/// # Errors
///
/// Returns an error if the fleet does not start or the signal handler cannot be installed.
pub async fn hold_fleet(
    _plan: DemoPlan,
    print: impl Fn(&str) + Send + Sync + 'static,
) -> Result<(), DemoError> {
    let mut fleet = DemoFleet::start(Instant::now()).await?;
    for line in curl_lines(&fleet.hosts) {
        print(&line);
    }
    let mut hosts = JoinSet::new();
    for host in fleet.hosts.drain(..) {
        hosts.spawn(async move {
            host.drain_requested().await;
            let name = host.state().settings.host.clone();
            (name, host.stop().await)
        });
    }
    let interrupt = tokio::signal::ctrl_c();
    tokio::pin!(interrupt);
    loop {
        tokio::select! {
            outcome = &mut interrupt => break outcome.map_err(DemoError::from),
            Some(stopped) = hosts.join_next() => {
                if let Ok((name, is_drained)) = stopped {
                    print(&format!("{name} has stopped; drained: {is_drained}"));
                }
            }
        }
    }
}

/// Returns example commands that can be pasted into a shell.
fn curl_lines(hosts: &[EntryHost]) -> Vec<String> {
    let mut lines = Vec::new();
    for host in hosts {
        lines.push(format!(
            "# {}: callers at {}, operators at {}",
            host.state().settings.host,
            host.caller_address(),
            host.admin_address()
        ));
    }
    let (Some(first), Some(last)) = (hosts.first(), hosts.last()) else {
        return lines;
    };
    let (callers, admin) = (first.caller_address(), first.admin_address());
    let drained = last.admin_address();
    let key = team_key(TEAMS[0].id, 1);
    let examples = [
        ("an open route", format!("curl -i http://{callers}/health")),
        (
            "a lookup with a key",
            format!("curl -i -H 'X-Api-Key: {key}' http://{callers}/rates/oman"),
        ),
        (
            "a wrong key",
            format!("curl -i -H 'X-Api-Key: wrong' http://{callers}/rates/oman"),
        ),
        (
            "an upload of 1 MB",
            format!(
                "head -c 1000000 /dev/zero | curl -i -T - -H 'X-Api-Key: {key}' \
                 http://{callers}/declarations/invoice-1"
            ),
        ),
        ("metrics", format!("curl -s http://{admin}/metrics")),
        ("status", format!("curl -s http://{admin}/status")),
        (
            "a planned stop of the last host",
            format!("curl -i -X POST http://{drained}/drain"),
        ),
    ];
    for (title, command) in examples {
        lines.push(format!("\n# {title}\n{command}"));
    }
    lines.push("\nPress Ctrl-C to end.".into());
    lines
}
