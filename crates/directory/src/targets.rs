//! The registered targets and the evacuated zones.

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

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::Xxh3;

use crate::position::StorePosition;

/// Digest of a directory's content, by which hosts detect equal directories without exchanging them.
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

/// State that a target reports in its entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum TargetPhase {
    /// The target accepts requests.
    Ready,
    /// The target finishes its requests before it stops, and accepts no new ones.
    Draining,
}

/// Place of a write in the order in which a target made its writes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WritePlace {
    /// Start of the incarnation, in Unix milliseconds; zero if it is not stated.
    pub born: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

impl WritePlace {
    /// Returns `true` if the write is that of an earlier incarnation. One that does not state its start cannot be compared.
    pub fn is_of_earlier_start(self, other: Self) -> bool {
        self.born != 0 && self.born < other.born
    }
}

/// Entry of a target in the store, written by one incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetEntry {
    /// Name of the target.
    pub id: TargetId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Number of requests that it processes concurrently.
    pub slots: SlotCount,
    /// Whether it accepts new requests.
    pub phase: TargetPhase,
    /// Remaining time for which it stays cold, as reported by the target; zero if it reported none.
    pub cold_left: Duration,
    /// Start of this incarnation, as reported by the target; another value is another incarnation.
    pub born: u64,
    /// Sequence number of the entry within the incarnation.
    pub sequence: u64,
}

impl TargetEntry {
    /// Returns `true` if the target is cold when it writes this entry.
    pub fn is_cold(&self) -> bool {
        !self.cold_left.is_zero()
    }

    /// Returns a digest of the fields that hosts must agree on. The remaining cold time counts only as zero or not, as its
    /// countdown is no change.
    fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        (&self.id, &self.service, self.address, &self.zone).hash(&mut hasher);
        (self.slots, self.phase, self.born, self.is_cold()).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns a digest of the write that began the cold time of a target; `None` if it is warm.
    fn cold_digest(&self) -> Option<u64> {
        let mut hasher = Xxh3::new();
        (&self.id, self.born, self.sequence).hash(&mut hasher);
        self.is_cold().then(|| hasher.finish())
    }

    /// Returns the place of the entry among the writes of its target.
    pub fn place(&self) -> WritePlace {
        WritePlace {
            born: self.born,
            sequence: self.sequence,
        }
    }

    /// Returns `true` if the target wrote this entry after another one of the same incarnation.
    pub fn is_written_after(&self, other: &Self) -> bool {
        self.born == other.born && self.sequence > other.sequence
    }

    /// Returns `true` if this entry is that of a later incarnation. One that does not state its start cannot be compared.
    pub fn is_born_after(&self, other: &Self) -> bool {
        other.place().is_of_earlier_start(self.place())
    }

    /// Returns `true` if the entries differ at most in the sequence number and in the remaining cold time of a cold target.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.digest() == other.digest()
    }
}

/// The targets and evacuated zones at one position of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "SentDirectory")]
pub struct TargetDirectory {
    /// Position up to which the store was read.
    pub as_of: StorePosition,
    /// Digest of the content, see [`TargetDirectory::update_digest`].
    pub content: ContentDigest,
    /// Digest of the content and of the cold times that this host has read. It is not sent: hosts that read different
    /// writes of a cold target have the same content.
    #[serde(skip)]
    pub local_content: ContentDigest,
    /// All registered targets, including draining ones and those of evacuated zones.
    pub targets: IndexMap<TargetId, TargetEntry>,
    /// Zones whose targets get no new requests.
    pub evacuated: IndexSet<ZoneId>,
}

impl TargetDirectory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Recomputes the digests of the content. Must be called after each change of the targets or zones.
    pub fn update_digest(&mut self) {
        let entries = self.targets.values().map(TargetEntry::digest);
        let zones = self.evacuated.iter().map(|zone| {
            let mut hasher = Xxh3::new();
            zone.hash(&mut hasher);
            hasher.finish()
        });
        // A sum does not depend on the order in which changes arrived.
        let sum = entries.chain(zones).fold(0, u64::wrapping_add);
        self.content = ContentDigest(sum);
        self.update_local_digest();
    }

    /// Recomputes the digest that is not sent from the one that is.
    fn update_local_digest(&mut self) {
        let cold = self.targets.values().filter_map(TargetEntry::cold_digest);
        let sum = cold.fold(self.content.0, u64::wrapping_add);
        self.local_content = ContentDigest(sum);
    }

    /// Returns `true` if a target may get new requests: it is ready, and its zone is not evacuated.
    pub fn is_open(&self, entry: &TargetEntry) -> bool {
        entry.phase == TargetPhase::Ready && !self.evacuated.contains(&entry.zone)
    }

    /// Returns the targets of a service that may get new requests.
    pub fn open_targets(&self, service: &ServiceId) -> impl Iterator<Item = &TargetEntry> {
        let entries = self.targets.values();
        entries.filter(move |entry| entry.service == *service && self.is_open(entry))
    }

    /// Returns the zones that have targets of a service which may get new requests.
    pub fn zones_of(&self, service: &ServiceId) -> IndexSet<ZoneId> {
        let entries = self.open_targets(service);
        entries.map(|entry| entry.zone.clone()).collect()
    }
}

/// The fields of a directory that hosts send to one another.
#[derive(Clone, Debug, Deserialize)]
pub struct SentDirectory {
    /// Position up to which the store was read.
    pub as_of: StorePosition,
    /// Digest of the content as the sender computed it.
    pub content: ContentDigest,
    /// All registered targets.
    pub targets: IndexMap<TargetId, TargetEntry>,
    /// Zones whose targets get no new requests.
    pub evacuated: IndexSet<ZoneId>,
}

impl From<SentDirectory> for TargetDirectory {
    fn from(sent: SentDirectory) -> Self {
        let mut directory = Self {
            as_of: sent.as_of,
            content: sent.content,
            local_content: ContentDigest::default(),
            targets: sent.targets,
            evacuated: sent.evacuated,
        };
        directory.update_local_digest();
        directory
    }
}
