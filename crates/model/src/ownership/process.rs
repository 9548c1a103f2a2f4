//! One process with its tables, connected as the daemon connects them.

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
pub(super) enum PeerNotice {
    /// A heartbeat and whom its sender has heard.
    Beat(PeerHeartbeat, Vec<(HostId, Duration)>),
    /// The direct answer to a heartbeat: the sender's incarnation and the mark that it heard.
    Answer(HostIncarnation, HeartbeatId),
    /// A handover, with the last heartbeat that the giver heard of the heir.
    Handover(HostId, HeartbeatId),
}

/// A process that has the name of a host.
#[derive(Clone, Debug)]
pub(super) struct OwnerProcess {
    pub(super) name: usize,
    pub(super) incarnation: u64,
    pub(super) is_paused: bool,
    /// Whether the clock of this process stands still during its pause.
    pub(super) is_suspended: bool,
    pub(super) is_replaced: bool,
    pub(super) unlisted: Option<usize>,
    now: MonoTime,
    members: PeerTable,
    owners: OwnerTable,
}

fn times(without: Option<OwnerRule>) -> OwnershipTimeouts {
    let mut times = OwnershipTimeouts::default();
    match without {
        Some(OwnerRule::ContactFence) => times.fence_after = Duration::from_secs(3600),
        Some(OwnerRule::TakeoverWait) => times.takeover_after = STEP,
        _ => {}
    }
    times
}

pub(super) fn key() -> OwnedKey {
    OwnedKey::Target(names::target())
}

fn home() -> KeyScope {
    KeyScope {
        region: names::region(),
        zone: Some(names::zone(0)),
    }
}

impl OwnerProcess {
    pub(super) fn new(name: usize, incarnation: u64, without: Option<OwnerRule>) -> Self {
        let (id, zone) = (names::host(name), names::zone(0));
        // Clocks of different processes show unrelated times.
        let now = MonoTime::from_millis(100_000 * (1 + name as u64 + 10 * incarnation));
        let times = times(without);
        let rules = MembershipRules {
            heartbeat_period: STEP,
            fence_after: times.fence_after,
            takeover_after: times.takeover_after,
            ..MembershipRules::default()
        };
        let own = LiveHost {
            id: id.clone(),
            zone: zone.clone(),
        };
        let number = HostIncarnation::new(incarnation);
        let process = Self {
            name,
            incarnation,
            is_paused: false,
            is_suspended: false,
            is_replaced: false,
            unlisted: None,
            now,
            members: PeerTable::new(own, number, rules),
            owners: OwnerTable::new(id, zone, times, now),
        };
        process.read_roster();
        process
    }

    pub(super) fn pass_time(&mut self) {
        if !self.is_suspended {
            self.now = self.now.after(STEP);
        }
    }

    /// Reads the list of hosts, as the daemon does at its start, after a pause and now and then.
    pub(super) fn read_roster(&self) {
        let listed = (0..HOSTS).filter(|host| Some(*host) != self.unlisted);
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
        if self.unlisted != Some(self.name) {
            self.owners.on_heartbeat_round(self.now);
        }
    }

    /// Brings contact and ownership up to date, as the loop of the daemon does.
    pub(super) fn update(&self) {
        let now = self.now;
        self.members.on_tick(now);
        let sent = self.members.acknowledged_in_zone();
        if let Some(basis) = majority_contact(sent, now) {
            self.owners.on_contact(basis, now);
        }
        for host in self.members.live_hosts() {
            if let Some(heard_at) = self.members.last_seen(&host.id) {
                self.owners.on_seen(&host.zone, &host.id, heard_at);
            }
        }
    }

    pub(super) fn wake(&mut self, without: Option<OwnerRule>) {
        self.is_paused = false;
        self.is_suspended = false;
        if without != Some(OwnerRule::WakeRefresh) {
            self.members.on_resume(self.now);
            self.owners.on_resume(self.now);
        }
    }

    pub(super) fn beat_for(&self, to: usize) -> Option<PeerNotice> {
        let ticket = self.members.heartbeat_for(&names::host(to), self.now)?;
        let beat = PeerHeartbeat {
            host: names::host(self.name),
            zone: names::zone(0),
            address: ADDRESS,
            id: HeartbeatId {
                incarnation: HostIncarnation::new(self.incarnation),
                sequence: ticket.sequence,
            },
            echo: ticket.echo,
            is_leaving: false,
        };
        Some(PeerNotice::Beat(
            beat,
            self.members.recent_contacts(self.now),
        ))
    }

    /// Takes a message and returns the answer to it.
    pub(super) fn receive(
        &self,
        from: usize,
        notice: &PeerNotice,
        without: Option<OwnerRule>,
    ) -> Option<PeerNotice> {
        let now = self.now;
        match notice {
            PeerNotice::Beat(beat, heard) => {
                let outcome = self.members.on_heartbeat(beat, now);
                if outcome == HeartbeatOutcome::Stale {
                    return None;
                }
                let own = names::host(self.name);
                let age_of = |id: &HostId| {
                    let heard = heard.iter().find(|(host, _)| host == id && *host != own);
                    heard.map(|(_, age)| *age)
                };
                self.members.on_reports(age_of, now);
                let number = HostIncarnation::new(self.incarnation);
                Some(PeerNotice::Answer(number, beat.id))
            }
            PeerNotice::Answer(incarnation, mark) => {
                self.members
                    .on_ack(&names::host(from), *incarnation, *mark, now);
                None
            }
            PeerNotice::Handover(heir, echo) => {
                self.take_over(from, heir, *echo, without);
                None
            }
        }
    }

    fn take_over(&self, from: usize, heir: &HostId, echo: HeartbeatId, without: Option<OwnerRule>) {
        let is_own = echo.incarnation == HostIncarnation::new(self.incarnation);
        let sent_at = self.members.sent_at(&names::host(from), echo.sequence);
        let echoed = match without {
            Some(OwnerRule::HandoverAge) => Some(self.now),
            _ => sent_at.filter(|_| is_own),
        };
        if let Some(echoed) = echoed {
            let handover = OwnerHandover {
                key: key(),
                from: names::host(from),
                successor: heir.clone(),
                heartbeat_sent_at: echoed,
                is_renewal: false,
            };
            // A handover that is refused changes nothing.
            let _ = self.owners.on_handover(&handover, self.now);
        }
    }

    /// Stops serving and returns the message for the heir.
    pub(super) fn hand_over(&self, without: Option<OwnerRule>) -> Option<(usize, PeerNotice)> {
        let heir = match without {
            Some(OwnerRule::StopFirst) => {
                let candidates = self.owners.candidates(&key(), &home(), self.now);
                candidates
                    .into_iter()
                    .find(|host| *host != names::host(self.name))?
            }
            _ => self.owners.hand_over(&key(), &home(), self.now).ok()?,
        };
        let echo = self.members.last_heartbeat_of(&heir)?;
        let to = (0..HOSTS).find(|host| names::host(*host) == heir)?;
        Some((to, PeerNotice::Handover(heir, echo)))
    }

    pub(super) fn is_serving(&self) -> bool {
        !self.is_paused && self.owners.may_serve(&key(), &home(), self.now).is_ok()
    }
}
