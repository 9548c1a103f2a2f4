//! Injects the faults at their times, while the load runs.

use std::{
    sync::Arc,
    time::{
        Duration,
        SystemTime, //
    },
};

use chicorycroft_core::prelude::*;
use chicorycroft_standin::prelude::*;
use tokio::{
    task::JoinSet,
    time::Instant, //
};

use crate::{
    DemoError,
    balancer::DemoBalancer,
    fleet::DemoFleet,
    load::{
        LoadPlan,
        TeamLoad, //
    },
    measures::{
        DemoReport,
        RunRecords,
        TargetRecords,
        TeamRecords, //
    },
    plan::{
        DemoPlan,
        DemoStep, //
    },
    records::{
        CallRecord,
        EventLog,
        FaultTimes, //
    },
    scenario::{
        COLD_TARGET,
        CRASHED_HOST,
        GRAY_TARGET,
        STOPPED_HOST,
        TEAMS,
        TargetConfig,
        WITHDRAWN_KEY_TEAM,
        ZONE_OUT, //
    },
};

/// Time before the load in which hosts mint tokens, as they start without any.
const MINT_TIME: Duration = Duration::from_millis(2500);
/// Time for which a restarted target is cold.
const COLD_TIME: Duration = Duration::from_secs(3);
/// Time for which the port of a restarted target is closed.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Interval between progress lines about the load.
const LOAD_LINE_PERIOD: Duration = Duration::from_secs(5);
/// The gray target first answers one in this many requests with an error.
const GRAY_ERROR_EVERY: u32 = 2;
/// The gray target then multiplies its service time by this factor.
const GRAY_SLOW_BY: u32 = 25;

type ProgressLine = Arc<dyn Fn(&str) + Send + Sync>;

/// The state of one run of the demo.
struct DemoRun {
    plan: DemoPlan,
    epoch: Instant,
    load_start: Duration,
    fleet: DemoFleet,
    faults: FaultTimes,
    zone_out: (UnixTime, UnixTime),
    progress: ProgressLine,
}

/// Executes a run and computes its measures.
///
/// # Errors
///
/// Returns an error if the fleet does not start or a restarted target cannot bind its port again.
pub async fn run_script(
    plan: DemoPlan,
    progress: impl Fn(&str) + Send + Sync + 'static,
) -> Result<DemoReport, DemoError> {
    let progress: ProgressLine = Arc::new(progress);
    progress("starting the platform, targets and hosts");
    let epoch = Instant::now();
    let fleet = DemoFleet::start(epoch).await?;
    let hosts = fleet.hosts.len();
    progress(&format!(
        "{hosts} hosts own {} targets; hosts mint tokens before the load starts",
        fleet.targets.len()
    ));
    tokio::time::sleep(MINT_TIME).await;
    let mut run = DemoRun::new(plan, epoch, fleet, progress);
    run.publish(true);
    let balancer = Arc::new(DemoBalancer::new(&run.fleet.hosts));
    let mut background_tasks = JoinSet::new();
    background_tasks.spawn(balancer.clone().poll_hosts());
    let logs: Vec<EventLog<CallRecord>> = TEAMS.iter().map(|_| EventLog::new()).collect();
    background_tasks.spawn(report_load(run.progress.clone(), epoch, logs.clone()));
    let mut loads = run.start_loads(&balancer, &logs);
    run.run_steps().await?;
    let mut unsent = 0;
    while let Some(count) = loads.join_next().await {
        unsent += count.unwrap_or_default();
    }
    background_tasks.shutdown().await;
    let records = run.collect(logs, &balancer, unsent);
    run.fleet.crash_hosts().await;
    Ok(DemoReport::new(&records))
}

async fn report_load(progress: ProgressLine, epoch: Instant, logs: Vec<EventLog<CallRecord>>) {
    loop {
        tokio::time::sleep(LOAD_LINE_PERIOD).await;
        let ended: usize = logs.iter().map(EventLog::len).sum();
        let seconds = epoch.elapsed().as_secs_f64();
        progress(&format!("{seconds:6.1} s  {ended} requests have ended"));
    }
}

impl DemoRun {
    fn new(plan: DemoPlan, epoch: Instant, fleet: DemoFleet, progress: ProgressLine) -> Self {
        let load_start = epoch.elapsed();
        let since_1970 = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        // The times of bookings are whole seconds.
        let booked = |step| (since_1970 + plan.time_of(step)).as_secs() + 1;
        let (start, end) = (booked(DemoStep::ZoneOut), booked(DemoStep::ZoneReturn));
        let unix = |seconds| UnixTime::from_millis(seconds * 1000);
        let offset = |seconds| load_start + Duration::from_secs(seconds).saturating_sub(since_1970);
        let faults = FaultTimes {
            zone_from: offset(start),
            zone_to: offset(end),
            ..FaultTimes::default()
        };
        Self {
            plan,
            epoch,
            load_start,
            fleet,
            faults,
            zone_out: (unix(start), unix(end)),
            progress,
        }
    }

    fn report(&self, line: &str) {
        let seconds = self.epoch.elapsed().as_secs_f64();
        (self.progress)(&format!("{seconds:6.1} s  {line}"));
    }

    fn publish(&mut self, has_withdrawn_key: bool) {
        self.fleet.publish(has_withdrawn_key, Some(self.zone_out));
    }

    fn start_loads(
        &self,
        balancer: &Arc<DemoBalancer>,
        logs: &[EventLog<CallRecord>],
    ) -> JoinSet<u64> {
        self.report("load starts; parcel-union sends four times its rate");
        let plan = LoadPlan {
            epoch: self.epoch,
            start: self.load_start,
            end: self.load_start + self.plan.length,
            balancer: balancer.clone(),
        };
        let mut loads = JoinSet::new();
        for (number, (team, log)) in (0..).zip(TEAMS.into_iter().zip(logs)) {
            let load = TeamLoad::new(team, self.plan.seed, number, log.clone());
            loads.spawn(load.send(plan.clone()));
        }
        loads
    }

    async fn run_steps(&mut self) -> Result<(), DemoError> {
        for (step, _) in DemoStep::TIMES {
            let time = match step {
                DemoStep::ZoneOut => self.faults.zone_from,
                DemoStep::ZoneReturn => self.faults.zone_to,
                _ => self.load_start + self.plan.time_of(step),
            };
            tokio::time::sleep_until(self.epoch + time).await;
            self.run_step(step).await?;
        }
        Ok(())
    }

    async fn run_step(&mut self, step: DemoStep) -> Result<(), DemoError> {
        let now = self.epoch.elapsed();
        match step {
            DemoStep::GrayErrors => {
                self.report(&format!("{GRAY_TARGET} fails half of its requests"));
                self.faults.gray_from = now;
                self.set_gray(TargetFault::ErrorEvery(GRAY_ERROR_EVERY));
            }
            DemoStep::GraySlow => {
                self.report(&format!(
                    "{GRAY_TARGET} answers {GRAY_SLOW_BY} times as slowly"
                ));
                self.set_gray(TargetFault::SlowBy(GRAY_SLOW_BY));
            }
            DemoStep::GrayEnd => {
                self.report(&format!("{GRAY_TARGET} is well again"));
                self.faults.gray_to = now;
                self.set_gray(TargetFault::None);
            }
            DemoStep::ZoneOut => self.report(&format!("zone {ZONE_OUT} is out by its booking")),
            DemoStep::KeyWithdrawn => {
                self.report(&format!(
                    "a key of {WITHDRAWN_KEY_TEAM} is withdrawn; its caller goes on"
                ));
                self.faults.key_withdrawn = now;
                self.publish(false);
            }
            DemoStep::ZoneRestart => {
                self.report(&format!(
                    "the targets of {ZONE_OUT} restart while it is out"
                ));
                // The targets are still cold when the zone is in use again.
                let left = self.faults.zone_to.saturating_sub(now);
                self.restart_targets(|config| config.zone == ZONE_OUT, left + COLD_TIME)
                    .await?;
            }
            DemoStep::ZoneReturn => self.report(&format!("zone {ZONE_OUT} is back, cold")),
            DemoStep::ColdRestart => {
                self.report(&format!("{COLD_TARGET} restarts, cold"));
                self.restart_targets(|config| config.id == COLD_TARGET, COLD_TIME)
                    .await?;
            }
            DemoStep::HostStop => self.stop_host().await,
            DemoStep::HostCrash => self.crash_host().await,
        }
        Ok(())
    }

    fn set_gray(&mut self, fault: TargetFault) {
        if let Some(target) = self.fleet.target_mut(GRAY_TARGET) {
            target.target.set_fault(fault);
        }
    }

    /// Restarts the selected targets at the same time.
    async fn restart_targets(
        &mut self,
        is_selected: impl Fn(&TargetConfig) -> bool,
        cold_time: Duration,
    ) -> Result<(), DemoError> {
        let targets = self.fleet.targets.iter_mut();
        let mut targets: Vec<_> = targets
            .filter(|target| is_selected(&target.config))
            .collect();
        targets.iter().for_each(|target| target.stop());
        tokio::time::sleep(RESTART_TIME).await;
        for target in &mut targets {
            target.restart(cold_time).await?;
        }
        Ok(())
    }

    async fn stop_host(&mut self) {
        self.report(&format!("{STOPPED_HOST} stops as planned"));
        self.fleet.publish_hosts(Some(STOPPED_HOST));
        self.faults.stop_from = self.epoch.elapsed();
        if let Some(host) = self.fleet.remove_host(STOPPED_HOST) {
            self.faults.is_drained = host.stop().await;
        }
        self.faults.stop_to = self.epoch.elapsed();
        let word = match self.faults.is_drained {
            true => "all its requests ended",
            false => "it had to cut requests",
        };
        self.report(&format!("{STOPPED_HOST} has stopped; {word}"));
        self.fleet.publish_hosts(None);
    }

    async fn crash_host(&mut self) {
        self.report(&format!("{CRASHED_HOST} crashes"));
        self.faults.crash = self.epoch.elapsed();
        if let Some(host) = self.fleet.remove_host(CRASHED_HOST) {
            host.crash().await;
        }
        self.fleet.publish_hosts(None);
    }

    fn collect(
        &self,
        logs: Vec<EventLog<CallRecord>>,
        balancer: &DemoBalancer,
        unsent: u64,
    ) -> RunRecords {
        let teams = TEAMS.into_iter().zip(logs).map(|(team, log)| TeamRecords {
            team,
            calls: log.take(),
        });
        let targets = self.fleet.targets.iter().map(|running| TargetRecords {
            config: running.config.clone(),
            arrivals: running.arrivals.take(),
            runs: running.target.runs(),
            key_heads: running.target.forbidden_heads(),
        });
        RunRecords {
            plan: self.plan,
            load_start: self.load_start,
            faults: self.faults.clone(),
            teams: teams.collect(),
            targets: targets.collect(),
            ejected: balancer.ejected(),
            unsent,
        }
    }
}
