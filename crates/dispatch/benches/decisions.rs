//! Cost of the decisions of a pool while its slots are free, while requests wait, and while they are refused.

use std::hint::black_box;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use criterion::{
    Criterion,
    criterion_group,
    criterion_main, //
};
use eyre::{
    Result,
    eyre, //
};

#[path = "../tests/dispatcher/common.rs"]
#[allow(dead_code, clippy::unwrap_used, reason = "helpers of the tests")]
mod common;

use common::{
    WHOLE,
    admit,
    at,
    directory_of,
    request, //
};

/// Requests in the queue.
const WAITING_COUNT: usize = 2000;

/// Targets of the pool. Each has two slots.
const TARGET_COUNT: usize = 60;

/// Teams that the waiting requests belong to.
const TEAM_COUNT: usize = 40;

fn request_of(number: usize, wait_millis: u32) -> Result<AdmitRequest> {
    let team = TeamId::new(&format!("team-{}", number % TEAM_COUNT))?;
    Ok(AdmitRequest {
        team: Some(team),
        priority: u8::try_from(number % 3)?,
        wait_millis,
        left_millis: 60_000,
        ..request(&number.to_string())
    })
}

/// Fills all slots of a dispatcher, and its queue with requests that may wait for a minute.
fn fill(directory: &TargetDirectory) -> Result<(ZoneDispatcher, Vec<DispatchGrant>)> {
    let (dispatcher, mut held) = (ZoneDispatcher::new(0), Vec::new());
    let slots = directory.targets.len() * 2;
    for number in 0..slots {
        match admit(&dispatcher, directory, &request_of(number, 0)?, at(0)) {
            PoolAnswer::Granted(grant) => held.push(grant),
            answer => return Err(eyre!("slot {number}: {answer:?}")),
        }
    }
    for number in 0..WAITING_COUNT {
        match admit(&dispatcher, directory, &request_of(number, 60_000)?, at(1)) {
            PoolAnswer::Waiting(_) => {}
            answer => return Err(eyre!("request {number}: {answer:?}")),
        }
    }
    Ok((dispatcher, held))
}

fn notice(grant: &DispatchGrant) -> ReleaseNotice {
    common::notice(grant, AttemptResult::Good)
}

/// Grant and release in a pool with free slots.
fn admit_free(criterion: &mut Criterion) -> Result<()> {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(TARGET_COUNT));
    let (request, config, mut millis) = (request_of(1, 0)?, common::config(), 0);
    criterion.bench_function("admit_free", |bencher| {
        bencher.iter(|| {
            millis += 1;
            let answer = dispatcher.admit(&request, &config, &directory, WHOLE, at(millis));
            if let PoolAnswer::Granted(grant) = answer {
                black_box(dispatcher.release(&notice(&grant), at(millis)));
            }
        });
    });
    Ok(())
}

/// Release of a permit whose slot goes to one of many waiting requests, and a new request that takes its place.
fn release_waiting(criterion: &mut Criterion) -> Result<()> {
    let directory = directory_of(TARGET_COUNT);
    let (dispatcher, mut held) = fill(&directory)?;
    let (config, mut number) = (common::config(), 0);
    criterion.bench_function("release_2000_waiting", |bencher| {
        bencher.iter(|| {
            number += 1;
            let Some(grant) = held.pop() else {
                return;
            };
            let (_, change) = dispatcher.release(&notice(&grant), at(2));
            held.splice(0..0, change.granted.into_iter().map(|(_, grant)| grant));
            if let Ok(request) = request_of(number, 60_000) {
                black_box(dispatcher.admit(&request, &config, &directory, WHOLE, at(2)));
            }
        });
    });
    Ok(())
}

/// Refusal of a request that cannot be served in time, with a long queue.
fn refuse_at_door(criterion: &mut Criterion) -> Result<()> {
    let directory = directory_of(TARGET_COUNT);
    let (dispatcher, _held) = fill(&directory)?;
    let (request, config) = (request_of(1, 300)?, common::config());
    criterion.bench_function("refuse_2000_waiting", |bencher| {
        bencher.iter(|| dispatcher.admit(&request, &config, &directory, WHOLE, at(2)));
    });
    Ok(())
}

fn run(criterion: &mut Criterion) {
    let benches = [admit_free, release_waiting, refuse_at_door];
    for bench in benches {
        if let Err(error) = bench(criterion) {
            // The run cannot report an error; without its benchmark the result is missing.
            eprintln!("benchmark failed: {error}");
        }
    }
}

criterion_group!(decisions, run);
criterion_main!(decisions);
