//! Fencing of a host that was paused, so that it does not mint tokens that its replacement mints
//! too.

use std::{
    sync::{
        PoisonError,
        RwLock, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;

/// Longest time between two ticks. After a longer gap the host was paused and may have been
/// replaced.
pub const TICK_GAP_MAX: Duration = Duration::from_secs(1);

/// Snapshot of a [`MintingFence`] for the accounts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FenceState {
    /// Time from which the host may mint.
    pub since: MonoTime,
    /// Number of times that minting was resumed; accounts of an earlier epoch are void.
    pub epoch: u64,
    is_suspended: bool,
    last_tick_at: Option<MonoTime>,
}

impl FenceState {
    fn is_minting_allowed(&self, now: MonoTime) -> bool {
        let is_late = |at: MonoTime| now.since(at) > TICK_GAP_MAX;
        !self.is_suspended && !self.last_tick_at.is_some_and(is_late)
    }
}

/// Stops minting when the process was paused, until the host has found itself in a current list of
/// the platform's hosts.
#[derive(Debug)]
pub struct MintingFence(RwLock<FenceState>);

impl MintingFence {
    /// Creates a fence that permits minting. It detects pauses from the first tick on.
    pub fn new(since: MonoTime) -> Self {
        Self(RwLock::new(FenceState {
            since,
            epoch: 0,
            is_suspended: false,
            last_tick_at: None,
        }))
    }

    /// Returns the state if the host may mint, spend and grant tokens, and `None` otherwise.
    pub fn state(&self, now: MonoTime) -> Option<FenceState> {
        let state = *self.0.read().unwrap_or_else(PoisonError::into_inner);
        state.is_minting_allowed(now).then_some(state)
    }

    /// Records that the process is running. After a gap above [`TICK_GAP_MAX`] minting is suspended.
    pub fn tick(&self, now: MonoTime) {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        state.is_suspended |= !state.is_minting_allowed(now);
        state.last_tick_at = Some(now);
    }

    /// Suspends minting until [`MintingFence::resume`].
    pub fn suspend(&self) {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        state.is_suspended = true;
    }

    /// Resumes suspended minting; the accounts start empty, as after a restart.
    pub fn resume(&self, now: MonoTime) {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if !state.is_minting_allowed(now) {
            state.since = now;
            state.epoch += 1;
            state.is_suspended = false;
            state.last_tick_at = state.last_tick_at.map(|_| now);
        }
    }
}
