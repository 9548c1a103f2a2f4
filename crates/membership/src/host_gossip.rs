//! What hosts tell each other about the fleet where no list of hosts is published.
//!
//! Every host keeps a record of each host it has heard of. A record carries a counter that its host
//! raises each second, so that an old copy never replaces a newer one, and a host whose counter stands
//! still is no longer asked. The oldest live host of a zone goes first; all hosts that hold the same
//! records agree on it without a message.

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

/// Time without a higher counter after which a host is no longer asked. A counter passes through a
/// fleet of 48 hosts in three or four rounds of a second.
const ALIVE_FOR: Duration = Duration::from_secs(6);

/// Time without a higher counter after which a record is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(8);

/// Shortest time for which a host that did not answer this one is not asked again.
const SUSPECT_FOR: Duration = Duration::from_secs(3);

/// A host as the hosts tell each other of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where other hosts connect to it.
    pub address: SocketAddr,
    /// Start of its process.
    pub incarnation: HostIncarnation,
    /// Counter that the process raises.
    pub beat: u64,
    /// Whether it is stopping.
    pub is_leaving: bool,
}

#[derive(Clone, Debug)]
struct KnownMember {
    record: MemberRecord,
    advanced_at: MonoTime,
    suspected: Option<(u64, MonoTime)>,
}

impl KnownMember {
    fn is_alive(&self, now: MonoTime) -> bool {
        let is_heard = now.since(self.advanced_at) < ALIVE_FOR;
        is_heard && !self.record.is_leaving && self.suspected.is_none()
    }
}

/// The hosts that one host knows.
#[derive(Debug)]
pub struct HostGossip {
    own: MemberRecord,
    beat: AtomicU64,
    is_leaving: AtomicBool,
    members: ShardMap<HostId, KnownMember>,
}

impl HostGossip {
    /// Makes the gossip of a host that knows itself only.
    pub fn new(own: MemberRecord) -> Self {
        Self {
            beat: AtomicU64::new(own.beat),
            is_leaving: AtomicBool::new(false),
            own,
            members: ShardMap::new(),
        }
    }

    /// Returns the record of this host.
    pub fn own(&self) -> MemberRecord {
        MemberRecord {
            beat: self.beat.load(Ordering::Relaxed),
            is_leaving: self.is_leaving.load(Ordering::Relaxed),
            ..self.own.clone()
        }
    }

    /// Raises the counter of this host, and drops records that stand still.
    pub fn advance(&self, now: MonoTime) {
        self.beat.fetch_add(1, Ordering::Relaxed);
        self.members
            .retain(|_, known| now.since(known.advanced_at) < FORGET_AFTER);
    }

    /// Tells other hosts from now on that this one is stopping.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.beat.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes a record that another host told.
    pub fn merge(&self, record: MemberRecord, now: MonoTime) {
        if record.host == self.own.host {
            return;
        }
        let make = || KnownMember {
            record: record.clone(),
            advanced_at: now,
            suspected: None,
        };
        self.members.with_or_insert(&record.host, make, |known| {
            let age = |record: &MemberRecord| (record.incarnation, record.beat);
            if age(&record) <= age(&known.record) {
                return;
            }
            let is_restarted = record.incarnation != known.record.incarnation;
            let is_over = known.suspected.is_some_and(|(beat, at)| {
                is_restarted || record.beat > beat + 1 && now.since(at) >= SUSPECT_FOR
            });
            if is_over {
                known.suspected = None;
            }
            known.record = record.clone();
            known.advanced_at = now;
        });
    }

    /// Notes that a host answered this one.
    pub fn on_answer(&self, host: &HostId, now: MonoTime) {
        self.members.with(host, |known| {
            known.suspected = None;
            known.advanced_at = now;
        });
    }

    /// Notes that a host did not answer; returns whether that is news.
    pub fn suspect(&self, host: &HostId, now: MonoTime) -> bool {
        let suspect = |known: &mut KnownMember| {
            let is_news = known.suspected.is_none();
            known.suspected = Some((known.record.beat, now));
            is_news
        };
        self.members.with(host, suspect).unwrap_or(false)
    }

    /// Returns the live hosts of a zone, the oldest first. This host is among those of its own.
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

    /// Returns all records that are known, this host's first.
    pub fn records(&self) -> Vec<MemberRecord> {
        let mut records = vec![self.own()];
        self.members
            .for_each(|_, known| records.push(known.record.clone()));
        records
    }

    /// Returns the number of hosts that are known, this one included.
    pub fn known_count(&self) -> usize {
        self.members.len() + 1
    }
}
