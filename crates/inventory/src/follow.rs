//! Decides which published version to fetch, adopt or refuse, and whether this host is ready.
//!
//! The documents themselves are stored and parsed elsewhere; this module handles only versions and
//! digests.

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};
use smol_str::SmolStr;
use statig::blocking::{
    IntoStateMachineExt,
    StateMachine, //
};
use thiserror::Error;

use crate::{
    follow_states::{
        FollowEvent,
        FollowRecord,
        FollowState,
        PendingIndex, //
    },
    readiness::ReadinessRecord,
};

pub use crate::readiness::{
    HostCount,
    HostReadiness, //
};

/// Version and digest of an index.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct IndexSummary {
    /// Version of the index.
    pub version: ConfigVersion,
    /// Digest of the index document, which covers the digests of all parts.
    pub digest: DocumentDigest,
}

/// A part as listed in an index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartSummary {
    /// Name of the part on the platform.
    pub name: SmolStr,
    /// Digest of the part.
    pub digest: DocumentDigest,
}

/// Origin of a report about an index.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum IndexSource {
    /// The platform.
    Platform,
    /// Another host.
    Peer {
        /// Name of the host.
        host: HostId,
        /// Zone of the host.
        zone: ZoneId,
    },
}

/// Result of a report about an index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IndexVerdict {
    /// The index is in force or older than the one in force.
    NotNewer,
    /// Fetch the index, then call [`ConfigFollower::on_parts`].
    Fetch,
    /// The index is being fetched or checked, or is deferred until the end of a check; see
    /// [`ConfigFollower::next_fetch`].
    InProgress,
    /// The index was refused before, or its fetch failed a moment ago.
    Ignored,
    /// Another index with the same version is known. `is_first` is `false` for repetitions, so that
    /// operators are notified once.
    Conflict {
        /// Known digest of the version.
        known: DocumentDigest,
        /// Whether this conflict is reported for the first time.
        is_first: bool,
    },
}

/// Parts of an index that must be fetched.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FetchPlan {
    /// Parts that this host does not hold.
    pub missing: Vec<PartSummary>,
    /// Number of parts that this host already holds, because their digests have not changed.
    pub reused: usize,
}

/// Result of the arrival of a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartVerdict {
    /// The part was needed. As soon as no part is missing, the snapshot can be checked.
    Accepted {
        /// Number of parts that are still missing.
        left: usize,
    },
    /// No version in progress needs the part.
    NotNeeded,
}

/// Returned when a snapshot cannot be adopted.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AdoptionError {
    /// Another version is in progress, or parts are missing.
    #[error(
        "version {version} cannot be adopted: another version is in progress, or parts are missing"
    )]
    NotInProgress {
        /// Version of the snapshot.
        version: ConfigVersion,
    },
}

/// Follows the published configuration.
///
/// Its `Debug` output contains the whole state, which the model checker compares.
#[derive(Clone)]
pub struct ConfigFollower {
    machine: StateMachine<FollowRecord>,
    readiness: ReadinessRecord,
}

impl std::fmt::Debug for ConfigFollower {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConfigFollower")
            .field("state", self.machine.state())
            .field("record", self.machine.inner())
            .field("readiness", &self.readiness)
            .finish()
    }
}

impl Default for ConfigFollower {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigFollower {
    /// Creates the follower of a host that has just started and has no configuration.
    pub fn new() -> Self {
        Self {
            machine: FollowRecord::default().state_machine(),
            readiness: ReadinessRecord::default(),
        }
    }

    /// Handles a report about an index.
    pub fn on_index(
        &mut self,
        source: IndexSource,
        summary: IndexSummary,
        now: MonoTime,
    ) -> IndexVerdict {
        self.readiness.on_report(&source, summary);
        let event = FollowEvent::Index {
            source,
            summary,
            now,
        };
        let mut verdict = IndexVerdict::NotNewer;
        self.machine.handle_with_context(&event, &mut verdict);
        verdict
    }

    /// Handles the list of parts of the index to fetch. Returns `None` if another index is to be
    /// fetched.
    pub fn on_parts(&mut self, summary: IndexSummary, parts: &[PartSummary]) -> Option<FetchPlan> {
        let event = FollowEvent::Parts { summary, parts };
        self.handle(&event);
        let (pending, missing_parts) = match self.machine.state() {
            FollowState::Fetching {
                pending,
                missing_parts,
            } => (pending, missing_parts.clone()),
            FollowState::Checking { pending } => (pending, IndexSet::new()),
            FollowState::Idle | FollowState::Announced { .. } => return None,
        };
        if pending.summary != summary {
            return None;
        }
        let missing = parts
            .iter()
            .filter(|part| missing_parts.contains(&part.digest));
        let missing: Vec<_> = missing.cloned().collect();
        Some(FetchPlan {
            reused: parts.len() - missing.len(),
            missing,
        })
    }

    /// Records the arrival of a part with this digest.
    pub fn on_part(&mut self, digest: DocumentDigest) -> PartVerdict {
        let is_needed = |state: &FollowState| match state {
            FollowState::Fetching { missing_parts, .. } => missing_parts.contains(&digest),
            _ => false,
        };
        if !is_needed(self.machine.state()) {
            return PartVerdict::NotNeeded;
        }
        self.handle(&FollowEvent::Part { digest });
        let left = match self.machine.state() {
            FollowState::Fetching { missing_parts, .. } => missing_parts.len(),
            _ => 0,
        };
        PartVerdict::Accepted { left }
    }

    /// Adopts the version of which all parts have arrived.
    ///
    /// # Errors
    ///
    /// Returns [`AdoptionError`] if another version is in progress; the version in force then
    /// stays.
    pub fn accept(&mut self, summary: IndexSummary) -> Result<(), AdoptionError> {
        self.require_checking(summary)?;
        self.handle(&FollowEvent::Accepted);
        Ok(())
    }

    /// Refuses the version of which all parts have arrived. The version in force stays, and the
    /// refused one is not fetched again.
    ///
    /// # Errors
    ///
    /// Returns [`AdoptionError`] if another version is in progress.
    pub fn refuse(&mut self, summary: IndexSummary) -> Result<(), AdoptionError> {
        self.require_checking(summary)?;
        self.handle(&FollowEvent::Refused);
        Ok(())
    }

    /// Refuses an index that is itself invalid.
    pub fn refuse_index(&mut self, summary: IndexSummary) {
        if self
            .pending()
            .is_some_and(|pending| pending.summary == summary)
        {
            self.handle(&FollowEvent::Refused);
        }
    }

    /// Records that a fetch failed. It is retried after a delay.
    pub fn on_fetch_failed(&mut self, summary: IndexSummary, now: MonoTime) {
        if self
            .pending()
            .is_some_and(|pending| pending.summary == summary)
        {
            self.handle(&FollowEvent::Failed { now });
        }
    }

    fn require_checking(&self, summary: IndexSummary) -> Result<(), AdoptionError> {
        match self.machine.state() {
            FollowState::Checking { pending } if pending.summary == summary => Ok(()),
            _ => Err(AdoptionError::NotInProgress {
                version: summary.version,
            }),
        }
    }

    fn handle(&mut self, event: &FollowEvent<'_>) {
        self.machine
            .handle_with_context(event, &mut IndexVerdict::NotNewer);
    }

    fn pending(&self) -> Option<&PendingIndex> {
        self.machine.state().pending()
    }

    /// Returns the version in force.
    pub fn accepted(&self) -> Option<IndexSummary> {
        self.machine.inner().accepted
    }

    /// Returns the index whose list of parts must be fetched. After a version was adopted, refused
    /// or not fetched, this is a newer one that was reported in the meantime.
    pub fn next_fetch(&self) -> Option<IndexSummary> {
        match self.machine.state() {
            FollowState::Announced { pending } => Some(pending.summary),
            _ => None,
        }
    }

    /// Returns the sources of the version in progress, in the order of their reports.
    pub fn sources(&self) -> impl Iterator<Item = &IndexSource> {
        self.pending()
            .into_iter()
            .flat_map(|pending| pending.sources.iter())
    }

    /// Returns the versions that were refused since the last adopted one.
    pub fn refused(&self) -> impl Iterator<Item = &IndexSummary> {
        self.machine.inner().refused.iter()
    }

    /// Returns the conflicts found: the index that was reported and the digest that was known.
    pub fn conflicts(&self) -> &IndexMap<IndexSummary, DocumentDigest> {
        &self.machine.inner().conflicts
    }

    /// Returns `true` if the content of a part must be kept.
    pub fn retains(&self, digest: &DocumentDigest) -> bool {
        self.machine.inner().held.contains(digest)
    }

    /// Records the number of other hosts and of their zones.
    pub fn on_host_count(&mut self, count: HostCount) {
        self.readiness.on_host_count(count);
    }

    /// Records that this host was paused: earlier reports no longer show what is in force.
    ///
    /// Callers must discard reports that were sent before this call and arrive after it, because
    /// the follower cannot distinguish them from new ones.
    pub fn on_resume(&mut self) {
        self.readiness = ReadinessRecord::default();
    }

    /// Returns whether this host may serve callers, with the reason if not.
    ///
    /// Once a host has caught up after its start or a pause, a newer version that it has yet to
    /// adopt does not make it unready; otherwise each publication would stop the whole fleet.
    pub fn readiness(&mut self, is_isolated: bool) -> HostReadiness {
        let record = self.machine.inner();
        let (accepted, refused) = (record.accepted, &record.refused);
        self.readiness.evaluate(accepted, refused, is_isolated)
    }
}
