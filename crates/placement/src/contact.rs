//! Contact of this host with its zone.

use chicorycroft_core::prelude::*;

use crate::owner_rules::{
    OwnerTimes,
    OwnershipError, //
};

/// How recent this host's contact is and how long it has lasted.
#[derive(Debug)]
pub(crate) struct ContactState {
    basis: Option<MonoTime>,
    since: MonoTime,
    must_refresh: Option<MonoTime>,
}

impl ContactState {
    /// Makes the state of a host that starts now and has not been in contact.
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            basis: None,
            since: now,
            must_refresh: None,
        }
    }

    /// Returns when the contact began that has lasted without a long gap.
    pub(crate) fn since(&self) -> MonoTime {
        self.since
    }

    /// Notes a newer contact.
    ///
    /// After a gap in contact another host may have taken over. The first moment at which that is
    /// possible is the takeover time after the old basis, and news of the return reaches a rival up
    /// to the fence time late. A longer gap than the difference starts the wait anew.
    pub(crate) fn on_contact(&mut self, basis: MonoTime, times: &OwnerTimes, now: MonoTime) {
        if now.since(basis) > times.fence_after || self.basis >= Some(basis) {
            return;
        }
        let gap_max = times.takeover_after.saturating_sub(times.fence_after);
        if self.basis.is_none_or(|old| now.since(old) > gap_max) {
            self.since = now;
        }
        self.basis = Some(basis);
    }

    /// Notes that the process resumed from a pause.
    pub(crate) fn on_wake(&mut self, now: MonoTime) {
        self.must_refresh = Some(now);
    }

    /// Notes a complete round of heartbeats. One that began before the end of the pause has answers
    /// that waited meanwhile.
    pub(crate) fn on_fresh_round(&mut self, begun: MonoTime) {
        if self.must_refresh.is_some_and(|woken| begun >= woken) {
            self.must_refresh = None;
        }
    }

    /// Checks that the contact is recent enough to serve.
    pub(crate) fn check(
        &self,
        is_alone: bool,
        times: &OwnerTimes,
        now: MonoTime,
    ) -> Result<(), OwnershipError> {
        if self.must_refresh.is_some() {
            return Err(OwnershipError::NotFresh);
        }
        let is_recent = |at| now.since(at) <= times.fence_after;
        if !is_alone && !self.basis.is_some_and(is_recent) {
            return Err(OwnershipError::OutOfContact);
        }
        Ok(())
    }
}
