//! The number of hosts among which the team rates are divided.
//!
//! Load pattern: hosts restart one after the other, a third of them is cut off, or all start at once and know of each other
//! only after seconds. A host that is gone keeps its unit for a minute, so that a cut does not make each part the whole
//! fleet.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};

/// Time for which a host counts after it was heard of last, on the larger side of a cut.
const COUNTED_FOR: Duration = Duration::from_secs(60);

/// The same on the smaller side, which must not take itself for the whole fleet while the cut lasts.
const COUNTED_FOR_SMALLER: Duration = Duration::from_secs(600);

/// Silence of a host after which most of the fleet uses its unit.
pub const LEASE_RECLAIM: Duration = Duration::from_secs(8);

/// Silence after which a host does not count as part of this one's side of a cut. News of a live host arrive within four
/// rounds of gossip of 1 s.
const PARTED_AFTER: Duration = Duration::from_secs(5);

/// Silence of a host after which the smaller side of a cut gives up most of its share, before the larger side forgets the other.
const YIELD_AFTER: Duration = Duration::from_secs(50);

/// Fleet size that a host assumes while it knows of no other. Deployments have 32 hosts or more.
const FLEET_SIZE_ASSUMED: u32 = 32;

/// Time after the start in which gossip reaches a process from all hosts, even if the whole fleet starts at once.
pub const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// Returns the fleet size that a host with a number of units assumes before it has heard of most hosts. While all hosts
/// start at once, a dispatcher knows those of its own zone first.
pub fn size_assumed(units: u32, zone_count: usize) -> u32 {
    let zones = u32::try_from(zone_count).unwrap_or(u32::MAX);
    FLEET_SIZE_ASSUMED.max(units.saturating_mul(zones))
}

/// The hosts of the fleet as one host counts them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetCount {
    /// Hosts that count, this one included, or the size assumed.
    pub known: u32,
    /// Known hosts that were heard of lately, this one included.
    pub heard: u32,
    /// Known hosts that were silent for [`LEASE_RECLAIM`].
    pub silent: u32,
    /// Whether a host was silent for so long that the larger side of a cut is about to forget the smaller one.
    pub must_yield: bool,
    /// Whether another host was heard of since the start.
    pub has_others: bool,
    /// Zones of which a host was heard of since the start, the own zone included.
    pub zones: usize,
    /// Whether the dispatcher of the zone has told the size of the fleet.
    pub is_told: bool,
}

impl FleetCount {
    /// Counts at least `floor` hosts.
    pub fn with_floor(self, floor: u32) -> Self {
        Self {
            known: self.known.max(floor),
            ..self
        }
    }

    /// Returns `true` if a process that has run for a time may not know most of the fleet yet. The hosts of a zone that
    /// restart while the zone is cut off know only each other. A zone without hosts counts as unknown for a minute, the
    /// time after which hosts that are gone are forgotten.
    pub fn is_partial(self, uptime: Duration, zone_count: usize) -> bool {
        let lacks_zone = self.zones < zone_count && !self.is_told && uptime < COUNTED_FOR;
        uptime < STARTUP_PERIOD || !self.has_others || lacks_zone
    }

    /// Returns `true` if most hosts were heard of lately, which holds on one side of a cut only.
    pub fn is_larger_side(self) -> bool {
        u64::from(self.heard) * 2 > u64::from(self.known)
    }
}

/// When each other host of the fleet was heard of last.
#[derive(Clone, Debug, Default)]
pub struct FleetRoster {
    hosts: IndexMap<HostId, HeardHost>,
    zones: IndexSet<ZoneId>,
    has_others: bool,
    /// Size of the fleet as the dispatcher of the zone counts it.
    told: Option<(u32, MonoTime)>,
}

#[derive(Clone, Copy, Debug)]
struct HeardHost {
    /// Start of the process and its heartbeat counter.
    version: (HostIncarnation, u64),
    at: MonoTime,
}

impl FleetRoster {
    /// Creates a roster without other hosts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the heartbeat counter of another host. Only a higher one is news of it.
    pub fn on_beat(
        &mut self,
        host: &HostId,
        incarnation: HostIncarnation,
        beat: u64,
        now: MonoTime,
    ) {
        self.has_others = true;
        let version = (incarnation, beat);
        let heard = HeardHost { version, at: now };
        let known = self.hosts.entry(host.clone()).or_insert(heard);
        if known.version < version {
            *known = heard;
        }
    }

    /// Records the zone of this host or of another one that was heard of.
    pub fn on_zone(&mut self, zone: &ZoneId) {
        if !self.zones.contains(zone) {
            self.zones.insert(zone.clone());
        }
    }

    /// Records the size of the fleet as the dispatcher of the zone counts it, or zero from one that does not know it. A
    /// process that starts on the smaller side of a cut would take that side for the whole fleet.
    pub fn on_size(&mut self, size: u32, now: MonoTime) {
        if size > 0 {
            self.told = Some((size, now));
        }
    }

    /// Counts the hosts.
    pub fn count(&mut self, now: MonoTime) -> FleetCount {
        let count = self.count_all(now);
        let counted_for = match count.is_larger_side() {
            true => COUNTED_FOR,
            false => COUNTED_FOR_SMALLER,
        };
        let before = self.hosts.len();
        self.hosts
            .retain(|_, heard| now.since(heard.at) < counted_for);
        let is_told = self.told.is_some();
        self.told.take_if(|(_, at)| now.since(*at) >= counted_for);
        match self.hosts.len() == before && self.told.is_some() == is_told {
            true => count,
            false => self.count_all(now),
        }
    }

    fn count_all(&self, now: MonoTime) -> FleetCount {
        let silent_for = |time: Duration| {
            let silent = self.hosts.values();
            let silent = silent.filter(|heard| now.since(heard.at) >= time);
            u32::try_from(silent.count()).unwrap_or(u32::MAX)
        };
        let told = self.told.map_or(0, |(size, _)| size);
        let others = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX - 1);
        FleetCount {
            known: (others + 1).max(told),
            heard: others + 1 - silent_for(PARTED_AFTER),
            silent: silent_for(LEASE_RECLAIM),
            must_yield: silent_for(YIELD_AFTER) > 0,
            has_others: self.has_others,
            zones: self.zones.len(),
            is_told: self.told.is_some(),
        }
    }
}
