//! Core types that all crates of the fleet share: identifiers, amounts, times and rendezvous hashing.
//!
//! - [`ids`]: names of hosts, zones, regions, services, targets, teams and routes.
//! - [`amounts`]: tokens, rates, bursts, slots, ratios and memory.
//! - [`counters`]: newtypes for unsigned integers.
//! - [`digest`]: digests of keys and documents.
//! - [`time`]: monotonic and wall clock times, which decisions receive as arguments.
//! - [`versions`]: configuration versions and host incarnations.
//! - [`rendezvous`]: placement that every host computes identically.
//! - [`shard_map`]: a map split into shards, each with its own lock.
//!
//! This crate performs no I/O and reads no clock.

pub mod amounts;
pub mod counters;
pub mod digest;
pub mod ids;
pub mod rendezvous;
pub mod shard_map;
pub mod time;
pub mod versions;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        amounts::{
            BurstSize,
            ByteCount,
            CapacityRatio,
            LinkRate,
            MemoryLimit,
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
