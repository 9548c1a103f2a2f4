//! Heartbeat counters of hosts in a short form.
//!
//! Load pattern: every second each of hundreds of hosts increments its counter, and each other host needs to learn that. A
//! whole record takes about 50 bytes and does not change otherwise, so that hosts which know a record exchange its key and
//! counter only, in 8 bytes.

use std::{
    fmt,
    num::ParseIntError,
    str::FromStr, //
};

use chicorycroft_core::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::host_gossip::MemberRecord;

/// Short name of one process of a host. Of 1,700 processes two have the same key in one of 3,000 cases; both are then
/// known by their records only.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberKey(u32);

impl MemberKey {
    /// Returns the key of a process.
    pub fn new(host: &HostId, incarnation: HostIncarnation) -> Self {
        // Both are hashed as data. With the incarnation as the seed of the hash, names of up to three bytes that differ in
        // the last one have the same key if the processes start some milliseconds apart.
        let mut bytes = host.as_str().as_bytes().to_vec();
        bytes.extend(incarnation.get().to_le_bytes());
        Self((xxh3_64(&bytes) >> 32) as u32)
    }
}

impl fmt::Display for MemberKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for MemberKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u32::from_str_radix(text, 16).map(Self)
    }
}

/// Heartbeat counter of one process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberBeat {
    /// The process.
    pub key: MemberKey,
    /// Its heartbeat counter.
    pub beat: u64,
    /// Whether the host is stopping.
    pub is_leaving: bool,
}

impl From<&MemberRecord> for MemberBeat {
    fn from(record: &MemberRecord) -> Self {
        Self {
            key: MemberKey::new(&record.host, record.incarnation),
            beat: record.beat,
            is_leaving: record.is_leaving,
        }
    }
}
