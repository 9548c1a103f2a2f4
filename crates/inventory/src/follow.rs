//! Which published version to fetch, adopt or refuse, and whether this host is ready.
//!
//! The documents themselves are held and parsed elsewhere; here only versions and digests count.

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

/// A part as an index lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartSummary {
    /// Name of the part on the platform.
    pub name: SmolStr,
    /// Digest of the part.
    pub digest: DocumentDigest,
}

/// Who told of an index.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum IndexSource {
    /// The platform.
    Platform,
    /// Another host.
    Peer {
        /// The host.
        host: HostId,
        /// Its zone.
        zone: ZoneId,
    },
}

/// What an index that was told of means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IndexVerdict {
    /// It is in force, or lower than the one in force.
    NoNews,
    /// Fetch it, then call [`ConfigFollower::on_parts`].
    Fetch,
    /// It is being fetched or checked, or waits for the end of a check; see
    /// [`ConfigFollower::due`].
    UnderWay,
    /// It was refused before, or its fetch failed a moment ago.
    Ignored,
    /// Another index with the same version is known. `is_first` is false for repetitions, so that
    /// operators are told once.
    Conflict {
        /// Digest that is known for the version.
        known: DocumentDigest,
        /// Whether this conflict has not been seen before.
        is_first: bool,
    },
}

/// Which parts of an index must be fetched.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FetchPlan {
    /// Parts that are not at hand.
    pub missing: Vec<PartSummary>,
    /// Number of parts that are at hand, because their digests have not changed.
    pub reused: usize,
}

/// What became of a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartVerdict {
    /// It was taken; so many are still missing. With none, the snapshot can be checked.
    Taken {
        /// Number of missing parts.
        left: usize,
    },
    /// No version under way needs it.
    NotWanted,
}

/// Why a snapshot cannot come into force.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AdoptionError {
    /// Another version is under way, or parts are missing.
    #[error("version {version} is not the one that waits for its check")]
    NotUnderWay {
        /// Version of the snapshot.
        version: ConfigVersion,
    },
}

/// Follows the published configuration.
pub struct ConfigFollower {
    machine: StateMachine<FollowRecord>,
    readiness: ReadinessRecord,
}

impl std::fmt::Debug for ConfigFollower {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ConfigFollower({:?})", self.accepted())
    }
}

impl Default for ConfigFollower {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigFollower {
    /// Makes a follower of a host that has just started and knows nothing.
    pub fn new() -> Self {
        Self {
            machine: FollowRecord::default().state_machine(),
            readiness: ReadinessRecord::default(),
        }
    }

    /// Takes notice of an index.
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
        let mut verdict = IndexVerdict::NoNews;
        self.machine.handle_with_context(&event, &mut verdict);
        verdict
    }

    /// Takes the list of parts of the index that is to be fetched; `None` if it is not this one.
    pub fn on_parts(&mut self, summary: IndexSummary, parts: &[PartSummary]) -> Option<FetchPlan> {
        let event = FollowEvent::Parts { summary, parts };
        self.handle(&event);
        let (pending, wanted) = match self.machine.state() {
            FollowState::Fetching { pending, wanted } => (pending, wanted.clone()),
            FollowState::Checking { pending } => (pending, IndexSet::new()),
            FollowState::Idle | FollowState::Announced { .. } => return None,
        };
        if pending.summary != summary {
            return None;
        }
        let missing = parts.iter().filter(|part| wanted.contains(&part.digest));
        let missing: Vec<_> = missing.cloned().collect();
        Some(FetchPlan {
            reused: parts.len() - missing.len(),
            missing,
        })
    }

    /// Notes that a part with this digest is at hand.
    pub fn on_part(&mut self, digest: DocumentDigest) -> PartVerdict {
        let is_wanted = |state: &FollowState| match state {
            FollowState::Fetching { wanted, .. } => wanted.contains(&digest),
            _ => false,
        };
        if !is_wanted(self.machine.state()) {
            return PartVerdict::NotWanted;
        }
        self.handle(&FollowEvent::Part { digest });
        let left = match self.machine.state() {
            FollowState::Fetching { wanted, .. } => wanted.len(),
            _ => 0,
        };
        PartVerdict::Taken { left }
    }

    /// Puts the version whose parts are all at hand in force.
    ///
    /// # Errors
    ///
    /// Fails when another version is under way; the one in force stays.
    pub fn accept(&mut self, summary: IndexSummary) -> Result<(), AdoptionError> {
        self.require_checking(summary)?;
        self.handle(&FollowEvent::Accepted);
        Ok(())
    }

    /// Refuses the version whose parts are all at hand. The one in force stays, and the refused one
    /// is not fetched again.
    ///
    /// # Errors
    ///
    /// Fails when another version is under way.
    pub fn refuse(&mut self, summary: IndexSummary) -> Result<(), AdoptionError> {
        self.require_checking(summary)?;
        self.handle(&FollowEvent::Refused);
        Ok(())
    }

    /// Refuses an index that is itself not valid.
    pub fn refuse_index(&mut self, summary: IndexSummary) {
        if self
            .pending()
            .is_some_and(|pending| pending.summary == summary)
        {
            self.handle(&FollowEvent::Refused);
        }
    }

    /// Notes that a fetch came to nothing. It is tried again after a pause.
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
            _ => Err(AdoptionError::NotUnderWay {
                version: summary.version,
            }),
        }
    }

    fn handle(&mut self, event: &FollowEvent<'_>) {
        self.machine
            .handle_with_context(event, &mut IndexVerdict::NoNews);
    }

    fn pending(&self) -> Option<&PendingIndex> {
        self.machine.state().pending()
    }

    /// Returns the version in force.
    pub fn accepted(&self) -> Option<IndexSummary> {
        self.machine.inner().accepted
    }

    /// Returns the index whose list of parts is to be fetched. After a version was accepted, refused
    /// or not fetched, this is a newer one that was told of meanwhile.
    pub fn due(&self) -> Option<IndexSummary> {
        match self.machine.state() {
            FollowState::Announced { pending } => Some(pending.summary),
            _ => None,
        }
    }

    /// Returns who has the version under way, the first one that told of it first.
    pub fn sources(&self) -> impl Iterator<Item = &IndexSource> {
        self.pending()
            .into_iter()
            .flat_map(|pending| pending.sources.iter())
    }

    /// Returns the versions that were refused since the last accepted one.
    pub fn refused(&self) -> impl Iterator<Item = &IndexSummary> {
        self.machine.inner().refused.iter()
    }

    /// Returns the conflicts seen: the version, the known digest and the other one.
    pub fn conflicts(&self) -> &IndexMap<IndexSummary, DocumentDigest> {
        &self.machine.inner().conflicts
    }

    /// Tells whether the bytes of a part must be kept.
    pub fn holds(&self, digest: &DocumentDigest) -> bool {
        self.machine.inner().held.contains(digest)
    }

    /// Takes the number of other hosts and of their zones.
    pub fn on_host_count(&mut self, count: HostCount) {
        self.readiness.on_host_count(count);
    }

    /// Notes that this host was paused: what it heard before says nothing about what is in force.
    pub fn on_wake(&mut self) {
        self.readiness = ReadinessRecord::default();
    }

    /// Tells whether this host may serve callers.
    ///
    /// Once a host has caught up after its start or a pause, a newer version that it has yet to
    /// adopt does not make it unready; otherwise each publication would stop the whole fleet.
    pub fn readiness(&mut self, is_isolated: bool) -> HostReadiness {
        let record = self.machine.inner();
        let (accepted, refused) = (record.accepted, &record.refused);
        self.readiness.evaluate(accepted, refused, is_isolated)
    }
}
