//! Whether this host may mint.

use std::{
    sync::{
        PoisonError,
        RwLock, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;

/// Longest time between two ticks. Beyond it the host was paused and may have been replaced.
pub const SLEEP_BOUND: Duration = Duration::from_secs(1);

/// What accounts need to know of the gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateState {
    /// Time from which the host may mint.
    pub since: MonoTime,
    /// Number of times that the host has been told to go on; accounts of an older one are void.
    pub epoch: u64,
    is_suspended: bool,
    ticked_at: Option<MonoTime>,
}

impl GateState {
    fn is_open(&self, now: MonoTime) -> bool {
        let is_late = |at: MonoTime| now.since(at) > SLEEP_BOUND;
        !self.is_suspended && !self.ticked_at.is_some_and(is_late)
    }
}

/// Closes when the host has slept, until it has seen itself in a fresh roster.
#[derive(Debug)]
pub struct MintingGate(RwLock<GateState>);

impl MintingGate {
    /// Makes an open gate. It watches for sleep from the first tick on.
    pub fn new(since: MonoTime) -> Self {
        Self(RwLock::new(GateState {
            since,
            epoch: 0,
            is_suspended: false,
            ticked_at: None,
        }))
    }

    /// Returns the state if the host may mint, spend and give.
    pub fn state(&self, now: MonoTime) -> Option<GateState> {
        let state = *self.0.read().unwrap_or_else(PoisonError::into_inner);
        state.is_open(now).then_some(state)
    }

    /// Notes that the host runs. After a gap above [`SLEEP_BOUND`] the gate is closed.
    pub fn tick(&self, now: MonoTime) {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        state.is_suspended |= !state.is_open(now);
        state.ticked_at = Some(now);
    }

    /// Closes the gate.
    pub fn suspend(&self) {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        state.is_suspended = true;
    }

    /// Opens a closed gate; the host starts empty, as after a restart.
    pub fn resume(&self, now: MonoTime) {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if !state.is_open(now) {
            state.since = now;
            state.epoch += 1;
            state.is_suspended = false;
            state.ticked_at = state.ticked_at.map(|_| now);
        }
    }
}
