//! Rules, bounds and events of the model.

use std::fmt;

/// A rule of adoption that a variant of the model does without.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionRule {
    /// A host never moves to a lower version. The variant numbers each other
    /// index one above the one in force.
    VersionOrder,
    /// Equal versions with different digests are refused. The variant counts twins as newer.
    DigestConflict,
    /// A host serves only when it is ready. The variant serves as soon as a version is in force.
    ReadyFirst,
    /// A new host hears two peers first. The variant says that it is alone.
    PeersFirst,
    /// A host that was paused starts to listen anew. The variant leaves that call out.
    WakeRefresh,
    /// Reports from before a pause do not count after it. The variant hands them in.
    FreshReports,
}

/// How often things may happen on one path.
#[derive(Clone, Copy, Debug)]
pub struct VersionBound {
    /// Published versions after the first one.
    pub versions: u64,
    /// Published indexes with the number of another one.
    pub twins: u32,
    /// Reads from the platform and messages sent to other hosts. They may arrive again.
    pub messages: u32,
    /// Restarts and pauses.
    pub faults: u32,
    /// Failed fetches and refused snapshots.
    pub failures: u32,
}

/// What can happen.
#[derive(Clone, Copy, Debug)]
pub enum VersionEvent {
    /// Operators publish the next version.
    Publish,
    /// Operators publish another index with the last number.
    PublishTwin,
    /// A host reads an index from the platform, which may be old.
    Read(usize, usize),
    /// A host sends another one what is in force on it.
    Say(usize, usize),
    /// What the first host sent arrives at the second one; it may arrive again.
    Hear(usize, usize),
    /// A host fetches the parts of the index that is due.
    Fetch(usize),
    /// The fetch comes to nothing.
    Fail(usize),
    /// The snapshot is valid.
    Accept(usize),
    /// The snapshot is not valid.
    Refuse(usize),
    /// A host loses its memory, or is replaced by one with the same name.
    Restart(usize),
    /// A host stops without noticing.
    Pause(usize),
    /// A paused host goes on.
    Wake(usize),
}

impl fmt::Display for VersionEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Publish => write!(f, "the next version is published"),
            Self::PublishTwin => write!(f, "another index of the same version is published"),
            Self::Read(of, n) => write!(f, "h{of} reads index {n} from the platform"),
            Self::Say(from, to) => write!(f, "h{from} sends its version to h{to}"),
            Self::Hear(from, to) => write!(f, "h{to} hears the version that h{from} sent"),
            Self::Fetch(of) => write!(f, "h{of} fetches the parts"),
            Self::Fail(of) => write!(f, "h{of} fails to fetch the parts"),
            Self::Accept(of) => write!(f, "h{of} accepts the snapshot"),
            Self::Refuse(of) => write!(f, "h{of} refuses the snapshot"),
            Self::Restart(of) => write!(f, "h{of} restarts"),
            Self::Pause(of) => write!(f, "h{of} pauses"),
            Self::Wake(of) => write!(f, "h{of} wakes"),
        }
    }
}
