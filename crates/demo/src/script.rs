//! Causes the faults at their times, while the load runs.

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
        LoadRun,
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
    setting::{
        COLD_TARGET,
        CRASHED_HOST,
        GRAY_TARGET,
        KEY_TEAM,
        STOPPED_HOST,
        TEAMS,
        TargetPlace,
        ZONE_OUT, //
    },
};

/// Time before the load in which hosts mint tokens; they start with none.
const MINT_TIME: Duration = Duration::from_millis(2500);
/// Time that a restarted target is cold.
const COLD_TIME: Duration = Duration::from_secs(3);
/// Time that the port of a restarted target is closed.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Time between two lines about the load.
const LOAD_LINE_PERIOD: Duration = Duration::from_secs(5);
/// The gray target answers one request in this many with an error.
const GRAY_ERROR_EVERY: u32 = 2;
/// Then its answers take this many times as long.
const GRAY_SLOW_BY: u32 = 25;

type ProgressLine = Arc<dyn Fn(&str) + Send + Sync>;

/// One run of the demo.
struct DemoRun {
    plan: DemoPlan,
    epoch: Instant,
    from: Duration,
    fleet: DemoFleet,
    faults: FaultTimes,
    zone_out: (UnixTime, UnixTime),
    progress: ProgressLine,
}

/// Plays a run and computes its measures.
///
/// # Errors
///
/// Fails when the fleet does not start or a restarted target does not get its port back.
pub async fn play(
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
    let mut helpers = JoinSet::new();
    helpers.spawn(balancer.clone().watch());
    let logs: Vec<EventLog<CallRecord>> = TEAMS.iter().map(|_| EventLog::new()).collect();
    helpers.spawn(tell_load(run.progress.clone(), epoch, logs.clone()));
    let mut loads = run.start_loads(&balancer, &logs);
    run.play_steps().await?;
    let mut unsent = 0;
    while let Some(count) = loads.join_next().await {
        unsent += count.unwrap_or_default();
    }
    helpers.shutdown().await;
    let records = run.collect(logs, &balancer, unsent);
    run.fleet.end().await;
    Ok(DemoReport::new(&records))
}

async fn tell_load(progress: ProgressLine, epoch: Instant, logs: Vec<EventLog<CallRecord>>) {
    loop {
        tokio::time::sleep(LOAD_LINE_PERIOD).await;
        let ended: usize = logs.iter().map(EventLog::len).sum();
        let seconds = epoch.elapsed().as_secs_f64();
        progress(&format!("{seconds:6.1} s  {ended} requests have ended"));
    }
}

impl DemoRun {
    fn new(plan: DemoPlan, epoch: Instant, fleet: DemoFleet, progress: ProgressLine) -> Self {
        let from = epoch.elapsed();
        let since_1970 = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        // Bookings are in whole seconds.
        let booked = |step| (since_1970 + plan.time_of(step)).as_secs() + 1;
        let (start, end) = (booked(DemoStep::ZoneOut), booked(DemoStep::ZoneBack));
        let unix = |seconds| UnixTime::from_millis(seconds * 1000);
        let offset = |seconds| from + Duration::from_secs(seconds).saturating_sub(since_1970);
        let faults = FaultTimes {
            zone_from: offset(start),
            zone_to: offset(end),
            ..FaultTimes::default()
        };
        Self {
            plan,
            epoch,
            from,
            fleet,
            faults,
            zone_out: (unix(start), unix(end)),
            progress,
        }
    }

    fn tell(&self, line: &str) {
        let seconds = self.epoch.elapsed().as_secs_f64();
        (self.progress)(&format!("{seconds:6.1} s  {line}"));
    }

    fn publish(&mut self, has_old_key: bool) {
        self.fleet.publish(has_old_key, Some(self.zone_out));
    }

    fn start_loads(
        &self,
        balancer: &Arc<DemoBalancer>,
        logs: &[EventLog<CallRecord>],
    ) -> JoinSet<u64> {
        self.tell("load starts; parcel-union sends four times its rate");
        let run = LoadRun {
            epoch: self.epoch,
            from: self.from,
            to: self.from + self.plan.length,
            balancer: balancer.clone(),
        };
        let mut loads = JoinSet::new();
        for (number, (team, log)) in (0..).zip(TEAMS.into_iter().zip(logs)) {
            let load = TeamLoad::new(team, self.plan.seed, number, log.clone());
            loads.spawn(load.send(run.clone()));
        }
        loads
    }

    async fn play_steps(&mut self) -> Result<(), DemoError> {
        for (step, _) in DemoStep::TIMES {
            let time = match step {
                DemoStep::ZoneOut => self.faults.zone_from,
                DemoStep::ZoneBack => self.faults.zone_to,
                _ => self.from + self.plan.time_of(step),
            };
            tokio::time::sleep_until(self.epoch + time).await;
            self.play_step(step).await?;
        }
        Ok(())
    }

    async fn play_step(&mut self, step: DemoStep) -> Result<(), DemoError> {
        let now = self.epoch.elapsed();
        match step {
            DemoStep::GrayErrors => {
                self.tell(&format!("{GRAY_TARGET} fails half of its requests"));
                self.faults.gray_from = now;
                self.set_gray(TargetFault::ErrorEvery(GRAY_ERROR_EVERY));
            }
            DemoStep::GraySlow => {
                self.tell(&format!(
                    "{GRAY_TARGET} answers {GRAY_SLOW_BY} times as slowly"
                ));
                self.set_gray(TargetFault::SlowBy(GRAY_SLOW_BY));
            }
            DemoStep::GrayEnd => {
                self.tell(&format!("{GRAY_TARGET} is well again"));
                self.faults.gray_to = now;
                self.set_gray(TargetFault::None);
            }
            DemoStep::ZoneOut => self.tell(&format!("zone {ZONE_OUT} is out by its booking")),
            DemoStep::KeyWithdrawn => {
                self.tell(&format!(
                    "a key of {KEY_TEAM} is withdrawn; its caller goes on"
                ));
                self.faults.key_withdrawn = now;
                self.publish(false);
            }
            DemoStep::ZoneRestart => {
                self.tell(&format!(
                    "the targets of {ZONE_OUT} restart while it is out"
                ));
                // They are still cold when the zone comes back.
                let left = self.faults.zone_to.saturating_sub(now);
                self.restart(|place| place.zone == ZONE_OUT, left + COLD_TIME)
                    .await?;
            }
            DemoStep::ZoneBack => self.tell(&format!("zone {ZONE_OUT} is back, cold")),
            DemoStep::ColdRestart => {
                self.tell(&format!("{COLD_TARGET} restarts, cold"));
                self.restart(|place| place.id == COLD_TARGET, COLD_TIME)
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

    /// Restarts targets at once.
    async fn restart(
        &mut self,
        is_meant: impl Fn(&TargetPlace) -> bool,
        cold_time: Duration,
    ) -> Result<(), DemoError> {
        let targets = self.fleet.targets.iter_mut();
        let mut targets: Vec<_> = targets.filter(|it| is_meant(&it.place)).collect();
        targets.iter().for_each(|target| target.go_down());
        tokio::time::sleep(RESTART_TIME).await;
        for target in &mut targets {
            target.come_up(cold_time).await?;
        }
        Ok(())
    }

    async fn stop_host(&mut self) {
        self.tell(&format!("{STOPPED_HOST} stops as planned"));
        self.fleet.list_hosts(Some(STOPPED_HOST));
        self.faults.stop_from = self.epoch.elapsed();
        if let Some(host) = self.fleet.take_host(STOPPED_HOST) {
            self.faults.is_drained = host.stop().await;
        }
        self.faults.stop_to = self.epoch.elapsed();
        let word = match self.faults.is_drained {
            true => "all its requests ended",
            false => "it had to cut requests",
        };
        self.tell(&format!("{STOPPED_HOST} has stopped; {word}"));
        self.fleet.list_hosts(None);
    }

    async fn crash_host(&mut self) {
        self.tell(&format!("{CRASHED_HOST} crashes"));
        self.faults.crash = self.epoch.elapsed();
        if let Some(host) = self.fleet.take_host(CRASHED_HOST) {
            host.crash().await;
        }
        self.fleet.list_hosts(None);
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
            place: running.place.clone(),
            arrivals: running.arrivals.take(),
            runs: running.target.runs(),
            key_heads: running.target.forbidden_heads(),
        });
        RunRecords {
            plan: self.plan,
            from: self.from,
            faults: self.faults.clone(),
            teams: teams.collect(),
            targets: targets.collect(),
            ejected: balancer.ejected(),
            unsent,
        }
    }
}
