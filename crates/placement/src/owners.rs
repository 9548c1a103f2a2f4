//! Which host owns each target and each service's arbiter.
//!
//! Every decision about a key is taken within one zone: the zone of the target, or, when the roster
//! lists no host there, one zone of the region that rendezvous hashing picks. Two hosts that are in
//! contact with more than half of the same zone share a witness. That witness is what makes the
//! times of [`OwnerTimes`] sufficient; hosts of two zones would share none.
//!
//! At most one host serves a key as long as
//!
//! - the rosters of the hosts of a zone differ by at most one host, and those of the region agree
//!   within the takeover time on the zones that have hosts;
//! - hosts acknowledge the newest incarnation of a name only, and in order;
//! - each heartbeat carries an acknowledgement together with what its sender heard up to then;
//! - clocks run at the same rate within a few parts in a hundred;
//! - a process asks [`OwnerTable::may_serve`] right before it sends, and calls
//!   [`OwnerTable::on_wake`] first after a pause.

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
    owner_rules::{
        KeyHome,
        ListedHost,
        OwnedKey,
        OwnerHandover,
        OwnerTimes,
        OwnershipError, //
    },
};

/// A host of a zone.
#[derive(Debug, Default)]
struct HostRecord {
    is_listed: bool,
    last_heard: Option<MonoTime>,
}

/// Hosts of one zone.
#[derive(Debug)]
struct ZoneHosts {
    region: RegionId,
    hosts: IndexMap<HostId, HostRecord>,
    emptied_at: Option<MonoTime>,
}

/// A key that another host gave to this one.
#[derive(Clone, Debug)]
struct ReceivedKey {
    from: HostId,
    /// The giver stays out until the takeover time after this, which is not later than its word.
    echoed: MonoTime,
    /// When the giver's first word arrived, which spares this host the wait.
    accepted_at: Option<MonoTime>,
}

/// A key that this host gave away.
#[derive(Clone, Debug)]
struct GivenKey {
    heir: HostId,
    at: MonoTime,
}

/// Exceptions from the common rule for one key.
#[derive(Clone, Debug, Default)]
struct KeyRecord {
    received: Option<ReceivedKey>,
    given: Option<GivenKey>,
}

/// This host.
#[derive(Debug)]
struct LocalHost {
    id: HostId,
    zone: ZoneId,
}

/// Which host owns each key, and whether this host may serve it.
#[derive(Debug)]
pub struct OwnerTable {
    own: LocalHost,
    times: OwnerTimes,
    zones: ShardMap<ZoneId, ZoneHosts>,
    keys: ShardMap<OwnedKey, KeyRecord>,
    contact: Mutex<ContactState>,
}

impl OwnerTable {
    /// Makes the table of a host that has just started and knows no previous owner.
    pub fn new(id: HostId, zone: ZoneId, times: OwnerTimes, now: MonoTime) -> Self {
        Self {
            own: LocalHost { id, zone },
            times,
            zones: ShardMap::new(),
            keys: ShardMap::new(),
            contact: Mutex::new(ContactState::new(now)),
        }
    }

    fn contact(&self) -> MutexGuard<'_, ContactState> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over the platform's list of hosts. A host that is no longer listed stays a candidate
    /// until nobody has heard it for the takeover time, because the list may lag or lead.
    pub fn on_roster(&self, hosts: impl IntoIterator<Item = ListedHost>, now: MonoTime) {
        let mut listed: HashSet<HostId> = HashSet::new();
        for host in hosts {
            listed.insert(host.id.clone());
            let make = || ZoneHosts {
                region: host.region.clone(),
                hosts: IndexMap::new(),
                emptied_at: None,
            };
            self.zones.with_or_insert(&host.zone, make, |zone| {
                zone.emptied_at = None;
                zone.hosts.entry(host.id.clone()).or_default().is_listed = true;
            });
        }
        let takeover = self.times.takeover_after;
        self.zones.for_each(|_, zone| {
            zone.hosts.retain(|id, host| {
                host.is_listed = listed.contains(id);
                host.is_listed || host.last_heard.is_some_and(|at| now.since(at) < takeover)
            });
            let is_empty = !zone.hosts.values().any(|host| host.is_listed);
            if is_empty && zone.emptied_at.is_none() {
                zone.emptied_at = Some(now);
            }
        });
    }

    /// Notes that a host of a zone was heard, by this host or by another one that reports it.
    pub fn on_heard(&self, zone: &ZoneId, host: &HostId, heard_at: MonoTime) {
        self.zones.with(zone, |zone| {
            if let Some(host) = zone.hosts.get_mut(host) {
                host.last_heard = host.last_heard.max(Some(heard_at));
            }
        });
    }

    /// Notes the time of [`contact_basis`](crate::owner_rules::contact_basis).
    pub fn on_contact(&self, basis: MonoTime, now: MonoTime) {
        self.contact().on_contact(basis, &self.times, now);
    }

    /// Notes that the process resumed from a pause.
    pub fn on_wake(&self, now: MonoTime) {
        self.contact().on_wake(now);
    }

    /// Notes that a round of heartbeats, which began at `begun`, is complete and the roster read.
    pub fn on_fresh_round(&self, begun: MonoTime) {
        self.contact().on_fresh_round(begun);
    }

    /// Takes the previous owner's word that it has stopped.
    ///
    /// # Errors
    ///
    /// Fails when the handover is for another host or too old.
    pub fn on_handover(
        &self,
        handover: &OwnerHandover,
        now: MonoTime,
    ) -> Result<(), OwnershipError> {
        if handover.heir != self.own.id {
            let heir = handover.heir.clone();
            return Err(OwnershipError::WrongHeir { heir });
        }
        if now.since(handover.echoed) > self.times.fence_after {
            return Err(OwnershipError::StaleHandover);
        }
        self.keys
            .with_or_insert(&handover.key, KeyRecord::default, |key| {
                let old = key.received.take().filter(|old| old.from == handover.from);
                let accepted_at = match handover.is_renewal {
                    true => old.and_then(|old| old.accepted_at),
                    false => Some(now),
                };
                key.received = Some(ReceivedKey {
                    from: handover.from.clone(),
                    echoed: handover.echoed,
                    accepted_at,
                });
                key.given = None;
            });
        Ok(())
    }

    /// Stops serving a key at once and returns the host that gets it.
    ///
    /// The key comes back after the takeover time unless [`renew_handover`](Self::renew_handover)
    /// is called before.
    ///
    /// # Errors
    ///
    /// Fails when this host does not serve the key, or no other host can.
    pub fn hand_over(
        &self,
        key: &OwnedKey,
        home: &KeyHome,
        now: MonoTime,
    ) -> Result<HostId, OwnershipError> {
        self.may_serve(key, home, now)?;
        let candidates = self.candidates(key, home, now);
        let heir = candidates.into_iter().find(|host| host != &self.own.id);
        let heir = heir.ok_or(OwnershipError::NoOwner)?;
        let given = Some(GivenKey {
            heir: heir.clone(),
            at: now,
        });
        self.keys.with_or_insert(key, KeyRecord::default, |key| {
            key.given = given;
            key.received = None;
        });
        Ok(heir)
    }

    /// Leaves a key that was handed over to its heir for another takeover time. Returns the heir,
    /// or `None` when this host has not given the key away or nobody has heard the heir.
    pub fn renew_handover(&self, key: &OwnedKey, home: &KeyHome, now: MonoTime) -> Option<HostId> {
        let candidates = self.candidates(key, home, now);
        self.keys.with(key, |key| {
            let given = key.given.as_mut()?;
            let is_recent = now.since(given.at) < self.times.takeover_after;
            if !is_recent || !candidates.contains(&given.heir) {
                return None;
            }
            given.at = now;
            Some(given.heir.clone())
        })?
    }

    /// Picks the zone whose hosts own a key.
    fn zone_of(&self, key: &OwnedKey, home: &KeyHome, now: MonoTime) -> Option<ZoneId> {
        if let Some(zone) = &home.zone
            && self.is_in_use(zone, now)
        {
            return Some(zone.clone());
        }
        let mut zones = Vec::new();
        self.zones.for_each(|id, zone| {
            if zone.region == home.region && zone.hosts.values().any(|host| host.is_listed) {
                zones.push(id.clone());
            }
        });
        rendezvous::first_of(&key.to_string(), &zones, |zone| zone.as_str()).cloned()
    }

    /// Tells whether hosts of a zone are listed, or were until a short time ago.
    fn is_in_use(&self, zone: &ZoneId, now: MonoTime) -> bool {
        let recent = |at: MonoTime| now.since(at) < self.times.takeover_after;
        let in_use = self.zones.with(zone, |zone| {
            zone.emptied_at.is_none_or(recent)
                || zone
                    .hosts
                    .values()
                    .any(|host| host.last_heard.is_some_and(recent))
        });
        in_use.unwrap_or(false)
    }

    /// Returns the live hosts that may own a key, the first one first.
    pub fn candidates(&self, key: &OwnedKey, home: &KeyHome, now: MonoTime) -> Vec<HostId> {
        let Some(zone) = self.zone_of(key, home, now) else {
            return Vec::new();
        };
        let live = self.zones.with(&zone, |zone| {
            let recent = |at| now.since(at) < self.times.takeover_after;
            let is_live = |id: &HostId, host: &HostRecord| {
                id == &self.own.id || host.last_heard.is_some_and(recent)
            };
            let live = zone.hosts.iter().filter(|(id, host)| is_live(id, host));
            live.map(|(id, _)| id.clone()).collect::<Vec<_>>()
        });
        let mut live = live.unwrap_or_default();
        self.drop_previous(key, &mut live, now);
        rendezvous::ranked(&key.to_string(), &live, |host| host.as_str())
            .into_iter()
            .cloned()
            .collect()
    }

    /// Leaves out the hosts that handed the key over.
    fn drop_previous(&self, key: &OwnedKey, live: &mut Vec<HostId>, now: MonoTime) {
        let recent = |at| now.since(at) < self.times.takeover_after;
        self.keys.with(key, |record| {
            if let Some(received) = &record.received
                && recent(received.echoed)
            {
                live.retain(|host| host != &received.from);
            }
            if record.given.as_ref().is_some_and(|given| recent(given.at)) {
                live.retain(|host| host != &self.own.id);
            }
        });
    }

    /// Returns the host that owns a key, as far as this host knows.
    pub fn owner_of(&self, key: &OwnedKey, home: &KeyHome, now: MonoTime) -> Option<HostId> {
        self.candidates(key, home, now).into_iter().next()
    }

    /// Tells whether this host may serve a key now.
    ///
    /// # Errors
    ///
    /// Fails with the reason why it may not.
    pub fn may_serve(
        &self,
        key: &OwnedKey,
        home: &KeyHome,
        now: MonoTime,
    ) -> Result<(), OwnershipError> {
        let is_alone = self.check_contact(now)?;
        let takeover = self.times.takeover_after;
        let record = self.keys.with(key, |key| key.clone()).unwrap_or_default();
        if let Some(given) = record.given
            && given.at.after(takeover) > now
        {
            return Err(OwnershipError::HandedOver {
                heir: given.heir,
                until: given.at.after(takeover),
            });
        }
        match self.owner_of(key, home, now) {
            Some(owner) if owner == self.own.id => {}
            Some(owner) => return Err(OwnershipError::NotOwner { owner }),
            None => return Err(OwnershipError::NoOwner),
        }
        let since = self.contact().since();
        let was_given = record.received.is_some_and(|received| {
            now.since(received.echoed) < takeover && received.accepted_at >= Some(since)
        });
        let until = since.after(takeover);
        if until > now && !was_given && !is_alone {
            return Err(OwnershipError::TooEarly { until });
        }
        Ok(())
    }

    /// Checks the contact with the zone and tells whether this host is alone in it.
    fn check_contact(&self, now: MonoTime) -> Result<bool, OwnershipError> {
        let recent = |at| now.since(at) < self.times.takeover_after;
        let own = self.zones.with(&self.own.zone, |zone| {
            let is_listed = zone
                .hosts
                .get(&self.own.id)
                .is_some_and(|host| host.is_listed);
            let is_other =
                |host: &HostRecord| host.is_listed || host.last_heard.is_some_and(recent);
            let mut hosts = zone.hosts.iter();
            let has_others = hosts.any(|(id, host)| id != &self.own.id && is_other(host));
            (is_listed, !has_others)
        });
        let (is_listed, is_alone) = own.unwrap_or_default();
        if !is_listed {
            return Err(OwnershipError::NotListed);
        }
        self.contact().check(is_alone, &self.times, now)?;
        Ok(is_alone)
    }
}
