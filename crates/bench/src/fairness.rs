//! Service level of the worst-served team while another one sends five times its share.
//!
//! 8 teams compete for the slots of 6 targets with 2 slots each, and an attempt takes 10 to 30 ms. The
//! baseline is a single FIFO queue with the same bound on its length.

use std::collections::VecDeque;

use chicorycroft_core::prelude::*;
use chicorycroft_fairness::prelude::*;
use eyre::Result;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const TEAMS: usize = 8;
const SLOTS: usize = 12;
const QUEUE_MAX: usize = 256;
const STEP_MICROS: u64 = 100;
const RUN_MICROS: u64 = 60_000_000;
const DEADLINE_MICROS: u64 = 500_000;
/// Requests per second that the slots can serve: 12 slots at 20 ms per request.
const CAPACITY_PER_SECOND: f64 = 600.0;

/// A queue as closures, so that both kinds run in the same simulation.
struct BenchQueue<'a> {
    enqueue: &'a mut dyn FnMut(usize, MonoTime, MonoTime),
    next: &'a mut dyn FnMut(MonoTime) -> Option<usize>,
}

/// Returns the number of served requests of each team. `loads` are multiples of the equal share.
fn simulate(queue: BenchQueue<'_>, loads: &[f64; TEAMS], seed: u64) -> [u64; TEAMS] {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut served = [0; TEAMS];
    let mut busy_until = [0; SLOTS];
    for step in 0..RUN_MICROS / STEP_MICROS {
        let micros = step * STEP_MICROS;
        let now = MonoTime::from_micros(micros);
        for (team, load) in loads.iter().enumerate() {
            let probability = load * CAPACITY_PER_SECOND / TEAMS as f64 * STEP_MICROS as f64 / 1e6;
            if random.random_bool(probability) {
                let deadline = MonoTime::from_micros(micros + DEADLINE_MICROS);
                (queue.enqueue)(team, deadline, now);
            }
        }
        for slot in busy_until.iter_mut().filter(|until| **until <= micros) {
            if let Some(team) = (queue.next)(now) {
                served[team] += 1;
                *slot = micros + random.random_range(10_000..30_000);
            }
        }
    }
    served
}

fn run_fair(loads: &[f64; TEAMS], seed: u64) -> Result<[u64; TEAMS]> {
    let teams: Result<Vec<QueueTeam>> = (0..TEAMS)
        .map(|team| Ok(QueueTeam::Team(TeamId::new(&format!("team-{team}"))?)))
        .collect();
    let teams = teams?;
    let queue = std::cell::RefCell::new(FairQueue::new(QueueBounds {
        per_team: QUEUE_MAX / 4,
        total: QUEUE_MAX,
    }));
    let mut enqueue = |team: usize, deadline, now| {
        // Only served requests are counted, so a refusal needs no handling.
        let _refusal = queue
            .borrow_mut()
            .enqueue(teams[team].clone(), deadline, now);
    };
    let mut next = |now| {
        let ticket = queue.borrow_mut().next(now)?;
        queue.borrow_mut().expire(now);
        teams.iter().position(|team| *team == ticket.team)
    };
    let queue = BenchQueue {
        enqueue: &mut enqueue,
        next: &mut next,
    };
    Ok(simulate(queue, loads, seed))
}

fn run_in_order(loads: &[f64; TEAMS], seed: u64) -> [u64; TEAMS] {
    let queue = std::cell::RefCell::new(VecDeque::new());
    let mut enqueue = |team: usize, deadline: MonoTime, _: MonoTime| {
        let mut queue = queue.borrow_mut();
        if queue.len() < QUEUE_MAX {
            queue.push_back((team, deadline));
        }
    };
    let mut next = |now: MonoTime| {
        let mut queue = queue.borrow_mut();
        while let Some((team, deadline)) = queue.pop_front() {
            if deadline > now {
                return Some(team);
            }
        }
        None
    };
    let queue = BenchQueue {
        enqueue: &mut enqueue,
        next: &mut next,
    };
    simulate(queue, loads, seed)
}

/// Returns the max-min fair shares, in requests per second, of teams whose loads are the given multiples
/// of an equal share.
fn fair_shares(loads: &[f64; TEAMS]) -> [f64; TEAMS] {
    let mut shares = [0.0; TEAMS];
    let mut order: Vec<usize> = (0..TEAMS).collect();
    order.sort_by(|&a, &b| loads[a].total_cmp(&loads[b]));
    let mut remaining = TEAMS as f64;
    for (served_teams, team) in order.into_iter().enumerate() {
        shares[team] = loads[team].min(remaining / (TEAMS - served_teams) as f64);
        remaining -= shares[team];
    }
    shares.map(|share| share * CAPACITY_PER_SECOND / TEAMS as f64)
}

/// Prints the lowest percentage of its max-min fair share that a team was served, for both queues.
pub(crate) fn run(seed: u64) -> Result<()> {
    println!("seed load kind worst_share_% worst_team heavy_share_%");
    let heavy = |others: f64| {
        let mut loads = [others; TEAMS];
        loads[0] = 5.0;
        loads
    };
    let mixed = [5.0, 0.2, 0.4, 0.6, 0.8, 1.0, 1.0, 1.0];
    for (name, loads) in [
        ("others-at-0.9", heavy(0.9)),
        ("others-at-0.5", heavy(0.5)),
        ("mixed", mixed),
    ] {
        let shares = fair_shares(&loads);
        let kinds = [
            ("fair", run_fair(&loads, seed)?),
            ("in-order", run_in_order(&loads, seed)),
        ];
        for (kind, served) in kinds {
            let seconds = RUN_MICROS as f64 / 1e6;
            let percent = |team: usize| served[team] as f64 / seconds / shares[team] * 100.0;
            let worst = (0..TEAMS).min_by(|&a, &b| percent(a).total_cmp(&percent(b)));
            let worst = worst.unwrap_or(0);
            println!(
                "{seed} {name} {kind} {:.1} {worst} {:.1}",
                percent(worst),
                percent(0)
            );
        }
    }
    Ok(())
}
