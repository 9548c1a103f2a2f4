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

/// Attempts in a row without a sign of life after which probes start.
const PROBE_FROM_IN_ROW: u32 = 2;

/// Attempts in a row without a sign of life after which another host is asked. When four in ten
/// attempts of a whole service fail so, three targets in a hundred would be asked about by chance.
const CUT_OFF_IN_ROW: u32 = 4;

/// What is wrong with a target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailureKind {
    /// It refuses connections.
    Refused,
    /// It does not answer in time.
    TimedOut,
    /// It breaks connections.
    Cut,
    /// It answers with errors.
    Wrong,
    /// It sheds more than the others.
    Shed,
    /// It is slower than the others.
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

    /// Tells whether the target may be fine and only the path to it broken.
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

/// What the evidence says about a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthVerdict {
    /// It does as well as the others.
    Healthy,
    /// It does worse, but the counters of the peers may be older than the evidence.
    Suspect(FailureKind),
    /// It does worse than the others did during the same time.
    Failing(FailureKind),
}

/// Error rates and times of the test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceTimes {
    /// Probability that one test accuses a target that is like the others.
    ///
    /// At 40 answers a test and 40 answers a second this is one in 3 years for each target.
    pub false_ejection: f64,
    /// Probability that one test acquits a target that fails at the rate of the other hypothesis;
    /// the next test follows at once.
    pub miss: f64,
    /// Time from suspicion to the second test, in which the counters of the peers catch up. It
    /// covers the window and half a heartbeat: otherwise the reference is partly from before the
    /// fault, and a fault of the whole service accuses the targets that show it first.
    pub confirm_after: Duration,
    /// Probability that the second test accuses a target that is like the others.
    pub false_confirmation: f64,
    /// Length of the window of counters.
    pub window: Duration,
}

impl Default for EvidenceTimes {
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

/// One sequential test: log of the ratio of the two likelihoods.
#[derive(Clone, Copy, Debug, Default)]
struct RatioTest {
    score: f64,
}

/// Rates of the two hypotheses: like the others, and clearly worse by at least a distance.
fn hypotheses(rate: f64, distance: f64) -> (f64, f64) {
    let usual = rate.clamp(0.01, 0.8);
    (usual, (3.0 * usual).max(usual + distance).min(0.95))
}

impl RatioTest {
    /// Adds an observation and returns whether the target is worse, once that is decided for given
    /// probabilities of a false accusation and a miss.
    fn record(&mut self, is_hit: bool, rates: (f64, f64), errors: (f64, f64)) -> Option<bool> {
        let (usual, worse) = rates;
        let (accuse, miss) = errors;
        self.score += match is_hit {
            true => (worse / usual).ln(),
            false => ((1.0 - worse) / (1.0 - usual)).ln(),
        };
        if self.score >= ((1.0 - miss) / accuse).ln() {
            return Some(true);
        }
        if self.score <= (miss / (1.0 - accuse)).ln() {
            self.score = 0.0;
            return Some(false);
        }
        None
    }
}

/// An attempt in the window.
#[derive(Clone, Copy, Debug)]
struct SeenAttempt {
    at: MonoTime,
    failure: Option<FailureKind>,
    latency: Option<Duration>,
}

/// How far the case against a target is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum CaseStage {
    /// The first test goes on.
    #[default]
    Open,
    /// The first test accused it, and the counters of the peers have to catch up.
    Suspected(FailureKind, MonoTime),
    /// The second test goes on.
    Confirming(FailureKind),
}

/// Evidence about one target.
#[derive(Debug, Default)]
pub struct EvidenceTest {
    times: EvidenceTimes,
    failing: RatioTest,
    shedding: RatioTest,
    slow: RatioTest,
    window: VecDeque<SeenAttempt>,
    stage: CaseStage,
    totals: [u64; 6],
    unreachable_in_row: u32,
}

impl EvidenceTest {
    /// Makes a test without evidence.
    pub fn new(times: EvidenceTimes) -> Self {
        Self {
            times,
            ..Self::default()
        }
    }

    /// Returns how many attempts ended in a kind of failure since the start.
    pub fn total(&self, kind: FailureKind) -> u64 {
        self.totals[kind as usize]
    }

    /// Tells whether the owner should probe the target without waiting for requests: a suspect gets
    /// few of them, and one that does not answer holds each until its deadline.
    pub fn wants_probe(&self) -> bool {
        self.stage != CaseStage::Open || self.unreachable_in_row >= PROBE_FROM_IN_ROW
    }

    /// Tells whether the target gives no sign of life, so that another host should be asked at
    /// once. A moved target is still in use; no comparison with the others is needed for that.
    pub fn is_cut_off(&self) -> bool {
        self.unreachable_in_row >= CUT_OFF_IN_ROW
    }

    /// Returns the counters of the window, which also go into those of the service.
    pub fn counters(&mut self, now: MonoTime) -> ServiceCounters {
        let window = self.times.window;
        self.window.retain(|seen| now.since(seen.at) <= window);
        let mut counters = ServiceCounters::default();
        for seen in &self.window {
            counters.attempts += 1;
            match seen.failure {
                Some(FailureKind::Shed) => counters.sheds += 1,
                Some(FailureKind::Slow) | None => {}
                Some(_) => counters.failures += 1,
            }
            seen.latency
                .iter()
                .for_each(|latency| counters.latencies.record(*latency));
        }
        counters
    }

    /// Adds the end of an attempt. Without a reference the evidence is kept but decides nothing.
    pub fn record(
        &mut self,
        outcome: AttemptOutcome,
        latency: Duration,
        reference: Option<&BaselineReference>,
        now: MonoTime,
    ) -> Option<HealthVerdict> {
        let is_slow = |it: &BaselineReference| bucket_of(latency) >= it.slow_bucket;
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
        self.unreachable_in_row = match failure {
            Some(kind) if kind.is_unreachable() => self.unreachable_in_row.saturating_add(1),
            _ => 0,
        };
        let answered = matches!(outcome, AttemptOutcome::Good | AttemptOutcome::Slow);
        self.window.push_back(SeenAttempt {
            at: now,
            failure,
            latency: answered.then_some(latency),
        });
        self.judge(failure, reference?, now)
    }

    fn judge(
        &mut self,
        failure: Option<FailureKind>,
        reference: &BaselineReference,
        now: MonoTime,
    ) -> Option<HealthVerdict> {
        if let CaseStage::Suspected(kind, since) = self.stage {
            if now.since(since) < self.times.confirm_after {
                return Some(HealthVerdict::Suspect(kind));
            }
            self.restart();
            self.stage = CaseStage::Confirming(kind);
        }
        let decided = self.test(failure, reference);
        match (self.stage, decided) {
            (CaseStage::Open, Some(true)) => {
                let kind = failure.unwrap_or_else(|| self.main_kind());
                self.stage = CaseStage::Suspected(kind, now);
                Some(HealthVerdict::Suspect(kind))
            }
            // The verdict stands until an answer weakens it, while others are asked about it.
            (CaseStage::Confirming(_), Some(true)) if self.stands_out(reference, now) => {
                Some(HealthVerdict::Failing(self.main_kind()))
            }
            (CaseStage::Confirming(kind), Some(true) | None) => Some(HealthVerdict::Suspect(kind)),
            (_, Some(false)) => {
                self.stage = CaseStage::Open;
                Some(HealthVerdict::Healthy)
            }
            _ => None,
        }
    }

    /// Runs the tests for failures, shed answers and slow ones. The target is worse when one says
    /// so, and like the others when the test for failures says so and none is still in doubt.
    fn test(
        &mut self,
        failure: Option<FailureKind>,
        reference: &BaselineReference,
    ) -> Option<bool> {
        let is_shed = failure == Some(FailureKind::Shed);
        let is_slow = failure == Some(FailureKind::Slow);
        let is_failure = failure.is_some() && !is_shed && !is_slow;
        let [rates, shed_rates, slow_rates] = Self::rates(reference);
        let accuse = match self.stage {
            CaseStage::Confirming(_) => self.times.false_confirmation,
            _ => self.times.false_ejection,
        };
        let errors = (accuse, self.times.miss);
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

    /// Forgets the scores, as after a cold start, but not the counters.
    pub fn restart(&mut self) {
        self.failing = RatioTest::default();
        self.shedding = RatioTest::default();
        self.slow = RatioTest::default();
        self.stage = CaseStage::Open;
    }

    /// Returns the most frequent kind of failure of the window.
    fn main_kind(&self) -> FailureKind {
        let count = |kind: &FailureKind| {
            let of_kind = self.window.iter().filter(|it| it.failure == Some(*kind));
            of_kind.count()
        };
        let main = FailureKind::ALL.into_iter().max_by_key(count);
        main.unwrap_or(FailureKind::Wrong)
    }

    /// Tells whether the target's own window is nearer to the worse rate than to the usual one.
    fn stands_out(&mut self, reference: &BaselineReference, now: MonoTime) -> bool {
        let [rates, shed_rates, slow_rates] = Self::rates(reference);
        let counters = self.counters(now);
        let slow = counters.latencies.count_from(reference.slow_bucket);
        let (hits, (usual, worse)) = match self.main_kind() {
            FailureKind::Shed => (counters.sheds, shed_rates),
            FailureKind::Slow => (slow, slow_rates),
            _ => (counters.failures, rates),
        };
        hits as f64 / counters.attempts.max(1) as f64 >= (usual + worse) / 2.0
    }
}
