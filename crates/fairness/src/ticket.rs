//! Names of queue entries and of those that they belong to.

use std::fmt;

use chicorycroft_core::prelude::*;

/// Whose requests wait together.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum QueueTeam {
    /// A team with a key.
    Team(TeamId),
    /// All callers of routes that are open to all.
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

/// Name of one waiting request, unique within its service and process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct QueueTicket {
    /// Whose request it is.
    pub team: QueueTeam,
    /// Number of the entry.
    pub number: u64,
}

impl fmt::Display for QueueTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.number)
    }
}
