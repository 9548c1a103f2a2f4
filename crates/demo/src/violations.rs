//! Finds the invariants that a run violated, by its measures.

use std::{
    fmt,
    time::Duration, //
};

use smol_str::SmolStr;

use crate::{
    measures::{
        DemoReport,
        RunRecords, //
    },
    records::CallRecord,
};

/// An invariant that a run violated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvariantViolation {
    /// Number of the invariant on the design page.
    pub id: &'static str,
    /// Description of what was observed.
    pub observed: String,
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.id, self.observed)
    }
}

/// First violations of invariants, as a name and the time from the start of the run.
#[derive(Clone, Debug, Default)]
pub struct FirstViolations {
    /// First cold target with several concurrent requests.
    pub cold: Option<(SmolStr, Duration)>,
    /// First request that was cut off at a host that kept running.
    pub cut: Option<(SmolStr, Duration)>,
}

impl FirstViolations {
    /// Finds the first violations in the records of a run. `is_cut` returns `true` for calls that were cut
    /// off at a host that kept running.
    pub(crate) fn new(records: &RunRecords, is_cut: impl Fn(&CallRecord) -> bool) -> Self {
        let cut = records.calls().filter(|call| is_cut(call));
        Self {
            cold: first_cold_excess(records),
            cut: cut
                .map(|call| (call.name.clone(), call.sent))
                .min_by_key(|(_, sent)| *sent),
        }
    }
}

impl DemoReport {
    /// Returns the invariants that the run violated.
    pub(crate) fn find_violations(&self) -> Vec<InvariantViolation> {
        let overshoot = self.teams.iter().map(|team| team.overshoot);
        let overshoot = overshoot.fold(0.0, f64::max);
        let checks = [
            (
                "I3",
                self.key_heads > 0,
                format!("{} heads with a key reached targets", self.key_heads),
            ),
            (
                "I4",
                self.key_late > 0,
                format!(
                    "{} requests were answered with a key that was withdrawn more than 3 s before",
                    self.key_late
                ),
            ),
            (
                "I5",
                overshoot > 0.0,
                format!("a team received {overshoot:.1} requests beyond its rate and burst"),
            ),
            (
                "I6",
                self.cold_concurrent_max > 1,
                format!(
                    "a cold target had {} requests at once{}",
                    self.cold_concurrent_max,
                    first_text(&self.first_violations.cold)
                ),
            ),
            (
                "I7",
                self.zone_late > 0,
                format!(
                    "{} requests reached a zone that was out for more than 3 s",
                    self.zone_late
                ),
            ),
            (
                "I8",
                self.wrong_answers > 0,
                format!("{} answers belonged to another request", self.wrong_answers),
            ),
            (
                "I8",
                self.cut_running > 0,
                format!(
                    "{} answers were cut at hosts that ran on{}",
                    self.cut_running,
                    first_text(&self.first_violations.cut)
                ),
            ),
            (
                "I9",
                self.false_not_run > 0,
                format!("{} purchases answered not-run did run", self.false_not_run),
            ),
            (
                "I10",
                self.double_runs > 0,
                format!("{} purchases ran more than once", self.double_runs),
            ),
            (
                "I12",
                self.cut_stop > 0 || !self.is_drained,
                format!(
                    "the planned stop cut {} requests; drained: {}",
                    self.cut_stop, self.is_drained
                ),
            ),
        ];
        let violated = checks
            .into_iter()
            .filter(|(_, is_violated, _)| *is_violated);
        violated
            .map(|(id, _, observed)| InvariantViolation { id, observed })
            .collect()
    }
}

fn first_text(first: &Option<(SmolStr, Duration)>) -> String {
    let text =
        |(name, at): &(SmolStr, Duration)| format!(", first {name} at {:.3} s", at.as_secs_f64());
    first.as_ref().map(text).unwrap_or_default()
}

/// Returns the first time at which a cold target had several concurrent requests.
fn first_cold_excess(records: &RunRecords) -> Option<(SmolStr, Duration)> {
    let excesses = records.targets.iter().flat_map(|target| {
        let excess = target.arrivals.iter();
        let excess = excess.filter(|arrival| arrival.is_cold && arrival.concurrent > 1);
        excess.map(|arrival| (target.config.id.clone(), arrival.at))
    });
    excesses.min_by_key(|(_, at)| *at)
}
