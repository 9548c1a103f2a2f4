//! Phases of a target, and faults of this host's own network path.

use std::{
    collections::HashMap,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_health::{
    latency::bucket_of,
    prelude::*, //
};

fn eject(lifecycle: &mut TargetLifecycle, at: u64) -> Duration {
    let now = MonoTime::from_millis(at);
    match lifecycle.on_event(LifecycleEvent::PermitGranted, now) {
        TargetPhase::Ejected { until } => until.since(now),
        phase => panic!("not ejected but {phase}"),
    }
}

fn recover(lifecycle: &mut TargetLifecycle, at: u64) {
    let now = MonoTime::from_millis(at);
    lifecycle.on_event(LifecycleEvent::Ticked, now);
    assert_eq!(lifecycle.phase(), TargetPhase::Probing { good: 0 });
    for _ in 0..3 {
        lifecycle.on_event(LifecycleEvent::ProbeSucceeded, now);
    }
    assert_eq!(
        lifecycle.phase(),
        TargetPhase::Cold,
        "full load after an ejection"
    );
}

/// Guards against a flapping target that returns as often as it fails, and against ejections that
/// stay long after an old fault.
#[test]
fn relapses_double_the_ejection_and_healthy_time_reduces_it() {
    let mut lifecycle = TargetLifecycle::new(EjectionBackoff::default());
    let mut times = Vec::new();
    for round in 0..7 {
        times.push(eject(&mut lifecycle, round * 200_000).as_secs());
        recover(&mut lifecycle, round * 200_000 + 199_000);
    }
    assert_eq!(times, [5, 10, 20, 40, 80, 160, 160]);
    let healthy_time = 6 * 200_000 + 199_000 + 7 * 60_000;
    assert_eq!(eject(&mut lifecycle, healthy_time).as_secs(), 5);
}

/// Guards against full load on a target that returns only because its permit expired, and against
/// new work for a target that is about to stop.
#[test]
fn lost_permit_returns_the_target_cold_and_draining_is_final() {
    let mut lifecycle = TargetLifecycle::new(EjectionBackoff::default());
    eject(&mut lifecycle, 0);
    let now = MonoTime::from_millis(1_000);
    assert!(!lifecycle.phase().accepts_requests());
    assert_eq!(
        lifecycle.on_event(LifecycleEvent::PermitLost, now),
        TargetPhase::Cold
    );
    assert!(lifecycle.phase().accepts_requests());
    lifecycle.on_event(LifecycleEvent::DrainStarted, now);
    for event in [
        LifecycleEvent::Answered,
        LifecycleEvent::Cleared,
        LifecycleEvent::Warmed,
    ] {
        assert!(!lifecycle.on_event(event, now).accepts_requests());
    }
    lifecycle.on_event(LifecycleEvent::Removed, now);
    assert_eq!(
        lifecycle.on_event(LifecycleEvent::Restarted, now),
        TargetPhase::Gone
    );
}

/// Guards against the ejection of a target that only its owner cannot reach, and against a host
/// with a broken network card that ejects all its targets.
#[test]
fn own_path_fault_moves_targets_without_ejection() {
    let monitor = PathMonitor::new();
    let prober = HostId::new("h2").unwrap();
    let services = ["rate", "documents"].map(|name| ServiceId::new(name).unwrap());
    let owned: HashMap<ServiceId, usize> = services
        .iter()
        .cloned()
        .map(|service| (service, 1))
        .collect();
    let targets = ["r1", "d1"].map(|name| TargetId::new(name).unwrap());
    let decide = |n: usize, at| {
        let now = MonoTime::from_millis(at);
        monitor.decide(&targets[n], &services[n], Some(&prober), &owned, now)
    };
    assert_eq!(decide(0, 0), PathDecision::RequestProbe(prober.clone()));
    assert_eq!(decide(0, 100), PathDecision::AwaitProbe);
    monitor.on_probe(&targets[0], &prober, true);
    assert_eq!(decide(0, 120), PathDecision::MoveOwnership(prober.clone()));
    assert_eq!(decide(1, 130), PathDecision::RequestProbe(prober.clone()));
    monitor.on_probe(&targets[1], &prober, false);
    assert_eq!(decide(1, 140), PathDecision::Eject);
    monitor.on_probe(&targets[1], &prober, true);
    assert_eq!(decide(1, 150), PathDecision::HostAtFault);
    monitor.on_answer(&targets[0]);
    assert_eq!(decide(1, 160), PathDecision::MoveOwnership(prober.clone()));
}

/// Guards against buckets that overlap, and against latencies that are lost in a message to a peer.
#[test]
fn latency_buckets_are_ordered_and_survive_a_message() {
    let mut histogram = LatencyHistogram::new();
    let mut last = 0;
    for micros in (0..2_000_000).step_by(37) {
        let latency = Duration::from_micros(micros);
        assert!(bucket_of(latency) >= last && bucket_of(latency) <= last + 1);
        last = bucket_of(latency);
        histogram.record(latency);
    }
    assert_eq!(
        histogram.median_bucket(),
        Some(bucket_of(Duration::from_secs(1)))
    );
    let mut copy = LatencyHistogram::new();
    histogram
        .nonzero_buckets()
        .for_each(|(bucket, count)| copy.add_to_bucket(bucket, count));
    assert_eq!(copy, histogram);
}
