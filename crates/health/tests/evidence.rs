//! The test finds targets that stand out, and none when the whole service fails.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_health::prelude::*;
use chicorycroft_placement::prelude::*;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

/// Runs six targets for 20 s at 40 answers a second each and returns the ones that were found
/// failing.
fn failing_targets(
    seed: u64,
    answer_of: impl Fn(usize, &mut ChaCha8Rng) -> (AttemptOutcome, u64),
) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let service = ServiceId::new("rate").unwrap();
    let baseline = ServiceBaseline::new();
    let mut tests: Vec<_> = (0..6)
        .map(|_| EvidenceTest::new(EvidenceSettings::default()))
        .collect();
    let mut failing = Vec::new();
    for at in (0..20_000).step_by(25) {
        let now = MonoTime::from_millis(at);
        for (n, test) in tests.iter_mut().enumerate() {
            if at % 500 == 0 {
                let host = HostId::new(&format!("h{n}")).unwrap();
                baseline.on_counters(&service, &host, test.counters(now), now);
            }
            // The first seconds are healthy, so that the fault changes the rates of the service.
            let (outcome, millis) = match at < 5_000 {
                true => (AttemptOutcome::Good, 20),
                false => answer_of(n, &mut rng),
            };
            let reference = baseline.reference(&service, &test.counters(now), now);
            let latency = Duration::from_millis(millis);
            let verdict = test.record(outcome, latency, reference.as_ref(), now);
            if matches!(verdict, Some(HealthVerdict::Failing(_))) && !failing.contains(&n) {
                failing.push(n);
            }
        }
    }
    failing
}

/// Guards against a partial fault that a count of consecutive failures never detects.
#[test]
fn targets_that_stand_out_are_found_failing() {
    let wrong = |n: usize, rng: &mut ChaCha8Rng| match n == 2 && rng.random_bool(0.3) {
        true => (AttemptOutcome::Wrong, 20),
        false => (AttemptOutcome::Good, 20),
    };
    assert_eq!(failing_targets(1, wrong), [2]);
    let slow = |n: usize, _: &mut ChaCha8Rng| (AttemptOutcome::Good, if n == 4 { 200 } else { 20 });
    assert_eq!(failing_targets(2, slow), [4]);
    let shed = |n: usize, _: &mut ChaCha8Rng| match n {
        0 => (AttemptOutcome::Shed, 1),
        _ => (AttemptOutcome::Good, 20),
    };
    assert_eq!(failing_targets(3, shed), [0]);
}

/// Guards against ejections when the whole service is slow or failing, which no ejection can fix.
#[test]
fn service_wide_faults_cause_no_verdict() {
    for seed in 0..20 {
        let slow = failing_targets(seed, |_, _| (AttemptOutcome::Good, 200));
        assert!(slow.is_empty(), "seed {seed}: {slow:?}");
        let wrong = failing_targets(seed, |_, rng| match rng.random_bool(0.4) {
            true => (AttemptOutcome::Wrong, 20),
            false => (AttemptOutcome::Good, 20),
        });
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
    }
}

/// Guards against a verdict about a target without any counters of the others.
#[test]
fn without_reference_there_is_no_verdict() {
    let mut test = EvidenceTest::new(EvidenceSettings::default());
    for millis in 0..100 {
        let now = MonoTime::from_millis(millis);
        assert_eq!(
            test.record(AttemptOutcome::Refused, Duration::ZERO, None, now),
            None
        );
    }
    assert_eq!(test.total(FailureKind::Refused), 100);
}

/// Guards against probes that turn a slowdown of the whole service into failures: with a fixed
/// timeout of 250 ms, targets were handed over and ejected when all answers took ten times as
/// long.
#[test]
fn probe_deadline_follows_the_median_of_the_service() {
    let (service, host) = (ServiceId::new("rate").unwrap(), HostId::new("h").unwrap());
    let baseline = ServiceBaseline::new();
    for (millis, at_least) in [(25, 250), (250, 1_000)] {
        let mut counters = ServiceCounters {
            attempts: 100,
            ..ServiceCounters::default()
        };
        (0..100).for_each(|_| counters.latencies.record(Duration::from_millis(millis)));
        baseline.on_counters(&service, &host, counters, MonoTime::START);
        let own = ServiceCounters::default();
        let reference = baseline.reference(&service, &own, MonoTime::START).unwrap();
        assert!(reference.probe_deadline() >= Duration::from_millis(at_least));
    }
}

/// Guards against the loss of a verdict while another host is asked: the evidence had to be
/// collected again, which doubled the time to eject a dead target.
#[test]
fn verdict_is_kept_and_an_unresponsive_target_is_probed() {
    let reference = BaselineReference {
        failure_rate: 0.02,
        shed_rate: 0.0,
        slow_bucket: 40,
        slow_rate: 0.0,
    };
    let mut test = EvidenceTest::new(EvidenceSettings::default());
    let mut verdicts = Vec::new();
    for n in 0..40 {
        assert_eq!(test.needs_probe(), n >= 2, "after {n} attempts");
        assert_eq!(test.is_unresponsive(), n >= 4, "after {n} attempts");
        let now = MonoTime::from_millis(100 * n);
        let outcome = AttemptOutcome::Refused;
        verdicts.push(test.record(outcome, Duration::ZERO, Some(&reference), now));
    }
    let failing = Some(HealthVerdict::Failing(FailureKind::Refused));
    let first = verdicts
        .iter()
        .position(|verdict| *verdict == failing)
        .unwrap();
    assert!(verdicts[first..].iter().all(|verdict| *verdict == failing));
}
