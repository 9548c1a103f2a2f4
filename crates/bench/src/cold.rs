//! Number of concurrent requests at cold targets, and time until a returning zone is in service.
//!
//! Ten targets start cold at the same time under a load of 600 requests a second. Requests that find no
//! slot go to other zones. A cold target processes one request at a time, in 100 ms, until it has given
//! 12 answers, and then two at a time, in 25 ms each. With more at once it collapses: it stops answering
//! for 1 s, then aborts all requests and starts cold again after 2 s. One owner per target is compared
//! with 48 hosts that each apply the same slot rule without shared state.

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
const RUN_MICROS: u64 = 60_000_000;
const WARM_AFTER_ANSWERS: u32 = 12;
const HANG_MICROS: u64 = 1_000_000;
const RESTART_MICROS: u64 = 2_000_000;
const MEAN_ARRIVAL_MICROS: f64 = 1_000_000.0 / 600.0;
/// Consecutive good answers for one more slot, as operators would configure it for such targets.
const WARM_UP_ANSWERS: u32 = 12;

/// A simulated target that collapses under full load while it is cold.
#[derive(Clone, Debug, Default)]
struct ColdTarget {
    answers: u32,
    in_flight: usize,
    hung_until: Option<u64>,
    down_until: u64,
    generation: u64,
    collapses: u64,
    max_cold_in_flight: usize,
}

impl ColdTarget {
    fn is_warm(&self) -> bool {
        self.answers >= WARM_AFTER_ANSWERS
    }

    /// Starts a request and returns its duration in microseconds, or `None` if the target refuses it.
    fn start(&mut self, at: u64) -> Option<u64> {
        if let Some(until) = self.hung_until.take_if(|until| *until <= at) {
            *self = Self {
                down_until: until + RESTART_MICROS,
                generation: self.generation + 1,
                collapses: self.collapses,
                max_cold_in_flight: self.max_cold_in_flight,
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
            self.max_cold_in_flight = self.max_cold_in_flight.max(self.in_flight);
        }
        if self.in_flight > capacity && self.hung_until.is_none() {
            self.collapses += 1;
            self.hung_until = Some(at + HANG_MICROS);
        }
        Some(self.hung_until.map_or(micros, |until| until - at))
    }

    /// Ends a request that started in a generation. Returns `true` if it was answered.
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

/// Result of one run.
struct RunResult {
    max_cold_in_flight: usize,
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
    while arrival < RUN_MICROS && in_service_at.is_none() {
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
        let fraction: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        arrival += (-fraction.ln() * MEAN_ARRIVAL_MICROS) as u64 + 1;
    }
    Ok(RunResult {
        max_cold_in_flight: targets
            .iter()
            .map(|target| target.max_cold_in_flight)
            .max()
            .unwrap_or(0),
        collapses: targets.iter().map(|target| target.collapses).sum(),
        in_service_at,
    })
}

/// Prints a row for each policy, over consecutive seeds from the given one.
pub(crate) fn run(seed: u64) -> Result<()> {
    println!("policy runs most_at_once_cold collapses in_service median_ms p99_ms");
    for (policy, hosts) in [("owner", 1), ("alone", 48)] {
        let results: Result<Vec<_>> = (seed..seed + RUNS)
            .map(|seed| run_hosts(hosts, seed))
            .collect();
        let results = results?;
        let most = results
            .iter()
            .map(|result| result.max_cold_in_flight)
            .max()
            .unwrap_or(0);
        let collapses: u64 = results.iter().map(|result| result.collapses).sum();
        let mut times: Vec<u64> = results
            .iter()
            .filter_map(|result| result.in_service_at)
            .collect();
        times.sort_unstable();
        let quantile = |fraction: f64| {
            let position = ((times.len() as f64 * fraction).ceil() as usize).max(1) - 1;
            let time = times.get(position);
            time.map_or("-".to_owned(), |micros| (micros / 1000).to_string())
        };
        let (median, p99, count) = (quantile(0.5), quantile(0.99), times.len());
        println!("{policy} {RUNS} {most} {collapses} {count} {median} {p99}");
    }
    Ok(())
}
