//! A process with its peer and owner tables, connected as in the daemon.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_placement::prelude::*;

use super::{
    HOSTS,
    OwnerRule, //
};
use crate::names;

/// Time between two rounds of heartbeats.
pub(super) const STEP: Duration = Duration::from_secs(1);

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// A message between two hosts.
#[derive(Clone, Debug)]
pub(super) enum PeerMessage {
    /// A heartbeat, and the hosts that its sender had direct contact with, each with the time since then.
    Heartbeat(PeerHeartbeat, Vec<(HostId, Duration)>),
    /// The acknowledgement of a heartbeat: the sender's incarnation and the identifier of the heartbeat.
    Ack(HostIncarnation, HeartbeatId),
    /// A handover to a successor, with the identifier of the last heartbeat that the previous owner
    /// received from it.
    Handover(HostId, HeartbeatId),
}

/// A process that runs under the name of a host.
#[derive(Clone, Debug)]
pub(super) struct OwnerProcess {
    pub(super) name: usize,
    pub(super) incarnation: u64,
    pub(super) is_paused: bool,
    /// Whether the clock of this process is stopped during its pause.
    pub(super) is_suspended: bool,
    pub(super) is_replaced: bool,
    pub(super) omitted_host: Option<usize>,
    now: MonoTime,
    members: PeerTable,
    owners: OwnerTable,
}

fn timeouts(omitted_rule: Option<OwnerRule>) -> OwnershipTimeouts {
    let mut timeouts = OwnershipTimeouts::default();
    match omitted_rule {
        Some(OwnerRule::ContactFence) => timeouts.fence_after = Duration::from_secs(3600),
        Some(OwnerRule::TakeoverWait) => timeouts.takeover_after = STEP,
        _ => {}
    }
    timeouts
}

pub(super) fn owned_key() -> OwnedKey {
    OwnedKey::Target(names::target())
}

fn key_scope() -> KeyScope {
    KeyScope {
        region: names::region(),
        zone: Some(names::zone(0)),
    }
}

impl OwnerProcess {
    pub(super) fn new(name: usize, incarnation: u64, omitted_rule: Option<OwnerRule>) -> Self {
        let (id, zone) = (names::host(name), names::zone(0));
        // The monotonic clocks of different processes are unrelated.
        let now = MonoTime::from_millis(100_000 * (1 + name as u64 + 10 * incarnation));
        let timeouts = timeouts(omitted_rule);
        let rules = MembershipRules {
            heartbeat_period: STEP,
            fence_after: timeouts.fence_after,
            takeover_after: timeouts.takeover_after,
            ..MembershipRules::default()
        };
        let own = LiveHost {
            id: id.clone(),
            zone: zone.clone(),
        };
        let process = Self {
            name,
            incarnation,
            is_paused: false,
            is_suspended: false,
            is_replaced: false,
            omitted_host: None,
            now,
            members: PeerTable::new(own, HostIncarnation::new(incarnation), rules),
            owners: OwnerTable::new(id, zone, timeouts, now),
        };
        process.read_roster();
        process
    }

    pub(super) fn advance_clock(&mut self) {
        if !self.is_suspended {
            self.now = self.now.after(STEP);
        }
    }

    /// Reads the host roster, as the daemon does at its start, after a pause and periodically.
    pub(super) fn read_roster(&self) {
        let listed = (0..HOSTS).filter(|host| Some(*host) != self.omitted_host);
        let listed: Vec<_> = listed.map(names::host).collect();
        let hosts = listed.iter().map(|id| ListedHost {
            id: id.clone(),
            zone: names::zone(0),
            region: names::region(),
        });
        self.owners.on_roster(hosts, self.now);
        let entries = listed.iter().map(|id| HostEntry {
            id: id.clone(),
            zone: names::zone(0),
            address: ADDRESS,
            is_leaving: false,
        });
        self.members.on_roster(HostRoster::new(entries), self.now);
        if self.omitted_host != Some(self.name) {
            self.owners.on_heartbeat_round(self.now);
        }
    }

    /// Updates the contact times and the ownership, as the loop of the daemon does.
    pub(super) fn update(&self) {
        let now = self.now;
        self.members.on_tick(now);
        let sent = self.members.acknowledged_in_zone();
        if let Some(contact_at) = majority_contact(sent, now) {
            self.owners.on_contact(contact_at, now);
        }
        for host in self.members.live_hosts() {
            if let Some(seen_at) = self.members.last_seen(&host.id) {
                self.owners.on_seen(&host.zone, &host.id, seen_at);
            }
        }
    }

    pub(super) fn resume(&mut self, omitted_rule: Option<OwnerRule>) {
        self.is_paused = false;
        self.is_suspended = false;
        if omitted_rule != Some(OwnerRule::WakeRefresh) {
            self.members.on_resume(self.now);
            self.owners.on_resume(self.now);
        }
    }

    pub(super) fn heartbeat_for(&self, to: usize) -> Option<PeerMessage> {
        let header = self.members.heartbeat_for(&names::host(to), self.now)?;
        let heartbeat = PeerHeartbeat {
            host: names::host(self.name),
            zone: names::zone(0),
            address: ADDRESS,
            id: HeartbeatId {
                incarnation: HostIncarnation::new(self.incarnation),
                sequence: header.sequence,
            },
            echo: header.echo,
            is_leaving: false,
        };
        Some(PeerMessage::Heartbeat(
            heartbeat,
            self.members.recent_contacts(self.now),
        ))
    }

    /// Processes a message and returns the answer to it, if any.
    pub(super) fn receive(
        &self,
        from: usize,
        message: &PeerMessage,
        omitted_rule: Option<OwnerRule>,
    ) -> Option<PeerMessage> {
        let now = self.now;
        match message {
            PeerMessage::Heartbeat(heartbeat, contacts) => {
                let outcome = self.members.on_heartbeat(heartbeat, now);
                if outcome == HeartbeatOutcome::Stale {
                    return None;
                }
                let own_id = names::host(self.name);
                let age_of = |id: &HostId| {
                    let contact = contacts
                        .iter()
                        .find(|(host, _)| host == id && *host != own_id);
                    contact.map(|(_, age)| *age)
                };
                self.members.on_reports(age_of, now);
                let incarnation = HostIncarnation::new(self.incarnation);
                Some(PeerMessage::Ack(incarnation, heartbeat.id))
            }
            PeerMessage::Ack(incarnation, echo) => {
                self.members
                    .on_ack(&names::host(from), *incarnation, *echo, now);
                None
            }
            PeerMessage::Handover(successor, echo) => {
                self.accept_handover(from, successor, *echo, omitted_rule);
                None
            }
        }
    }

    fn accept_handover(
        &self,
        from: usize,
        successor: &HostId,
        echo: HeartbeatId,
        omitted_rule: Option<OwnerRule>,
    ) {
        let is_own = echo.incarnation == HostIncarnation::new(self.incarnation);
        let sent_at = self.members.sent_at(&names::host(from), echo.sequence);
        let heartbeat_sent_at = match omitted_rule {
            Some(OwnerRule::HandoverAge) => Some(self.now),
            _ => sent_at.filter(|_| is_own),
        };
        if let Some(heartbeat_sent_at) = heartbeat_sent_at {
            let handover = OwnerHandover {
                key: owned_key(),
                from: names::host(from),
                successor: successor.clone(),
                heartbeat_sent_at,
                is_renewal: false,
            };
            // A refused handover changes nothing.
            let _ = self.owners.on_handover(&handover, self.now);
        }
    }

    /// Stops serving the target and returns the successor and the message for it.
    pub(super) fn hand_over(
        &self,
        omitted_rule: Option<OwnerRule>,
    ) -> Option<(usize, PeerMessage)> {
        let successor = match omitted_rule {
            Some(OwnerRule::StopFirst) => {
                let candidates = self.owners.candidates(&owned_key(), &key_scope(), self.now);
                candidates
                    .into_iter()
                    .find(|host| *host != names::host(self.name))?
            }
            _ => self
                .owners
                .hand_over(&owned_key(), &key_scope(), self.now)
                .ok()?,
        };
        let echo = self.members.last_heartbeat_of(&successor)?;
        let to = (0..HOSTS).find(|host| names::host(*host) == successor)?;
        Some((to, PeerMessage::Handover(successor, echo)))
    }

    pub(super) fn is_serving(&self) -> bool {
        !self.is_paused
            && self
                .owners
                .may_serve(&owned_key(), &key_scope(), self.now)
                .is_ok()
    }
}
