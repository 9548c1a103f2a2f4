//! Sequential test of one target against its service.
//!
//! Wald's sequential probability ratio test (A. Wald, "Sequential Tests of Statistical Hypotheses",
//! 1945) needs the fewest answers on average for given rates of the two errors. The hypotheses are
//! that the target fails like the other targets, and that it fails clearly more often.

use std::{
    collections::VecDeque,
    fmt,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_placement::prelude::*;

use crate::{
    baseline::{
        BaselineReference,
        ServiceCounters, //
    },
    latency::bucket_of,
};

/// Consecutive unanswered attempts after which probes start.
const PROBE_AFTER_FAILURES: u32 = 2;

/// Consecutive unanswered attempts after which another host is requested to probe the target. If four in ten
/// attempts of a whole service fail like this, it happens by chance for three targets in a hundred.
const UNRESPONSIVE_AFTER_FAILURES: u32 = 4;

/// Kind of a failure.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailureKind {
    /// The target refuses connections.
    Refused,
    /// The target does not answer in time.
    TimedOut,
    /// The target breaks connections.
    Cut,
    /// The target answers with errors.
    Wrong,
    /// The target sheds more requests than the others.
    Shed,
    /// The target is slower than the others.
    Slow,
}

impl FailureKind {
    const ALL: [Self; 6] = [
        Self::Refused,
        Self::TimedOut,
        Self::Cut,
        Self::Wrong,
        Self::Shed,
        Self::Slow,
    ];

    /// Returns `true` if the target may be healthy and only the path to it broken.
    pub fn is_unreachable(self) -> bool {
        matches!(self, Self::Refused | Self::TimedOut | Self::Cut)
    }
}

impl fmt::Display for FailureKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "refused",
            Self::TimedOut => "timed-out",
            Self::Cut => "cut",
            Self::Wrong => "wrong",
            Self::Shed => "shed",
            Self::Slow => "slow",
        })
    }
}

/// Verdict about a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthVerdict {
    /// The target performs like the others.
    Healthy,
    /// The target performs worse, but the counters of the peers may be older than the evidence.
    Suspect(FailureKind),
    /// The target performs worse than the others did during the same time.
    Failing(FailureKind),
}

/// Error probabilities and durations of the test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceSettings {
    /// Probability that one test finds a target failing that is like the others.
    ///
    /// At 40 answers a test and 40 answers a second this is one in 3 years for each target.
    pub false_ejection: f64,
    /// Probability that one test finds a target healthy that fails at the rate of the other
    /// hypothesis; the next test follows at once.
    pub miss: f64,
    /// Time from suspicion to the second test, in which the counters of the peers catch up. It
    /// covers the window and half a heartbeat period: otherwise the reference is partly from before
    /// the fault, and a fault of the whole service would be attributed to the targets that show it
    /// first.
    pub confirm_after: Duration,
    /// Probability that the second test finds a target failing that is like the others.
    pub false_confirmation: f64,
    /// Length of the window of counters.
    pub window: Duration,
}

impl Default for EvidenceSettings {
    fn default() -> Self {
        Self {
            false_ejection: 1e-8,
            miss: 1e-2,
            confirm_after: Duration::from_millis(1200),
            false_confirmation: 1e-3,
            window: Duration::from_secs(1),
        }
    }
}

/// One sequential test: logarithm of the ratio of the two likelihoods.
#[derive(Clone, Copy, Debug, Default)]
struct RatioTest {
    score: f64,
}

/// Returns the rates of the two hypotheses: like the others, and worse by at least `distance`.
fn hypotheses(rate: f64, distance: f64) -> (f64, f64) {
    let baseline = rate.clamp(0.01, 0.8);
    (
        baseline,
        (3.0 * baseline).max(baseline + distance).min(0.95),
    )
}

impl RatioTest {
    /// Adds an observation. Returns whether the target is worse, once this is decided for the given
    /// probabilities of a false positive and a miss.
    fn record(&mut self, is_hit: bool, rates: (f64, f64), errors: (f64, f64)) -> Option<bool> {
        let (baseline, worse) = rates;
        let (false_positive, miss) = errors;
        self.score += match is_hit {
            true => (worse / baseline).ln(),
            false => ((1.0 - worse) / (1.0 - baseline)).ln(),
        };
        if self.score >= ((1.0 - miss) / false_positive).ln() {
            return Some(true);
        }
        if self.score <= (miss / (1.0 - false_positive)).ln() {
            self.score = 0.0;
            return Some(false);
        }
        None
    }
}

/// An attempt in the window.
#[derive(Clone, Copy, Debug)]
struct AttemptRecord {
    at: MonoTime,
    failure: Option<FailureKind>,
    latency: Option<Duration>,
}

/// Progress of the two tests of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum TestStage {
    /// The first test is running.
    #[default]
    Screening,
    /// The first test found the target failing, and the counters of the peers have to catch up.
    Suspected(FailureKind, MonoTime),
    /// The second test is running.
    Confirming(FailureKind),
}

/// Evidence about one target.
#[derive(Debug, Default)]
pub struct EvidenceTest {
    settings: EvidenceSettings,
    failing: RatioTest,
    shedding: RatioTest,
    slow: RatioTest,
    window: VecDeque<AttemptRecord>,
    stage: TestStage,
    totals: [u64; 6],
    consecutive_unreachable: u32,
}

impl EvidenceTest {
    /// Creates a test without evidence.
    pub fn new(settings: EvidenceSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the number of attempts since the start that ended in a kind of failure.
    pub fn total(&self, kind: FailureKind) -> u64 {
        self.totals[kind as usize]
    }

    /// Returns `true` if the owner should probe the target without waiting for requests: a suspect
    /// gets few of them, and a target that does not answer delays each until its deadline.
    pub fn needs_probe(&self) -> bool {
        self.stage != TestStage::Screening || self.consecutive_unreachable >= PROBE_AFTER_FAILURES
    }

    /// Returns `true` if the target does not answer at all, so that another host should be asked at
    /// once. This needs no comparison with the other targets, because a target that is handed over
    /// remains in use.
    pub fn is_unresponsive(&self) -> bool {
        self.consecutive_unreachable >= UNRESPONSIVE_AFTER_FAILURES
    }

    /// Returns the counters of the window, which also go into those of the service.
    pub fn counters(&mut self, now: MonoTime) -> ServiceCounters {
        let window = self.settings.window;
        self.window
            .retain(|attempt| now.since(attempt.at) <= window);
        let mut counters = ServiceCounters::default();
        for attempt in &self.window {
            counters.attempts += 1;
            match attempt.failure {
                Some(FailureKind::Shed) => counters.sheds += 1,
                Some(FailureKind::Slow) | None => {}
                Some(_) => counters.failures += 1,
            }
            attempt
                .latency
                .iter()
                .for_each(|latency| counters.latencies.record(*latency));
        }
        counters
    }

    /// Adds the outcome of an attempt. Without a reference it is recorded but decides nothing.
    pub fn record(
        &mut self,
        outcome: AttemptOutcome,
        latency: Duration,
        reference: Option<&BaselineReference>,
        now: MonoTime,
    ) -> Option<HealthVerdict> {
        let is_slow = |reference: &BaselineReference| bucket_of(latency) >= reference.slow_bucket;
        let failure = match outcome {
            AttemptOutcome::Cancelled => return None,
            AttemptOutcome::Good | AttemptOutcome::Slow => None,
            AttemptOutcome::Refused => Some(FailureKind::Refused),
            AttemptOutcome::TimedOut => Some(FailureKind::TimedOut),
            AttemptOutcome::Cut => Some(FailureKind::Cut),
            AttemptOutcome::Wrong => Some(FailureKind::Wrong),
            AttemptOutcome::Shed => Some(FailureKind::Shed),
        };
        let is_slow = failure.is_none() && reference.is_some_and(is_slow);
        let failure = failure.or(is_slow.then_some(FailureKind::Slow));
        if let Some(kind) = failure {
            self.totals[kind as usize] += 1;
        }
        self.consecutive_unreachable = match failure {
            Some(kind) if kind.is_unreachable() => self.consecutive_unreachable.saturating_add(1),
            _ => 0,
        };
        let answered = matches!(outcome, AttemptOutcome::Good | AttemptOutcome::Slow);
        self.window.push_back(AttemptRecord {
            at: now,
            failure,
            latency: answered.then_some(latency),
        });
        self.evaluate(failure, reference?, now)
    }

    fn evaluate(
        &mut self,
        failure: Option<FailureKind>,
        reference: &BaselineReference,
        now: MonoTime,
    ) -> Option<HealthVerdict> {
        if let TestStage::Suspected(kind, since) = self.stage {
            if now.since(since) < self.settings.confirm_after {
                return Some(HealthVerdict::Suspect(kind));
            }
            self.reset();
            self.stage = TestStage::Confirming(kind);
        }
        let decided = self.test(failure, reference);
        match (self.stage, decided) {
            (TestStage::Screening, Some(true)) => {
                let kind = failure.unwrap_or_else(|| self.dominant_failure());
                self.stage = TestStage::Suspected(kind, now);
                Some(HealthVerdict::Suspect(kind))
            }
            // The verdict stands until an answer weakens it, while other hosts probe the target.
            (TestStage::Confirming(_), Some(true)) if self.exceeds_baseline(reference, now) => {
                Some(HealthVerdict::Failing(self.dominant_failure()))
            }
            (TestStage::Confirming(kind), Some(true) | None) => Some(HealthVerdict::Suspect(kind)),
            (_, Some(false)) => {
                self.stage = TestStage::Screening;
                Some(HealthVerdict::Healthy)
            }
            _ => None,
        }
    }

    /// Runs the tests for failures, shed answers and slow answers. The target is worse if one of
    /// them finds so. It is like the others if the test for failures finds so and no other test is
    /// undecided.
    fn test(
        &mut self,
        failure: Option<FailureKind>,
        reference: &BaselineReference,
    ) -> Option<bool> {
        let is_shed = failure == Some(FailureKind::Shed);
        let is_slow = failure == Some(FailureKind::Slow);
        let is_failure = failure.is_some() && !is_shed && !is_slow;
        let [rates, shed_rates, slow_rates] = Self::rates(reference);
        let false_positive = match self.stage {
            TestStage::Confirming(_) => self.settings.false_confirmation,
            _ => self.settings.false_ejection,
        };
        let errors = (false_positive, self.settings.miss);
        let failing = self.failing.record(is_failure, rates, errors);
        let shedding = self.shedding.record(is_shed, shed_rates, errors);
        let slow = match is_failure || is_shed {
            true => None,
            false => self.slow.record(is_slow, slow_rates, errors),
        };
        if [failing, shedding, slow].contains(&Some(true)) {
            return Some(true);
        }
        let in_doubt = self.shedding.score > 0.0 || self.slow.score > 0.0;
        (failing == Some(false) && !in_doubt).then_some(false)
    }

    fn rates(reference: &BaselineReference) -> [(f64, f64); 3] {
        [
            hypotheses(reference.failure_rate, 0.15),
            hypotheses(reference.shed_rate, 0.5),
            hypotheses(reference.slow_rate, 0.4),
        ]
    }

    /// Resets the tests, as after a cold start, but not the counters.
    pub fn reset(&mut self) {
        self.failing = RatioTest::default();
        self.shedding = RatioTest::default();
        self.slow = RatioTest::default();
        self.stage = TestStage::Screening;
    }

    /// Returns the most frequent kind of failure in the window.
    fn dominant_failure(&self) -> FailureKind {
        let count = |kind: &FailureKind| {
            let of_kind = self
                .window
                .iter()
                .filter(|attempt| attempt.failure == Some(*kind));
            of_kind.count()
        };
        let main = FailureKind::ALL.into_iter().max_by_key(count);
        main.unwrap_or(FailureKind::Wrong)
    }

    /// Returns `true` if the rate in the target's own window is nearer to the worse rate than to
    /// the baseline rate.
    fn exceeds_baseline(&mut self, reference: &BaselineReference, now: MonoTime) -> bool {
        let [rates, shed_rates, slow_rates] = Self::rates(reference);
        let counters = self.counters(now);
        let slow = counters.latencies.count_from(reference.slow_bucket);
        let (hits, (baseline, worse)) = match self.dominant_failure() {
            FailureKind::Shed => (counters.sheds, shed_rates),
            FailureKind::Slow => (slow, slow_rates),
            _ => (counters.failures, rates),
        };
        hits as f64 / counters.attempts.max(1) as f64 >= (baseline + worse) / 2.0
    }
}
