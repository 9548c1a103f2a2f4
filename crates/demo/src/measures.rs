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
    broken::{
        BrokenInvariant,
        BrokenPlaces, //
    },
    limits,
    plan::DemoPlan,
    records::{
        ArrivalRecord,
        CallEnd,
        CallKind,
        CallRecord,
        FaultTimes, //
    },
    setting::{
        CRASHED_HOST,
        GRAY_TARGET,
        STOPPED_HOST,
        TargetPlace,
        TeamSetting,
        ZONE_OUT, //
    },
};

/// Time in which a withdrawal or a booking is in force everywhere: "a few seconds".
const FORCE_TIME: Duration = Duration::from_secs(3);
/// Window in which the gray target's requests are compared with those of the others.
const DETECTION_WINDOW: Duration = Duration::from_secs(2);
/// Step of that window.
const DETECTION_STEP: Duration = Duration::from_millis(100);
/// Part of the others' requests below which the gray target counts as out of use.
const DETECTION_PART: f64 = 0.1;

/// What one team's callers saw.
#[derive(Clone, Debug)]
pub struct TeamRecords {
    /// The team.
    pub team: TeamSetting,
    /// Its requests.
    pub calls: Vec<CallRecord>,
}

/// What one target saw.
#[derive(Clone, Debug)]
pub struct TargetRecords {
    /// The target.
    pub place: TargetPlace,
    /// The requests that came.
    pub arrivals: Vec<ArrivalRecord>,
    /// How often each purchase ran.
    pub runs: IndexMap<SmolStr, u32>,
    /// Heads that held a key.
    pub key_heads: u32,
}

/// Everything that was recorded in a run.
#[derive(Clone, Debug)]
pub struct RunRecords {
    /// Length and seed.
    pub plan: DemoPlan,
    /// Start of the load.
    pub from: Duration,
    /// What was done to the fleet.
    pub faults: FaultTimes,
    /// Records by team.
    pub teams: Vec<TeamRecords>,
    /// Records by target.
    pub targets: Vec<TargetRecords>,
    /// Targets that some host reported as ejected.
    pub ejected: BTreeSet<SmolStr>,
    /// Requests that were not sent because too many were in flight or no host was ready.
    pub unsent: u64,
}

/// Measures of one team. The withdrawn key's requests after its withdrawal are left out.
#[derive(Clone, Debug)]
pub struct TeamMeasures {
    /// The team.
    pub team: TeamSetting,
    /// Requests sent.
    pub asked: usize,
    /// Requests that one limiter for the whole fleet would have let through.
    pub within: usize,
    /// Requests answered by a target in full and without error.
    pub answered: usize,
    /// Refusals as above the rate.
    pub over_rate: usize,
    /// Those of them that were within the rate.
    pub refused_within: usize,
    /// Requests that failed or were refused otherwise.
    pub failed: usize,
    /// Requests received beyond rate and burst.
    pub overshoot: f64,
}

impl TeamMeasures {
    fn new(records: &TeamRecords, withdrawn: Duration) -> Self {
        let is_counted = |call: &&CallRecord| !call.has_old_key || call.ended < withdrawn;
        let mut calls: Vec<&CallRecord> = records.calls.iter().filter(is_counted).collect();
        calls.sort_by_key(|call| call.sent);
        let answered = |call: &&&CallRecord| call.end == CallEnd::Answered;
        let answered = calls.iter().filter(answered).count();
        let over_rate = calls.iter().filter(|call| call.is_over_rate()).count();
        let all: Vec<&CallRecord> = records.calls.iter().collect();
        Self {
            team: records.team,
            asked: calls.len(),
            within: limits::within_rate(&records.team, &calls),
            answered,
            over_rate,
            refused_within: limits::refused_within(&records.team, &calls),
            failed: calls.len() - answered - over_rate,
            overshoot: limits::overshoot(&records.team, &all),
        }
    }

    /// Returns the part of what the team asked within its rate that was answered.
    pub fn share(&self) -> f64 {
        self.answered as f64 / (self.within.max(1)) as f64
    }
}

/// Median and 99th percentile of the answered requests of one kind.
#[derive(Clone, Copy, Debug)]
pub struct LatencyMeasure {
    /// Kind of the requests.
    pub kind: CallKind,
    /// Half were answered within this time.
    pub p50: Duration,
    /// 99 in 100 were answered within this time.
    pub p99: Duration,
}

/// The measures of a run.
#[derive(Clone, Debug)]
pub struct DemoReport {
    /// Length and seed.
    pub plan: DemoPlan,
    /// Measures by team.
    pub teams: Vec<TeamMeasures>,
    /// Time until the gray target was out of use, or `None` when it stayed in use.
    pub detection: Option<Duration>,
    /// Time that the target was gray.
    pub gray_time: Duration,
    /// Requests that the gray target got while it was gray.
    pub gray_requests: usize,
    /// Other targets that were reported as ejected.
    pub false_ejections: Vec<SmolStr>,
    /// Requests that reached the zone more than 3 s after it was out.
    pub zone_late: usize,
    /// Requests that targets of the zone got in the run.
    pub zone_total: usize,
    /// Requests with the withdrawn key that were answered more than 3 s after its withdrawal.
    pub key_late: usize,
    /// Requests sent with the withdrawn key more than 3 s after its withdrawal.
    pub key_tries: usize,
    /// Purchases that ran.
    pub purchases: usize,
    /// Purchases that ran more than once.
    pub double_runs: usize,
    /// Purchases answered `not-run`.
    pub not_run: usize,
    /// Those of them that did run.
    pub false_not_run: usize,
    /// Most requests at once at a cold target.
    pub cold_at_once: u32,
    /// Requests that came to cold targets.
    pub cold_requests: usize,
    /// First moments at which invariants were seen broken, for a search in the logs.
    pub places: BrokenPlaces,
    /// Heads at targets that held a key.
    pub key_heads: u32,
    /// Answers that belonged to another request.
    pub foreign: usize,
    /// Answers cut at hosts that ran on.
    pub cut_running: usize,
    /// Requests cut at the host that stopped as planned.
    pub cut_stop: usize,
    /// Whether that host says that it drained.
    pub is_drained: bool,
    /// Requests cut at the host that crashed.
    pub cut_crash: usize,
    /// Requests that found no open port, at stopped or crashed hosts.
    pub unreachable: usize,
    /// Requests that were not sent.
    pub unsent: u64,
    /// Requests that failed or were refused for another reason than the rate or a withdrawn key, by
    /// reason.
    pub failures: BTreeMap<String, usize>,
    /// Latency by kind.
    pub latency: Vec<LatencyMeasure>,
    /// Broken invariants.
    pub broken: Vec<BrokenInvariant>,
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

    /// Finds the first window after the fault in which the gray target gets nearly nothing and the
    /// other targets of its service get work.
    fn detection(&self) -> Option<Duration> {
        let (from, to) = (self.faults.gray_from, self.faults.gray_to);
        let is_gray = |target: &&TargetRecords| target.place.id == GRAY_TARGET;
        let gray = self.targets.iter().find(is_gray)?;
        let is_other = |target: &&TargetRecords| {
            target.place.service == gray.place.service
                && target.place.zone == gray.place.zone
                && !is_gray(target)
        };
        let others: Vec<_> = self.targets.iter().filter(is_other).collect();
        let count = |target: &TargetRecords, at: Duration| {
            let window = at..at + DETECTION_WINDOW;
            let inside = |it: &&ArrivalRecord| it.is_call && window.contains(&it.at);
            target.arrivals.iter().filter(inside).count() as f64
        };
        let mut at = from;
        while at + DETECTION_WINDOW <= to {
            let sum: f64 = others.iter().map(|target| count(target, at)).sum();
            let mean = sum / others.len().max(1) as f64;
            if mean >= 1.0 / DETECTION_PART && count(gray, at) <= mean * DETECTION_PART {
                // A target in full use would spend the part that is left to it in this time.
                return Some(at + DETECTION_WINDOW.mul_f64(DETECTION_PART) - from);
            }
            at += DETECTION_STEP;
        }
        None
    }

    fn zone_arrivals(&self, from: Duration, to: Duration) -> usize {
        let targets = self.targets.iter();
        let of_zone = targets.filter(|target| target.place.zone == ZONE_OUT);
        let arrivals = of_zone.flat_map(|target| &target.arrivals);
        let inside = arrivals.filter(|it| it.is_call && (from..to).contains(&it.at));
        inside.count()
    }

    fn latency(&self, kind: CallKind) -> LatencyMeasure {
        let is_counted = |call: &&CallRecord| call.kind == kind && call.end == CallEnd::Answered;
        let calls = self.calls().filter(is_counted);
        let mut times: Vec<Duration> = calls.map(|call| call.ended - call.sent).collect();
        times.sort_unstable();
        let quantile = |mille: usize| {
            let at = (times.len() * mille).div_ceil(1000).max(1) - 1;
            times.get(at).copied().unwrap_or_default()
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
            matches!(call.end, CallEnd::Cut | CallEnd::TimedOut) && call.host.as_str() == host
        };
        let is_crashed =
            |call: &CallRecord| is_cut_at(call, CRASHED_HOST) && call.ended >= faults.crash;
        let is_stopped =
            |call: &CallRecord| is_cut_at(call, STOPPED_HOST) && call.ended >= faults.stop_from;
        let is_cut_running = |call: &CallRecord| {
            let is_cut = matches!(call.end, CallEnd::Cut | CallEnd::TimedOut);
            is_cut && !is_crashed(call) && !is_stopped(call)
        };
        let is_late_key =
            |call: &CallRecord| call.has_old_key && call.sent > withdrawn + FORCE_TIME;
        let is_purchase = |call: &&CallRecord| call.kind == CallKind::Purchase;
        let purchases = || records.calls().filter(is_purchase);
        let is_not_run = |call: &&CallRecord| {
            matches!(
                call.end,
                CallEnd::Refused {
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
                .filter(|it| *it != GRAY_TARGET)
                .cloned()
                .collect(),
            zone_late: records.zone_arrivals(faults.zone_from + FORCE_TIME, faults.zone_to),
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
            cold_at_once: cold()
                .map(|arrival| arrival.at_once)
                .max()
                .unwrap_or_default(),
            cold_requests: cold().count(),
            key_heads: records.targets.iter().map(|target| target.key_heads).sum(),
            foreign: records.count(|call| call.end == CallEnd::Foreign),
            cut_running: records.count(is_cut_running),
            cut_stop: records.count(is_stopped),
            is_drained: faults.is_drained,
            cut_crash: records.count(is_crashed),
            unreachable: records.count(|call| call.end == CallEnd::Unreachable),
            unsent: records.unsent,
            places: BrokenPlaces::new(records, is_cut_running),
            failures: failures(records),
            latency: CallKind::ALL.map(|kind| records.latency(kind)).to_vec(),
            broken: Vec::new(),
        };
        report.broken = report.find_broken();
        report
    }
}

fn gray_requests(records: &RunRecords) -> usize {
    let (from, to) = (records.faults.gray_from, records.faults.gray_to);
    let targets = records.targets.iter();
    let gray = targets.filter(|target| target.place.id == GRAY_TARGET);
    let arrivals = gray.flat_map(|target| &target.arrivals);
    arrivals
        .filter(|it| it.is_call && (from..to).contains(&it.at))
        .count()
}

/// Counts the failures by reason. Refusals of the withdrawn key are as they should be.
fn failures(records: &RunRecords) -> BTreeMap<String, usize> {
    let mut failures = BTreeMap::new();
    for call in records.calls() {
        let reason = match &call.end {
            CallEnd::Answered => continue,
            CallEnd::Refused { reason, .. } if reason == "over-rate" => continue,
            CallEnd::Refused { reason, .. } if reason == "bad-key" && call.has_old_key => continue,
            CallEnd::Refused { reason, .. } => reason.to_string(),
            CallEnd::TargetError(status) => format!("target-{status}"),
            CallEnd::Foreign => "foreign".into(),
            CallEnd::Cut => "cut".into(),
            CallEnd::Unreachable => "closed-port".into(),
            CallEnd::TimedOut => "no-answer".into(),
        };
        *failures.entry(reason).or_default() += 1;
    }
    failures
}
