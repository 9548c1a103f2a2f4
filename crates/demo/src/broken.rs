//! Which invariants a run broke, by its measures.

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

/// An invariant that a run broke.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrokenInvariant {
    /// Its number on the design page.
    pub id: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for BrokenInvariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.id, self.seen)
    }
}

/// Where invariants were first seen broken. Times count from the start of the run.
#[derive(Clone, Debug, Default)]
pub struct BrokenPlaces {
    /// Cold target with several requests at once.
    pub cold: Option<(SmolStr, Duration)>,
    /// Request that was cut at a host that ran on.
    pub cut: Option<(SmolStr, Duration)>,
}

impl BrokenPlaces {
    /// Finds the places in the records of a run; `is_cut` tells which calls were cut at a host that ran on.
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
    /// Returns the invariants that the run broke.
    pub(crate) fn find_broken(&self) -> Vec<BrokenInvariant> {
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
                self.cold_at_once > 1,
                format!(
                    "a cold target had {} requests at once{}",
                    self.cold_at_once,
                    place_text(&self.places.cold)
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
                self.foreign > 0,
                format!("{} answers belonged to another request", self.foreign),
            ),
            (
                "I8",
                self.cut_running > 0,
                format!(
                    "{} answers were cut at hosts that ran on{}",
                    self.cut_running,
                    place_text(&self.places.cut)
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
        let broken = checks.into_iter().filter(|(_, is_broken, _)| *is_broken);
        broken
            .map(|(id, _, seen)| BrokenInvariant { id, seen })
            .collect()
    }
}

fn place_text(place: &Option<(SmolStr, Duration)>) -> String {
    let text =
        |(name, at): &(SmolStr, Duration)| format!(", first {name} at {:.3} s", at.as_secs_f64());
    place.as_ref().map(text).unwrap_or_default()
}

/// Finds the first moment at which a cold target had several requests at once.
fn first_cold_excess(records: &RunRecords) -> Option<(SmolStr, Duration)> {
    let moments = records.targets.iter().flat_map(|target| {
        let excess = target.arrivals.iter();
        let excess = excess.filter(|it| it.is_cold && it.at_once > 1);
        excess.map(|it| (target.place.id.clone(), it.at))
    });
    moments.min_by_key(|(_, at)| *at)
}
