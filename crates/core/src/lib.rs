//! Shared vocabulary of the fleet: identifiers, amounts, times and placement hashing.
//!
//! - [`ids`]: names of hosts, zones, teams, targets and the rest.
//! - [`amounts`]: tokens, rates, bursts, slots and ratios.
//! - [`counters`]: newtypes of whole numbers.
//! - [`digest`]: digests of keys and documents.
//! - [`time`]: points in time that callers pass into every decision.
//! - [`versions`]: configuration versions and host incarnations.
//! - [`rendezvous`]: placement that every host computes alike.
//! - [`shard_map`]: keyed state in shards, each under its own lock.
//!
//! Nothing here performs I/O or reads a clock.

pub mod amounts;
pub mod counters;
pub mod digest;
pub mod ids;
pub mod rendezvous;
pub mod shard_map;
pub mod time;
pub mod versions;

/// The names that most crates of the workspace use.
pub mod prelude {
    pub use crate::{
        amounts::{
            BurstSize,
            CapacityRatio,
            RequestRate,
            SlotCount,
            TokenAmount, //
        },
        digest::{
            DocumentDigest,
            KeyDigest, //
        },
        ids::{
            HostId,
            RegionId,
            RouteId,
            ServiceId,
            TargetId,
            TeamId,
            ZoneId, //
        },
        shard_map::ShardMap,
        time::{
            MonoTime,
            UnixTime, //
        },
        versions::{
            ConfigVersion,
            HostIncarnation, //
        },
    };
}
