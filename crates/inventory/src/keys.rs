//! Lookup of the team for a key.

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

/// Maps digests of granted keys to teams.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    teams: IndexMap<KeyDigest, TeamId>,
}

impl KeyRing {
    /// Creates an empty key ring.
    pub fn new() -> Self {
        Self::default()
    }

    /// Grants a key to a team. Returns the other team as an error if the key is already granted to
    /// one.
    pub fn grant(&mut self, digest: KeyDigest, team: &TeamId) -> Result<(), TeamId> {
        match self.teams.get(&digest) {
            Some(holder) if holder != team => Err(holder.clone()),
            _ => {
                self.teams.insert(digest, team.clone());
                Ok(())
            }
        }
    }

    /// Returns the team of a key, or `None` for an unknown key.
    ///
    /// The key is hashed first, so that neither the lookup nor the comparison depends on bytes that
    /// a caller can choose; the digests are then compared in constant time.
    pub fn team_of(&self, key: &[u8]) -> Option<&TeamId> {
        self.teams.get(&KeyDigest::of_key(key))
    }
}
