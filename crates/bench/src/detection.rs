//! Time until a failing target is ejected, and number of false ejections.
//!
//! One service has ten targets with two slots and 40 requests a second each. The fault starts after
//! 10 s. Two policies are compared on the same faults: ejection by the evidence of a target's owner, and
//! ejection after five consecutive failures, which each of 48 hosts decides on its own.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        HashMap, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;
use chicorycroft_health::prelude::*;
use chicorycroft_placement::prelude::*;
use eyre::Result;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::faults::{
    DEADLINE_MICROS,
    FAULT_START_MICROS,
    FaultKind,
    draw_interval, //
};

const TARGETS: usize = 10;
const HOSTS: usize = 48;
const RUNS: u64 = 200;
const RUN_MICROS: u64 = 60_000_000;
const CONSECUTIVE_FAILURES: u32 = 5;
/// Mean time between two requests to one target.
const MEAN_ARRIVAL_MICROS: f64 = 25_000.0;
/// Fraction of its requests that a suspect target still receives.
const SUSPECT_FRACTION: f64 = 0.1;
/// Shortest time between two probes of a target.
const PROBE_INTERVAL_MICROS: u64 = 100_000;
const HEARTBEAT_INTERVAL_MICROS: u64 = 500_000;

/// Result of one run: times from the fault until the failing target was suspected and ejected, and the
/// number of false ejections.
#[derive(Debug, Default)]
struct RunResult {
    suspected: Option<u64>,
    detected: Option<u64>,
    false_ejections: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimulationEvent {
    Heartbeat,
    Arrival(usize),
    Probe(usize),
    HelperAnswer(usize),
    End(usize, u64),
}

struct TargetState {
    id: TargetId,
    owner: HostId,
    test: EvidenceTest,
    lifecycle: TargetLifecycle,
    is_out_of_use: bool,
    is_probed: bool,
}

/// A simulated fleet with one owner per target, health evidence and ejection permits.
struct OwnerFleet {
    fault: FaultKind,
    service: ServiceId,
    helper: HostId,
    baseline: ServiceBaseline,
    slots: SlotPool,
    paths: PathMonitor,
    arbiter: EjectionArbiter,
    targets: Vec<TargetState>,
    events: BinaryHeap<Reverse<(u64, SimulationEvent)>>,
    running: HashMap<u64, (Option<SlotPermit>, AttemptOutcome, u64)>,
    last_attempt: u64,
    rng: ChaCha8Rng,
    result: RunResult,
}

impl OwnerFleet {
    fn new(fault: FaultKind, seed: u64) -> Result<Self> {
        let service = ServiceId::new("rate")?;
        let slots = SlotPool::new();
        let arbiter = EjectionArbiter::new(Duration::from_secs(6));
        let mut targets = Vec::new();
        let mut events = BinaryHeap::from([Reverse((0, SimulationEvent::Heartbeat))]);
        for n in 0..TARGETS {
            let id = TargetId::new(&format!("t{n}"))?;
            slots.start_cold(&id, SlotCount::new(2), 10);
            events.push(Reverse((n as u64, SimulationEvent::Arrival(n))));
            targets.push(TargetState {
                id,
                owner: HostId::new(&format!("h{n}"))?,
                test: EvidenceTest::new(EvidenceSettings::default()),
                lifecycle: TargetLifecycle::new(EjectionBackoff::default()),
                is_out_of_use: false,
                is_probed: false,
            });
        }
        arbiter.start(&service, MonoTime::START);
        let ids = targets.iter().map(|target| target.id.clone());
        arbiter.on_capacity(&service, CapacityRatio::from_mille(700), ids);
        Ok(Self {
            fault,
            service,
            helper: HostId::new("helper")?,
            baseline: ServiceBaseline::new(),
            slots,
            paths: PathMonitor::new(),
            arbiter,
            targets,
            events,
            running: HashMap::new(),
            last_attempt: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            result: RunResult::default(),
        })
    }

    fn run(mut self) -> RunResult {
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at >= RUN_MICROS {
                break;
            }
            match event {
                SimulationEvent::Heartbeat => self.on_heartbeat(at),
                SimulationEvent::Arrival(n) => self.on_arrival(n, at),
                SimulationEvent::Probe(n) => self.on_probe(n, at),
                SimulationEvent::HelperAnswer(n) => {
                    let has_answered = n != 0 || !self.fault.is_down(at);
                    self.paths
                        .on_probe(&self.targets[n].id, &self.helper, has_answered);
                }
                SimulationEvent::End(n, attempt) => self.on_end(n, attempt, at),
            }
        }
        self.result
    }

    fn push(&mut self, at: u64, event: SimulationEvent) {
        self.events.push(Reverse((at, event)));
    }

    fn on_heartbeat(&mut self, at: u64) {
        let now = MonoTime::from_micros(at);
        for target in &mut self.targets {
            let counters = target.test.counters(now);
            self.baseline
                .on_counters(&self.service, &target.owner, counters, now);
        }
        self.push(at + HEARTBEAT_INTERVAL_MICROS, SimulationEvent::Heartbeat);
    }

    fn on_arrival(&mut self, n: usize, at: u64) {
        let next = at + draw_interval(&mut self.rng, MEAN_ARRIVAL_MICROS);
        self.push(next, SimulationEvent::Arrival(n));
        let is_suspect = self.targets[n].lifecycle.phase() == TargetPhase::Suspect;
        if self.targets[n].is_out_of_use || is_suspect && !self.rng.random_bool(SUSPECT_FRACTION) {
            return;
        }
        let now = MonoTime::from_micros(at);
        let deadline = MonoTime::from_micros(at + DEADLINE_MICROS);
        if let Ok(permit) = self.slots.try_acquire(&self.targets[n].id, deadline, now) {
            self.start(n, Some(permit), at);
        }
    }

    fn on_probe(&mut self, n: usize, at: u64) {
        let target = &mut self.targets[n];
        target.is_probed = !target.is_out_of_use && target.test.needs_probe();
        if !target.is_probed {
            return;
        }
        let micros = self.start(n, None, at);
        self.push(
            at + PROBE_INTERVAL_MICROS.max(micros),
            SimulationEvent::Probe(n),
        );
    }

    fn start(&mut self, n: usize, permit: Option<SlotPermit>, at: u64) -> u64 {
        let limit = match &permit {
            Some(_) => DEADLINE_MICROS,
            None => self.probe_limit(n, at),
        };
        let (outcome, micros) = match self.fault.draw_attempt(n, true, at, &mut self.rng) {
            (_, micros) if micros > limit => (AttemptOutcome::TimedOut, limit),
            drawn => drawn,
        };
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        self.running.insert(attempt, (permit, outcome, micros));
        self.push(at + micros, SimulationEvent::End(n, attempt));
        micros
    }

    fn probe_limit(&mut self, n: usize, at: u64) -> u64 {
        let now = MonoTime::from_micros(at);
        let own = self.targets[n].test.counters(now);
        let reference = self.baseline.reference(&self.service, &own, now);
        reference.map_or(DEADLINE_MICROS, |reference| {
            reference.probe_deadline().as_micros() as u64
        })
    }

    fn on_end(&mut self, n: usize, attempt: u64, at: u64) {
        let now = MonoTime::from_micros(at);
        let Some((permit, outcome, micros)) = self.running.remove(&attempt) else {
            return;
        };
        if let Some(permit) = permit {
            self.slots.release(permit, outcome, now);
        }
        let target = &mut self.targets[n];
        let own = target.test.counters(now);
        let reference = self.baseline.reference(&self.service, &own, now);
        let latency = Duration::from_micros(micros);
        let verdict = target
            .test
            .record(outcome, latency, reference.as_ref(), now);
        if target.test.needs_probe() && !target.is_probed {
            target.is_probed = true;
            self.push(at, SimulationEvent::Probe(n));
        }
        if !self.targets[n].is_out_of_use {
            self.on_verdict(n, verdict, at);
        }
    }

    fn on_verdict(&mut self, n: usize, verdict: Option<HealthVerdict>, at: u64) {
        let now = MonoTime::from_micros(at);
        let target = &mut self.targets[n];
        match verdict {
            Some(HealthVerdict::Suspect(kind)) => {
                target.lifecycle.on_event(LifecycleEvent::Suspected, now);
                let is_unresponsive = kind.is_unreachable() && target.test.is_unresponsive();
                if n == 0 && at >= FAULT_START_MICROS {
                    self.result.suspected.get_or_insert(at - FAULT_START_MICROS);
                }
                if is_unresponsive {
                    self.confirm_unreachable(n, at);
                }
            }
            Some(HealthVerdict::Healthy) => {
                target.lifecycle.on_event(LifecycleEvent::Cleared, now);
            }
            Some(HealthVerdict::Failing(kind))
                if !kind.is_unreachable() || self.confirm_unreachable(n, at) =>
            {
                self.eject(n, at);
            }
            _ => {}
        }
    }

    /// Asks another host to probe the target, and moves the target there if that host reaches it. Returns
    /// `true` if the other host does not reach it either.
    fn confirm_unreachable(&mut self, n: usize, at: u64) -> bool {
        let now = MonoTime::from_micros(at);
        let owned = HashMap::from([(self.service.clone(), 1)]);
        let id = self.targets[n].id.clone();
        let second = Some(&self.helper);
        match self.paths.decide(&id, &self.service, second, &owned, now) {
            // Round trip to the other host, including the probe.
            PathDecision::RequestProbe(_) => {
                self.push(at + 28_000, SimulationEvent::HelperAnswer(n))
            }
            PathDecision::AwaitProbe | PathDecision::HostAtFault => {}
            PathDecision::MoveOwnership(_) => self.mark_out_of_use(n, at),
            PathDecision::Eject => return true,
        }
        false
    }

    fn eject(&mut self, n: usize, at: u64) {
        let now = MonoTime::from_micros(at);
        let permit = PermitId {
            holder: self.targets[n].owner.clone(),
            incarnation: HostIncarnation::new(1),
            number: n as u64,
        };
        let id = self.targets[n].id.clone();
        let mut lease = EjectionLease::new(self.service.clone(), id, permit);
        let request = lease.next_request(now);
        if request.is_some_and(|request| self.arbiter.answer(&request, now).is_ok()) {
            self.targets[n]
                .lifecycle
                .on_event(LifecycleEvent::PermitGranted, now);
            // Round trip to the arbiter.
            self.mark_out_of_use(n, at + 3_000);
        }
    }

    fn mark_out_of_use(&mut self, n: usize, at: u64) {
        self.targets[n].is_out_of_use = true;
        let is_failing = !matches!(self.fault, FaultKind::ServiceSlow | FaultKind::Healthy);
        match n == 0 && at >= FAULT_START_MICROS && is_failing {
            true => self.result.detected = Some(at - FAULT_START_MICROS),
            false => self.result.false_ejections += 1,
        }
    }
}

/// Simulates 48 hosts that each eject a target after five consecutive failures. The failing target
/// counts as detected when half of the hosts that the fault affects have ejected it.
fn run_uncoordinated(fault: FaultKind, seed: u64) -> RunResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut result = RunResult::default();
    let is_failing = !matches!(fault, FaultKind::ServiceSlow | FaultKind::Healthy);
    let mut ejected_at: Vec<u64> = Vec::new();
    for host in 0..HOSTS {
        for target in 0..TARGETS {
            let (mut at, mut consecutive_failures) = (0, 0);
            let ejection = loop {
                at += draw_interval(&mut rng, MEAN_ARRIVAL_MICROS * HOSTS as f64);
                let (outcome, micros) = fault.draw_attempt(target, host == 0, at, &mut rng);
                consecutive_failures = if outcome == AttemptOutcome::Good {
                    0
                } else {
                    consecutive_failures + 1
                };
                match at + micros {
                    end if end >= RUN_MICROS => break None,
                    end if consecutive_failures >= CONSECUTIVE_FAILURES => break Some(end),
                    _ => {}
                }
            };
            match ejection {
                Some(end) if target == 0 && is_failing && end >= FAULT_START_MICROS => {
                    ejected_at.push(end)
                }
                Some(_) => result.false_ejections += 1,
                None => {}
            }
        }
    }
    let needed = if fault == FaultKind::OwnerCut {
        1
    } else {
        HOSTS / 2
    };
    ejected_at.sort_unstable();
    result.detected = ejected_at.get(needed - 1).map(|at| at - FAULT_START_MICROS);
    result
}

fn quantile(times: &mut [u64], fraction: f64) -> String {
    times.sort_unstable();
    let position = ((times.len() as f64 * fraction).ceil() as usize).max(1) - 1;
    times
        .get(position)
        .map_or("-".to_owned(), |micros| (micros / 1000).to_string())
}

/// Prints a row for each fault and policy, over consecutive seeds from the given one.
pub(crate) fn run(seed: u64) -> Result<()> {
    println!("fault policy runs detected median_ms p99_ms suspect_median_ms false_ejections");
    for fault in FaultKind::ALL {
        let seeds = seed..seed + RUNS;
        let owners: Result<Vec<_>> = seeds
            .clone()
            .map(|seed| Ok(OwnerFleet::new(fault, seed)?.run()))
            .collect();
        let alone = seeds.map(|seed| run_uncoordinated(fault, seed)).collect();
        for (policy, results) in [("owner", owners?), ("alone", alone)] {
            let mut detected: Vec<u64> = results
                .iter()
                .filter_map(|result| result.detected)
                .collect();
            let mut suspected: Vec<u64> = results
                .iter()
                .filter_map(|result| result.suspected)
                .collect();
            let count = detected.len();
            let (median, p99) = (quantile(&mut detected, 0.5), quantile(&mut detected, 0.99));
            let suspect = quantile(&mut suspected, 0.5);
            let false_count: u32 = results.iter().map(|result| result.false_ejections).sum();
            println!("{fault:?} {policy} {RUNS} {count} {median} {p99} {suspect} {false_count}");
        }
    }
    Ok(())
}
