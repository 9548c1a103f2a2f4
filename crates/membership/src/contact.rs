//! The state machine of one peer.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use statig::Outcome;
use statig::blocking::{
    IntoStateMachine,
    State, //
};

use crate::rules::MembershipRules;

/// What is known about a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerStanding {
    /// Only the roster has named it.
    Unknown,
    /// It was heard, and it acknowledged a heartbeat within the fence time.
    Reachable,
    /// Somebody has heard it, but it acknowledges nothing, or it was not heard for the fence time.
    Suspect,
    /// Nobody has heard it for the takeover time.
    Unreachable,
    /// It said that it is leaving.
    Left,
}

/// What happens to a peer.
#[derive(Clone, Copy, Debug)]
pub enum ContactEvent {
    /// A heartbeat or an acknowledgement came from the peer itself.
    Heard {
        /// Time of arrival.
        at: MonoTime,
        /// Whether the peer says that it is leaving.
        is_leaving: bool,
    },
    /// The peer acknowledged a heartbeat that was sent at this time.
    Acknowledged {
        /// Time at which the heartbeat was sent.
        sent_at: MonoTime,
    },
    /// Another host has heard the peer at about this time.
    Reported {
        /// Time at which it was heard.
        at: MonoTime,
    },
    /// The peer was replaced by a process with a higher incarnation.
    Replaced,
    /// This host was paused, so that earlier acknowledgements say nothing. The peer counts as heard
    /// now, because others may have heard it during the pause.
    Woken {
        /// The time.
        now: MonoTime,
    },
    /// Time has passed.
    Passed {
        /// The time.
        now: MonoTime,
    },
}

/// When a peer was heard and when it acknowledged a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct ContactTimes {
    rules: MembershipRules,
    heard_at: Option<MonoTime>,
    reported_at: Option<MonoTime>,
    acknowledged_at: Option<MonoTime>,
}

impl ContactTimes {
    pub(crate) fn new(rules: MembershipRules) -> Self {
        Self {
            rules,
            heard_at: None,
            reported_at: None,
            acknowledged_at: None,
        }
    }

    /// Returns when this host itself last heard the peer.
    pub fn heard_at(&self) -> Option<MonoTime> {
        self.heard_at
    }

    /// Returns when anybody last heard the peer.
    pub fn heard_by_anyone_at(&self) -> Option<MonoTime> {
        self.heard_at.max(self.reported_at)
    }

    /// Returns when the newest heartbeat was sent that the peer acknowledged.
    pub fn acknowledged_at(&self) -> Option<MonoTime> {
        self.acknowledged_at
    }

    /// Tells whether the peer acknowledged a heartbeat that was sent within the fence time.
    ///
    /// The time of sending counts and not the time of the acknowledgement: the peer heard this host
    /// no earlier than that, so that this host stops before the peer's takeover time ends.
    pub fn is_acknowledged(&self, now: MonoTime) -> bool {
        is_within(self.acknowledged_at, self.rules.fence_after, now)
    }

    fn standing(&self, now: MonoTime) -> PeerStanding {
        let is_heard = is_within(self.heard_at, self.rules.fence_after, now);
        if is_heard && self.is_acknowledged(now) {
            PeerStanding::Reachable
        } else if is_within(self.heard_by_anyone_at(), self.rules.takeover_after, now) {
            PeerStanding::Suspect
        } else {
            PeerStanding::Unreachable
        }
    }
}

pub(crate) fn is_within(at: Option<MonoTime>, limit: Duration, now: MonoTime) -> bool {
    at.is_some_and(|at| now.since(at) <= limit)
}

impl IntoStateMachine for ContactTimes {
    type Event<'evt> = ContactEvent;
    type Context<'ctx> = ();
    type State = PeerStanding;
    type Superstate<'sub> = ();

    fn initial() -> PeerStanding {
        PeerStanding::Unknown
    }
}

impl State<ContactTimes> for PeerStanding {
    fn call_handler(
        &mut self,
        times: &mut ContactTimes,
        event: &ContactEvent,
        (): &mut (),
    ) -> Outcome<Self> {
        match *event {
            ContactEvent::Heard { at, is_leaving } => {
                times.heard_at = times.heard_at.max(Some(at));
                match (is_leaving, *self) {
                    (true, _) => Outcome::Transition(Self::Left),
                    // A late message from before the notice does not bring the peer back.
                    (false, Self::Left) => Outcome::Handled,
                    (false, _) => Outcome::Transition(times.standing(at)),
                }
            }
            ContactEvent::Acknowledged { sent_at } => {
                times.acknowledged_at = times.acknowledged_at.max(Some(sent_at));
                Outcome::Handled
            }
            ContactEvent::Reported { at } => {
                times.reported_at = times.reported_at.max(Some(at));
                Outcome::Handled
            }
            ContactEvent::Replaced => {
                *times = ContactTimes::new(times.rules);
                Outcome::Transition(Self::Unknown)
            }
            ContactEvent::Woken { now } => {
                times.acknowledged_at = None;
                times.reported_at = times.heard_by_anyone_at().map(|_| now);
                Outcome::Handled
            }
            ContactEvent::Passed { now } => match *self {
                Self::Left => Outcome::Handled,
                Self::Unknown if times.heard_by_anyone_at().is_none() => Outcome::Handled,
                _ => Outcome::Transition(times.standing(now)),
            },
        }
    }
}
