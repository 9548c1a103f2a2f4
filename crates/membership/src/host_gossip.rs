//! Membership by gossip, for deployments without a published list of hosts.
//!
//! Every host keeps a record of each host that it learned of. A record contains a heartbeat counter that its host
//! increments every second. An old copy therefore never replaces a newer one, and a host whose counter no longer
//! increases gets no more requests. The live hosts of a zone are ranked by age, the oldest first; all hosts with
//! the same records compute the same ranking without exchanging messages.

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
use serde::{
    Deserialize,
    Serialize, //
};

/// Time without an increase of its counter after which a host no longer counts as live. A new counter value
/// reaches all of 48 hosts within three or four rounds of one second.
const ALIVE_TIMEOUT: Duration = Duration::from_secs(6);

/// Time without an increase of the counter after which a record is removed.
const RECORD_TTL: Duration = Duration::from_secs(8);

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
}

impl HostGossip {
    /// Creates the records of a host that knows of no other host.
    pub fn new(own: MemberRecord) -> Self {
        Self {
            beat: AtomicU64::new(own.beat),
            is_leaving: AtomicBool::new(false),
            own,
            members: ShardMap::new(),
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
        self.members
            .retain(|_, known| now.since(known.updated_at) < RECORD_TTL);
    }

    /// Marks this host as stopping in the record that other hosts receive.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.beat.fetch_add(1, Ordering::Relaxed);
    }

    /// Merges a record received from another host. It is ignored unless it is newer than the known one.
    pub fn merge(&self, record: MemberRecord, now: MonoTime) {
        if record.host == self.own.host {
            return;
        }
        let create = || KnownMember {
            record: record.clone(),
            updated_at: now,
            suspected: None,
        };
        self.members.with_or_insert(&record.host, create, |known| {
            let version = |record: &MemberRecord| (record.incarnation, record.beat);
            if version(&record) <= version(&known.record) {
                return;
            }
            let is_restarted = record.incarnation != known.record.incarnation;
            let is_cleared = known.suspected.is_some_and(|(beat, at)| {
                is_restarted || record.beat > beat + 1 && now.since(at) >= SUSPICION_MIN
            });
            if is_cleared {
                known.suspected = None;
            }
            known.record = record.clone();
            known.updated_at = now;
        });
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
