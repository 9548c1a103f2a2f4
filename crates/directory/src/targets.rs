//! The targets that registered themselves, and the zones that are evacuated.

use std::{
    fmt,
    hash::{
        Hash,
        Hasher, //
    },
    net::SocketAddr,
    num::ParseIntError,
    str::FromStr,
    time::Duration, //
};

use chicorycroft_core::{
    define_counter,
    prelude::*, //
};
use indexmap::{
    IndexMap,
    IndexSet, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::Xxh3;

define_counter!(
    /// Revision of the store; a higher one is later.
    StoreRevision
);

/// Digest of a directory's content, so that hosts see without comparing whether they hold the same.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ContentDigest(u64);

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ContentDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// What a target says about taking work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
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
    /// Number of the entry within the incarnation.
    pub sequence: u64,
}

impl TargetEntry {
    /// Returns a digest of what the entry means to callers. The time that a cold target has left counts
    /// down by itself and is no change.
    fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        (&self.id, &self.service, self.address, &self.zone).hash(&mut hasher);
        let is_cold = !self.cold_left.is_zero();
        (self.slots, self.phase, self.born, is_cold).hash(&mut hasher);
        hasher.finish()
    }

    /// Tells whether the other entry means the same to callers.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.digest() == other.digest()
    }
}

/// The targets and evacuated zones as of one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetDirectory {
    /// Revision up to which the store was read.
    pub as_of: StoreRevision,
    /// Digest of all that means something to callers.
    pub content: ContentDigest,
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

    /// Computes the digest of the content again, after a change.
    pub fn seal(&mut self) {
        let entries = self.targets.values().map(TargetEntry::digest);
        let zones = self.evacuated.iter().map(|zone| {
            let mut hasher = Xxh3::new();
            zone.hash(&mut hasher);
            hasher.finish()
        });
        // A sum does not depend on the order in which changes came.
        let sum = entries.chain(zones).fold(0, u64::wrapping_add);
        self.content = ContentDigest(sum);
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
