//! The roles in a pair of hosts: the initiator sends heartbeats, and the responder answers them.
//!
//! The responder starts to send heartbeats itself if those of the initiator cease. The module also lists the hosts
//! that a heartbeat reports as recently seen.

use std::time::Duration;

use chicorycroft_core::prelude::*;

use crate::{
    entry::PeerEntry,
    peer_state::is_within,
    plan::is_initiator,
    table::PeerTable, //
};

/// Limit of hosts in one report, which bounds the size of heartbeats in a large zone.
const REPORTED_HOSTS_MAX: usize = 32;

impl PeerTable {
    /// Records that a peer initiated a heartbeat, as opposed to answering one.
    pub fn on_initiated(&self, host: &HostId, now: MonoTime) {
        self.peers.with(host, |peer| peer.record_initiated(now));
    }

    /// Returns `true` if this host only answers the heartbeats of a peer, which is the initiator of the pair and
    /// sent one recently.
    pub fn is_responder(&self, host: &HostId, now: MonoTime) -> bool {
        let limit = self.rules.initiator_timeout;
        let has_initiated = self.peers.with(host, |peer| peer.has_initiated(limit, now));
        !is_initiator(&self.own.id, host) && has_initiated == Some(true)
    }

    /// Returns `true` if the heartbeats of a peer that is the initiator of the pair have ceased. This host then sends
    /// one at once instead of waiting for its next round.
    pub fn is_overdue(&self, host: &HostId, now: MonoTime) -> bool {
        let (limit, interval) = (self.rules.initiator_timeout, self.rules.heartbeat_period);
        let is_overdue = |peer: &mut PeerEntry| peer.is_overdue(limit, interval, now);
        !is_initiator(&self.own.id, host) && self.peers.with(host, is_overdue) == Some(true)
    }

    /// Returns the hosts of the own zone from which this host received a message within the takeover time, with the
    /// time since then, the most recent first. The next heartbeat reports them.
    ///
    /// Hosts known only from reports of others are omitted; otherwise reports could keep each other alive.
    pub fn recent_contacts(&self, now: MonoTime) -> Vec<(HostId, Duration)> {
        let mut contacts = Vec::new();
        self.peers.for_each(|host, peer| {
            let at = peer.machine.inner().received_at();
            let is_recent = is_within(at, self.rules.takeover_after, now);
            if let (Some(at), true) = (at, is_recent && peer.zone == self.own.zone) {
                contacts.push((host.clone(), now.since(at)));
            }
        });
        contacts.sort_by_key(|(_, age)| *age);
        contacts.truncate(REPORTED_HOSTS_MAX);
        contacts
    }
}
