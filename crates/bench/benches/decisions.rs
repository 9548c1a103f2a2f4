//! Cost of single decisions as the inventory grows to the design size.

use std::{
    hint::black_box,
    sync::Arc,
    time::Duration, //
};

use chicorycroft_bench::fleet_size::{
    FleetSize,
    key_of,
    path_of, //
};
use chicorycroft_core::prelude::*;
use chicorycroft_fairness::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_limits::prelude::*;
use chicorycroft_placement::prelude::*;
use criterion::{
    BenchmarkId,
    Criterion,
    criterion_group,
    criterion_main, //
};
use eyre::Result;

const DIVISORS: [usize; 3] = [100, 10, 1];

fn create_view(size: FleetSize) -> Result<FleetView> {
    let snapshot = FleetSnapshot::new(ConfigVersion::new(1), size.parts()?)?;
    Ok(FleetView::new(Arc::new(snapshot), UnixTime::from_millis(0)))
}

/// Route lookup and key check of a request.
fn authorize(criterion: &mut Criterion) -> Result<()> {
    let mut group = criterion.benchmark_group("authorize");
    for divisor in DIVISORS {
        let size = FleetSize::DESIGN.divided_by(divisor);
        let view = create_view(size)?;
        let method = RequestMethod::new("GET")?;
        let mut n = 0;
        group.bench_function(BenchmarkId::from_parameter(size.teams), |bencher| {
            bencher.iter(|| {
                n += 7919;
                let path = format!("{}/items/17", path_of(n % size.routes));
                let key = key_of(n % size.teams);
                let route = view.snapshot().routes().find(&method, &path).ok().cloned();
                let route = route.as_deref();
                route.map(|route| view.authorize(route, Some(key.as_bytes())).is_ok())
            });
        });
    }
    group.finish();
    Ok(())
}

/// Taking a token of one of many teams.
fn take_token(criterion: &mut Criterion) -> Result<()> {
    let mut group = criterion.benchmark_group("take_token");
    for teams in [100, 1_000, 10_000] {
        let host = HostId::new("host")?;
        let ledger = TokenLedger::new(host, HostIncarnation::new(1), MonoTime::START);
        let rate = RequestRate::from_whole(1_000);
        let terms = LimitTerms::new(rate, BurstSize::from_whole(1_000), 48, 48);
        let names: Result<Vec<_>, _> = (0..teams)
            .map(|n| TeamId::new(&format!("team-{n}")))
            .collect();
        let names = names?;
        let mut n = 0_usize;
        group.bench_function(BenchmarkId::from_parameter(teams), |bencher| {
            bencher.iter(|| {
                n += 1;
                let now = MonoTime::from_micros(n as u64 * 7);
                ledger.try_take(&names[n % teams], &terms, now).is_ok()
            });
        });
    }
    group.finish();
    Ok(())
}

/// Lookup of the owner of a target among the hosts of its zone.
fn find_owner(criterion: &mut Criterion) -> Result<()> {
    let mut group = criterion.benchmark_group("find_owner");
    let (zone, region) = (ZoneId::new("zone")?, RegionId::new("region")?);
    for hosts in [1, 16, 170] {
        let now = MonoTime::from_millis(10_000);
        let own = HostId::new("host-0")?;
        let table = OwnerTable::new(
            own,
            zone.clone(),
            OwnershipTimeouts::default(),
            MonoTime::START,
        );
        let names: Result<Vec<_>, _> = (0..hosts)
            .map(|n| HostId::new(&format!("host-{n}")))
            .collect();
        let names = names?;
        let listed = names.iter().map(|id| ListedHost {
            id: id.clone(),
            zone: zone.clone(),
            region: region.clone(),
        });
        table.on_roster(listed.collect::<Vec<_>>(), now);
        for id in &names {
            table.on_seen(&zone, id, now);
        }
        let scope = KeyScope {
            region: region.clone(),
            zone: Some(zone.clone()),
        };
        let key = OwnedKey::Target(TargetId::new("target-17")?);
        group.bench_function(BenchmarkId::from_parameter(hosts), |bencher| {
            bencher.iter(|| table.owner_of(black_box(&key), &scope, now));
        });
    }
    group.finish();
    Ok(())
}

/// Selection of a target of one service.
fn choose_target(criterion: &mut Criterion) -> Result<()> {
    let mut group = criterion.benchmark_group("choose_target");
    let own_zone = ZoneId::new("zone-0")?;
    for targets in [6, 30, 61] {
        let chooser = TargetChooser::new();
        let candidate = |n: usize| {
            Ok(TargetCandidate {
                id: TargetId::new(&format!("target-{n}"))?,
                zone: ZoneId::new(&format!("zone-{}", n % 3))?,
                is_suspect: false,
                is_excluded: false,
            })
        };
        let candidates: Result<Vec<_>> = (0..targets).map(candidate).collect();
        let candidates = candidates?;
        let mut random = 1_u64;
        group.bench_function(BenchmarkId::from_parameter(targets), |bencher| {
            bencher.iter(|| {
                random = random
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1);
                chooser
                    .choose(&candidates, &own_zone, random, MonoTime::START)
                    .chosen
            });
        });
    }
    group.finish();
    Ok(())
}

/// Enqueueing and dequeueing a request of one of eight teams.
fn enqueue_and_serve(criterion: &mut Criterion) -> Result<()> {
    let service = ServiceId::new("service")?;
    let table = QueueTable::new(QueueBounds::default());
    let names: Result<Vec<_>, _> = (0..8).map(|n| TeamId::new(&format!("team-{n}"))).collect();
    let names = names?;
    let mut n = 0_usize;
    criterion.bench_function("queue_turn", |bencher| {
        bencher.iter(|| {
            n += 1;
            let now = MonoTime::from_micros(n as u64 * 100);
            let deadline = now.after(Duration::from_secs(2));
            let team = QueueTeam::Team(names[n % 8].clone());
            let admission = table.enqueue(&service, team, deadline, now);
            (admission.is_ok(), table.next(&service, now))
        });
    });
    Ok(())
}

/// Validation and indexing of a whole snapshot, which happens after each change.
fn build_snapshot(criterion: &mut Criterion) -> Result<()> {
    let mut group = criterion.benchmark_group("build_snapshot");
    group.sample_size(10);
    for divisor in DIVISORS {
        let size = FleetSize::DESIGN.divided_by(divisor);
        let parts = size.parts()?;
        group.bench_function(BenchmarkId::from_parameter(size.teams), |bencher| {
            bencher.iter(|| FleetSnapshot::new(ConfigVersion::new(1), parts.clone()).is_ok());
        });
    }
    group.finish();
    Ok(())
}

fn run_all(criterion: &mut Criterion) {
    let benches: [fn(&mut Criterion) -> Result<()>; 6] = [
        authorize,
        take_token,
        find_owner,
        choose_target,
        enqueue_and_serve,
        build_snapshot,
    ];
    for bench in benches {
        if let Err(error) = bench(criterion) {
            eprintln!("failed to set up a benchmark: {error:#}");
        }
    }
}

criterion_group! {
    name = decisions;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .sample_size(20);
    targets = run_all
}
criterion_main!(decisions);
