//! Contact of this host with the majority of its zone.

use chicorycroft_core::prelude::*;

use crate::ownership::{
    OwnershipError,
    OwnershipTimeouts, //
};

/// How recent this host's contact is and how long it has lasted.
#[derive(Clone, Debug)]
pub(crate) struct ContactState {
    contact_at: Option<MonoTime>,
    continuous_since: MonoTime,
    resumed_at: Option<MonoTime>,
}

impl ContactState {
    /// Creates the state of a host that starts now and has not been in contact.
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            contact_at: None,
            continuous_since: now,
            resumed_at: None,
        }
    }

    /// Returns the time since which contact has lasted without a long gap.
    pub(crate) fn continuous_since(&self) -> MonoTime {
        self.continuous_since
    }

    /// Records a newer contact.
    ///
    /// After a gap in contact another host may have taken over. This is possible from the takeover
    /// time after the previous contact on, and other hosts learn of the renewed contact up to the
    /// fence time late. A gap longer than the difference of the two restarts the wait.
    pub(crate) fn on_contact(
        &mut self,
        contact_at: MonoTime,
        timeouts: &OwnershipTimeouts,
        now: MonoTime,
    ) {
        if now.since(contact_at) > timeouts.fence_after || self.contact_at >= Some(contact_at) {
            return;
        }
        let gap_max = timeouts.takeover_after.saturating_sub(timeouts.fence_after);
        if self.contact_at.is_none_or(|old| now.since(old) > gap_max) {
            self.continuous_since = now;
        }
        self.contact_at = Some(contact_at);
    }

    /// Records that the process resumed from a pause.
    ///
    /// The monotonic clock stops while a machine is suspended, so the age of the previous contact
    /// is unknown. The next contact restarts the wait.
    pub(crate) fn on_resume(&mut self, now: MonoTime) {
        self.contact_at = None;
        self.resumed_at = Some(now);
    }

    /// Records a complete round of heartbeats. A round that began before the end of the pause is
    /// ignored, because its answers were delayed by the pause.
    pub(crate) fn on_heartbeat_round(&mut self, begun: MonoTime) {
        if self.resumed_at.is_some_and(|at| begun >= at) {
            self.resumed_at = None;
        }
    }

    /// Returns an error unless the contact is recent enough to serve.
    pub(crate) fn check(
        &self,
        is_alone: bool,
        timeouts: &OwnershipTimeouts,
        now: MonoTime,
    ) -> Result<(), OwnershipError> {
        if self.resumed_at.is_some() {
            return Err(OwnershipError::NoRoundSincePause);
        }
        let is_recent = |at| now.since(at) <= timeouts.fence_after;
        if !is_alone && !self.contact_at.is_some_and(is_recent) {
            return Err(OwnershipError::NoMajorityContact);
        }
        Ok(())
    }
}
