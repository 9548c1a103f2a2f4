//! How many requests a cold target gets at once, and how soon a zone that returns is in service.
//!
//! Ten targets start cold at the same time while 600 requests a second could use them; what finds no
//! slot goes to other zones. A cold target works on one request at a time for 12 answers of 100 ms,
//! and then on two of 25 ms. With more than that at once it collapses: it answers nothing for 1 s, cuts
//! all requests and starts cold again after 2 s. One owner for each target is compared with 48 hosts that each use the same
//! slot rule with nothing shared.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        HashMap, //
    },
};

use chicorycroft_core::prelude::*;
use chicorycroft_placement::prelude::*;
use eyre::Result;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const TARGETS: usize = 10;
const RUNS: u64 = 200;
const END_AT: u64 = 60_000_000;
const COLD_ANSWERS: u32 = 12;
const HANG: u64 = 1_000_000;
const RESTART: u64 = 2_000_000;
const ARRIVAL_GAP: f64 = 1_000_000.0 / 600.0;
/// Answers in a row for one more slot, as the service's operators would set it for such targets.
const WARM_UP_ANSWERS: u32 = 12;

/// A back end that collapses under full load while it is cold.
#[derive(Clone, Debug, Default)]
struct ColdTarget {
    answers: u32,
    in_flight: usize,
    hung_until: Option<u64>,
    down_until: u64,
    generation: u64,
    collapses: u64,
    most_cold: usize,
}

impl ColdTarget {
    fn is_warm(&self) -> bool {
        self.answers >= COLD_ANSWERS
    }

    /// Takes a request and returns how long it works on it, or `None` when it refuses it.
    fn start(&mut self, at: u64) -> Option<u64> {
        if let Some(until) = self.hung_until.take_if(|until| *until <= at) {
            *self = Self {
                down_until: until + RESTART,
                generation: self.generation + 1,
                collapses: self.collapses,
                most_cold: self.most_cold,
                ..Self::default()
            };
        }
        if at < self.down_until {
            return None;
        }
        self.in_flight += 1;
        let capacity = if self.is_warm() { 2 } else { 1 };
        let micros = if self.is_warm() { 25_000 } else { 100_000 };
        if !self.is_warm() {
            self.most_cold = self.most_cold.max(self.in_flight);
        }
        if self.in_flight > capacity && self.hung_until.is_none() {
            self.collapses += 1;
            self.hung_until = Some(at + HANG);
        }
        Some(self.hung_until.map_or(micros, |until| until - at))
    }

    /// Ends a request that began in a generation and tells whether it was answered.
    fn end(&mut self, generation: u64) -> bool {
        if generation != self.generation {
            return false;
        }
        self.in_flight -= 1;
        let is_answered = self.hung_until.is_none();
        self.answers += u32::from(is_answered);
        is_answered
    }
}

/// What a run showed.
struct RunResult {
    most_cold: usize,
    collapses: u64,
    in_service_at: Option<u64>,
}

fn run_hosts(hosts: usize, seed: u64) -> Result<RunResult> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let ids: std::result::Result<Vec<_>, _> = (0..TARGETS)
        .map(|n| TargetId::new(&format!("t{n}")))
        .collect();
    let ids = ids?;
    let pools: Vec<SlotPool> = (0..hosts).map(|_| SlotPool::new()).collect();
    for pool in &pools {
        ids.iter()
            .for_each(|id| pool.start_cold(id, SlotCount::new(2), WARM_UP_ANSWERS));
    }
    let mut targets = vec![ColdTarget::default(); TARGETS];
    let mut ends = BinaryHeap::new();
    let mut running = HashMap::new();
    let (mut arrival, mut number, mut in_service_at) = (0, 0u64, None);
    while arrival < END_AT && in_service_at.is_none() {
        while let Some(&Reverse((at, key))) = ends.peek()
            && at <= arrival
        {
            ends.pop();
            let Some((host, n, generation, permit)) = running.remove(&key) else {
                continue;
            };
            let (host, n): (usize, usize) = (host, n);
            let outcome = match targets[n].end(generation) {
                true => AttemptOutcome::Good,
                false => AttemptOutcome::Cut,
            };
            pools[host].release(permit, outcome, MonoTime::from_micros(at));
            if targets.iter().all(ColdTarget::is_warm) {
                in_service_at.get_or_insert(at);
            }
        }
        let (host, n) = (rng.random_range(0..hosts), rng.random_range(0..TARGETS));
        let now = MonoTime::from_micros(arrival);
        let deadline = MonoTime::from_micros(arrival + 1_000_000);
        if let Ok(permit) = pools[host].try_acquire(&ids[n], deadline, now) {
            let generation = targets[n].generation;
            match targets[n].start(arrival) {
                Some(micros) => {
                    number += 1;
                    ends.push(Reverse((arrival + micros, number)));
                    running.insert(number, (host, n, generation, permit));
                }
                None => pools[host].release(permit, AttemptOutcome::Refused, now),
            }
        }
        let part: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        arrival += (-part.ln() * ARRIVAL_GAP) as u64 + 1;
    }
    Ok(RunResult {
        most_cold: targets.iter().map(|it| it.most_cold).max().unwrap_or(0),
        collapses: targets.iter().map(|it| it.collapses).sum(),
        in_service_at,
    })
}

/// Prints a row for each policy, over seeds that follow the given one.
pub(crate) fn run(seed: u64) -> Result<()> {
    println!("policy runs most_at_once_cold collapses in_service median_ms p99_ms");
    for (policy, hosts) in [("owner", 1), ("alone", 48)] {
        let results: Result<Vec<_>> = (seed..seed + RUNS)
            .map(|seed| run_hosts(hosts, seed))
            .collect();
        let results = results?;
        let most = results.iter().map(|it| it.most_cold).max().unwrap_or(0);
        let collapses: u64 = results.iter().map(|it| it.collapses).sum();
        let mut times: Vec<u64> = results.iter().filter_map(|it| it.in_service_at).collect();
        times.sort_unstable();
        let at = |part: f64| {
            let position = ((times.len() as f64 * part).ceil() as usize).max(1) - 1;
            let time = times.get(position);
            time.map_or("-".to_owned(), |micros| (micros / 1000).to_string())
        };
        let (median, late, count) = (at(0.5), at(0.99), times.len());
        println!("{policy} {RUNS} {most} {collapses} {count} {median} {late}");
    }
    Ok(())
}
