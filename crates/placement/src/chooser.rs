//! Selection among the targets of a service.

use std::{
    fmt,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

/// Age at which the load report of an owner no longer counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Load, in thousandths of the limit, from which targets of other zones are considered.
const SPILL_LOAD: u32 = 800;

/// Load, in thousandths of the limit, of a target without a free slot.
const FULL_LOAD: u32 = 1000;

/// A target that may be chosen for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetCandidate {
    /// Name of the target.
    pub id: TargetId,
    /// Zone of the target.
    pub zone: ZoneId,
    /// Whether the target is suspected to be failing.
    pub is_suspect: bool,
    /// Whether the request was already tried there.
    pub is_excluded: bool,
}

/// Reason why a candidate was not chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SkipReason {
    /// The request was already tried there.
    Tried,
    /// The target is in another zone, and the own zone has free capacity.
    OtherZone,
    /// The target is suspected to be failing, and others have free capacity.
    Suspect,
    /// The target has more load than the chosen one. The value is its load in thousandths of its
    /// limit.
    Loaded(u32),
    /// The random sample did not contain the target.
    NotSampled,
}

impl fmt::Display for SkipReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tried => f.write_str("tried"),
            Self::OtherZone => f.write_str("other-zone"),
            Self::Suspect => f.write_str("suspect"),
            Self::Loaded(load) => write!(f, "load-{load}"),
            Self::NotSampled => f.write_str("not-drawn"),
        }
    }
}

/// Result of a selection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetChoice {
    /// Chosen target, or `None` if there is no candidate.
    pub chosen: Option<TargetId>,
    /// The other candidates with the reasons, for the decision log.
    pub skipped: Vec<(TargetId, SkipReason)>,
}

/// Last reported load of one target, and the requests that this host sent since.
#[derive(Debug, Default)]
struct LoadRecord {
    in_flight: u16,
    limit: u16,
    reported_at: MonoTime,
    sent_since: u16,
}

impl LoadRecord {
    fn load(&self, now: MonoTime) -> u32 {
        let lifetime = REPORT_LIFETIME.as_millis() as u64;
        let age = now.since(self.reported_at).as_millis() as u64;
        let fresh_mille = lifetime.saturating_sub(age) * 1000 / lifetime;
        let reported = u64::from(self.in_flight) * fresh_mille;
        let sent = u64::from(self.sent_since) * 1000;
        u32::try_from((reported + sent) / u64::from(self.limit.max(1))).unwrap_or(u32::MAX)
    }
}

/// Load of the targets, as known to this host.
#[derive(Debug, Default)]
pub struct TargetChooser {
    loads: ShardMap<TargetId, LoadRecord>,
}

impl TargetChooser {
    /// Creates a chooser without load reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the load report of a target's owner.
    pub fn on_report(&self, target: &TargetId, in_flight: u16, limit: u16, now: MonoTime) {
        let record = LoadRecord {
            in_flight,
            limit,
            reported_at: now,
            sent_since: 0,
        };
        self.loads.insert(target.clone(), record);
    }

    /// Records that this host sent a request to a target.
    pub fn on_sent(&self, target: &TargetId) {
        self.loads
            .with_or_insert(target, LoadRecord::default, |record| {
                record.sent_since = record.sent_since.saturating_add(1);
            });
    }

    /// Records that a request of this host to a target has ended.
    pub fn on_ended(&self, target: &TargetId) {
        self.loads.with(target, |record| {
            record.sent_since = record.sent_since.saturating_sub(1);
        });
    }

    /// Returns the load of a target, in thousandths of its limit.
    pub fn load_of(&self, target: &TargetId, now: MonoTime) -> u32 {
        self.loads
            .with(target, |record| record.load(now))
            .unwrap_or_default()
    }

    /// Chooses the least loaded of two random targets of the own zone. Two targets of other zones
    /// are added when these are loaded, and two suspects when all of them are full.
    pub fn choose(
        &self,
        candidates: &[TargetCandidate],
        own_zone: &ZoneId,
        random: u64,
        now: MonoTime,
    ) -> TargetChoice {
        let tier_of = |candidate: &TargetCandidate| match candidate {
            candidate if candidate.is_suspect => 2,
            candidate if &candidate.zone != own_zone => 1,
            _ => 0,
        };
        let mut sampled: Vec<(u32, &TargetId)> = Vec::new();
        for (tier, load_max) in [(0, u32::MAX), (1, SPILL_LOAD), (2, FULL_LOAD)] {
            let best = sampled.iter().map(|(load, _)| *load).min();
            if best.is_some_and(|best| best < load_max) {
                break;
            }
            let of_tier =
                |candidate: &&TargetCandidate| !candidate.is_excluded && tier_of(candidate) == tier;
            let members: Vec<_> = candidates.iter().filter(of_tier).collect();
            for at in sample_two(members.len(), random) {
                let id = &members[at].id;
                sampled.push((self.load_of(id, now), id));
            }
        }
        let chosen = sampled
            .iter()
            .min_by_key(|(load, _)| *load)
            .map(|(_, id)| *id);
        let reason_of = |candidate: &TargetCandidate| {
            let load = sampled.iter().find(|(_, id)| *id == &candidate.id);
            match (load, tier_of(candidate)) {
                _ if candidate.is_excluded => SkipReason::Tried,
                (Some((load, _)), _) => SkipReason::Loaded(*load),
                (None, 2) => SkipReason::Suspect,
                (None, 1) if sampled.iter().all(|(load, _)| *load < SPILL_LOAD) => {
                    SkipReason::OtherZone
                }
                _ => SkipReason::NotSampled,
            }
        };
        let others = candidates
            .iter()
            .filter(|candidate| Some(&candidate.id) != chosen);
        TargetChoice {
            chosen: chosen.cloned(),
            skipped: others
                .map(|candidate| (candidate.id.clone(), reason_of(candidate)))
                .collect(),
        }
    }
}

/// Samples two different indices below `count`, or fewer if there are fewer.
fn sample_two(count: usize, random: u64) -> Vec<usize> {
    match count {
        0 => Vec::new(),
        1 => vec![0],
        _ => {
            let first = (random & 0xffff_ffff) as usize % count;
            let step = 1 + (random >> 32) as usize % (count - 1);
            vec![first, (first + step) % count]
        }
    }
}
