//! Replay of a service in three zones with several hosts, without I/O: hosts search the zones, retry, hedge and pass over
//! targets as the gateway does, and targets answer by a plan of faults.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Duration, //
};

use crate::{
    common::*,
    replay_plan::*, //
};
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use indexmap::IndexMap;

const ZONES: [&str; 3] = ["a", "b", "c"];
const CONNECT_LIMIT: u64 = 150;
const ATTEMPTS_MAX: u32 = 3;
const STARTED_MAX: u32 = 5;
const KEEP_ALIVE: u64 = 4000;

#[derive(Debug)]
struct OpenAttempt {
    number: u64,
    grant: DispatchGrant,
    zone: usize,
    since: u64,
}

#[derive(Debug)]
struct ReplayRequest {
    host: usize,
    is_idempotent: bool,
    arrived: u64,
    deadline: u64,
    tried: Vec<TargetId>,
    sent: u32,
    started: u32,
    open: Vec<OpenAttempt>,
    has_run: bool,
    is_done: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    Hedge(usize),
    End(usize, u64, u8),
    Restart,
    Listing(usize),
    Serve,
}

const RESULTS: [AttemptResult; 5] = [
    AttemptResult::Good,
    AttemptResult::Failed,
    AttemptResult::Hung,
    AttemptResult::Unreachable,
    AttemptResult::Shed,
];

pub(crate) struct Replay {
    plan: ReplayPlan,
    random: ReplayRandom,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    dispatchers: Vec<ZoneDispatcher>,
    directory: TargetDirectory,
    excluded: Vec<ExcludedTargets>,
    idle: Vec<IndexMap<TargetId, u64>>,
    working: Vec<usize>,
    requests: Vec<ReplayRequest>,
    waiting: IndexMap<(usize, TicketNumber), usize>,
    log: ReplayLog,
}

fn zone_of(number: usize) -> ZoneId {
    ZoneId::new(ZONES[number % 3]).unwrap()
}

fn number_of(id: &TargetId) -> usize {
    id.as_str()[2..].parse().unwrap()
}

impl Replay {
    pub(crate) fn run(plan: ReplayPlan) -> ReplayLog {
        let listed = |number| TargetEntry {
            zone: zone_of(number),
            ..entry(number)
        };
        let mut replay = Self {
            random: ReplayRandom::new(plan.seed),
            now: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            dispatchers: (0..3).map(|zone| ZoneDispatcher::new(zone << 40)).collect(),
            directory: directory((0..plan.targets.len()).map(listed).collect()),
            excluded: (0..plan.hosts).map(|_| ExcludedTargets::new()).collect(),
            idle: vec![IndexMap::new(); plan.hosts],
            working: vec![0; plan.targets.len()],
            requests: Vec::new(),
            waiting: IndexMap::new(),
            log: ReplayLog::default(),
            plan,
        };
        replay.push(0, Event::Arrival);
        replay.push(0, Event::Serve);
        for at in replay.plan.restarts.clone() {
            replay.push(at, Event::Restart);
        }
        for (number, target) in replay.plan.targets.clone().iter().enumerate() {
            for (fault, span) in &target.faults {
                if *fault == Fault::Crashed {
                    replay.push(span.end, Event::Listing(number));
                }
            }
        }
        while let Some(Reverse((at, _, event))) = replay.events.pop() {
            replay.now = at;
            replay.on_event(event);
        }
        replay.log
    }

    fn push(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn has(&mut self, percent: u64) -> bool {
        self.random.next() * 100.0 < percent as f64
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Hedge(request) => {
                let held = &self.requests[request];
                if !held.is_done && held.open.len() == 1 && held.sent < ATTEMPTS_MAX {
                    self.attempt(request, false);
                }
            }
            Event::End(request, number, result) => {
                if result == 0 || result == 1 {
                    self.working[(number >> 40) as usize] -= 1;
                }
                self.on_end(request, number, RESULTS[usize::from(result)]);
            }
            Event::Restart => {
                let seed = self.now << 32;
                self.dispatchers = (0..3)
                    .map(|zone| ZoneDispatcher::new(seed + (zone << 40)))
                    .collect();
            }
            Event::Listing(number) => {
                let listed = self.directory.targets.get_mut(&target(number)).unwrap();
                listed.born += 1;
                listed.cold_left = Duration::from_millis(COLD_TIME);
                self.directory.update_digest();
            }
            Event::Serve => {
                for zone in 0..3 {
                    let now = at(self.now);
                    let change = self.dispatchers[zone].serve_queues(&self.directory, now);
                    self.on_change(zone, change);
                }
                if self.now < self.plan.end + 8000 {
                    self.push(self.now + 50, Event::Serve);
                }
            }
        }
    }

    fn on_arrival(&mut self) {
        let [a, b, _] = self.plan.zone_percent;
        let zone = match self.random.below(100) {
            part if part < a => 0,
            part if part < a + b => 1,
            _ => 2,
        };
        let host = self.random.below(self.plan.hosts as u64 / 3) as usize * 3 + zone;
        let (is_idempotent, time) = (
            self.has(self.plan.idempotent_percent),
            3000.0 + self.random.next() * 3000.0,
        );
        self.requests.push(ReplayRequest {
            host,
            is_idempotent,
            arrived: self.now,
            deadline: self.now + time as u64,
            tried: Vec::new(),
            sent: 0,
            started: 0,
            open: Vec::new(),
            has_run: false,
            is_done: false,
        });
        self.attempt(self.requests.len() - 1, true);
        let pause = -(1.0 - self.random.next()).ln() * 1000.0 / self.plan.rate;
        let next = self.now + pause.round() as u64;
        if next < self.plan.end {
            self.push(next, Event::Arrival);
        }
    }

    fn admit(&self, number: usize, zone: usize, wait: u64, least_trust: TargetTrust) -> PoolAnswer {
        let held = &self.requests[number];
        let now = at(self.now);
        let mut tried = self.excluded[held.host].excluded(&self.directory, now);
        tried.extend(held.tried.iter().cloned());
        let idle = self.idle[held.host].iter();
        let request = AdmitRequest {
            zone: Some(zone_of(zone)),
            is_idempotent: held.is_idempotent,
            is_repeat: held.sent > 0,
            wait_millis: wait as u32,
            left_millis: held.deadline.saturating_sub(self.now) as u32,
            connected: idle
                .filter(|(_, end)| **end > self.now)
                .map(|(id, _)| id.clone())
                .collect(),
            least_trust,
            tried,
            ..request(&number.to_string())
        };
        admit(&self.dispatchers[zone], &self.directory, &request, now)
    }

    /// Searches the zones as the gateway does and starts an attempt; ends a request that finds no target.
    fn attempt(&mut self, number: usize, may_wait: bool) {
        let own = self.requests[number].host % 3;
        let turn = number % 2;
        let zones = [own, (own + 1 + turn) % 3, (own + 2 - turn) % 3];
        let mut less_trusted = Vec::new();
        for zone in zones {
            match self.admit(number, zone, 0, TargetTrust::Unknown) {
                PoolAnswer::Granted(grant) => return self.start(number, zone, grant),
                PoolAnswer::Busy {
                    has_less_trusted: true,
                    ..
                } => less_trusted.push(zone),
                _ => {}
            }
        }
        for zone in less_trusted {
            if let PoolAnswer::Granted(grant) = self.admit(number, zone, 0, TargetTrust::Blocked) {
                return self.start(number, zone, grant);
            }
        }
        if may_wait {
            let wait = self.plan.objective * 6 / 10;
            match self.admit(number, own, wait, TargetTrust::Blocked) {
                PoolAnswer::Granted(grant) => return self.start(number, own, grant),
                PoolAnswer::Waiting(ticket) => {
                    self.waiting.insert((own, ticket), number);
                    return;
                }
                _ => {}
            }
        }
        if self.requests[number].open.is_empty() {
            self.finish(number, false);
        }
    }

    fn start(&mut self, number: usize, zone: usize, grant: DispatchGrant) {
        let (id, now) = (number_of(&grant.target), self.now);
        let mean = Duration::from_millis(grant.mean_latency_millis.into());
        let hedge_after = hedge_delay(mean).as_millis() as u64;
        let attempt = ((id as u64) << 40) + self.event_count;
        let held = &mut self.requests[number];
        held.sent += 1;
        held.started += 1;
        held.tried.push(grant.target.clone());
        let (host, left) = (held.host, held.deadline.saturating_sub(now));
        let may_hedge = held.is_idempotent && held.open.is_empty() && held.sent < ATTEMPTS_MAX;
        held.open.push(OpenAttempt {
            number: attempt,
            grant,
            zone,
            since: now,
        });
        if may_hedge {
            self.push(now + hedge_after, Event::Hedge(number));
        }
        let (time, result) = self.exchange(host, id, left);
        self.push(now + time, Event::End(number, attempt, result));
    }

    /// Returns the time that an attempt takes and the index of its result.
    fn exchange(&mut self, host: usize, id: usize, left: u64) -> (u64, u8) {
        let now = self.now;
        let idle = self.idle[host].swap_remove(&target(id));
        let fault = self.plan.targets[id].fault(now);
        let mut lossy = self.plan.lossy.iter();
        let percent = lossy
            .find(|lossy| lossy.hosts.contains(&host) && lossy.span.contains(&now))
            .map_or(0, |lossy| lossy.percent);
        let is_lost = self.has(percent);
        let is_connected = idle.is_some_and(|end| end > now);
        if fault == Some(Fault::Crashed) {
            return (2, 3);
        }
        if is_lost && !is_connected {
            return (CONNECT_LIMIT, 3);
        }
        self.log.reached.push((now, id));
        if fault == Some(Fault::Hangs) {
            return (left, 2);
        }
        if self.working[id] >= 2 {
            return (2, 4);
        }
        self.working[id] += 1;
        let steps: f64 = (0..3).map(|_| -(1.0 - self.random.next()).ln() / 3.0).sum();
        let mut time = (steps * self.plan.targets[id].mean as f64) as u64 + 1;
        if let Some(Fault::Slow(factor)) = fault {
            time *= factor;
        }
        // A lost packet is sent again after 250 ms.
        time += u64::from(is_lost) * 250;
        let is_failed = matches!(fault, Some(Fault::Fails(percent)) if self.has(percent));
        (time, u8::from(is_failed))
    }

    fn release(&mut self, open: &OpenAttempt, host: usize, result: AttemptResult) {
        let notice = ReleaseNotice {
            zone: Some(zone_of(open.zone)),
            elapsed_millis: (self.now - open.since) as u32,
            host: Some(HostId::new(&format!("edge-{host}")).unwrap()),
            ..notice(&open.grant, result)
        };
        let (_, change) = self.dispatchers[open.zone].release(&notice, at(self.now));
        self.on_change(open.zone, change);
    }

    fn on_change(&mut self, zone: usize, change: QueueChange) {
        for (ticket, grant) in change.granted {
            if let Some(number) = self.waiting.swap_remove(&(zone, ticket)) {
                self.start(number, zone, grant);
            }
        }
        for (ticket, _) in change.expired {
            if let Some(number) = self.waiting.swap_remove(&(zone, ticket)) {
                self.finish(number, false);
            }
        }
    }

    fn on_end(&mut self, number: usize, attempt: u64, result: AttemptResult) {
        let held = &mut self.requests[number];
        let Some(position) = held.open.iter().position(|open| open.number == attempt) else {
            return;
        };
        let (open, host) = (held.open.swap_remove(position), held.host);
        match result {
            AttemptResult::Unreachable => held.sent -= 1,
            AttemptResult::Failed | AttemptResult::Hung => held.has_run = true,
            _ => {}
        }
        if result == AttemptResult::Unreachable {
            self.excluded[host].on_unreachable(&open.grant.target, at(self.now));
        } else if matches!(result, AttemptResult::Good | AttemptResult::Failed) {
            self.idle[host].insert(open.grant.target.clone(), self.now + KEEP_ALIVE);
        }
        self.release(&open, host, result);
        if result == AttemptResult::Good {
            return self.finish(number, true);
        }
        let held = &self.requests[number];
        if !held.open.is_empty() {
            return;
        }
        let has_attempts = held.sent < ATTEMPTS_MAX && held.started < STARTED_MAX;
        let has_time = held.deadline > self.now + 20;
        match (held.is_idempotent || !held.has_run) && has_attempts && has_time {
            true => self.attempt(number, false),
            false => self.finish(number, false),
        }
    }

    fn finish(&mut self, number: usize, is_good: bool) {
        let held = &mut self.requests[number];
        held.is_done = true;
        let (host, open) = (held.host, std::mem::take(&mut held.open));
        self.log.answers.push(ReplayAnswer {
            arrived: held.arrived,
            ended: self.now,
            is_good,
            is_lost: !is_good && !held.is_idempotent && held.has_run,
        });
        // The attempt that is given up counts as hung, as it is older than the hedging delay.
        for open in open {
            let mean = Duration::from_millis(open.grant.mean_latency_millis.into());
            let result = match u128::from(self.now - open.since) >= hedge_delay(mean).as_millis() {
                true => AttemptResult::Hung,
                false => AttemptResult::Cancelled,
            };
            self.release(&open, host, result);
        }
    }
}
