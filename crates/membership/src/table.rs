//! The table of all peers, with the rules for contact, isolation and live hosts.

use std::{
    cmp::Ordering,
    net::SocketAddr,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;

use crate::{
    entry::{
        HeartbeatHeader,
        HeartbeatId,
        HeartbeatOutcome,
        PeerEntry,
        PeerHeartbeat, //
    },
    peer_state::{
        PeerEvent,
        PeerState,
        is_within, //
    },
    plan::HeartbeatPlan,
    roster::{
        HostEntry,
        HostRoster, //
    },
    rules::MembershipRules,
};

/// A host that takes part in placement.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LiveHost {
    /// Name of the host.
    pub id: HostId,
    /// Zone that the host is in.
    pub zone: ZoneId,
}

/// The number of other hosts that count for the majority, and of those in contact with this host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ContactQuorum {
    /// Number of other hosts that count for the majority.
    pub others: usize,
    /// Number of those that are in contact with this host.
    pub in_contact: usize,
}

impl ContactQuorum {
    /// Returns `true` if more than half of the other hosts are in contact, or if there is no other host.
    pub fn is_met(&self) -> bool {
        self.others == 0 || 2 * self.in_contact > self.others
    }

    /// Returns `true` if this host and those in contact are more than half of all hosts.
    ///
    /// Two partitions cannot both have a majority. Only a majority may stop counting unreachable hosts; otherwise a
    /// host that is partitioned from the fleet would exclude all others and continue alone.
    pub fn is_majority(&self) -> bool {
        2 * self.in_contact >= self.others
    }
}

#[derive(Clone, Debug, Default)]
struct FleetView {
    roster: HostRoster,
    roster_at: Option<MonoTime>,
    platform_at: Option<MonoTime>,
    resumed_at: MonoTime,
    plan: HeartbeatPlan,
}

/// The table of all peers of a host.
///
/// Its `Debug` output contains the state by which the model checker distinguishes tables.
#[derive(Debug)]
pub struct PeerTable {
    pub(crate) own: LiveHost,
    incarnation: HostIncarnation,
    pub(crate) rules: MembershipRules,
    pub(crate) peers: ShardMap<HostId, PeerEntry>,
    view: Mutex<FleetView>,
}

impl Clone for PeerTable {
    /// Copies the state, which the model checker does before each event.
    fn clone(&self) -> Self {
        Self {
            own: self.own.clone(),
            incarnation: self.incarnation,
            rules: self.rules,
            peers: self.peers.clone(),
            view: Mutex::new(self.view().clone()),
        }
    }
}

impl PeerTable {
    /// Creates the table of a host that knows of no other host.
    pub fn new(own: LiveHost, incarnation: HostIncarnation, rules: MembershipRules) -> Self {
        Self {
            own,
            incarnation,
            rules,
            peers: ShardMap::new(),
            view: Mutex::new(FleetView::default()),
        }
    }

    fn view(&self) -> MutexGuard<'_, FleetView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the platform's list of hosts. Hosts that only the list contains are in the state `Unknown`, and hosts
    /// that it no longer contains stay in the table as long as any host receives messages from them.
    pub fn on_roster(&self, roster: HostRoster, now: MonoTime) {
        for host in roster.iter().filter(|host| host.id != self.own.id) {
            let create = || PeerEntry::new(host.zone.clone(), host.address, self.rules, now);
            self.peers.with_or_insert(&host.id, create, |peer| {
                // The address in a heartbeat of the host itself is newer than the one in the list.
                if peer.last_heartbeat.is_none() {
                    peer.address = host.address;
                }
            });
        }
        let mut view = self.view();
        view.roster = roster;
        view.roster_at = Some(now);
        view.platform_at = Some(now);
        drop(view);
        self.update_plan();
    }

    /// Recomputes the peers that get heartbeats from all hosts in the table that have not left.
    fn update_plan(&self) {
        let mut hosts = Vec::new();
        self.peers.for_each(|id, peer| {
            if peer.state() != PeerState::Left {
                hosts.push(HostEntry {
                    id: id.clone(),
                    zone: peer.zone.clone(),
                    address: peer.address,
                    is_leaving: false,
                });
            }
        });
        // The order within shards is that of insertion, which differs between hosts.
        hosts.sort_by(|one, other| one.id.cmp(&other.id));
        let plan = HeartbeatPlan::new(&self.own.id, &self.own.zone, hosts.iter());
        self.view().plan = plan;
    }

    /// Records that the platform answered a request.
    pub fn on_platform_answer(&self, now: MonoTime) {
        self.view().platform_at = Some(now);
    }

    /// Applies a received heartbeat, whether initiated by the peer or sent as an answer.
    pub fn on_heartbeat(&self, heartbeat: &PeerHeartbeat, now: MonoTime) -> HeartbeatOutcome {
        if heartbeat.host == self.own.id {
            return HeartbeatOutcome::Stale;
        }
        let create = || PeerEntry::new(heartbeat.zone.clone(), heartbeat.address, self.rules, now);
        self.peers.with_or_insert(&heartbeat.host, create, |peer| {
            let outcome = peer.advance(heartbeat.id);
            if outcome == HeartbeatOutcome::Stale {
                return outcome;
            }
            peer.zone = heartbeat.zone.clone();
            peer.address = heartbeat.address;
            peer.is_excluded = false;
            if let Some(echo) = heartbeat.echo {
                peer.acknowledge(echo.sequence, echo.incarnation == self.incarnation);
            }
            peer.machine.handle(&PeerEvent::MessageReceived {
                at: now,
                is_leaving: heartbeat.is_leaving,
            });
            outcome
        })
    }

    /// Applies the short acknowledgement of a heartbeat. One of an older incarnation is ignored.
    pub fn on_ack(
        &self,
        host: &HostId,
        incarnation: HostIncarnation,
        echo: HeartbeatId,
        now: MonoTime,
    ) {
        self.peers.with(host, |peer| {
            let last = peer.last_heartbeat;
            match last.map(|id| id.incarnation.cmp(&incarnation)) {
                Some(Ordering::Greater) => return,
                Some(Ordering::Equal) => {}
                Some(Ordering::Less) | None => {
                    let sequence = 0;
                    peer.advance(HeartbeatId {
                        incarnation,
                        sequence,
                    });
                }
            }
            peer.acknowledge(echo.sequence, echo.incarnation == self.incarnation);
            peer.machine.handle(&PeerEvent::MessageReceived {
                at: now,
                is_leaving: false,
            });
        });
    }

    /// Applies a peer's report about the hosts from which it received messages. `age_of` returns the time since the
    /// last message of a host.
    pub fn on_reports(&self, age_of: impl Fn(&HostId) -> Option<Duration>, now: MonoTime) {
        self.peers.for_each(|host, peer| {
            let Some(age) = age_of(host) else {
                return;
            };
            let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            let at = MonoTime::from_micros(now.as_micros().saturating_sub(age));
            peer.machine.handle(&PeerEvent::Reported { at });
        });
    }

    /// Returns the header of the next heartbeat to a peer, which is sent now.
    pub fn heartbeat_for(&self, host: &HostId, now: MonoTime) -> Option<HeartbeatHeader> {
        self.peers.with(host, |peer| peer.next_heartbeat(now))
    }

    /// Invalidates all earlier contact after a pause of this host. Only heartbeats that are sent from now on count.
    pub fn on_resume(&self, now: MonoTime) {
        self.peers.for_each(|_, peer| {
            peer.resume(now);
        });
        let mut view = self.view();
        view.platform_at = None;
        view.resumed_at = now;
    }

    /// Checks the time limits. Unreachable hosts stop counting if the roster no longer contains them, or if this
    /// host belongs to a majority.
    pub fn on_tick(&self, now: MonoTime) {
        self.peers
            .for_each(|_, peer| peer.machine.handle(&PeerEvent::Tick { now }));
        let may_exclude = self.zone_contact(now).is_majority();
        let view = self.view();
        let (roster, roster_at) = (&view.roster, view.roster_at);
        self.peers.retain(|host, peer| {
            let is_listed = roster.get(host).is_some();
            let last_seen = peer.machine.inner().last_seen_at();
            let is_silent = peer.is_silent(self.rules.takeover_after, now);
            if is_silent && peer.is_counted() {
                peer.is_excluded |= may_exclude || (!is_listed && last_seen < roster_at);
            }
            is_listed || !is_silent || peer.is_counted()
        });
        drop(view);
        self.update_plan();
    }

    /// Counts the peers in the own zone, or those in other zones if there are none, so that a host that is alone in
    /// its zone also detects that it is partitioned from the fleet.
    fn zone_contact(&self, now: MonoTime) -> ContactQuorum {
        let plan = self.plan();
        let quorum = self.contact_among(plan.own_zone(), now);
        match quorum.others {
            0 => self.contact_among(plan.other_zones(), now),
            _ => quorum,
        }
    }

    fn contact_among(&self, hosts: &[HostId], now: MonoTime) -> ContactQuorum {
        let mut quorum = ContactQuorum::default();
        for host in hosts {
            self.peers.with(host, |peer| {
                if peer.is_counted() {
                    quorum.others += 1;
                    quorum.in_contact += usize::from(peer.machine.inner().is_acknowledged(now));
                }
            });
        }
        quorum
    }

    /// Returns `true` if more than half of the last roster was seen within the isolation time. Only hosts that get
    /// heartbeats or were seen before count; in a large fleet nothing is known about the others.
    fn has_fleet_contact(&self, now: MonoTime) -> bool {
        let view = self.view();
        let mut quorum = ContactQuorum::default();
        self.peers.for_each(|host, peer| {
            let seen_at = peer.machine.inner().last_seen_at();
            let is_known = seen_at.is_some() || view.plan.contains(host);
            let has_left = peer.state() == PeerState::Left;
            if is_known && !has_left && view.roster.get(host).is_some() {
                quorum.others += 1;
                let is_recent = is_within(seen_at, self.rules.isolation_after, now)
                    && seen_at > Some(view.resumed_at);
                quorum.in_contact += usize::from(is_recent);
            }
        });
        quorum.is_met() && (quorum.others > 0 || view.roster_at.is_some())
    }

    /// Returns `true` if this host may serve as owner: more than half of the peers in its zone (in other zones if it
    /// has none) acknowledged a heartbeat sent within the fence time, or the roster lists no other host.
    pub fn in_contact(&self, now: MonoTime) -> bool {
        let quorum = self.zone_contact(now);
        quorum.is_met() && (quorum.others > 0 || self.view().roster_at.is_some())
    }

    /// Returns `true` if this host had contact with neither the platform nor more than half of the last roster for
    /// the isolation time. It may then have missed the withdrawal of keys.
    pub fn is_isolated(&self, now: MonoTime) -> bool {
        // `has_fleet_contact` already includes the isolation time, so it is not added a second time here.
        let has_contact = self.has_fleet_contact(now);
        !has_contact && !is_within(self.view().platform_at, self.rules.isolation_after, now)
    }

    /// Returns, for each peer in the own zone that counts, when the newest heartbeat that it acknowledged was sent.
    pub fn acknowledged_in_zone(&self) -> Vec<Option<MonoTime>> {
        let mut sent = Vec::new();
        for host in self.plan().own_zone() {
            self.peers.with(host, |peer| {
                if peer.is_counted() {
                    sent.push(peer.machine.inner().acknowledged_at());
                }
            });
        }
        sent
    }

    /// Returns when a heartbeat to a peer was sent, if it is among the last few.
    pub fn sent_at(&self, host: &HostId, sequence: u64) -> Option<MonoTime> {
        self.peers.with(host, |peer| peer.sent_at(sequence))?
    }

    /// Returns the id of the newest heartbeat received from a peer.
    pub fn last_heartbeat_of(&self, host: &HostId) -> Option<HeartbeatId> {
        self.peers.with(host, |peer| peer.last_heartbeat)?
    }

    /// Returns the address of a peer.
    pub fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        self.peers.with(host, |peer| peer.address)
    }

    /// Returns the state of a peer.
    pub fn state(&self, host: &HostId) -> Option<PeerState> {
        self.peers.with(host, |peer| peer.state())
    }

    /// Returns the states of all peers, sorted by name.
    pub fn states(&self) -> Vec<(LiveHost, PeerState)> {
        let mut states = Vec::new();
        self.peers.for_each(|host, peer| {
            let host = LiveHost {
                id: host.clone(),
                zone: peer.zone.clone(),
            };
            states.push((host, peer.state()));
        });
        states.sort_by(|(one, _), (other, _)| one.id.cmp(&other.id));
        states
    }

    /// Returns when any host last received a message from a peer, according to the reports of other hosts.
    pub fn last_seen(&self, host: &HostId) -> Option<MonoTime> {
        self.peers
            .with(host, |peer| peer.machine.inner().last_seen_at())?
    }

    /// Returns the hosts that take part in placement, including this one, sorted by name.
    pub fn live_hosts(&self) -> Vec<LiveHost> {
        let mut hosts = vec![self.own.clone()];
        self.peers.for_each(|host, peer| {
            if peer.is_live() {
                hosts.push(LiveHost {
                    id: host.clone(),
                    zone: peer.zone.clone(),
                });
            }
        });
        hosts.sort_by(|one, other| one.id.cmp(&other.id));
        hosts
    }

    /// Returns the peers that get heartbeats.
    pub fn plan(&self) -> HeartbeatPlan {
        self.view().plan.clone()
    }
}
