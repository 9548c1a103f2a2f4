//! The difference between two directories.
//!
//! A dispatcher passes each change on to all hosts of its zone. The whole directory has tens of bytes for each target,
//! which would fill the link of a small host for most of a second with each change.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use chicorycroft_core::prelude::*;
use indexmap::IndexSet;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::targets::{
    ContentDigest,
    TargetDirectory,
    TargetEntry, //
};

/// Number of earlier directories to which a host can return the difference. Followers call twice a second, and
/// changes are read as often.
const HISTORY_MAX: usize = 4;

/// The changes that turn one directory into another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DirectoryDelta {
    /// Digest of the directory that the changes apply to.
    pub base: ContentDigest,
    /// Digest of the result.
    pub content: ContentDigest,
    /// Targets that are missing in the result.
    pub removed: Vec<TargetId>,
    /// Entries that are new or differ.
    pub updated: Vec<TargetEntry>,
    /// All evacuated zones of the result.
    pub evacuated: IndexSet<ZoneId>,
}

impl DirectoryDelta {
    /// Returns the changes that turn `base` into `next`.
    pub fn new(base: &TargetDirectory, next: &TargetDirectory) -> Self {
        let known = base.targets.keys();
        let removed = known.filter(|id| !next.targets.contains_key(*id));
        let is_changed = |entry: &&TargetEntry| {
            let known = base.targets.get(&entry.id);
            known.is_none_or(|known| !known.is_equivalent(entry))
        };
        Self {
            base: base.content,
            content: next.content,
            removed: removed.cloned().collect(),
            updated: next.targets.values().filter(is_changed).cloned().collect(),
            evacuated: next.evacuated.clone(),
        }
    }

    /// Returns the directory that results from the changes, or `None` if they apply to another one than `base`.
    pub fn apply(self, base: &TargetDirectory) -> Option<TargetDirectory> {
        if base.content != self.base {
            return None;
        }
        let mut next = base.clone();
        next.targets.retain(|id, _| !self.removed.contains(id));
        for entry in self.updated {
            next.targets.insert(entry.id.clone(), entry);
        }
        next.evacuated = self.evacuated;
        next.update_digest();
        (next.content == self.content).then_some(next)
    }
}

/// The latest directories of a host with different contents.
#[derive(Clone, Debug, Default)]
pub struct DirectoryHistory {
    earlier: VecDeque<Arc<TargetDirectory>>,
}

impl DirectoryHistory {
    /// Creates a history without directories.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a directory that was replaced by one with another content.
    pub fn push(&mut self, directory: Arc<TargetDirectory>) {
        if self.earlier.len() == HISTORY_MAX {
            self.earlier.pop_front();
        }
        self.earlier.push_back(directory);
    }

    /// Returns the latest directory with a content, if it is among the last four.
    pub fn find(&self, content: ContentDigest) -> Option<&Arc<TargetDirectory>> {
        let mut latest = self.earlier.iter().rev();
        latest.find(|directory| directory.content == content)
    }
}
