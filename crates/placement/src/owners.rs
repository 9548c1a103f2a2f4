//! Ownership of each target and of each service's arbiter.
//!
//! Every decision about a key is made within one zone: the zone of the target or, if the roster
//! lists no host there, one zone of the region selected by rendezvous hashing. Two hosts that are
//! both in contact with more than half of the same zone share a witness. This witness makes the
//! timeouts of [`OwnershipTimeouts`] sufficient; hosts of two zones would share none.
//!
//! At most one host serves a key as long as
//!
//! - the rosters of the hosts of a zone differ by at most one host, and those of the region agree
//!   within the takeover time on the zones that have hosts;
//! - hosts acknowledge only the newest incarnation of a name, and in order;
//! - each heartbeat carries an acknowledgement together with the times at which its sender had last
//!   seen other hosts up to then;
//! - clocks run at the same rate within a few percent;
//! - a process calls [`OwnerTable::may_serve`] right before it sends, and calls
//!   [`OwnerTable::on_resume`] first after a pause.

use std::{
    collections::HashSet,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use chicorycroft_core::{
    prelude::*,
    rendezvous, //
};
use indexmap::IndexMap;

use crate::{
    contact::ContactState,
    ownership::{
        KeyScope,
        ListedHost,
        OwnedKey,
        OwnerHandover,
        OwnershipError,
        OwnershipTimeouts, //
    },
};

/// A host of a zone.
#[derive(Clone, Debug, Default)]
struct HostRecord {
    is_listed: bool,
    /// Time of the last message from the host to this host, or to one that reports to it.
    last_seen: Option<MonoTime>,
}

/// Hosts of one zone.
#[derive(Clone, Debug)]
struct ZoneHosts {
    region: RegionId,
    hosts: IndexMap<HostId, HostRecord>,
    emptied_at: Option<MonoTime>,
}

/// A handover of a key to this host.
#[derive(Clone, Debug)]
struct ReceivedHandover {
    from: HostId,
    /// The sender does not own the key until the takeover time after this. It is not later than the
    /// sender's statement.
    heartbeat_sent_at: MonoTime,
    /// Arrival of the sender's first statement, after which this host needs no takeover wait.
    accepted_at: Option<MonoTime>,
}

/// A handover of a key from this host.
#[derive(Clone, Debug)]
struct SentHandover {
    successor: HostId,
    at: MonoTime,
}

/// Handovers of one key, which are exceptions from the common rule.
#[derive(Clone, Debug, Default)]
struct KeyHandovers {
    received: Option<ReceivedHandover>,
    sent: Option<SentHandover>,
}

/// Name and zone of this host.
#[derive(Clone, Debug)]
struct LocalHost {
    id: HostId,
    zone: ZoneId,
}

/// Owner of each key, and whether this host may serve it.
#[derive(Debug)]
pub struct OwnerTable {
    own: LocalHost,
    timeouts: OwnershipTimeouts,
    zones: ShardMap<ZoneId, ZoneHosts>,
    keys: ShardMap<OwnedKey, KeyHandovers>,
    contact: Mutex<ContactState>,
}

impl Clone for OwnerTable {
    /// Copies the state, as the model checker does before each event.
    fn clone(&self) -> Self {
        Self {
            own: self.own.clone(),
            timeouts: self.timeouts,
            zones: self.zones.clone(),
            keys: self.keys.clone(),
            contact: Mutex::new(self.contact().clone()),
        }
    }
}

impl OwnerTable {
    /// Creates the table of a host that has just started and knows no previous owner.
    pub fn new(id: HostId, zone: ZoneId, timeouts: OwnershipTimeouts, now: MonoTime) -> Self {
        Self {
            own: LocalHost { id, zone },
            timeouts,
            zones: ShardMap::new(),
            keys: ShardMap::new(),
            contact: Mutex::new(ContactState::new(now)),
        }
    }

    fn contact(&self) -> MutexGuard<'_, ContactState> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the platform's list of hosts. A host that is no longer listed remains a candidate
    /// until it was not seen for the takeover time, because the list may lag or lead.
    pub fn on_roster(&self, hosts: impl IntoIterator<Item = ListedHost>, now: MonoTime) {
        let mut listed: HashSet<HostId> = HashSet::new();
        for host in hosts {
            listed.insert(host.id.clone());
            let create = || ZoneHosts {
                region: host.region.clone(),
                hosts: IndexMap::new(),
                emptied_at: None,
            };
            self.zones.with_or_insert(&host.zone, create, |zone| {
                zone.emptied_at = None;
                zone.hosts.entry(host.id.clone()).or_default().is_listed = true;
            });
        }
        let takeover = self.timeouts.takeover_after;
        self.zones.for_each(|_, zone| {
            zone.hosts.retain(|id, host| {
                host.is_listed = listed.contains(id);
                host.is_listed || host.last_seen.is_some_and(|at| now.since(at) < takeover)
            });
            let is_empty = !zone.hosts.values().any(|host| host.is_listed);
            if is_empty && zone.emptied_at.is_none() {
                zone.emptied_at = Some(now);
            }
        });
    }

    /// Records that this host, or one that reports to it, received a message from a host at `seen_at`.
    ///
    /// It becomes a candidate even if this roster lacks it, as it may have been serving for long.
    pub fn on_seen(&self, zone: &ZoneId, host: &HostId, seen_at: MonoTime) {
        self.zones.with(zone, |zone| {
            let host = zone.hosts.entry(host.clone()).or_default();
            host.last_seen = host.last_seen.max(Some(seen_at));
        });
    }

    /// Records the time of [`majority_contact`](crate::ownership::majority_contact).
    pub fn on_contact(&self, contact_at: MonoTime, now: MonoTime) {
        self.contact().on_contact(contact_at, &self.timeouts, now);
    }

    /// Records that the process resumed from a pause.
    pub fn on_resume(&self, now: MonoTime) {
        self.contact().on_resume(now);
    }

    /// Records that a heartbeat round that began at `begun` is complete and the roster was read.
    pub fn on_heartbeat_round(&self, begun: MonoTime) {
        self.contact().on_heartbeat_round(begun);
    }

    /// Applies the previous owner's statement that it has stopped serving a key.
    ///
    /// # Errors
    ///
    /// Returns [`OwnershipError::WrongSuccessor`] if the handover is for another host, and
    /// [`OwnershipError::StaleHandover`] if it is too old.
    pub fn on_handover(
        &self,
        handover: &OwnerHandover,
        now: MonoTime,
    ) -> Result<(), OwnershipError> {
        if handover.successor != self.own.id {
            let successor = handover.successor.clone();
            return Err(OwnershipError::WrongSuccessor { successor });
        }
        if now.since(handover.heartbeat_sent_at) > self.timeouts.fence_after {
            return Err(OwnershipError::StaleHandover);
        }
        self.keys
            .with_or_insert(&handover.key, KeyHandovers::default, |key| {
                let old = key.received.take().filter(|old| old.from == handover.from);
                let accepted_at = match handover.is_renewal {
                    true => old.and_then(|old| old.accepted_at),
                    false => Some(now),
                };
                key.received = Some(ReceivedHandover {
                    from: handover.from.clone(),
                    heartbeat_sent_at: handover.heartbeat_sent_at,
                    accepted_at,
                });
                key.sent = None;
            });
        Ok(())
    }

    /// Stops serving a key immediately and returns its successor.
    ///
    /// This host may own the key again after the takeover time, unless
    /// [`renew_handover`](Self::renew_handover) is called before.
    ///
    /// # Errors
    ///
    /// Returns [`OwnershipError`] if this host does not serve the key, or if no other host can.
    pub fn hand_over(
        &self,
        key: &OwnedKey,
        scope: &KeyScope,
        now: MonoTime,
    ) -> Result<HostId, OwnershipError> {
        self.may_serve(key, scope, now)?;
        let candidates = self.candidates(key, scope, now);
        let successor = candidates.into_iter().find(|host| host != &self.own.id);
        let successor = successor.ok_or(OwnershipError::NoOwner)?;
        let sent = Some(SentHandover {
            successor: successor.clone(),
            at: now,
        });
        self.keys.with_or_insert(key, KeyHandovers::default, |key| {
            key.sent = sent;
            key.received = None;
        });
        Ok(successor)
    }

    /// Leaves a key that was handed over to its successor for another takeover time. Returns the
    /// successor, or `None` if this host has not handed the key over or the successor was not seen
    /// recently.
    pub fn renew_handover(
        &self,
        key: &OwnedKey,
        scope: &KeyScope,
        now: MonoTime,
    ) -> Option<HostId> {
        let candidates = self.candidates(key, scope, now);
        self.keys.with(key, |key| {
            let sent = key.sent.as_mut()?;
            let is_recent = now.since(sent.at) < self.timeouts.takeover_after;
            if !is_recent || !candidates.contains(&sent.successor) {
                return None;
            }
            sent.at = now;
            Some(sent.successor.clone())
        })?
    }

    /// Returns the zone whose hosts may own a key.
    fn owning_zone(&self, key: &OwnedKey, scope: &KeyScope, now: MonoTime) -> Option<ZoneId> {
        if let Some(zone) = &scope.zone
            && self.is_populated(zone, now)
        {
            return Some(zone.clone());
        }
        let mut zones = Vec::new();
        self.zones.for_each(|id, zone| {
            if zone.region == scope.region && zone.hosts.values().any(|host| host.is_listed) {
                zones.push(id.clone());
            }
        });
        rendezvous::first_of(&key.to_string(), &zones, |zone| zone.as_str()).cloned()
    }

    /// Returns `true` if hosts of a zone are listed or live, or were until a short time ago.
    fn is_populated(&self, zone: &ZoneId, now: MonoTime) -> bool {
        let recent = |at: MonoTime| now.since(at) < self.timeouts.takeover_after;
        let is_populated = self.zones.with(zone, |zone| {
            zone.emptied_at.is_none_or(recent)
                || zone
                    .hosts
                    .values()
                    .any(|host| host.last_seen.is_some_and(recent))
        });
        is_populated.unwrap_or(false)
    }

    /// Returns the live hosts that may own a key, in the order of their rank.
    pub fn candidates(&self, key: &OwnedKey, scope: &KeyScope, now: MonoTime) -> Vec<HostId> {
        let Some(zone) = self.owning_zone(key, scope, now) else {
            return Vec::new();
        };
        let live = self.zones.with(&zone, |zone| {
            let recent = |at| now.since(at) < self.timeouts.takeover_after;
            let is_live = |id: &HostId, host: &HostRecord| {
                id == &self.own.id || host.last_seen.is_some_and(recent)
            };
            let live = zone.hosts.iter().filter(|(id, host)| is_live(id, host));
            live.map(|(id, _)| id.clone()).collect::<Vec<_>>()
        });
        let mut live = live.unwrap_or_default();
        self.remove_previous_owners(key, &mut live, now);
        rendezvous::ranked(&key.to_string(), &live, |host| host.as_str())
            .into_iter()
            .cloned()
            .collect()
    }

    /// Removes the hosts that handed the key over.
    fn remove_previous_owners(&self, key: &OwnedKey, live: &mut Vec<HostId>, now: MonoTime) {
        let recent = |at| now.since(at) < self.timeouts.takeover_after;
        self.keys.with(key, |record| {
            if let Some(received) = &record.received
                && recent(received.heartbeat_sent_at)
            {
                live.retain(|host| host != &received.from);
            }
            if record.sent.as_ref().is_some_and(|sent| recent(sent.at)) {
                live.retain(|host| host != &self.own.id);
            }
        });
    }

    /// Returns the host that owns a key, as far as this host knows.
    pub fn owner_of(&self, key: &OwnedKey, scope: &KeyScope, now: MonoTime) -> Option<HostId> {
        self.candidates(key, scope, now).into_iter().next()
    }

    /// Succeeds if this host may serve a key now.
    ///
    /// # Errors
    ///
    /// Returns the reason why this host may not serve the key.
    pub fn may_serve(
        &self,
        key: &OwnedKey,
        scope: &KeyScope,
        now: MonoTime,
    ) -> Result<(), OwnershipError> {
        let is_alone = self.check_contact(now)?;
        let takeover = self.timeouts.takeover_after;
        let record = self.keys.with(key, |key| key.clone()).unwrap_or_default();
        if let Some(sent) = record.sent
            && sent.at.after(takeover) > now
        {
            return Err(OwnershipError::HandedOver {
                successor: sent.successor,
                until: sent.at.after(takeover),
            });
        }
        match self.owner_of(key, scope, now) {
            Some(owner) if owner == self.own.id => {}
            Some(owner) => return Err(OwnershipError::NotOwner { owner }),
            None => return Err(OwnershipError::NoOwner),
        }
        let since = self.contact().continuous_since();
        let is_received = record.received.is_some_and(|received| {
            now.since(received.heartbeat_sent_at) < takeover && received.accepted_at >= Some(since)
        });
        let until = since.after(takeover);
        if until > now && !is_received && !is_alone {
            return Err(OwnershipError::TakeoverPending { until });
        }
        Ok(())
    }

    /// Checks the contact with the zone and returns `true` if this host is alone in it.
    fn check_contact(&self, now: MonoTime) -> Result<bool, OwnershipError> {
        let recent = |at| now.since(at) < self.timeouts.takeover_after;
        let own = self.zones.with(&self.own.zone, |zone| {
            let is_listed = zone
                .hosts
                .get(&self.own.id)
                .is_some_and(|host| host.is_listed);
            let is_other = |host: &HostRecord| host.is_listed || host.last_seen.is_some_and(recent);
            let mut hosts = zone.hosts.iter();
            let has_others = hosts.any(|(id, host)| id != &self.own.id && is_other(host));
            (is_listed, !has_others)
        });
        let (is_listed, is_alone) = own.unwrap_or_default();
        if !is_listed {
            return Err(OwnershipError::NotListed);
        }
        self.contact().check(is_alone, &self.timeouts, now)?;
        Ok(is_alone)
    }
}
