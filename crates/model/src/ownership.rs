//! Specification of who serves a target, over [`OwnerTable`](chicorycroft_placement::prelude) and
//! the contact of [`PeerTable`](chicorycroft_membership::prelude) that it rests on.
//!
//! Three hosts of one zone send each other heartbeats once a step of one second. The events are
//! faults of links and processes, lists of hosts that lack one, and handovers.

mod process;
mod world;

use std::fmt;

use crate::search::ProtocolModel;

pub use world::OwnerWorld;

/// Number of hosts.
pub(crate) const HOSTS: usize = 3;

/// A rule of ownership that a variant of the model does without.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerRule {
    /// An owner without contact stops. The variant has a fence time of an hour.
    ContactFence,
    /// A host waits before it takes over. The variant has a takeover time of one step.
    TakeoverWait,
    /// A host that was paused serves only after a fresh round. The variant leaves that call out.
    WakeRefresh,
    /// A late handover does not count. The variant dates it as sent when it arrives.
    HandoverAge,
    /// A handover stops the giver first. The variant sends it without that call.
    StopFirst,
}

/// How often things may happen on one path.
#[derive(Clone, Copy, Debug)]
pub struct OwnerBound {
    /// Steps of time after the target has its first owner.
    pub steps: u64,
    /// Faults of links, processes and lists of hosts; their end is free.
    pub faults: u32,
    /// Handovers.
    pub handovers: u32,
}

/// What can happen.
#[derive(Clone, Copy, Debug)]
pub enum OwnerEvent {
    /// A second passes and hosts exchange heartbeats.
    Step,
    /// Messages from the first host to the second one are lost from now on.
    Cut(usize, usize),
    /// Messages from the first host to the second one arrive a step late from now on.
    Slow(usize, usize),
    /// All messages that a host sends are lost from now on.
    Mute(usize),
    /// All messages to a host are lost from now on.
    Deafen(usize),
    /// The link works again; late messages arrive with the next ones.
    Mend(usize, usize),
    /// A process stops without noticing.
    Pause(usize),
    /// The machine of a process is suspended, and its monotonic clock with it.
    Suspend(usize),
    /// A paused process goes on.
    Wake(usize),
    /// A process is replaced by one with the same name. A paused one may still wake.
    Replace(usize),
    /// The list of hosts that the first process reads lacks the second host from now on.
    Unlist(usize, usize),
    /// The list is complete again.
    Relist(usize),
    /// An owner hands the target over.
    HandOver(usize),
}

impl fmt::Display for OwnerEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Step => write!(f, "a second passes with a round of heartbeats"),
            Self::Cut(from, to) => write!(f, "messages from h{from} to h{to} are lost from now on"),
            Self::Slow(from, to) => {
                write!(f, "messages from h{from} to h{to} are late from now on")
            }
            Self::Mute(of) => write!(f, "all messages from h{of} are lost from now on"),
            Self::Deafen(of) => write!(f, "all messages to h{of} are lost from now on"),
            Self::Mend(from, to) => write!(f, "the link from h{from} to h{to} works again"),
            Self::Pause(of) => write!(f, "process {of} pauses"),
            Self::Suspend(of) => write!(f, "process {of} is suspended with its clock"),
            Self::Wake(of) => write!(f, "process {of} wakes"),
            Self::Replace(of) => write!(f, "process {of} is replaced by one of the same name"),
            Self::Unlist(of, host) => write!(f, "the list that process {of} reads lacks h{host}"),
            Self::Relist(of) => write!(f, "the list that process {of} reads is complete"),
            Self::HandOver(of) => write!(f, "process {of} hands the target over"),
        }
    }
}

/// Makes the model within a bound, whole or without one rule.
pub fn owner_model(
    bound: OwnerBound,
    without: Option<OwnerRule>,
) -> ProtocolModel<OwnerWorld, OwnerEvent> {
    ProtocolModel {
        start: Box::new(move || OwnerWorld::new(bound, without)),
        events: OwnerWorld::events,
        copy: Some(OwnerWorld::clone),
        apply: OwnerWorld::apply,
        digest: OwnerWorld::digest,
        breach: OwnerWorld::breach,
    }
}
