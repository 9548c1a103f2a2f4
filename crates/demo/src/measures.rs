//! Computes the measures from the records.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::{
    limits,
    plan::DemoPlan,
    records::{
        ArrivalRecord,
        CallKind,
        CallOutcome,
        CallRecord,
        FaultTimes, //
    },
    scenario::{
        CRASHED_HOST,
        GRAY_TARGET,
        STOPPED_HOST,
        TargetConfig,
        TeamProfile,
        ZONE_OUT, //
    },
    violations::{
        FirstViolations,
        InvariantViolation, //
    },
};

/// Maximum time until a withdrawal or a booking takes effect on all hosts: "a few seconds".
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Window in which the gray target's requests are compared with those of the others.
const DETECTION_WINDOW: Duration = Duration::from_secs(2);
/// Step by which that window advances.
const DETECTION_STEP: Duration = Duration::from_millis(100);
/// Fraction of the others' mean requests at or below which the gray target counts as out of use.
const DETECTION_FRACTION: f64 = 0.1;

/// Requests recorded by the callers of one team.
#[derive(Clone, Debug)]
pub struct TeamRecords {
    /// The team.
    pub team: TeamProfile,
    /// Requests of the team.
    pub calls: Vec<CallRecord>,
}

/// Requests recorded by one target.
#[derive(Clone, Debug)]
pub struct TargetRecords {
    /// Configuration of the target.
    pub config: TargetConfig,
    /// Requests that arrived.
    pub arrivals: Vec<ArrivalRecord>,
    /// Number of runs of each purchase.
    pub runs: IndexMap<SmolStr, u32>,
    /// Number of request heads that contained a key.
    pub key_heads: u32,
}

/// All records of a run.
#[derive(Clone, Debug)]
pub struct RunRecords {
    /// Length and seed.
    pub plan: DemoPlan,
    /// Start of the load, from the start of the run.
    pub load_start: Duration,
    /// Times of the injected faults.
    pub faults: FaultTimes,
    /// Records by team.
    pub teams: Vec<TeamRecords>,
    /// Records by target.
    pub targets: Vec<TargetRecords>,
    /// Targets that any host reported as ejected.
    pub ejected: BTreeSet<SmolStr>,
    /// Requests that were not sent because too many were in flight or no host was ready.
    pub unsent: u64,
}

/// Measures of one team. All but the overshoot exclude requests that end after their key is withdrawn.
#[derive(Clone, Debug)]
pub struct TeamMeasures {
    /// The team.
    pub team: TeamProfile,
    /// Number of requests sent.
    pub sent_count: usize,
    /// Number of requests that a single limiter for the whole fleet would have allowed.
    pub within: usize,
    /// Number of requests answered completely and without error.
    pub answered: usize,
    /// Number of requests refused as over the rate.
    pub over_rate: usize,
    /// Number of those refusals that were within the rate.
    pub false_refusals: usize,
    /// Number of requests that failed or were refused for another reason.
    pub failed: usize,
    /// Requests admitted beyond rate and burst, in the worst window.
    pub overshoot: f64,
}

impl TeamMeasures {
    fn new(records: &TeamRecords, withdrawn: Duration) -> Self {
        let is_counted = |call: &&CallRecord| !call.has_withdrawn_key || call.ended < withdrawn;
        let mut calls: Vec<&CallRecord> = records.calls.iter().filter(is_counted).collect();
        calls.sort_by_key(|call| call.sent);
        let answered = |call: &&&CallRecord| call.outcome == CallOutcome::Answered;
        let answered = calls.iter().filter(answered).count();
        let over_rate = calls.iter().filter(|call| call.is_over_rate()).count();
        let all: Vec<&CallRecord> = records.calls.iter().collect();
        Self {
            team: records.team,
            sent_count: calls.len(),
            within: limits::count_allowed(&records.team, &calls),
            answered,
            over_rate,
            false_refusals: limits::count_false_refusals(&records.team, &calls),
            failed: calls.len() - answered - over_rate,
            overshoot: limits::overshoot(&records.team, &all),
        }
    }

    /// Returns the number of answered requests as a fraction of those within the team's rate.
    pub fn share(&self) -> f64 {
        self.answered as f64 / (self.within.max(1)) as f64
    }
}

/// Median and 99th percentile of the latency of answered requests of one kind.
#[derive(Clone, Copy, Debug)]
pub struct LatencyMeasure {
    /// Kind of the requests.
    pub kind: CallKind,
    /// Median.
    pub p50: Duration,
    /// 99th percentile.
    pub p99: Duration,
}

/// The measures of a run.
#[derive(Clone, Debug)]
pub struct DemoReport {
    /// Length and seed.
    pub plan: DemoPlan,
    /// Measures by team.
    pub teams: Vec<TeamMeasures>,
    /// Time until the gray target was out of use, or `None` if it stayed in use.
    pub detection: Option<Duration>,
    /// Time for which the target was gray.
    pub gray_time: Duration,
    /// Number of requests that the gray target received while it was gray.
    pub gray_requests: usize,
    /// Targets other than the gray one that were reported as ejected.
    pub false_ejections: Vec<SmolStr>,
    /// Number of requests that reached the zone more than 3 s after it was taken out.
    pub zone_late: usize,
    /// Number of requests that targets of the zone received during the run.
    pub zone_total: usize,
    /// Number of those in `key_tries` that were admitted.
    pub key_late: usize,
    /// Number of requests sent with the withdrawn key more than 3 s after its withdrawal.
    pub key_tries: usize,
    /// Number of purchases that ran.
    pub purchases: usize,
    /// Number of purchases that ran more than once.
    pub double_runs: usize,
    /// Number of purchases answered with `not-run`.
    pub not_run: usize,
    /// Number of those purchases that did run.
    pub false_not_run: usize,
    /// Maximum number of concurrent requests at a cold target.
    pub cold_concurrent_max: u32,
    /// Number of requests that arrived at cold targets.
    pub cold_requests: usize,
    /// First violations of invariants, which help to find them in the logs.
    pub first_violations: FirstViolations,
    /// Number of request heads at targets that contained a key.
    pub key_heads: u32,
    /// Number of answers that belonged to another request.
    pub wrong_answers: usize,
    /// Number of answers cut off at hosts that kept running.
    pub cut_running: usize,
    /// Number of requests cut off at the host with the planned stop.
    pub cut_stop: usize,
    /// Whether that host reported that all its requests completed.
    pub is_drained: bool,
    /// Number of requests cut off at the host that crashed.
    pub cut_crash: usize,
    /// Number of requests that could not connect, at stopped or crashed hosts.
    pub unreachable: usize,
    /// Number of requests that were not sent.
    pub unsent: u64,
    /// Number of failed or refused requests by reason, except over the rate or for the withdrawn key.
    pub failures: BTreeMap<String, usize>,
    /// Latency by kind.
    pub latency: Vec<LatencyMeasure>,
    /// Invariants that the run violated.
    pub violations: Vec<InvariantViolation>,
}

impl RunRecords {
    pub(crate) fn calls(&self) -> impl Iterator<Item = &CallRecord> {
        self.teams.iter().flat_map(|team| &team.calls)
    }

    fn count(&self, is_counted: impl Fn(&CallRecord) -> bool) -> usize {
        self.calls().filter(|call| is_counted(call)).count()
    }

    fn runs_of(&self, name: &SmolStr) -> u32 {
        let runs = self
            .targets
            .iter()
            .filter_map(|target| target.runs.get(name));
        runs.sum()
    }

    /// Returns the time from the fault until the first window in which the gray target receives almost
    /// no requests, while the other targets of its service and zone receive at least 10 on average.
    fn detection(&self) -> Option<Duration> {
        let (from, to) = (self.faults.gray_from, self.faults.gray_to);
        let is_gray = |target: &&TargetRecords| target.config.id == GRAY_TARGET;
        let gray = self.targets.iter().find(is_gray)?;
        let is_other = |target: &&TargetRecords| {
            target.config.service == gray.config.service
                && target.config.zone == gray.config.zone
                && !is_gray(target)
        };
        let others: Vec<_> = self.targets.iter().filter(is_other).collect();
        let count = |target: &TargetRecords, start: Duration| {
            let window = start..start + DETECTION_WINDOW;
            let inside = |arrival: &&ArrivalRecord| arrival.is_call && window.contains(&arrival.at);
            target.arrivals.iter().filter(inside).count() as f64
        };
        let mut start = from;
        while start + DETECTION_WINDOW <= to {
            let sum: f64 = others.iter().map(|target| count(target, start)).sum();
            let mean = sum / others.len().max(1) as f64;
            if mean >= 1.0 / DETECTION_FRACTION && count(gray, start) <= mean * DETECTION_FRACTION {
                // A fully used target receives the remaining fraction of the requests in this time.
                return Some(start + DETECTION_WINDOW.mul_f64(DETECTION_FRACTION) - from);
            }
            start += DETECTION_STEP;
        }
        None
    }

    fn zone_arrivals(&self, from: Duration, to: Duration) -> usize {
        let targets = self.targets.iter();
        let of_zone = targets.filter(|target| target.config.zone == ZONE_OUT);
        let arrivals = of_zone.flat_map(|target| &target.arrivals);
        let inside = arrivals.filter(|arrival| arrival.is_call && (from..to).contains(&arrival.at));
        inside.count()
    }

    fn latency(&self, kind: CallKind) -> LatencyMeasure {
        let is_counted =
            |call: &&CallRecord| call.kind == kind && call.outcome == CallOutcome::Answered;
        let calls = self.calls().filter(is_counted);
        let mut times: Vec<Duration> = calls.map(|call| call.ended - call.sent).collect();
        times.sort_unstable();
        let quantile = |per_mille: usize| {
            let index = (times.len() * per_mille).div_ceil(1000).max(1) - 1;
            times.get(index).copied().unwrap_or_default()
        };
        LatencyMeasure {
            kind,
            p50: quantile(500),
            p99: quantile(990),
        }
    }
}

impl DemoReport {
    /// Computes the measures of a run.
    pub fn new(records: &RunRecords) -> Self {
        let faults = &records.faults;
        let withdrawn = faults.key_withdrawn;
        let teams = records.teams.iter();
        let is_cut_at = |call: &CallRecord, host: &str| {
            matches!(call.outcome, CallOutcome::Cut | CallOutcome::TimedOut)
                && call.host.as_str() == host
        };
        let is_crashed =
            |call: &CallRecord| is_cut_at(call, CRASHED_HOST) && call.ended >= faults.crash;
        let is_stopped =
            |call: &CallRecord| is_cut_at(call, STOPPED_HOST) && call.ended >= faults.stop_from;
        let is_cut_running = |call: &CallRecord| {
            let is_cut = matches!(call.outcome, CallOutcome::Cut | CallOutcome::TimedOut);
            is_cut && !is_crashed(call) && !is_stopped(call)
        };
        let is_late_key =
            |call: &CallRecord| call.has_withdrawn_key && call.sent > withdrawn + PROPAGATION_TIME;
        let is_purchase = |call: &&CallRecord| call.kind == CallKind::Purchase;
        let purchases = || records.calls().filter(is_purchase);
        let is_not_run = |call: &&CallRecord| {
            matches!(
                call.outcome,
                CallOutcome::Refused {
                    is_not_run: true,
                    ..
                }
            )
        };
        let not_run = || purchases().filter(is_not_run);
        let cold = || {
            let arrivals = records.targets.iter().flat_map(|target| &target.arrivals);
            arrivals.filter(|arrival| arrival.is_cold)
        };
        let mut report = Self {
            plan: records.plan,
            teams: teams
                .map(|team| TeamMeasures::new(team, withdrawn))
                .collect(),
            detection: records.detection(),
            gray_time: faults.gray_to.saturating_sub(faults.gray_from),
            gray_requests: gray_requests(records),
            false_ejections: records
                .ejected
                .iter()
                .filter(|id| *id != GRAY_TARGET)
                .cloned()
                .collect(),
            zone_late: records.zone_arrivals(faults.zone_from + PROPAGATION_TIME, faults.zone_to),
            zone_total: records.zone_arrivals(Duration::ZERO, Duration::MAX),
            key_late: records.count(|call| is_late_key(call) && call.is_admitted()),
            key_tries: records.count(is_late_key),
            purchases: purchases()
                .filter(|call| records.runs_of(&call.name) > 0)
                .count(),
            double_runs: purchases()
                .filter(|call| records.runs_of(&call.name) > 1)
                .count(),
            not_run: not_run().count(),
            false_not_run: not_run()
                .filter(|call| records.runs_of(&call.name) > 0)
                .count(),
            cold_concurrent_max: cold()
                .map(|arrival| arrival.concurrent)
                .max()
                .unwrap_or_default(),
            cold_requests: cold().count(),
            key_heads: records.targets.iter().map(|target| target.key_heads).sum(),
            wrong_answers: records.count(|call| call.outcome == CallOutcome::WrongAnswer),
            cut_running: records.count(is_cut_running),
            cut_stop: records.count(is_stopped),
            is_drained: faults.is_drained,
            cut_crash: records.count(is_crashed),
            unreachable: records.count(|call| call.outcome == CallOutcome::Unreachable),
            unsent: records.unsent,
            first_violations: FirstViolations::new(records, is_cut_running),
            failures: failures(records),
            latency: CallKind::ALL.map(|kind| records.latency(kind)).to_vec(),
            violations: Vec::new(),
        };
        report.violations = report.find_violations();
        report
    }
}

fn gray_requests(records: &RunRecords) -> usize {
    let (from, to) = (records.faults.gray_from, records.faults.gray_to);
    let targets = records.targets.iter();
    let gray = targets.filter(|target| target.config.id == GRAY_TARGET);
    let arrivals = gray.flat_map(|target| &target.arrivals);
    arrivals
        .filter(|arrival| arrival.is_call && (from..to).contains(&arrival.at))
        .count()
}

/// Counts the failures by reason. Refusals of the withdrawn key are expected and not counted.
fn failures(records: &RunRecords) -> BTreeMap<String, usize> {
    let mut failures = BTreeMap::new();
    for call in records.calls() {
        let reason = match &call.outcome {
            CallOutcome::Answered => continue,
            CallOutcome::Refused { reason, .. } if reason == "over-rate" => continue,
            CallOutcome::Refused { reason, .. }
                if reason == "bad-key" && call.has_withdrawn_key =>
            {
                continue;
            }
            CallOutcome::Refused { reason, .. } => reason.to_string(),
            CallOutcome::TargetError(status) => format!("target-{status}"),
            CallOutcome::WrongAnswer => "foreign".into(),
            CallOutcome::Cut => "cut".into(),
            CallOutcome::Unreachable => "closed-port".into(),
            CallOutcome::TimedOut => "no-answer".into(),
        };
        *failures.entry(reason).or_default() += 1;
    }
    failures
}
