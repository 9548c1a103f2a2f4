//! Which host of a pair sends the heartbeats, and whom they report as heard.

use std::time::Duration;

use chicorycroft_core::prelude::*;

use crate::{
    contact::is_within,
    entry::PeerEntry,
    plan::asks_first,
    table::PeerTable, //
};

/// Most hosts in one report, the ones heard last first. It bounds the heartbeat in a large zone.
const HEARD_MAX: usize = 32;

impl PeerTable {
    /// Notes that a peer has sent a heartbeat of its own, and not an answer.
    pub fn on_asked(&self, host: &HostId, now: MonoTime) {
        self.peers.with(host, |peer| peer.ask(now));
    }

    /// Tells whether this host leaves the heartbeats of a pair to the peer and only answers them,
    /// because the peer sends them.
    pub fn leaves_to(&self, host: &HostId, now: MonoTime) -> bool {
        let limit = self.rules.ask_within;
        let has_asked = self.peers.with(host, |peer| peer.has_asked(limit, now));
        !asks_first(&self.own.id, host) && has_asked == Some(true)
    }

    /// Tells whether the heartbeats of a peer to which this host leaves them have ceased, so that this
    /// host sends one at once and does not wait for its next round.
    pub fn is_overdue(&self, host: &HostId, now: MonoTime) -> bool {
        let (limit, pause) = (self.rules.ask_within, self.rules.heartbeat_period);
        let is_overdue = |peer: &mut PeerEntry| peer.is_overdue(limit, pause, now);
        !asks_first(&self.own.id, host) && self.peers.with(host, is_overdue) == Some(true)
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
}
