//! Attempts of one request, with the proof of whether each one ran.

use std::time::Duration;

use chicorycroft_core::prelude::*;

use crate::proof::RunProof;

/// An attempt at a target.
#[derive(Clone, Debug)]
struct AttemptRecord {
    target: TargetId,
    started_at: MonoTime,
    /// `None` while the attempt is open.
    proof: Option<RunProof>,
}

/// Index of an attempt within its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptNumber(usize);

/// All attempts of one request. An open attempt counts as one that may have run.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    attempts: Vec<AttemptRecord>,
}

impl AttemptHistory {
    /// Creates the history of a request that has not been sent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the start of an attempt.
    pub fn begin(&mut self, target: TargetId, now: MonoTime) -> AttemptNumber {
        self.attempts.push(AttemptRecord {
            target,
            started_at: now,
            proof: None,
        });
        AttemptNumber(self.attempts.len() - 1)
    }

    /// Records the proof at the end of an attempt. Only the first call for an attempt has an effect.
    pub fn end(&mut self, number: AttemptNumber, proof: RunProof) {
        if let Some(attempt) = self.attempts.get_mut(number.0) {
            attempt.proof.get_or_insert(proof);
        }
    }

    /// Returns the combined proof of all attempts; [`RunProof::NotRun`] if there is none.
    pub fn proof(&self) -> RunProof {
        let proof_of = |attempt: &AttemptRecord| attempt.proof.unwrap_or(RunProof::Unknown);
        self.attempts
            .iter()
            .map(proof_of)
            .fold(RunProof::NotRun, RunProof::join)
    }

    /// Returns the number of attempts, including open ones.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns `true` if the request has not been sent.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the targets of all attempts, so that the next attempt can exclude them.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.attempts.iter().map(|attempt| &attempt.target)
    }

    /// Returns how long the only attempt has been open; `None` if it has ended or is not the only one.
    pub fn sole_attempt_age(&self, now: MonoTime) -> Option<Duration> {
        match self.attempts.as_slice() {
            [only] if only.proof.is_none() => Some(now.since(only.started_at)),
            _ => None,
        }
    }
}
