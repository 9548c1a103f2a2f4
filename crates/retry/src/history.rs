//! The attempts of one request.

use std::time::Duration;

use chicorycroft_core::prelude::*;

use crate::proof::RunProof;

/// One attempt at a target.
#[derive(Clone, Debug)]
struct AttemptRecord {
    target: TargetId,
    started_at: MonoTime,
    /// `None` while the attempt is open.
    proof: Option<RunProof>,
}

/// Number of an attempt within its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptNumber(usize);

/// The attempts of one request. An open attempt counts as one that may have run.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    attempts: Vec<AttemptRecord>,
}

impl AttemptHistory {
    /// Makes the history of a request that has not been sent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an attempt starts.
    pub fn begin(&mut self, target: TargetId, now: MonoTime) -> AttemptNumber {
        self.attempts.push(AttemptRecord {
            target,
            started_at: now,
            proof: None,
        });
        AttemptNumber(self.attempts.len() - 1)
    }

    /// Notes how an attempt ended. Only the first end counts.
    pub fn end(&mut self, number: AttemptNumber, proof: RunProof) {
        if let Some(attempt) = self.attempts.get_mut(number.0) {
            attempt.proof.get_or_insert(proof);
        }
    }

    /// Joins the proofs of all attempts.
    pub fn proof(&self) -> RunProof {
        let proof_of = |attempt: &AttemptRecord| attempt.proof.unwrap_or(RunProof::Unknown);
        self.attempts
            .iter()
            .map(proof_of)
            .fold(RunProof::NotRun, RunProof::join)
    }

    /// Counts the attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Tells whether the request has not been sent.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the targets that have been tried, so that the next attempt goes elsewhere.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.attempts.iter().map(|attempt| &attempt.target)
    }

    /// Returns how long the only attempt has been open, or `None` where there is another one.
    pub fn sole_open_for(&self, now: MonoTime) -> Option<Duration> {
        match self.attempts.as_slice() {
            [only] if only.proof.is_none() => Some(now.since(only.started_at)),
            _ => None,
        }
    }
}
