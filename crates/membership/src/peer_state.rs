//! The state machine of one peer.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use statig::Outcome;
use statig::blocking::{
    IntoStateMachine,
    State, //
};

use crate::rules::MembershipRules;

/// The state of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerState {
    /// The peer is known from the roster only.
    Unknown,
    /// This host received a message from the peer and an acknowledgement of a heartbeat, both within the fence
    /// time.
    Reachable,
    /// Some host received a message from the peer within the takeover time, but the peer is not reachable from
    /// this host.
    Suspect,
    /// No host received a message from the peer within the takeover time.
    Unreachable,
    /// The peer announced that it is leaving.
    Left,
}

/// An event that concerns a peer.
#[derive(Clone, Copy, Debug)]
pub enum PeerEvent {
    /// A heartbeat or an acknowledgement arrived from the peer itself.
    MessageReceived {
        /// Time of arrival.
        at: MonoTime,
        /// Whether the peer announces that it is leaving.
        is_leaving: bool,
    },
    /// The peer acknowledged a heartbeat of this host.
    Acknowledged {
        /// Time at which the heartbeat was sent.
        sent_at: MonoTime,
    },
    /// Another host reported a message that it received from the peer.
    Reported {
        /// Approximate time at which the other host received the message.
        at: MonoTime,
    },
    /// The process of the peer was replaced by one with a higher incarnation.
    Replaced,
    /// This host resumed after a pause, so that earlier acknowledgements are no longer valid. A peer that was seen
    /// before counts as seen now, because other hosts may have received messages from it during the pause.
    Resumed {
        /// Current time.
        now: MonoTime,
    },
    /// Periodic check of the time limits.
    Tick {
        /// Current time.
        now: MonoTime,
    },
}

/// The times of the last contact with a peer.
#[derive(Clone, Copy, Debug)]
pub struct ContactTimes {
    rules: MembershipRules,
    received_at: Option<MonoTime>,
    reported_at: Option<MonoTime>,
    acknowledged_at: Option<MonoTime>,
}

impl ContactTimes {
    pub(crate) fn new(rules: MembershipRules) -> Self {
        Self {
            rules,
            received_at: None,
            reported_at: None,
            acknowledged_at: None,
        }
    }

    /// Returns when this host last received a message from the peer.
    pub fn received_at(&self) -> Option<MonoTime> {
        self.received_at
    }

    /// Returns when any host last received a message from the peer, according to the reports of other hosts.
    pub fn last_seen_at(&self) -> Option<MonoTime> {
        self.received_at.max(self.reported_at)
    }

    /// Returns when this host sent the newest heartbeat that the peer acknowledged.
    pub fn acknowledged_at(&self) -> Option<MonoTime> {
        self.acknowledged_at
    }

    /// Returns `true` if the peer acknowledged a heartbeat that was sent within the fence time.
    ///
    /// The time of sending counts, not that of the acknowledgement. The peer received the heartbeat no earlier
    /// than that, so this host stops serving before the peer's takeover time ends.
    pub fn is_acknowledged(&self, now: MonoTime) -> bool {
        is_within(self.acknowledged_at, self.rules.fence_after, now)
    }

    fn state(&self, now: MonoTime) -> PeerState {
        let is_received = is_within(self.received_at, self.rules.fence_after, now);
        if is_received && self.is_acknowledged(now) {
            PeerState::Reachable
        } else if is_within(self.last_seen_at(), self.rules.takeover_after, now) {
            PeerState::Suspect
        } else {
            PeerState::Unreachable
        }
    }
}

/// Returns `true` if `at` is at most `limit` before `now`.
pub(crate) fn is_within(at: Option<MonoTime>, limit: Duration, now: MonoTime) -> bool {
    at.is_some_and(|at| now.since(at) <= limit)
}

impl IntoStateMachine for ContactTimes {
    type Event<'evt> = PeerEvent;
    type Context<'ctx> = ();
    type State = PeerState;
    type Superstate<'sub> = ();

    fn initial() -> PeerState {
        PeerState::Unknown
    }
}

impl State<ContactTimes> for PeerState {
    fn call_handler(
        &mut self,
        times: &mut ContactTimes,
        event: &PeerEvent,
        (): &mut (),
    ) -> Outcome<Self> {
        match *event {
            PeerEvent::MessageReceived { at, is_leaving } => {
                times.received_at = times.received_at.max(Some(at));
                match (is_leaving, *self) {
                    (true, _) => Outcome::Transition(Self::Left),
                    // A delayed message that was sent before the announcement does not change the state back.
                    (false, Self::Left) => Outcome::Handled,
                    (false, _) => Outcome::Transition(times.state(at)),
                }
            }
            PeerEvent::Acknowledged { sent_at } => {
                times.acknowledged_at = times.acknowledged_at.max(Some(sent_at));
                Outcome::Handled
            }
            PeerEvent::Reported { at } => {
                times.reported_at = times.reported_at.max(Some(at));
                Outcome::Handled
            }
            PeerEvent::Replaced => {
                *times = ContactTimes::new(times.rules);
                Outcome::Transition(Self::Unknown)
            }
            PeerEvent::Resumed { now } => {
                times.acknowledged_at = None;
                times.reported_at = times.last_seen_at().map(|_| now);
                Outcome::Handled
            }
            PeerEvent::Tick { now } => match *self {
                Self::Left => Outcome::Handled,
                Self::Unknown if times.last_seen_at().is_none() => Outcome::Handled,
                _ => Outcome::Transition(times.state(now)),
            },
        }
    }
}
