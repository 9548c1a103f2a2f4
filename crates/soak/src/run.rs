//! Executes a run: starts the fleet and its callers, injects the faults and checks the recorded history.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

use chicorycroft_platform_standin::prelude::*;
use eyre::Result;
use smol_str::SmolStr;
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{
        Instant,
        sleep, //
    },
};

use crate::{
    caller::{
        CallerState,
        SoakCaller,
        key_text, //
    },
    fleet::{
        SoakFleet,
        SoakHost,
        is_ready, //
    },
    history::{
        CallOutcome,
        CallRecord,
        ExecutionRecord,
        GuaranteeViolation, //
    },
    injector::FaultInjector,
    plan::{
        HostIndex,
        SoakPlan, //
    },
};

/// Time between two checks for due actions and ended processes.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Time between two readiness probes of a host. The platform probes once a second and takes a host out of rotation
/// after two failed probes.
const READY_PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of the faults and of the callers' requests.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of targets.
    pub targets: usize,
    /// Number of callers.
    pub callers: usize,
    /// Path of the gateway program.
    pub program: PathBuf,
    /// Directory for the settings files and logs of the hosts.
    pub dir: PathBuf,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Number of faults in the plan.
    pub fault_count: usize,
    /// Number of requests that callers sent.
    pub call_count: usize,
    /// Number of requests that were answered with status 200.
    pub served_count: usize,
    /// Guarantees that were violated.
    pub violations: Vec<GuaranteeViolation>,
}

/// Executes a run and checks the guarantees on it.
///
/// # Errors
///
/// Returns an error if the fleet does not start or a process cannot be started, queried or ended.
pub async fn run_soak(settings: &SoakSettings) -> Result<SoakReport> {
    let plan = SoakPlan::new(
        settings.seed,
        settings.length,
        settings.hosts,
        settings.targets,
    );
    let counts = (settings.hosts, settings.targets);
    let config = config(1, &[&key_text(0)]);
    let fleet = SoakFleet::start(&settings.program, &settings.dir, counts, &config).await?;
    let start = Instant::now();
    let caller_state = watch::Sender::new(CallerState {
        in_rotation: (0..settings.hosts).map(HostIndex).collect(),
        key: 0,
        added_routes: 0,
        is_over: false,
    });
    let addresses: Vec<_> = fleet
        .hosts
        .iter()
        .map(|host| host.callers.address())
        .collect();
    let callers: Vec<_> = (0..settings.callers)
        .map(|number| {
            let hosts = addresses.clone();
            let caller = SoakCaller::new(
                settings.seed,
                number,
                caller_state.subscribe(),
                hosts,
                start,
            );
            tokio::spawn(caller.run())
        })
        .collect();
    let balancer = tokio::spawn(run_load_balancer(
        fleet.hosts.iter().map(SoakHost::ready_address).collect(),
        caller_state.clone(),
    ));
    let mut injector = FaultInjector::new(fleet, &plan, caller_state, start);
    while start.elapsed() < settings.length {
        injector.run_due_actions()?;
        injector.check_processes()?;
        sleep(POLL_PERIOD).await;
    }
    balancer.abort();
    finish(injector, callers, plan.faults.len()).await
}

/// Takes hosts in and out of rotation like the platform's load balancer.
async fn run_load_balancer(ready: Vec<SocketAddr>, caller_state: watch::Sender<CallerState>) {
    let mut failed_probes = vec![0; ready.len()];
    loop {
        for (host, address) in ready.iter().enumerate() {
            failed_probes[host] = match is_ready(*address).await {
                true => 0,
                false => failed_probes[host] + 1,
            };
        }
        let all = || (0..ready.len()).map(HostIndex);
        let in_rotation: Vec<_> = all().filter(|host| failed_probes[host.0] < 2).collect();
        caller_state.send_modify(|state| {
            // With fewer than half of the hosts in rotation, the platform uses all of them.
            state.in_rotation = match in_rotation.len() * 2 < ready.len() {
                true => all().collect(),
                false => in_rotation,
            };
        });
        sleep(READY_PROBE_PERIOD).await;
    }
}

/// Ends a run, collects the history and checks the guarantees on it.
async fn finish(
    mut injector: FaultInjector,
    callers: Vec<JoinHandle<Vec<CallRecord>>>,
    fault_count: usize,
) -> Result<SoakReport> {
    injector
        .caller_state
        .send_modify(|state| state.is_over = true);
    for caller in callers {
        injector.history.calls.extend(caller.await?);
    }
    injector.fleet.kill_all().await?;
    for target in &injector.fleet.targets {
        let id = SmolStr::from(target.target.id());
        let requests = target.target.requests();
        let executions = requests.iter().filter(|request| request.is_run);
        injector
            .history
            .executions
            .extend(executions.map(|request| {
                ExecutionRecord {
                    id: request.id().unwrap_or_default().into(),
                    target: id.clone(),
                    at: request
                        .received_at
                        .saturating_duration_since(injector.start),
                    team: request.team().map(SmolStr::from),
                    has_key: request.has_key(),
                }
            }));
    }
    let is_served =
        |call: &&CallRecord| matches!(call.outcome, CallOutcome::Answered { status: 200, .. });
    let mut violations = injector.violations;
    violations.extend(injector.history.violations());
    Ok(SoakReport {
        fault_count,
        call_count: injector.history.calls.len(),
        served_count: injector.history.calls.iter().filter(is_served).count(),
        violations,
    })
}
