//! The targets that registered themselves, and the zones that are evacuated.

use std::{
    fmt,
    net::SocketAddr,
    num::ParseIntError,
    str::FromStr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Revision of the store; a higher one is later.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreRevision(u64);

impl StoreRevision {
    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreRevision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// What a target says about taking work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetPhase {
    /// It takes work.
    Ready,
    /// It leaves and takes no new work.
    Draining,
}

/// One incarnation of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetEntry {
    /// Name of the target.
    pub id: TargetId,
    /// Its service.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Requests that it processes at once.
    pub slots: SlotCount,
    /// Whether it takes work.
    pub phase: TargetPhase,
    /// How much longer it stays cold, when it said so.
    pub cold_left: Duration,
    /// Start of this incarnation, as it tells it.
    pub born: u64,
}

impl TargetEntry {
    /// Tells whether the other entry means the same for callers. The time that a cold target has left
    /// counts down by itself and is no change.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let is_cold = |entry: &Self| !entry.cold_left.is_zero();
        let bare = |entry: &Self| Self {
            cold_left: Duration::ZERO,
            ..entry.clone()
        };
        is_cold(self) == is_cold(other) && bare(self) == bare(other)
    }
}

/// The targets and evacuated zones as of one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetDirectory {
    /// Revision up to which the store was read.
    pub as_of: StoreRevision,
    /// Revision of the last change that means something to callers.
    pub changed_at: StoreRevision,
    /// All targets.
    pub targets: IndexMap<TargetId, TargetEntry>,
    /// Zones whose targets get nothing.
    pub evacuated: IndexSet<ZoneId>,
}

impl TargetDirectory {
    /// Makes an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells whether a target may get new work.
    pub fn is_open(&self, entry: &TargetEntry) -> bool {
        entry.phase == TargetPhase::Ready && !self.evacuated.contains(&entry.zone)
    }

    /// Returns the targets of a service that may get new work.
    pub fn open_targets(&self, service: &ServiceId) -> impl Iterator<Item = &TargetEntry> {
        let entries = self.targets.values();
        entries.filter(move |entry| entry.service == *service && self.is_open(entry))
    }

    /// Returns the zones with targets of a service that may get new work.
    pub fn zones_of(&self, service: &ServiceId) -> IndexSet<ZoneId> {
        let entries = self.open_targets(service);
        entries.map(|entry| entry.zone.clone()).collect()
    }
}
