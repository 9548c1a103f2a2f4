//! All peers.

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
    contact::{
        ContactEvent,
        PeerStanding,
        is_within, //
    },
    entry::{
        HeartbeatOutcome,
        HeartbeatTicket,
        PeerEntry,
        PeerHeartbeat,
        SequenceMark, //
    },
    plan::HeartbeatPlan,
    roster::{
        HostEntry,
        HostRoster, //
    },
    rules::MembershipRules,
};

/// Most hosts in one report, the ones heard last first. It bounds the heartbeat in a large zone.
const HEARD_MAX: usize = 32;

/// A host that takes part in placement.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LiveHost {
    /// Name of the host.
    pub id: HostId,
    /// Zone that the host is in.
    pub zone: ZoneId,
}

/// How many hosts count, and how many of them there is contact with.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ContactRule {
    /// Other hosts that count.
    pub others: usize,
    /// Those of them that there is contact with.
    pub in_contact: usize,
}

impl ContactRule {
    /// Tells whether there is contact with more than half, or no other host at all.
    pub fn is_met(&self) -> bool {
        self.others == 0 || 2 * self.in_contact > self.others
    }

    /// Tells whether this host and those in contact are more than half of all.
    ///
    /// Two groups that do not see each other cannot both be. Only such a group may stop counting
    /// unreachable hosts; otherwise a host that is cut off would drop all others and go on alone.
    pub fn is_majority(&self) -> bool {
        2 * self.in_contact >= self.others
    }
}

#[derive(Default)]
struct FleetSight {
    roster: HostRoster,
    roster_at: Option<MonoTime>,
    platform_at: Option<MonoTime>,
    fleet_at: Option<MonoTime>,
    woken_at: MonoTime,
    plan: HeartbeatPlan,
}

/// All peers of a host.
pub struct PeerTable {
    own: LiveHost,
    incarnation: HostIncarnation,
    rules: MembershipRules,
    peers: ShardMap<HostId, PeerEntry>,
    sight: Mutex<FleetSight>,
}

impl std::fmt::Debug for PeerTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PeerTable({}, {} peers)", self.own.id, self.peers.len())
    }
}

impl PeerTable {
    /// Makes a table for a host that has heard of no other one.
    pub fn new(own: LiveHost, incarnation: HostIncarnation, rules: MembershipRules) -> Self {
        Self {
            own,
            incarnation,
            rules,
            peers: ShardMap::new(),
            sight: Mutex::new(FleetSight::default()),
        }
    }

    fn sight(&self) -> MutexGuard<'_, FleetSight> {
        self.sight.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the platform's list of hosts. Hosts that only the list names count as unknown, and
    /// hosts that it no longer names stay while anybody hears them.
    pub fn on_roster(&self, roster: HostRoster, now: MonoTime) {
        for host in roster.iter().filter(|host| host.id != self.own.id) {
            let make = || PeerEntry::new(host.zone.clone(), host.address, self.rules, now);
            self.peers.with_or_insert(&host.id, make, |peer| {
                // What the host itself said is newer than the list.
                if peer.mark.is_none() {
                    peer.address = host.address;
                }
            });
        }
        let mut sight = self.sight();
        sight.roster = roster;
        sight.roster_at = Some(now);
        sight.platform_at = Some(now);
        drop(sight);
        self.choose_plan();
    }

    /// Chooses anew whom to send heartbeats to: the hosts of the roster and those heard of
    /// otherwise, unless they have left.
    fn choose_plan(&self) {
        let mut hosts = Vec::new();
        self.peers.for_each(|id, peer| {
            if peer.standing() != PeerStanding::Left {
                hosts.push(HostEntry {
                    id: id.clone(),
                    zone: peer.zone.clone(),
                    address: peer.address,
                    is_leaving: false,
                });
            }
        });
        // Shards keep the order of arrival, which differs between calls.
        hosts.sort_by(|one, other| one.id.cmp(&other.id));
        let plan = HeartbeatPlan::new(&self.own.id, &self.own.zone, hosts.iter());
        self.sight().plan = plan;
    }

    /// Notes that the platform has answered.
    pub fn on_platform(&self, now: MonoTime) {
        self.sight().platform_at = Some(now);
    }

    /// Takes a heartbeat.
    pub fn on_heartbeat(&self, heartbeat: &PeerHeartbeat, now: MonoTime) -> HeartbeatOutcome {
        if heartbeat.host == self.own.id {
            return HeartbeatOutcome::Stale;
        }
        let make = || PeerEntry::new(heartbeat.zone.clone(), heartbeat.address, self.rules, now);
        self.peers.with_or_insert(&heartbeat.host, make, |peer| {
            let outcome = peer.advance(heartbeat.mark);
            if outcome == HeartbeatOutcome::Stale {
                return outcome;
            }
            peer.zone = heartbeat.zone.clone();
            peer.address = heartbeat.address;
            peer.is_dropped = false;
            if let Some(echo) = heartbeat.echo {
                peer.acknowledge(echo.sequence, echo.incarnation == self.incarnation);
            }
            peer.machine.handle(&ContactEvent::Heard {
                at: now,
                is_leaving: heartbeat.is_leaving,
            });
            outcome
        })
    }

    /// Takes the direct answer to a heartbeat. An answer of an older incarnation is ignored.
    pub fn on_ack(
        &self,
        host: &HostId,
        incarnation: HostIncarnation,
        echo: SequenceMark,
        now: MonoTime,
    ) {
        self.peers.with(host, |peer| {
            match peer.mark.map(|mark| mark.incarnation.cmp(&incarnation)) {
                Some(Ordering::Greater) => return,
                Some(Ordering::Equal) => {}
                Some(Ordering::Less) | None => {
                    let sequence = 0;
                    peer.advance(SequenceMark {
                        incarnation,
                        sequence,
                    });
                }
            }
            peer.acknowledge(echo.sequence, echo.incarnation == self.incarnation);
            peer.machine.handle(&ContactEvent::Heard {
                at: now,
                is_leaving: false,
            });
        });
    }

    /// Takes what a peer says about whom it has itself heard. `age_of` returns the time since then.
    pub fn on_reports(&self, age_of: impl Fn(&HostId) -> Option<Duration>, now: MonoTime) {
        self.peers.for_each(|host, peer| {
            let Some(age) = age_of(host) else {
                return;
            };
            let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            let at = MonoTime::from_micros(now.as_micros().saturating_sub(age));
            peer.machine.handle(&ContactEvent::Reported { at });
        });
    }

    /// Numbers the next heartbeat to a peer.
    pub fn heartbeat_for(&self, host: &HostId, now: MonoTime) -> Option<HeartbeatTicket> {
        self.peers.with(host, |peer| peer.next_ticket(now))
    }

    /// Notes that this host was paused. Only heartbeats that are sent from now on count.
    pub fn on_wake(&self, now: MonoTime) {
        self.peers.for_each(|_, peer| {
            peer.wake(now);
        });
        let mut sight = self.sight();
        sight.platform_at = None;
        sight.fleet_at = None;
        sight.woken_at = now;
    }

    /// Lets time pass. Unreachable hosts stop counting when the roster no longer names them, or
    /// when this host belongs to a majority.
    pub fn on_tick(&self, now: MonoTime) {
        self.peers
            .for_each(|_, peer| peer.machine.handle(&ContactEvent::Passed { now }));
        let may_drop = self.zone_contact(now).is_majority();
        let has_fleet = self.has_fleet(now);
        let mut sight = self.sight();
        if has_fleet {
            sight.fleet_at = Some(now);
        }
        let (roster, roster_at) = (&sight.roster, sight.roster_at);
        self.peers.retain(|host, peer| {
            let is_listed = roster.get(host).is_some();
            let last_heard = peer.machine.inner().heard_by_anyone_at();
            let is_silent = peer.is_silent(self.rules.takeover_after, now);
            if is_silent && peer.counts() {
                peer.is_dropped |= may_drop || (!is_listed && last_heard < roster_at);
            }
            is_listed || !is_silent || peer.counts()
        });
        drop(sight);
        self.choose_plan();
    }

    /// Counts the hosts of the own zone that get heartbeats, or those of other zones when there are
    /// none: a host alone in its zone is cut off like any other one when it sees nobody.
    fn zone_contact(&self, now: MonoTime) -> ContactRule {
        let plan = self.plan();
        let rule = self.contact_among(plan.own_zone(), now);
        match rule.others {
            0 => self.contact_among(plan.other_zones(), now),
            _ => rule,
        }
    }

    fn contact_among(&self, hosts: &[HostId], now: MonoTime) -> ContactRule {
        let mut rule = ContactRule::default();
        for host in hosts {
            self.peers.with(host, |peer| {
                if peer.counts() {
                    rule.others += 1;
                    rule.in_contact += usize::from(peer.machine.inner().is_acknowledged(now));
                }
            });
        }
        rule
    }

    /// Tells whether more than half of the last roster was heard lately. Hosts count that get
    /// heartbeats or were heard before; of the others a host in a large fleet cannot know.
    fn has_fleet(&self, now: MonoTime) -> bool {
        let sight = self.sight();
        let mut rule = ContactRule::default();
        self.peers.for_each(|host, peer| {
            let heard_at = peer.machine.inner().heard_by_anyone_at();
            let is_known = heard_at.is_some() || sight.plan.contains(host);
            let is_left = peer.standing() == PeerStanding::Left;
            if is_known && !is_left && sight.roster.get(host).is_some() {
                rule.others += 1;
                let is_heard = is_within(heard_at, self.rules.isolation_after, now)
                    && heard_at > Some(sight.woken_at);
                rule.in_contact += usize::from(is_heard);
            }
        });
        rule.is_met() && (rule.others > 0 || sight.roster_at.is_some())
    }

    /// Tells whether this host may serve as owner: its heartbeats of the fence time were
    /// acknowledged by more than half of the other hosts of its zone, or a roster has shown that
    /// there are none.
    pub fn in_contact(&self, now: MonoTime) -> bool {
        let rule = self.zone_contact(now);
        rule.is_met() && (rule.others > 0 || self.sight().roster_at.is_some())
    }

    /// Tells whether this host has seen neither the platform nor more than half of the last roster
    /// for the isolation time. It then cannot know about withdrawn keys.
    pub fn is_isolated(&self, now: MonoTime) -> bool {
        let has_fleet = self.has_fleet(now);
        let sight = self.sight();
        let is_recent = |at| is_within(at, self.rules.isolation_after, now);
        !has_fleet && !is_recent(sight.platform_at) && !is_recent(sight.fleet_at)
    }

    /// Returns, for each other host of the own zone that counts, when the newest heartbeat was sent
    /// that it acknowledged.
    pub fn acknowledged_in_zone(&self) -> Vec<Option<MonoTime>> {
        let mut sent = Vec::new();
        for host in self.plan().own_zone() {
            self.peers.with(host, |peer| {
                if peer.counts() {
                    sent.push(peer.machine.inner().acknowledged_at());
                }
            });
        }
        sent
    }

    /// Returns when a heartbeat to a peer was sent, if it is one of the last.
    pub fn sent_at(&self, host: &HostId, sequence: u64) -> Option<MonoTime> {
        self.peers.with(host, |peer| peer.sent_at(sequence))?
    }

    /// Returns the newest heartbeat that was heard of a peer.
    pub fn mark_of(&self, host: &HostId) -> Option<SequenceMark> {
        self.peers.with(host, |peer| peer.mark)?
    }

    /// Returns where to reach a peer.
    pub fn address_of(&self, host: &HostId) -> Option<SocketAddr> {
        self.peers.with(host, |peer| peer.address)
    }

    /// Returns what is known about a peer.
    pub fn standing(&self, host: &HostId) -> Option<PeerStanding> {
        self.peers.with(host, |peer| peer.standing())
    }

    /// Returns what is known about all peers, by name.
    pub fn standings(&self) -> Vec<(LiveHost, PeerStanding)> {
        let mut standings = Vec::new();
        self.peers.for_each(|host, peer| {
            let host = LiveHost {
                id: host.clone(),
                zone: peer.zone.clone(),
            };
            standings.push((host, peer.standing()));
        });
        standings.sort_by(|(one, _), (other, _)| one.id.cmp(&other.id));
        standings
    }

    /// Returns when anybody last heard a peer.
    pub fn last_heard(&self, host: &HostId) -> Option<MonoTime> {
        self.peers
            .with(host, |peer| peer.machine.inner().heard_by_anyone_at())?
    }

    /// Returns the hosts of the own zone that this host has itself heard, with the time since, for
    /// the next heartbeat. Reports of others are left out, so that no report feeds itself.
    pub fn heard_directly(&self, now: MonoTime) -> Vec<(HostId, Duration)> {
        let mut heard = Vec::new();
        self.peers.for_each(|host, peer| {
            let at = peer.machine.inner().heard_at();
            let is_recent = is_within(at, self.rules.takeover_after, now);
            if let (Some(at), true) = (at, is_recent && peer.zone == self.own.zone) {
                heard.push((host.clone(), now.since(at)));
            }
        });
        heard.sort_by_key(|(_, age)| *age);
        heard.truncate(HEARD_MAX);
        heard
    }

    /// Returns the hosts that take part in placement, this one among them, by name.
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

    /// Returns whom to send heartbeats to.
    pub fn plan(&self) -> HeartbeatPlan {
        self.sight().plan.clone()
    }
}
