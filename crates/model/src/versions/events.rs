//! Rules, bounds and events of the version model.

use std::fmt;

/// A rule of adoption that a variant of the model omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionRule {
    /// A host never adopts a lower version. The variant numbers each other index one above the one in
    /// force.
    VersionOrder,
    /// Equal versions with different digests are refused. The variant treats later ones as newer.
    DigestConflict,
    /// A host serves only when it is ready. The variant serves as soon as a version is in force.
    ReadyFirst,
    /// A new host first waits for the versions of two peers. The variant reports that there are none.
    PeersFirst,
    /// A host that was paused waits for its peers again. The variant skips the reset after a pause.
    WakeRefresh,
    /// Reports from before a pause are ignored after it. The variant delivers them.
    FreshReports,
}

/// Limits on the number of events on one path.
#[derive(Clone, Copy, Debug)]
pub struct VersionBound {
    /// Published versions after the first one.
    pub versions: u64,
    /// Published indexes with the same version number as an earlier one.
    pub twins: u32,
    /// Reads from the platform and messages to other hosts. Repeated arrivals are not counted.
    pub messages: u32,
    /// Restarts and pauses.
    pub faults: u32,
    /// Failed fetches and refused snapshots.
    pub failures: u32,
}

/// An event of the model.
#[derive(Clone, Copy, Debug)]
pub enum VersionEvent {
    /// Operators publish the next version.
    Publish,
    /// Operators publish another index with the last version number.
    PublishConflicting,
    /// A host reads an index, which may be outdated, from the platform.
    Read(usize, usize),
    /// The first host sends the version in force on it to the second one.
    SendVersion(usize, usize),
    /// The version that the first host sent arrives at the second one. It may arrive again.
    ReceiveVersion(usize, usize),
    /// A host fetches the parts of the announced index.
    Fetch(usize),
    /// The fetch fails.
    Fail(usize),
    /// The snapshot passes its check and is adopted.
    Accept(usize),
    /// The snapshot fails its check and is refused.
    Refuse(usize),
    /// A host restarts without its state, or is replaced by one with the same name.
    Restart(usize),
    /// A host is paused.
    Pause(usize),
    /// A paused host resumes.
    Wake(usize),
}

impl fmt::Display for VersionEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Publish => write!(f, "the next version is published"),
            Self::PublishConflicting => write!(f, "another index of the same version is published"),
            Self::Read(number, n) => write!(f, "h{number} reads index {n} from the platform"),
            Self::SendVersion(from, to) => write!(f, "h{from} sends its version to h{to}"),
            Self::ReceiveVersion(from, to) => {
                write!(f, "h{to} hears the version that h{from} sent")
            }
            Self::Fetch(number) => write!(f, "h{number} fetches the parts"),
            Self::Fail(number) => write!(f, "h{number} fails to fetch the parts"),
            Self::Accept(number) => write!(f, "h{number} accepts the snapshot"),
            Self::Refuse(number) => write!(f, "h{number} refuses the snapshot"),
            Self::Restart(number) => write!(f, "h{number} restarts"),
            Self::Pause(number) => write!(f, "h{number} pauses"),
            Self::Wake(number) => write!(f, "h{number} wakes"),
        }
    }
}
