//! Injects the faults of a plan, and looks after the processes.

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
        CallerNews,
        key_text, //
    },
    fleet::{
        GRACE_TIME,
        SoakFleet, //
    },
    ledger::{
        BrokenPromise,
        FaultSpan,
        SoakLedger, //
    },
    plan::{
        FaultKind,
        HostIndex,
        LinkKind,
        PlannedFault,
        SoakPlan,
        TargetIndex, //
    },
    relay::LinkMode,
};

/// Time from the end of a process to its next start.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Time from a new configuration until callers use its keys: the platform's `configS`, and a second.
const KEY_NOTICE: Duration = Duration::from_secs(3);

/// Time that an exit may come after the grace time before it is late: a late turn of a busy machine.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Whether a host's process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HostPhase {
    Up,
    /// It was told to stop at this time.
    Stopping(Duration),
    /// It starts again at this time.
    Down(Duration),
}

/// Something that is due.
#[derive(Clone, Copy, Debug)]
enum DueAction {
    Begin(PlannedFault),
    End(PlannedFault, usize),
    ListTarget(TargetIndex),
    GiveKey(usize),
}

/// The faults under way and what they did.
pub(crate) struct FaultInjector {
    pub(crate) fleet: SoakFleet,
    phases: Vec<HostPhase>,
    pub(crate) ledger: SoakLedger,
    pub(crate) broken: Vec<BrokenPromise>,
    pub(crate) news: watch::Sender<CallerNews>,
    due: BTreeMap<(Duration, usize), DueAction>,
    due_count: usize,
    key: usize,
    /// Silences of the store under way.
    silences: usize,
    pub(crate) start: Instant,
}

/// Returns the host that an unplanned fault disturbs; none for one that disturbs all.
fn host_of(kind: FaultKind) -> Option<HostIndex> {
    use FaultKind::*;
    match kind {
        Kill(host) | Pause(host) => Some(host),
        Delay(link, _) | Cut(link) | OneWay(link) | Silence(link) | Reset(link) => match link {
            LinkKind::Callers(host) | LinkKind::Store(host) => Some(host),
            // A host that others do not reach may hold up their requests.
            LinkKind::Peers(_) | LinkKind::Target(_) => None,
        },
        _ => None,
    }
}

impl FaultInjector {
    /// Takes a fleet that is ready, and the faults of a plan.
    pub(crate) fn new(
        fleet: SoakFleet,
        plan: &SoakPlan,
        news: watch::Sender<CallerNews>,
        start: Instant,
    ) -> Self {
        let mut injector = Self {
            phases: vec![HostPhase::Up; fleet.hosts.len()],
            ledger: SoakLedger {
                team: TEAM.into(),
                route_limit: ROUTE_LIMIT,
                length: plan.length,
                ..SoakLedger::default()
            },
            broken: Vec::new(),
            fleet,
            news,
            due: BTreeMap::new(),
            due_count: 0,
            key: 0,
            silences: 0,
            start,
        };
        for fault in &plan.faults {
            injector.schedule(fault.at, DueAction::Begin(*fault));
        }
        injector
    }

    fn schedule(&mut self, at: Duration, action: DueAction) {
        self.due_count += 1;
        self.due.insert((at, self.due_count), action);
    }

    /// Does what is due.
    pub(crate) fn act(&mut self) -> Result<()> {
        let now = self.start.elapsed();
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > now {
                break;
            }
            match entry.remove() {
                DueAction::Begin(fault) => self.begin(fault)?,
                DueAction::End(fault, span) => self.end(fault, span),
                DueAction::ListTarget(target) => {
                    self.fleet.targets[target.0].list(&self.fleet.store);
                }
                DueAction::GiveKey(key) => self.news.send_modify(|news| news.key = key),
            }
        }
        Ok(())
    }

    /// Begins a fault. One that cannot add to those under way is left out.
    fn begin(&mut self, fault: PlannedFault) -> Result<()> {
        let now = self.start.elapsed();
        let kind = fault.kind;
        println!(
            "event=fault at={now:?} span={:?} kind=\"{kind:?}\"",
            fault.span
        );
        let is_up = |host: HostIndex| self.phases[host.0] == HostPhase::Up;
        match kind {
            FaultKind::Stop(host) if is_up(host) => {
                self.fleet.hosts[host.0].signal(Signal::TERM);
                self.phases[host.0] = HostPhase::Stopping(now);
                return Ok(());
            }
            FaultKind::Stop(_) => return Ok(()),
            FaultKind::Kill(host) => self.kill(host, now + fault.span),
            FaultKind::KillAll => {
                (0..self.phases.len())
                    .for_each(|host| self.kill(HostIndex(host), now + fault.span));
            }
            FaultKind::Pause(host) => self.fleet.hosts[host.0].signal(Signal::STOP),
            FaultKind::Reload(host) => {
                self.fleet.hosts[host.0].signal(Signal::HUP);
                return Ok(());
            }
            FaultKind::KeyChange => {
                self.change_key(now);
                return Ok(());
            }
            FaultKind::EntryGone(target) => {
                self.remove_entry(target, now, fault.span);
                return Ok(());
            }
            FaultKind::Delay(link, delay) => {
                self.fleet.relay(link).set_mode(LinkMode::Delayed(delay));
            }
            FaultKind::Cut(link) => self.fleet.relay(link).set_mode(LinkMode::Cut),
            FaultKind::OneWay(link) => self.fleet.relay(link).set_mode(LinkMode::OneWay),
            FaultKind::Silence(link) => self.fleet.relay(link).silence_open(),
            FaultKind::Reset(link) => self.fleet.relay(link).reset_open(),
            FaultKind::TargetDown(target) => {
                let link = &self.fleet.targets[target.0].link;
                link.set_mode(LinkMode::Refusing);
                link.reset_open();
            }
            FaultKind::TargetFails(target) => self.set_habit(target, TargetBehaviour::Fail),
            FaultKind::TargetHangs(target) => self.set_habit(target, TargetBehaviour::Hang),
            FaultKind::StoreSilent => {
                self.silences += 1;
                self.fleet.store.set_silent(true);
            }
        }
        let span = self.ledger.faults.len();
        let to = now + fault.span;
        self.ledger.faults.push(FaultSpan {
            host: host_of(kind),
            from: now,
            to,
            is_planned: false,
        });
        self.schedule(to, DueAction::End(fault, span));
        Ok(())
    }

    fn end(&mut self, fault: PlannedFault, span: usize) {
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
                self.silences -= 1;
                // Another silence may go on.
                self.fleet.store.set_silent(self.silences > 0);
            }
            _ => {}
        }
        self.ledger.faults[span].to = self.start.elapsed();
    }

    fn kill(&mut self, host: HostIndex, restart_at: Duration) {
        if matches!(self.phases[host.0], HostPhase::Down(_)) {
            return;
        }
        self.fleet.hosts[host.0].signal(Signal::KILL);
        self.phases[host.0] = HostPhase::Down(restart_at);
    }

    fn set_habit(&self, target: TargetIndex, act: TargetBehaviour) {
        self.fleet.targets[target.0]
            .target
            .set_default_behaviour(Some(act));
    }

    fn change_key(&mut self, now: Duration) {
        self.ledger.withdrawn.insert(self.key, now);
        self.key += 1;
        let version = 1 + self.key as u64;
        let config = config(version, &[&key_text(self.key)]);
        self.fleet.store.put_config(&config);
        self.schedule(now + KEY_NOTICE, DueAction::GiveKey(self.key));
    }

    fn remove_entry(&mut self, target: TargetIndex, now: Duration, span: Duration) {
        let id = SmolStr::from(target.to_string());
        let is_gone = |(gone, _, to): &(SmolStr, Duration, Duration)| *gone == id && *to > now;
        if self.ledger.gone.iter().any(is_gone) {
            return;
        }
        let key = self.fleet.targets[target.0].target.key();
        self.fleet.store.remove(&key);
        let to = now + span;
        self.ledger.gone.push((id, now, to));
        self.schedule(to, DueAction::ListTarget(target));
    }

    /// Starts hosts that are due, and notes how processes end.
    pub(crate) fn look_at_processes(&mut self) -> Result<()> {
        let now = self.start.elapsed();
        for number in 0..self.phases.len() {
            let host = &mut self.fleet.hosts[number];
            let status = match &mut host.process {
                Some(process) => process.ended()?,
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
                    self.say("processes run on", HostIndex(number), "ended by itself");
                    self.phases[number] = HostPhase::Down(now + RESTART_TIME);
                }
                HostPhase::Stopping(since) => {
                    self.look_at_stop(HostIndex(number), since, has_ended)
                }
                HostPhase::Down(at) if at <= now && host.process.is_none() => {
                    host.start()?;
                    self.phases[number] = HostPhase::Up;
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn look_at_stop(&mut self, host: HostIndex, since: Duration, has_ended: bool) {
        let now = self.start.elapsed();
        let is_late = now > since + GRACE_TIME + STOP_MARGIN;
        if !has_ended && !is_late {
            return;
        }
        let is_here = |fault: &FaultSpan| fault.host.is_none_or(|at| at == host);
        let is_excused = self
            .ledger
            .faults
            .iter()
            .any(|fault| is_here(fault) && !fault.is_planned && fault.to >= since);
        if is_late && !is_excused {
            self.say("planned stops end in time", host, "still runs");
        }
        self.fleet.hosts[host.0].signal(Signal::KILL);
        self.phases[host.0] = HostPhase::Down(now + RESTART_TIME);
        self.ledger.faults.push(FaultSpan {
            host: Some(host),
            from: since,
            to: now + RESTART_TIME,
            is_planned: true,
        });
    }

    fn say(&mut self, promise: &'static str, host: HostIndex, seen: &str) {
        self.broken.push(BrokenPromise {
            promise,
            seen: format!("{host} at {:?} {seen}", self.start.elapsed()),
        });
    }
}
