//! Specification of the exclusive ownership of a target, over
//! [`OwnerTable`](chicorycroft_placement::prelude) and the contact times of
//! [`PeerTable`](chicorycroft_membership::prelude) that it depends on.
//!
//! Three hosts of one zone exchange heartbeats once per step of one second. The events are faults of
//! links and processes, host rosters that lack a host, and handovers.

mod process;
mod state;

use std::fmt;

use crate::search::ProtocolModel;

pub use state::OwnerState;

/// Number of hosts.
pub(crate) const HOSTS: usize = 3;

/// A rule of ownership that a variant of the model omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerRule {
    /// An owner without contact stops serving. The variant sets the fence time to an hour.
    ContactFence,
    /// A host waits before it takes over. The variant sets the takeover time to one step.
    TakeoverWait,
    /// A host that was paused serves only after a new round of heartbeats. The variant skips the reset
    /// after a pause.
    WakeRefresh,
    /// A handover that arrives too late is ignored. The variant sets its sending time to its arrival.
    HandoverAge,
    /// The previous owner stops before it sends a handover. The variant sends it without stopping.
    StopFirst,
}

/// Limits on the number of events on one path.
#[derive(Clone, Copy, Debug)]
pub struct OwnerBound {
    /// Time steps after the target has its first owner.
    pub steps: u64,
    /// Faults of links, processes and rosters. Their ends are not counted.
    pub faults: u32,
    /// Handovers.
    pub handovers: u32,
}

/// An event of the model.
#[derive(Clone, Copy, Debug)]
pub enum OwnerEvent {
    /// A second passes, and the hosts exchange heartbeats.
    Step,
    /// Messages from the first host to the second one are lost from now on.
    Cut(usize, usize),
    /// Messages from the first host to the second one arrive a step late from now on.
    Delay(usize, usize),
    /// All messages that a host sends are lost from now on.
    CutOutgoing(usize),
    /// All messages to a host are lost from now on.
    CutIncoming(usize),
    /// The link works again. Delayed messages arrive with the next ones.
    Restore(usize, usize),
    /// A process is paused while its clock continues.
    Pause(usize),
    /// The machine of a process is suspended, which also stops its monotonic clock.
    Suspend(usize),
    /// A paused process resumes.
    Wake(usize),
    /// A process is replaced by a new one with the same name. If it was paused, it may still resume.
    Replace(usize),
    /// The roster that the process reads lacks the host from now on.
    OmitFromRoster(usize, usize),
    /// The roster that the process reads is complete again.
    RestoreRoster(usize),
    /// An owner hands the target over.
    HandOver(usize),
}

impl fmt::Display for OwnerEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Step => write!(f, "a second passes with a round of heartbeats"),
            Self::Cut(from, to) => write!(f, "messages from h{from} to h{to} are lost from now on"),
            Self::Delay(from, to) => {
                write!(f, "messages from h{from} to h{to} are late from now on")
            }
            Self::CutOutgoing(number) => {
                write!(f, "all messages from h{number} are lost from now on")
            }
            Self::CutIncoming(number) => {
                write!(f, "all messages to h{number} are lost from now on")
            }
            Self::Restore(from, to) => write!(f, "the link from h{from} to h{to} works again"),
            Self::Pause(number) => write!(f, "process {number} pauses"),
            Self::Suspend(number) => write!(f, "process {number} is suspended with its clock"),
            Self::Wake(number) => write!(f, "process {number} wakes"),
            Self::Replace(number) => {
                write!(f, "process {number} is replaced by one of the same name")
            }
            Self::OmitFromRoster(number, host) => {
                write!(f, "the list that process {number} reads lacks h{host}")
            }
            Self::RestoreRoster(number) => {
                write!(f, "the list that process {number} reads is complete")
            }
            Self::HandOver(number) => write!(f, "process {number} hands the target over"),
        }
    }
}

/// Creates the model within a bound, with all rules or with one omitted.
pub fn owner_model(
    bound: OwnerBound,
    omitted_rule: Option<OwnerRule>,
) -> ProtocolModel<OwnerState, OwnerEvent> {
    ProtocolModel {
        start: Box::new(move || OwnerState::new(bound, omitted_rule)),
        events: OwnerState::events,
        copy: Some(OwnerState::clone),
        apply: OwnerState::apply,
        digest: OwnerState::digest,
        violation: OwnerState::violation,
    }
}
