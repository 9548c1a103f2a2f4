//! Membership by gossip, for deployments without a published list of hosts.
//!
//! Every host keeps a record of each host that it learned of. A record contains a heartbeat counter that its host
//! increments every second. An old copy therefore never replaces a newer one, and a host whose counter no longer
//! increases gets no more requests. The live hosts of a zone are ranked by age, the oldest first; all hosts with
//! the same records compute the same ranking without exchanging messages.
//!
//! Hosts that know each other's records exchange counters only, see [`beat_digest`](crate::beat_digest). The record of a
//! host that is gone is remembered for a while after its removal, as other hosts may still pass it on.

use std::{
    net::SocketAddr,
    sync::atomic::{
        AtomicBool,
        AtomicU64,
        Ordering, //
    },
    time::Duration,
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

use crate::beat_digest::{
    MemberBeat,
    MemberKey, //
};

/// Time without an increase of its counter after which a host no longer counts as live. A new counter value
/// reaches all of 48 hosts within three or four rounds of one second.
const ALIVE_TIMEOUT: Duration = Duration::from_secs(6);

/// Time without an increase of the counter after which a record is removed.
const RECORD_TTL: Duration = Duration::from_secs(8);

/// Time for which a removed record is remembered: several times the difference between the times at which two hosts
/// remove it, in which they would pass it back and forth.
const REMOVAL_MEMORY: Duration = Duration::from_secs(60);

/// Shortest time for which a host that did not answer a request is suspected and gets no further requests.
const SUSPICION_MIN: Duration = Duration::from_secs(3);

/// The record of a host, as exchanged by gossip.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostId,
    /// Zone of the host.
    pub zone: ZoneId,
    /// Address that other hosts connect to.
    pub address: SocketAddr,
    /// Incarnation of the host's process; a later start has a higher one.
    pub incarnation: HostIncarnation,
    /// Heartbeat counter that the process increments every second.
    pub beat: u64,
    /// Whether the host is stopping.
    pub is_leaving: bool,
}

#[derive(Clone, Debug)]
struct KnownMember {
    record: MemberRecord,
    /// When the counter last increased or the host answered a request.
    updated_at: MonoTime,
    /// Counter and time at which the host did not answer a request.
    suspected: Option<(u64, MonoTime)>,
}

impl KnownMember {
    fn version(&self) -> (HostIncarnation, u64) {
        (self.record.incarnation, self.record.beat)
    }

    /// Takes over a later record.
    fn update(&mut self, record: MemberRecord, now: MonoTime) {
        let is_restarted = record.incarnation != self.record.incarnation;
        let is_cleared = self.suspected.is_some_and(|(beat, at)| {
            is_restarted || record.beat > beat + 1 && now.since(at) >= SUSPICION_MIN
        });
        if is_cleared {
            self.suspected = None;
        }
        self.record = record;
        self.updated_at = now;
    }

    fn is_alive(&self, now: MonoTime) -> bool {
        let is_recent = now.since(self.updated_at) < ALIVE_TIMEOUT;
        is_recent && !self.record.is_leaving && self.suspected.is_none()
    }
}

/// The records of all hosts that one host knows of.
#[derive(Debug)]
pub struct HostGossip {
    own: MemberRecord,
    beat: AtomicU64,
    is_leaving: AtomicBool,
    members: ShardMap<HostId, KnownMember>,
    removed: ShardMap<HostId, RemovedMember>,
}

/// The latest record of a host that was removed.
#[derive(Clone, Copy, Debug)]
struct RemovedMember {
    version: (HostIncarnation, u64),
    at: MonoTime,
}

impl HostGossip {
    /// Creates the records of a host that knows of no other host.
    pub fn new(own: MemberRecord) -> Self {
        Self {
            beat: AtomicU64::new(own.beat),
            is_leaving: AtomicBool::new(false),
            own,
            members: ShardMap::new(),
            removed: ShardMap::new(),
        }
    }

    /// Returns the current record of this host.
    pub fn own(&self) -> MemberRecord {
        MemberRecord {
            beat: self.beat.load(Ordering::Relaxed),
            is_leaving: self.is_leaving.load(Ordering::Relaxed),
            ..self.own.clone()
        }
    }

    /// Increments the counter of this host, and removes records that were not updated for 8 s.
    pub fn advance(&self, now: MonoTime) {
        self.beat.fetch_add(1, Ordering::Relaxed);
        let removed = &self.removed;
        self.members.retain(|host, known| {
            let is_kept = now.since(known.updated_at) < RECORD_TTL;
            if !is_kept {
                let version = known.version();
                removed.insert(host.clone(), RemovedMember { version, at: now });
            }
            is_kept
        });
        self.removed
            .retain(|_, removed| now.since(removed.at) < REMOVAL_MEMORY);
    }

    /// Marks this host as stopping in the record that other hosts receive.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.beat.fetch_add(1, Ordering::Relaxed);
    }

    /// Merges a record received from another host. It is ignored unless it is newer than the known one or the one that was
    /// removed last.
    pub fn merge(&self, record: MemberRecord, now: MonoTime) {
        if record.host == self.own.host {
            return;
        }
        let version = (record.incarnation, record.beat);
        let removed = self.removed.with(&record.host, |removed| removed.version);
        if removed.is_some_and(|removed| version <= removed) {
            return;
        }
        let create = || KnownMember {
            record: record.clone(),
            updated_at: now,
            suspected: None,
        };
        self.members.with_or_insert(&record.host, create, |known| {
            if version > known.version() {
                known.update(record.clone(), now);
            }
        });
    }

    /// Returns the counters of this host and of the hosts whose counters increased last, `count_max` at most.
    pub fn beats(&self, count_max: usize) -> Vec<MemberBeat> {
        let mut latest = Vec::new();
        self.members
            .for_each(|_, known| latest.push((known.updated_at, MemberBeat::from(&known.record))));
        latest.sort_by(|(a, _), (b, _)| b.cmp(a));
        let others = latest.into_iter().map(|(_, beat)| beat);
        let own = MemberBeat::from(&self.own());
        std::iter::once(own).chain(others).take(count_max).collect()
    }

    /// Returns the keys that more than one of the known processes have.
    fn shared_keys(&self) -> IndexSet<MemberKey> {
        let (mut keys, mut shared) = (IndexSet::new(), IndexSet::new());
        keys.insert(MemberBeat::from(&self.own()).key);
        self.members.for_each(|_, known| {
            let key = MemberBeat::from(&known.record).key;
            if !keys.insert(key) {
                shared.insert(key);
            }
        });
        shared
    }

    /// Merges counters received from another host, and returns the keys of processes whose records it must send: those that
    /// this host has no record of, and those whose key does not tell them apart.
    pub fn merge_beats(&self, beats: &[MemberBeat], now: MonoTime) -> Vec<MemberKey> {
        let shared = self.shared_keys();
        let mut unknown: IndexMap<MemberKey, MemberBeat> =
            beats.iter().map(|beat| (beat.key, *beat)).collect();
        let mut take_known = |key: MemberKey| match shared.contains(&key) {
            true => None,
            false => unknown.swap_remove(&key),
        };
        take_known(MemberBeat::from(&self.own()).key);
        self.members.for_each(|_, known| {
            let Some(beat) = take_known(MemberBeat::from(&known.record).key) else {
                return;
            };
            if beat.beat > known.record.beat {
                let record = MemberRecord {
                    beat: beat.beat,
                    is_leaving: beat.is_leaving,
                    ..known.record.clone()
                };
                known.update(record, now);
            }
        });
        self.removed.for_each(|host, removed| {
            let (incarnation, removed_beat) = removed.version;
            let key = MemberKey::new(host, incarnation);
            let is_old = |beat: &MemberBeat| beat.beat <= removed_beat;
            if unknown.get(&key).is_some_and(is_old) {
                unknown.swap_remove(&key);
            }
        });
        unknown.into_keys().collect()
    }

    /// Returns the records of processes, as far as this host knows them.
    pub fn records_of(&self, keys: &[MemberKey]) -> Vec<MemberRecord> {
        let mut records = self.records();
        records.retain(|record| keys.contains(&MemberBeat::from(record).key));
        records
    }

    /// Records that a host answered a request, which clears a suspicion.
    pub fn on_answer(&self, host: &HostId, now: MonoTime) {
        self.members.with(host, |known| {
            known.suspected = None;
            known.updated_at = now;
        });
    }

    /// Suspects a host that did not answer a request. Returns `true` if it was not suspected before.
    pub fn suspect(&self, host: &HostId, now: MonoTime) -> bool {
        let suspect = |known: &mut KnownMember| {
            let is_new = known.suspected.is_none();
            known.suspected = Some((known.record.beat, now));
            is_new
        };
        self.members.with(host, suspect).unwrap_or(false)
    }

    /// Returns the live hosts of a zone, the oldest first. In its own zone, this host is included.
    pub fn ranked(&self, zone: &ZoneId, now: MonoTime) -> Vec<MemberRecord> {
        let mut ranked = Vec::new();
        self.members.for_each(|_, known| {
            if known.record.zone == *zone && known.is_alive(now) {
                ranked.push(known.record.clone());
            }
        });
        if self.own.zone == *zone {
            ranked.push(self.own());
        }
        ranked.sort_by(|a, b| (a.incarnation, &a.host).cmp(&(b.incarnation, &b.host)));
        ranked
    }

    /// Returns all known records, that of this host first.
    pub fn records(&self) -> Vec<MemberRecord> {
        let mut records = vec![self.own()];
        self.members
            .for_each(|_, known| records.push(known.record.clone()));
        records
    }

    /// Returns the number of known hosts of a zone, including this host.
    pub fn zone_count(&self, zone: &ZoneId) -> usize {
        let mut count = usize::from(self.own.zone == *zone);
        self.members
            .for_each(|_, known| count += usize::from(known.record.zone == *zone));
        count
    }

    /// Returns the number of known hosts, including this one.
    pub fn known_count(&self) -> usize {
        self.members.len() + 1
    }
}
