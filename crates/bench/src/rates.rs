//! Refusals within the rate, overshoot, and cost of token transfers between hosts.
//!
//! The simulated fleet has 48 hosts in 3 zones and 8 teams. A request for which a host has no token waits
//! up to 25 ms. A refusal counts as false if a single bucket for the whole fleet would have admitted the
//! request. The baseline is an equal split: the same ledgers without transfers.

use eyre::Result;

use crate::{
    rates_counts::TeamCounts,
    rates_simulation::{
        HOSTS,
        RUN_SECONDS,
        RateCase,
        RateSimulation,
        TEAM_RATES, //
    },
};

fn random_host(_: usize, _: u64, random: u64) -> usize {
    random as usize % HOSTS
}

fn single_host(_: usize, _: u64, _: u64) -> usize {
    0
}

fn rotating_host(team: usize, second: u64, _: u64) -> usize {
    (second as usize * 31 + team * 7) % HOSTS
}

/// Returns the largest number of tokens spent beyond rate x window + burst, over all windows and teams.
fn overshoot(simulation: &RateSimulation) -> f64 {
    let team_overshoot = |(team, spent_at): (usize, &Vec<u64>)| {
        let rate = f64::from(TEAM_RATES[team]);
        let (mut lowest, mut most) = (f64::INFINITY, 0.0_f64);
        for (count, &at) in spent_at.iter().enumerate() {
            let accrued = rate * at as f64 / 1e6;
            lowest = lowest.min(count as f64 - accrued);
            most = most.max(count as f64 + 1.0 - accrued - lowest);
        }
        (most - rate * f64::from(simulation.case.burst_seconds)).max(0.0)
    };
    let teams = simulation.counts.spent_at.iter().enumerate();
    teams.map(team_overshoot).fold(0.0, f64::max)
}

fn print(simulation: &mut RateSimulation, seed: u64) {
    let overshoot = overshoot(simulation);
    let counts = &mut simulation.counts;
    counts.waits.sort_unstable();
    let wait_at = |percentile: usize| {
        let at = counts.waits.len() * percentile / 100;
        counts.waits.get(at).map_or(0.0, |&wait| wait as f64 / 1e3)
    };
    let kind = match simulation.case.has_transfers {
        true => "transfers",
        false => "equal-split",
    };
    let percent = |refused: u64, requests: u64| refused as f64 * 100.0 / requests.max(1) as f64;
    let fleet_percent = percent(counts.false_refusals(), counts.requests());
    let team_percent = |team: &TeamCounts| percent(team.false_refusals, team.requests);
    let worst_percent = counts.teams.iter().map(team_percent).fold(0.0, f64::max);
    let bytes = simulation.hosts.iter().map(|host| host.bytes / RUN_SECONDS);
    let mean = bytes.clone().sum::<u64>() / HOSTS as u64;
    let most = bytes.max().unwrap_or(0);
    println!(
        "{seed} {} {} {kind} {} {fleet_percent:.3} {worst_percent:.3} {overshoot:.3} {mean} {most} {:.1} {:.1}",
        simulation.case.burst_seconds,
        simulation.case.name,
        counts.requests(),
        wait_at(50),
        wait_at(99)
    );
}

fn cases(burst_seconds: u32) -> Vec<RateCase> {
    let case = |name, host_at| RateCase {
        name,
        host_at,
        loss_mille: 0,
        is_host_paused: false,
        last_team_load: 0.8,
        burst_seconds,
        has_transfers: true,
    };
    let mut cases = Vec::new();
    for (names, host_at) in [
        (
            ["even", "even+faults"],
            random_host as fn(usize, u64, u64) -> usize,
        ),
        (["one-host", "one-host+faults"], single_host),
        (["moving", "moving+faults"], rotating_host),
    ] {
        cases.push(case(names[0], host_at));
        cases.push(RateCase {
            loss_mille: 10,
            is_host_paused: true,
            last_team_load: 5.0,
            ..case(names[1], host_at)
        });
    }
    cases.push(RateCase {
        loss_mille: 10,
        ..case("moving+loss", rotating_host)
    });
    cases.push(RateCase {
        is_host_paused: true,
        ..case("moving+pause", rotating_host)
    });
    cases.push(RateCase {
        last_team_load: 5.0,
        ..case("moving+5x", rotating_host)
    });
    cases
}

/// Prints a row for each load and fault, with and without transfers.
pub(crate) fn run(seed: u64) -> Result<()> {
    println!(
        "seed burst_s case kind requests false_refusals_% worst_team_% overshoot_tokens mean_bytes_s \
         most_bytes_s wait_p50_ms wait_p99_ms"
    );
    for case in [1, 4].into_iter().flat_map(cases) {
        for has_transfers in [true, false] {
            let mut simulation = RateSimulation::new(
                RateCase {
                    has_transfers,
                    ..case
                },
                seed,
            )?;
            simulation.run()?;
            print(&mut simulation, seed);
        }
    }
    Ok(())
}
