//! The record of one peer, and the membership fields of heartbeats.

use std::{
    collections::VecDeque,
    fmt,
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use statig::blocking::{
    IntoStateMachineExt,
    StateMachine, //
};

use crate::{
    peer_state::{
        ContactTimes,
        PeerEvent,
        PeerState,
        is_within, //
    },
    rules::MembershipRules,
};

/// Sent heartbeats to remember until they are acknowledged. At two per second this covers more than the fence
/// time.
const SENT_MAX: usize = 8;

/// Identifies a heartbeat of a sender to one receiver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatId {
    /// Incarnation of the sender.
    pub incarnation: HostIncarnation,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
}

/// The fields of a received heartbeat that concern membership.
#[derive(Clone, Debug)]
pub struct PeerHeartbeat {
    /// The sender.
    pub host: HostId,
    /// Zone of the sender.
    pub zone: ZoneId,
    /// Address at which other hosts reach the sender.
    pub address: SocketAddr,
    /// Id of this heartbeat.
    pub id: HeartbeatId,
    /// Id of the last heartbeat that the sender received from this host.
    pub echo: Option<HeartbeatId>,
    /// Whether the sender is leaving.
    pub is_leaving: bool,
}

/// The fields of a heartbeat to a peer that differ between receivers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatHeader {
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// Id of the last heartbeat received from the peer.
    pub echo: Option<HeartbeatId>,
}

/// The outcome of receiving a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is newer than the last one.
    Fresh,
    /// The heartbeat is the first one of a higher incarnation: the peer was restarted or replaced.
    Replaced,
    /// The heartbeat is outdated or a duplicate and was ignored.
    Stale,
}

#[derive(Clone)]
pub(crate) struct PeerEntry {
    pub(crate) zone: ZoneId,
    pub(crate) address: SocketAddr,
    /// Id of the last heartbeat received from the peer.
    pub(crate) last_heartbeat: Option<HeartbeatId>,
    pub(crate) machine: StateMachine<ContactTimes>,
    /// Sequence numbers and times of the last heartbeats sent to the peer.
    sent: VecDeque<(u64, MonoTime)>,
    next_sequence: u64,
    added_at: MonoTime,
    /// When the peer last initiated a heartbeat, as opposed to answering one.
    initiated_at: Option<MonoTime>,
    /// Whether the peer no longer counts for contact because it is unreachable.
    pub(crate) is_excluded: bool,
}

impl fmt::Debug for PeerEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerEntry")
            .field("zone", &self.zone)
            .field("address", &self.address)
            .field("mark", &self.last_heartbeat)
            .field("standing", self.machine.state())
            .field("times", self.machine.inner())
            .field("sent", &self.sent)
            .field("next_sequence", &self.next_sequence)
            .field("known_at", &self.added_at)
            .field("is_dropped", &self.is_excluded)
            .finish()
    }
}

impl PeerEntry {
    pub(crate) fn new(
        zone: ZoneId,
        address: SocketAddr,
        rules: MembershipRules,
        now: MonoTime,
    ) -> Self {
        Self {
            zone,
            address,
            last_heartbeat: None,
            machine: ContactTimes::new(rules).state_machine(),
            sent: VecDeque::new(),
            next_sequence: 1,
            added_at: now,
            initiated_at: None,
            is_excluded: false,
        }
    }

    pub(crate) fn state(&self) -> PeerState {
        *self.machine.state()
    }

    /// Returns `true` if the peer counts for contact with the zone.
    pub(crate) fn is_counted(&self) -> bool {
        !self.is_excluded && self.state() != PeerState::Left
    }

    /// Returns `true` if the peer takes part in placement.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.state(), PeerState::Reachable | PeerState::Suspect)
    }

    /// Records the acknowledgement of a sent heartbeat. It is ignored unless `is_own`, which means that the
    /// heartbeat was sent by the current process of this host.
    pub(crate) fn acknowledge(&mut self, sequence: u64, is_own: bool) {
        let sent = self.sent.iter().find(|(number, _)| *number == sequence);
        if let (Some(&(_, sent_at)), true) = (sent, is_own) {
            self.machine.handle(&PeerEvent::Acknowledged { sent_at });
        }
    }

    /// Records a received heartbeat. An older incarnation or a lower or equal sequence number is stale.
    pub(crate) fn advance(&mut self, id: HeartbeatId) -> HeartbeatOutcome {
        let Some(last) = self.last_heartbeat else {
            self.last_heartbeat = Some(id);
            return HeartbeatOutcome::Fresh;
        };
        let (received, previous) = (
            (id.incarnation, id.sequence),
            (last.incarnation, last.sequence),
        );
        if received <= previous {
            return HeartbeatOutcome::Stale;
        }
        self.last_heartbeat = Some(id);
        if id.incarnation == last.incarnation {
            return HeartbeatOutcome::Fresh;
        }
        // Acknowledgements of the previous process are not valid for the new one.
        self.sent.clear();
        self.initiated_at = None;
        self.machine.handle(&PeerEvent::Replaced);
        HeartbeatOutcome::Replaced
    }

    /// Assigns a sequence number to the next heartbeat to the peer, which is sent now.
    pub(crate) fn next_heartbeat(&mut self, now: MonoTime) -> HeartbeatHeader {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.sent.len() == SENT_MAX {
            self.sent.pop_front();
        }
        self.sent.push_back((sequence, now));
        HeartbeatHeader {
            sequence,
            echo: self.last_heartbeat,
        }
    }

    /// Returns when a heartbeat was sent, if it is among the last [`SENT_MAX`].
    pub(crate) fn sent_at(&self, sequence: u64) -> Option<MonoTime> {
        let sent = self.sent.iter().find(|(number, _)| *number == sequence);
        sent.map(|(_, at)| *at)
    }

    /// Invalidates all sent heartbeats and acknowledgements, after a pause of this host.
    pub(crate) fn resume(&mut self, now: MonoTime) {
        self.sent.clear();
        self.initiated_at = None;
        self.machine.handle(&PeerEvent::Resumed { now });
    }

    /// Records that the peer initiated a heartbeat.
    pub(crate) fn record_initiated(&mut self, now: MonoTime) {
        self.initiated_at = Some(now);
    }

    /// Returns `true` if the peer initiated a heartbeat within `limit`.
    pub(crate) fn has_initiated(&self, limit: Duration, now: MonoTime) -> bool {
        is_within(self.initiated_at, limit, now)
    }

    /// Returns `true` if the peer initiated heartbeats before, the last one longer than `limit` ago, and this
    /// host sent it no heartbeat within `interval`.
    pub(crate) fn is_overdue(&self, limit: Duration, interval: Duration, now: MonoTime) -> bool {
        let sent_at = self.sent.back().map(|(_, at)| *at);
        self.initiated_at.is_some()
            && !self.has_initiated(limit, now)
            && !is_within(sent_at, interval, now)
    }

    /// Returns `true` if no host received a message from the peer within `limit`. A peer from which no message was
    /// ever received counts as seen when it was added.
    pub(crate) fn is_silent(&self, limit: Duration, now: MonoTime) -> bool {
        let seen_at = self.machine.inner().last_seen_at();
        now.since(seen_at.unwrap_or(self.added_at)) > limit
    }
}
