//! Positions in the store.
//!
//! The store may come back from an older copy, so that revisions go back and are given out again. It states its era, which
//! rises by one each time. Positions are compared by era first.

use std::{
    fmt,
    num::ParseIntError,
    str::FromStr, //
};

use chicorycroft_core::define_counter;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::contact::StorePart;

define_counter!(
    /// Era of the store; 0 if the store states none.
    StoreEra
);

define_counter!(
    /// Revision of the store; it increases with each write of an era.
    StoreRevision
);

/// A position in the history of the store. Displayed as `ERA:REVISION`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// Revision within the era.
    pub revision: StoreRevision,
}

impl StorePosition {
    /// Creates the position of a revision in an era.
    pub const fn new(era: StoreEra, revision: StoreRevision) -> Self {
        Self { era, revision }
    }

    /// Creates the position of a revision of a store, or of a host, that states no era.
    pub const fn without_era(revision: StoreRevision) -> Self {
        Self::new(StoreEra::new(0), revision)
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

impl FromStr for StorePosition {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let (era, revision) = text.split_once(':').unwrap_or(("0", text));
        Ok(Self::new(era.parse()?, revision.parse()?))
    }
}

/// Positions up to which the parts of the store were read.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartPositions {
    /// Position of the records of operators.
    pub operator: StorePosition,
    /// Position of the entries of targets.
    pub targets: StorePosition,
}

impl PartPositions {
    /// Creates the positions of a copy that was read up to one position.
    pub const fn new(position: StorePosition) -> Self {
        Self {
            operator: position,
            targets: position,
        }
    }

    /// Returns the position of a part.
    pub const fn part(&self, part: StorePart) -> StorePosition {
        match part {
            StorePart::Operator => self.operator,
            StorePart::Targets => self.targets,
        }
    }

    /// Returns the position of a part, to change it.
    pub const fn part_mut(&mut self, part: StorePart) -> &mut StorePosition {
        match part {
            StorePart::Operator => &mut self.operator,
            StorePart::Targets => &mut self.targets,
        }
    }

    /// Returns the position up to which both parts were read.
    pub fn both(&self) -> StorePosition {
        self.operator.min(self.targets)
    }

    /// Returns the latest position up to which a part was read.
    pub fn latest(&self) -> StorePosition {
        self.operator.max(self.targets)
    }
}

impl fmt::Display for PartPositions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.operator, self.targets)
    }
}

impl FromStr for PartPositions {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let (operator, targets) = text.split_once('/').unwrap_or((text, text));
        Ok(Self {
            operator: operator.parse()?,
            targets: targets.parse()?,
        })
    }
}
