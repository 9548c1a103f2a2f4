//! Choice among the targets of a service.

use std::{
    fmt,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

/// Time after which a report of an owner counts for nothing.
const REPORT_LIFE: Duration = Duration::from_secs(2);

/// Load, in thousandths of the limit, from which targets of other zones are considered.
const SPILL_LOAD: u32 = 800;

/// Load, in thousandths of the limit, of a target without a free slot.
const FULL_LOAD: u32 = 1000;

/// A target that may get the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetCandidate {
    /// Name of the target.
    pub id: TargetId,
    /// Zone of the target.
    pub zone: ZoneId,
    /// Whether the target is under suspicion.
    pub is_suspect: bool,
    /// Whether the request was already tried there.
    pub is_excluded: bool,
}

/// Why a candidate did not get the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PassReason {
    /// The request was already tried there.
    Tried,
    /// It is in another zone, and the own zone has room.
    OtherZone,
    /// It is under suspicion, and others have room.
    Suspect,
    /// It has more load than the chosen one, in thousandths of its limit.
    Loaded(u32),
    /// The random draw did not pick it for comparison.
    NotDrawn,
}

impl fmt::Display for PassReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tried => f.write_str("tried"),
            Self::OtherZone => f.write_str("other-zone"),
            Self::Suspect => f.write_str("suspect"),
            Self::Loaded(load) => write!(f, "load-{load}"),
            Self::NotDrawn => f.write_str("not-drawn"),
        }
    }
}

/// The chosen target and the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetChoice {
    /// Target that gets the request, if there is any.
    pub chosen: Option<TargetId>,
    /// The candidates that were passed over, for the decision log.
    pub passed: Vec<(TargetId, PassReason)>,
}

/// Load of one target as its owner reported it last.
#[derive(Debug, Default)]
struct LoadRecord {
    in_flight: u16,
    limit: u16,
    reported_at: MonoTime,
    sent_since: u16,
}

impl LoadRecord {
    fn load(&self, now: MonoTime) -> u32 {
        let life = REPORT_LIFE.as_millis() as u64;
        let age = now.since(self.reported_at).as_millis() as u64;
        let fresh_mille = life.saturating_sub(age) * 1000 / life;
        let reported = u64::from(self.in_flight) * fresh_mille;
        let sent = u64::from(self.sent_since) * 1000;
        u32::try_from((reported + sent) / u64::from(self.limit.max(1))).unwrap_or(u32::MAX)
    }
}

/// What this host knows about the load of targets.
#[derive(Debug, Default)]
pub struct TargetChooser {
    loads: ShardMap<TargetId, LoadRecord>,
}

impl TargetChooser {
    /// Makes a chooser that knows no load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the report of a target's owner.
    pub fn on_report(&self, target: &TargetId, in_flight: u16, limit: u16, now: MonoTime) {
        let record = LoadRecord {
            in_flight,
            limit,
            reported_at: now,
            sent_since: 0,
        };
        self.loads.insert(target.clone(), record);
    }

    /// Notes that this host sent a request to a target.
    pub fn on_sent(&self, target: &TargetId) {
        self.loads
            .with_or_insert(target, LoadRecord::default, |record| {
                record.sent_since = record.sent_since.saturating_add(1);
            });
    }

    /// Notes that a request of this host to a target has ended.
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

    /// Chooses a target: the less loaded of two random ones of the own zone, of other zones when
    /// that one is loaded, and of the suspects when all others are full.
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
        let mut drawn: Vec<(u32, &TargetId)> = Vec::new();
        for (tier, room) in [(0, u32::MAX), (1, SPILL_LOAD), (2, FULL_LOAD)] {
            let best = drawn.iter().map(|(load, _)| *load).min();
            if best.is_some_and(|best| best < room) {
                break;
            }
            let of_tier =
                |candidate: &&TargetCandidate| !candidate.is_excluded && tier_of(candidate) == tier;
            let members: Vec<_> = candidates.iter().filter(of_tier).collect();
            for at in draw_two(members.len(), random) {
                let id = &members[at].id;
                drawn.push((self.load_of(id, now), id));
            }
        }
        let chosen = drawn
            .iter()
            .min_by_key(|(load, _)| *load)
            .map(|(_, id)| *id);
        let reason_of = |candidate: &TargetCandidate| {
            let load = drawn.iter().find(|(_, id)| *id == &candidate.id);
            match (load, tier_of(candidate)) {
                _ if candidate.is_excluded => PassReason::Tried,
                (Some((load, _)), _) => PassReason::Loaded(*load),
                (None, 2) => PassReason::Suspect,
                (None, 1) if drawn.iter().all(|(load, _)| *load < SPILL_LOAD) => {
                    PassReason::OtherZone
                }
                _ => PassReason::NotDrawn,
            }
        };
        let others = candidates.iter().filter(|it| Some(&it.id) != chosen);
        TargetChoice {
            chosen: chosen.cloned(),
            passed: others.map(|it| (it.id.clone(), reason_of(it))).collect(),
        }
    }
}

/// Draws two different positions below a count, or fewer when there are fewer.
fn draw_two(count: usize, random: u64) -> Vec<usize> {
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
