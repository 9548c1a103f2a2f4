//! Plays a plan: starts the fleet and its callers, injects the faults, and collects what was seen.

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
        CallerNews,
        SoakCaller,
        key_text, //
    },
    fleet::{
        SoakFleet,
        SoakHost, //
        is_ready,
    },
    injector::FaultInjector,
    ledger::{
        BrokenPromise,
        CallEnd,
        CallRecord,
        RunRecord, //
    },
    plan::{
        HostIndex,
        SoakPlan, //
    },
};

/// Time between looks at processes and due faults.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Time between readiness questions; the platform asks once a second and goes by two misses.
const READY_PERIOD: Duration = Duration::from_secs(1);

/// What is played.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of faults and callers.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of targets.
    pub targets: usize,
    /// Number of callers.
    pub callers: usize,
    /// The gateway program.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub dir: PathBuf,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Faults that were injected.
    pub fault_count: usize,
    /// Requests of callers.
    pub call_count: usize,
    /// Those with a good answer.
    pub served_count: usize,
    /// Promises that were broken.
    pub broken: Vec<BrokenPromise>,
}

/// Plays a run.
///
/// # Errors
///
/// Fails when the fleet does not start.
pub async fn play(settings: &SoakSettings) -> Result<SoakReport> {
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
    let news = watch::Sender::new(CallerNews {
        in_rotation: (0..settings.hosts).map(HostIndex).collect(),
        key: 0,
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
            let caller = SoakCaller::new(settings.seed, number, news.subscribe(), hosts, start);
            tokio::spawn(caller.run())
        })
        .collect();
    let balancer = tokio::spawn(balance(
        fleet.hosts.iter().map(SoakHost::ready_address).collect(),
        news.clone(),
    ));
    let mut injector = FaultInjector::new(fleet, &plan, news, start);
    while start.elapsed() < settings.length {
        injector.act()?;
        injector.look_at_processes()?;
        sleep(LOOK_PERIOD).await;
    }
    balancer.abort();
    collect(injector, callers, plan.faults.len()).await
}

/// Takes hosts in and out of rotation as the platform does.
async fn balance(ready: Vec<SocketAddr>, news: watch::Sender<CallerNews>) {
    let mut misses = vec![0; ready.len()];
    loop {
        for (host, address) in ready.iter().enumerate() {
            misses[host] = match is_ready(*address).await {
                true => 0,
                false => misses[host] + 1,
            };
        }
        let all = || (0..ready.len()).map(HostIndex);
        let in_rotation: Vec<_> = all().filter(|host| misses[host.0] < 2).collect();
        news.send_modify(|news| {
            // With fewer than half in rotation, the platform uses all.
            news.in_rotation = match in_rotation.len() * 2 < ready.len() {
                true => all().collect(),
                false => in_rotation,
            };
        });
        sleep(READY_PERIOD).await;
    }
}

/// Ends a run and compares what was seen with the promises.
async fn collect(
    mut injector: FaultInjector,
    callers: Vec<JoinHandle<Vec<CallRecord>>>,
    fault_count: usize,
) -> Result<SoakReport> {
    injector.news.send_modify(|news| news.is_over = true);
    for caller in callers {
        injector.ledger.calls.extend(caller.await?);
    }
    injector.fleet.end().await?;
    for target in &injector.fleet.targets {
        let id = SmolStr::from(target.target.id());
        let seen = target.target.requests();
        let runs = seen.iter().filter(|request| request.is_run);
        injector.ledger.runs.extend(runs.map(|request| {
            RunRecord {
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
    let is_served = |call: &&CallRecord| matches!(call.end, CallEnd::Answered { status: 200, .. });
    let mut broken = injector.broken;
    broken.extend(injector.ledger.broken());
    Ok(SoakReport {
        fault_count,
        call_count: injector.ledger.calls.len(),
        served_count: injector.ledger.calls.iter().filter(is_served).count(),
        broken,
    })
}
