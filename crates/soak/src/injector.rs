//! Injects the faults of a plan and supervises the gateway processes.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use chicorycroft_platform_standin::prelude::*;
use eyre::Result;
use rustix::process::Signal;
use smol_str::SmolStr;
use tokio::{
    sync::watch,
    time::Instant, //
};

use crate::{
    caller::{
        CallerState,
        key_text, //
    },
    fleet::{
        GRACE_TIME,
        SoakFleet, //
    },
    history::{
        FaultSpan,
        GuaranteeViolation,
        SoakHistory, //
    },
    plan::{
        FaultKind,
        HostIndex,
        LinkKind,
        PlannedFault,
        REWRITE_DELAY,
        SoakPlan,
        TargetIndex, //
    },
    relay::LinkMode,
};

/// Time from the end of a process to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Time from the publication of a configuration until callers use its keys and routes: the platform's `configS` and one second.
const KEY_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Time after the grace time in which an exit is not yet late, for scheduling delays on a busy machine.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// State of a host's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HostPhase {
    Up,
    /// SIGTERM was sent at this time.
    Stopping(Duration),
    /// The process restarts at this time.
    Down(Duration),
}

/// An action with a scheduled time.
#[derive(Clone, Copy, Debug)]
enum ScheduledAction {
    StartFault(PlannedFault),
    EndFault(PlannedFault, usize),
    RestoreEntry(TargetIndex),
    PublishKey(usize),
    /// Callers use the latest one of a number of added routes.
    PublishRoutes(u64),
    /// Operators and targets write again what the store has lost.
    Rewrite,
}

/// Injects faults into a fleet and records them.
pub(crate) struct FaultInjector {
    pub(crate) fleet: SoakFleet,
    phases: Vec<HostPhase>,
    pub(crate) history: SoakHistory,
    pub(crate) violations: Vec<GuaranteeViolation>,
    pub(crate) caller_state: watch::Sender<CallerState>,
    scheduled: BTreeMap<(Duration, usize), ScheduledAction>,
    scheduled_count: usize,
    key: usize,
    /// Number of routes that were added, and of the versions that added some.
    added_routes: u64,
    growths: u64,
    /// Number of store outages in progress.
    store_outages: usize,
    pub(crate) start: Instant,
}

/// Returns the host that an unplanned fault disturbs, or `None` if it may disturb all hosts.
fn disturbed_host(kind: FaultKind) -> Option<HostIndex> {
    use FaultKind::*;
    match kind {
        Kill(host) | Pause(host) => Some(host),
        Delay(link, _) | Cut(link) | OneWay(link) | Silence(link) | Reset(link) => match link {
            LinkKind::Callers(host) | LinkKind::Store(host) => Some(host),
            // A host that its peers cannot reach may delay their requests.
            LinkKind::Peers(_) | LinkKind::Target(_) => None,
        },
        _ => None,
    }
}

impl FaultInjector {
    /// Creates an injector for a fleet that is ready, and schedules the faults of a plan.
    pub(crate) fn new(
        fleet: SoakFleet,
        plan: &SoakPlan,
        caller_state: watch::Sender<CallerState>,
        start: Instant,
    ) -> Self {
        let mut injector = Self {
            phases: vec![HostPhase::Up; fleet.hosts.len()],
            history: SoakHistory {
                team: TEAM.into(),
                route_limit: ROUTE_LIMIT,
                length: plan.length,
                ..SoakHistory::default()
            },
            violations: Vec::new(),
            fleet,
            caller_state,
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
            key: 0,
            added_routes: 0,
            growths: 0,
            store_outages: 0,
            start,
        };
        for fault in &plan.faults {
            injector.schedule(fault.at, ScheduledAction::StartFault(*fault));
        }
        injector
    }

    fn schedule(&mut self, at: Duration, action: ScheduledAction) {
        self.scheduled_count += 1;
        self.scheduled.insert((at, self.scheduled_count), action);
    }

    /// Executes the actions whose time has come.
    pub(crate) fn run_due_actions(&mut self) -> Result<()> {
        let now = self.start.elapsed();
        while let Some(entry) = self.scheduled.first_entry() {
            if entry.key().0 > now {
                break;
            }
            match entry.remove() {
                ScheduledAction::StartFault(fault) => self.start_fault(fault)?,
                ScheduledAction::EndFault(fault, span) => self.end_fault(fault, span),
                ScheduledAction::RestoreEntry(target) => {
                    self.fleet.targets[target.0].publish_entry(&self.fleet.store);
                }
                ScheduledAction::PublishKey(key) => {
                    self.caller_state.send_modify(|state| state.key = key)
                }
                ScheduledAction::PublishRoutes(count) => self
                    .caller_state
                    .send_modify(|state| state.added_routes = count),
                ScheduledAction::Rewrite => self.rewrite_store(now),
            }
        }
        Ok(())
    }

    /// Starts a fault. One that cannot add to the faults in progress, such as the stop of a host that is down, is
    /// skipped.
    fn start_fault(&mut self, fault: PlannedFault) -> Result<()> {
        let now = self.start.elapsed();
        let kind = fault.kind;
        println!(
            "event=fault at={now:?} span={:?} kind=\"{kind:?}\"",
            fault.duration
        );
        let is_up = |host: HostIndex| self.phases[host.0] == HostPhase::Up;
        match kind {
            FaultKind::Stop(host) if is_up(host) => {
                self.fleet.hosts[host.0].signal(Signal::TERM);
                self.phases[host.0] = HostPhase::Stopping(now);
                return Ok(());
            }
            FaultKind::Stop(_) => return Ok(()),
            FaultKind::Kill(host) => self.kill(host, now + fault.duration),
            FaultKind::KillAll => {
                (0..self.phases.len())
                    .for_each(|host| self.kill(HostIndex(host), now + fault.duration));
            }
            FaultKind::Pause(host) => self.fleet.hosts[host.0].signal(Signal::STOP),
            FaultKind::Reload(host) => {
                self.fleet.hosts[host.0].signal(Signal::HUP);
                return Ok(());
            }
            FaultKind::KeyChange => {
                self.rotate_key(now);
                return Ok(());
            }
            FaultKind::RoutesAdded(count) => {
                self.add_routes(count, now);
                return Ok(());
            }
            FaultKind::EntryGone(target) => {
                self.remove_entry(target, now, fault.duration);
                return Ok(());
            }
            FaultKind::Delay(link, delay) => {
                self.fleet.relay(link).set_mode(LinkMode::Delayed(delay));
            }
            FaultKind::Cut(link) => self.fleet.relay(link).set_mode(LinkMode::Cut),
            FaultKind::OneWay(link) => self.fleet.relay(link).set_mode(LinkMode::OneWay),
            FaultKind::Silence(link) => self.fleet.relay(link).silence_connections(),
            FaultKind::Reset(link) => self.fleet.relay(link).reset_connections(),
            FaultKind::TargetDown(target) => {
                let link = &self.fleet.targets[target.0].link;
                link.set_mode(LinkMode::Refusing);
                link.reset_connections();
            }
            FaultKind::TargetFails(target) => {
                self.set_target_behaviour(target, TargetBehaviour::Fail)
            }
            FaultKind::TargetHangs(target) => {
                self.set_target_behaviour(target, TargetBehaviour::Hang)
            }
            FaultKind::StoreSilent | FaultKind::StoreRestored(_) => {
                self.store_outages += 1;
                self.fleet.store.set_unresponsive(true);
            }
        }
        let span = self.history.faults.len();
        let to = now + fault.duration;
        self.history.faults.push(FaultSpan {
            host: disturbed_host(kind),
            from: now,
            to,
            is_planned: false,
        });
        self.schedule(to, ScheduledAction::EndFault(fault, span));
        Ok(())
    }

    fn end_fault(&mut self, fault: PlannedFault, span: usize) {
        match fault.kind {
            FaultKind::Pause(host) => self.fleet.hosts[host.0].signal(Signal::CONT),
            FaultKind::Delay(link, _) | FaultKind::Cut(link) | FaultKind::OneWay(link) => {
                self.fleet.relay(link).set_mode(LinkMode::Open);
            }
            FaultKind::TargetDown(target) => {
                self.fleet.targets[target.0].link.set_mode(LinkMode::Open);
            }
            FaultKind::TargetFails(target) | FaultKind::TargetHangs(target) => {
                self.fleet.targets[target.0]
                    .target
                    .set_default_behaviour(None);
            }
            FaultKind::StoreSilent => {
                self.store_outages -= 1;
                // Another outage may still be in progress.
                self.fleet.store.set_unresponsive(self.store_outages > 0);
            }
            FaultKind::StoreRestored(copy_age) => {
                self.fleet.store.restore_aged(copy_age + fault.duration);
                self.store_outages -= 1;
                self.fleet.store.set_unresponsive(self.store_outages > 0);
                let rewrite_at = self.start.elapsed() + REWRITE_DELAY;
                self.schedule(rewrite_at, ScheduledAction::Rewrite);
                self.history.faults[span].to = rewrite_at;
                return;
            }
            _ => {}
        }
        self.history.faults[span].to = self.start.elapsed();
    }

    fn kill(&mut self, host: HostIndex, restart_at: Duration) {
        if matches!(self.phases[host.0], HostPhase::Down(_)) {
            return;
        }
        self.fleet.hosts[host.0].signal(Signal::KILL);
        self.phases[host.0] = HostPhase::Down(restart_at);
    }

    fn set_target_behaviour(&self, target: TargetIndex, behaviour: TargetBehaviour) {
        self.fleet.targets[target.0]
            .target
            .set_default_behaviour(Some(behaviour));
    }

    fn rotate_key(&mut self, now: Duration) {
        self.history.withdrawn_keys.insert(self.key, now);
        self.key += 1;
        self.put_config();
        self.schedule(
            now + KEY_PROPAGATION_TIME,
            ScheduledAction::PublishKey(self.key),
        );
    }

    fn add_routes(&mut self, count: u64, now: Duration) {
        self.growths += 1;
        self.added_routes += count;
        self.put_config();
        self.schedule(
            now + KEY_PROPAGATION_TIME,
            ScheduledAction::PublishRoutes(self.added_routes),
        );
    }

    /// Writes the configuration and the entries again, and removes those again that a copy has back.
    fn rewrite_store(&mut self, now: Duration) {
        self.put_config();
        for (number, target) in self.fleet.targets.iter_mut().enumerate() {
            let id = SmolStr::from(TargetIndex(number).to_string());
            let mut removed = self.history.removed_entries.iter();
            match removed.any(|(entry, _, to)| *entry == id && *to > now) {
                true => self.fleet.store.remove(&target.target.key()),
                false => target.renew_entry(&self.fleet.store),
            }
        }
    }

    fn put_config(&self) {
        let version = 1 + self.key as u64 + self.growths;
        let keys = [&*key_text(self.key)];
        let config = config_with_added_routes(version, &keys, self.added_routes);
        self.fleet.store.put_config(&config);
    }

    fn remove_entry(&mut self, target: TargetIndex, now: Duration, duration: Duration) {
        let id = SmolStr::from(target.to_string());
        let is_removed = |(entry, _, to): &(SmolStr, Duration, Duration)| *entry == id && *to > now;
        if self.history.removed_entries.iter().any(is_removed) {
            return;
        }
        let key = self.fleet.targets[target.0].target.key();
        self.fleet.store.remove(&key);
        let to = now + duration;
        self.history.removed_entries.push((id, now, to));
        self.schedule(to, ScheduledAction::RestoreEntry(target));
    }

    /// Restarts hosts whose restart time has come and handles processes that have ended.
    pub(crate) fn check_processes(&mut self) -> Result<()> {
        let now = self.start.elapsed();
        for number in 0..self.phases.len() {
            let host = &mut self.fleet.hosts[number];
            let status = match &mut host.process {
                Some(process) => process.exit_status()?,
                None => None,
            };
            if let Some(status) = status {
                host.process = None;
                println!(
                    "event=process_ended at={now:?} host={} status=\"{status}\"",
                    HostIndex(number)
                );
            }
            let has_ended = status.is_some();
            match self.phases[number] {
                HostPhase::Up if has_ended => {
                    self.report_violation("processes run on", HostIndex(number), "ended by itself");
                    self.phases[number] = HostPhase::Down(now + RESTART_DELAY);
                }
                HostPhase::Stopping(since) => self.check_stop(HostIndex(number), since, has_ended),
                HostPhase::Down(at) if at <= now && host.process.is_none() => {
                    host.start()?;
                    self.phases[number] = HostPhase::Up;
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn check_stop(&mut self, host: HostIndex, since: Duration, has_ended: bool) {
        let now = self.start.elapsed();
        let is_late = now > since + GRACE_TIME + STOP_MARGIN;
        if !has_ended && !is_late {
            return;
        }
        let is_on_host = |fault: &FaultSpan| fault.host.is_none_or(|at| at == host);
        let is_excused = self
            .history
            .faults
            .iter()
            .any(|fault| is_on_host(fault) && !fault.is_planned && fault.to >= since);
        if is_late && !is_excused {
            self.report_violation("planned stops end in time", host, "still runs");
        }
        self.fleet.hosts[host.0].signal(Signal::KILL);
        self.phases[host.0] = HostPhase::Down(now + RESTART_DELAY);
        self.history.faults.push(FaultSpan {
            host: Some(host),
            from: since,
            to: now + RESTART_DELAY,
            is_planned: true,
        });
    }

    fn report_violation(&mut self, guarantee: &'static str, host: HostIndex, detail: &str) {
        self.violations.push(GuaranteeViolation {
            guarantee,
            detail: format!("{host} at {:?} {detail}", self.start.elapsed()),
        });
    }
}
