//! What is kept about one peer.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use statig::blocking::{
    IntoStateMachineExt,
    StateMachine, //
};

use crate::{
    contact::{
        ContactEvent,
        ContactTimes,
        PeerStanding, //
    },
    rules::MembershipRules,
};

/// Sent heartbeats that may still be acknowledged: at two a second, more than the fence time.
const SENT_MAX: usize = 8;

/// A heartbeat of some host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SequenceMark {
    /// Incarnation of the sender.
    pub incarnation: HostIncarnation,
    /// Its sequence number.
    pub sequence: u64,
}

/// What membership takes from a heartbeat.
#[derive(Clone, Debug)]
pub struct PeerHeartbeat {
    /// The sender.
    pub host: HostId,
    /// Zone of the sender.
    pub zone: ZoneId,
    /// Address of the sender for other hosts.
    pub address: SocketAddr,
    /// Which heartbeat this is.
    pub mark: SequenceMark,
    /// The last heartbeat of this host that the sender heard.
    pub echo: Option<SequenceMark>,
    /// Whether the sender is leaving.
    pub is_leaving: bool,
}

/// What goes into a heartbeat to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatTicket {
    /// Number of the heartbeat.
    pub sequence: u64,
    /// The last heartbeat of the peer.
    pub echo: Option<SequenceMark>,
}

/// What a heartbeat was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// It is new.
    Fresh,
    /// It is the first one of a higher incarnation: the peer was restarted or replaced.
    Replaced,
    /// It is late or a duplicate; nothing changed.
    Stale,
}

pub(crate) struct PeerEntry {
    pub(crate) zone: ZoneId,
    pub(crate) address: SocketAddr,
    pub(crate) mark: Option<SequenceMark>,
    pub(crate) machine: StateMachine<ContactTimes>,
    sent: VecDeque<(u64, MonoTime)>,
    next_sequence: u64,
    known_at: MonoTime,
    pub(crate) is_dropped: bool,
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
            mark: None,
            machine: ContactTimes::new(rules).state_machine(),
            sent: VecDeque::new(),
            next_sequence: 1,
            known_at: now,
            is_dropped: false,
        }
    }

    pub(crate) fn standing(&self) -> PeerStanding {
        *self.machine.state()
    }

    pub(crate) fn counts(&self) -> bool {
        !self.is_dropped && self.standing() != PeerStanding::Left
    }

    pub(crate) fn is_live(&self) -> bool {
        matches!(
            self.standing(),
            PeerStanding::Reachable | PeerStanding::Suspect
        )
    }

    pub(crate) fn acknowledge(&mut self, sequence: u64, is_own: bool) {
        let sent = self.sent.iter().find(|(number, _)| *number == sequence);
        if let (Some(&(_, sent_at)), true) = (sent, is_own) {
            self.machine.handle(&ContactEvent::Acknowledged { sent_at });
        }
    }

    /// Notes a mark; an older incarnation or a lower sequence is stale.
    pub(crate) fn advance(&mut self, mark: SequenceMark) -> HeartbeatOutcome {
        let Some(last) = self.mark else {
            self.mark = Some(mark);
            return HeartbeatOutcome::Fresh;
        };
        let (found, known) = (
            (mark.incarnation, mark.sequence),
            (last.incarnation, last.sequence),
        );
        if found <= known {
            return HeartbeatOutcome::Stale;
        }
        self.mark = Some(mark);
        if mark.incarnation == last.incarnation {
            return HeartbeatOutcome::Fresh;
        }
        // What the previous process acknowledged says nothing about this one.
        self.sent.clear();
        self.machine.handle(&ContactEvent::Replaced);
        HeartbeatOutcome::Replaced
    }

    /// Numbers the next heartbeat.
    pub(crate) fn next_ticket(&mut self, now: MonoTime) -> HeartbeatTicket {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.sent.len() == SENT_MAX {
            self.sent.pop_front();
        }
        self.sent.push_back((sequence, now));
        HeartbeatTicket {
            sequence,
            echo: self.mark,
        }
    }

    /// Returns when a heartbeat was sent, if it is one of the last.
    pub(crate) fn sent_at(&self, sequence: u64) -> Option<MonoTime> {
        let sent = self.sent.iter().find(|(number, _)| *number == sequence);
        sent.map(|(_, at)| *at)
    }

    /// Forgets which heartbeats may still be acknowledged.
    pub(crate) fn wake(&mut self, now: MonoTime) {
        self.sent.clear();
        self.machine.handle(&ContactEvent::Woken { now });
    }

    /// Tells whether nobody has heard the peer for a time, or ever since it became known.
    pub(crate) fn is_silent(&self, limit: Duration, now: MonoTime) -> bool {
        let heard_at = self.machine.inner().heard_by_anyone_at();
        now.since(heard_at.unwrap_or(self.known_at)) > limit
    }
}
