//! Keeps the fleet up for trials by hand.

use chicorycroft_node::prelude::*;
use tokio::{
    task::JoinSet,
    time::Instant, //
};

use crate::{
    DemoError,
    fleet::DemoFleet,
    plan::DemoPlan,
    setting::{
        TEAMS,
        key_of, //
    },
};

/// Keeps the fleet up, without load or faults, until Ctrl-C.
///
/// A host whose planned stop is asked for at its admin address stops, as the daemon does.
///
/// # Errors
///
/// Fails when the fleet does not start or the signal cannot be waited for.
pub async fn keep(
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

/// Writes lines that work as pasted.
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
    let key = key_of(TEAMS[0].id, 1);
    let trials = [
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
    for (what, line) in trials {
        lines.push(format!("\n# {what}\n{line}"));
    }
    lines.push("\nPress Ctrl-C to end.".into());
    lines
}
