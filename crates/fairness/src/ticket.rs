//! Identifiers of queue entries and of the teams that they belong to.

use std::fmt;

use chicorycroft_core::prelude::*;

/// Group of callers whose requests share one queue.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum QueueTeam {
    /// A team that is identified by its key.
    Team(TeamId),
    /// All callers of routes that need no key.
    Open,
}

impl fmt::Display for QueueTeam {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(team) => team.fmt(f),
            Self::Open => f.write_str("(open)"),
        }
    }
}

/// Identifier of a waiting request, unique within its service and process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct QueueTicket {
    /// Team that the request belongs to.
    pub team: QueueTeam,
    /// Sequence number of the entry.
    pub number: u64,
}

impl fmt::Display for QueueTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.number)
    }
}
