//! State machine of [`crate::follow::ConfigFollower`].

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};
use statig::{
    Outcome, //
    blocking::{
        IntoStateMachine,
        State, //
    },
};

use crate::follow::{
    IndexSource,
    IndexSummary,
    IndexVerdict,
    PartSummary, //
};

/// Delay after a failed fetch of the same version. Peers repeat their versions twice a second.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of refused versions and of conflicts that are remembered. It bounds memory when
/// operators publish many invalid versions.
const HISTORY_MAX: usize = 64;

/// Maximum number of sources that are remembered for a version.
const SOURCES_MAX: usize = 8;

/// An index that is being fetched or checked.
#[derive(Clone, Debug)]
pub(crate) struct PendingIndex {
    pub(crate) summary: IndexSummary,
    pub(crate) sources: IndexSet<IndexSource>,
    parts: IndexSet<DocumentDigest>,
}

/// State of a follower.
#[derive(Clone, Debug)]
pub(crate) enum FollowState {
    /// No newer version is known.
    Idle,
    /// A newer index was reported, and its list of parts has not arrived.
    Announced { pending: PendingIndex },
    /// Parts are missing.
    Fetching {
        pending: PendingIndex,
        missing_parts: IndexSet<DocumentDigest>,
    },
    /// All parts have arrived and are being checked as a whole.
    Checking { pending: PendingIndex },
}

impl FollowState {
    pub(crate) fn pending(&self) -> Option<&PendingIndex> {
        match self {
            Self::Idle => None,
            Self::Announced { pending }
            | Self::Fetching { pending, .. }
            | Self::Checking { pending } => Some(pending),
        }
    }

    fn pending_mut(&mut self) -> Option<&mut PendingIndex> {
        match self {
            Self::Idle => None,
            Self::Announced { pending }
            | Self::Fetching { pending, .. }
            | Self::Checking { pending } => Some(pending),
        }
    }
}

/// Event for a follower.
pub(crate) enum FollowEvent<'a> {
    Index {
        source: IndexSource,
        summary: IndexSummary,
        now: MonoTime,
    },
    Parts {
        summary: IndexSummary,
        parts: &'a [PartSummary],
    },
    Part {
        digest: DocumentDigest,
    },
    Accepted,
    Refused,
    Failed {
        now: MonoTime,
    },
}

/// Data that is kept in all states.
#[derive(Clone, Debug, Default)]
pub(crate) struct FollowRecord {
    pub(crate) accepted: Option<IndexSummary>,
    pub(crate) refused: IndexSet<IndexSummary>,
    pub(crate) conflicts: IndexMap<IndexSummary, DocumentDigest>,
    pub(crate) held: IndexSet<DocumentDigest>,
    failed: Option<(IndexSummary, MonoTime)>,
    /// A newer index that was reported during a check. The check is completed, so that a fast
    /// series of versions cannot keep a host from adopting any.
    deferred: Option<PendingIndex>,
}

impl FollowRecord {
    /// Returns the known digest of a version if it differs from the reported one.
    fn conflict_of(
        &self,
        summary: IndexSummary,
        pending: Option<IndexSummary>,
    ) -> Option<DocumentDigest> {
        let known = self.accepted.iter().chain(&pending).chain(&self.refused);
        let mut known = known.filter(|known| known.version == summary.version);
        let first = known.next()?;
        let is_same = first.digest == summary.digest || known.any(|other| *other == summary);
        (!is_same).then_some(first.digest)
    }

    fn record_conflict(&mut self, summary: IndexSummary, known: DocumentDigest) -> IndexVerdict {
        let is_first = !self.conflicts.contains_key(&summary);
        if is_first {
            if self.conflicts.len() == HISTORY_MAX {
                self.conflicts.shift_remove_index(0);
            }
            self.conflicts.insert(summary, known);
        }
        IndexVerdict::Conflict { known, is_first }
    }

    fn is_delayed(&self, summary: IndexSummary, now: MonoTime) -> bool {
        self.failed
            .is_some_and(|(failed, at)| failed == summary && now.since(at) < RETRY_DELAY)
    }

    fn accept(&mut self, pending: &PendingIndex) {
        let version = pending.summary.version;
        self.accepted = Some(pending.summary);
        self.held.clone_from(&pending.parts);
        self.refused.retain(|refused| refused.version > version);
    }

    fn defer(&mut self, pending: PendingIndex) {
        let version_of = |pending: &PendingIndex| pending.summary.version;
        if self.deferred.as_ref().map(version_of) < Some(version_of(&pending)) {
            self.deferred = Some(pending);
        }
    }

    /// Returns the state after a version was adopted, refused or not fetched.
    fn next_state(&mut self) -> FollowState {
        match self.deferred.take() {
            Some(pending) => FollowState::Announced { pending },
            None => FollowState::Idle,
        }
    }

    fn refuse(&mut self, summary: IndexSummary) {
        if self.refused.len() == HISTORY_MAX {
            self.refused.shift_remove_index(0);
        }
        self.refused.insert(summary);
    }
}

impl IntoStateMachine for FollowRecord {
    type Event<'evt> = FollowEvent<'evt>;
    type Context<'ctx> = IndexVerdict;
    type State = FollowState;
    type Superstate<'sub> = ();

    fn initial() -> FollowState {
        FollowState::Idle
    }
}

impl FollowState {
    fn on_index(
        &mut self,
        record: &mut FollowRecord,
        source: &IndexSource,
        summary: IndexSummary,
        now: MonoTime,
        verdict: &mut IndexVerdict,
    ) -> Outcome<Self> {
        let in_progress = self.pending().map(|pending| pending.summary);
        if let Some(known) = record.conflict_of(summary, in_progress) {
            *verdict = record.record_conflict(summary, known);
            return Outcome::Handled;
        }
        let known_versions = record.accepted.into_iter().chain(in_progress);
        if record.refused.contains(&summary) || record.is_delayed(summary, now) {
            *verdict = IndexVerdict::Ignored;
        } else if in_progress == Some(summary) {
            *verdict = IndexVerdict::InProgress;
            let sources = self.pending_mut().map(|pending| &mut pending.sources);
            if let Some(sources) = sources.filter(|sources| sources.len() < SOURCES_MAX) {
                sources.insert(source.clone());
            }
        } else if known_versions
            .map(|known| known.version)
            .all(|known| known < summary.version)
        {
            let pending = PendingIndex {
                summary,
                sources: IndexSet::from([source.clone()]),
                parts: IndexSet::new(),
            };
            if matches!(self, Self::Checking { .. }) {
                *verdict = IndexVerdict::InProgress;
                record.defer(pending);
                return Outcome::Handled;
            }
            *verdict = IndexVerdict::Fetch;
            return Outcome::Transition(Self::Announced { pending });
        }
        Outcome::Handled
    }

    fn on_parts(&mut self, record: &FollowRecord, parts: &[PartSummary]) -> Outcome<Self> {
        let Some(pending) = self.pending() else {
            return Outcome::Handled;
        };
        let mut pending = pending.clone();
        pending.parts = parts.iter().map(|part| part.digest).collect();
        let missing_parts: IndexSet<_> = pending.parts.difference(&record.held).copied().collect();
        if missing_parts.is_empty() {
            return Outcome::Transition(Self::Checking { pending });
        }
        Outcome::Transition(Self::Fetching {
            pending,
            missing_parts,
        })
    }
}

impl State<FollowRecord> for FollowState {
    fn call_handler(
        &mut self,
        record: &mut FollowRecord,
        event: &FollowEvent<'_>,
        verdict: &mut IndexVerdict,
    ) -> Outcome<Self> {
        match (event, &mut *self) {
            (
                FollowEvent::Index {
                    source,
                    summary,
                    now,
                },
                _,
            ) => self.on_index(record, source, *summary, *now, verdict),
            (FollowEvent::Parts { summary, parts }, Self::Announced { pending })
                if pending.summary == *summary =>
            {
                self.on_parts(record, parts)
            }
            (
                FollowEvent::Part { digest },
                Self::Fetching {
                    pending,
                    missing_parts,
                },
            ) => {
                missing_parts.swap_remove(digest);
                record.held.insert(*digest);
                match missing_parts.is_empty() {
                    true => Outcome::Transition(Self::Checking {
                        pending: pending.clone(),
                    }),
                    false => Outcome::Handled,
                }
            }
            (FollowEvent::Accepted, Self::Checking { pending }) => {
                record.accept(pending);
                Outcome::Transition(record.next_state())
            }
            (FollowEvent::Refused, state) => {
                if let Some(pending) = state.pending() {
                    record.refuse(pending.summary);
                }
                Outcome::Transition(record.next_state())
            }
            (FollowEvent::Failed { now }, state) => {
                record.failed = state.pending().map(|pending| (pending.summary, *now));
                Outcome::Transition(record.next_state())
            }
            _ => Outcome::Handled,
        }
    }
}
