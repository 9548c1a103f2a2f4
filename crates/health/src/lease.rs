//! Holder's side of an ejection permit.

use std::{
    fmt,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::arbiter::EjectionRefusal;

/// Maximum number of requests that wait for a grant; the oldest is dropped.
const PENDING_REQUESTS_MAX: usize = 8;

/// Identifier of a permit. The holder chooses it, so that a duplicate request creates no second
/// permit.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PermitId {
    /// Host that ejects the target.
    pub holder: HostId,
    /// Incarnation of that host.
    pub incarnation: HostIncarnation,
    /// Sequence number within the incarnation.
    pub number: u64,
}

impl fmt::Display for PermitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.holder, self.incarnation, self.number)
    }
}

/// Purpose of a request to the arbiter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionPurpose {
    /// Eject a target.
    Eject,
    /// Keep a target ejected.
    Renew,
    /// Return the permit; the target is in use again.
    Release,
}

/// Request of a holder to the arbiter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectionRequest {
    /// Service of the target.
    pub service: ServiceId,
    /// Target to eject.
    pub target: TargetId,
    /// Identifier of the permit.
    pub permit: PermitId,
    /// Sequence number of the request for this permit.
    pub attempt: u32,
    /// Purpose of the request.
    pub purpose: EjectionPurpose,
}

/// Grant of the arbiter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectionGrant {
    /// Identifier of the permit.
    pub permit: PermitId,
    /// Sequence number of the answered request.
    pub attempt: u32,
    /// Length of the lease, from the sending of the request.
    pub term: Duration,
}

/// Permit to keep one target ejected, on the side of its holder.
///
/// The lease runs from the sending of the request and not from the arrival of the grant, so that it
/// ends here before it ends at the arbiter, however late a message is.
#[derive(Debug)]
pub struct EjectionLease {
    service: ServiceId,
    target: TargetId,
    permit: PermitId,
    pending_requests: IndexMap<u32, MonoTime>,
    last_attempt: u32,
    until: Option<MonoTime>,
    term: Duration,
    has_ended: bool,
}

impl EjectionLease {
    /// Creates a lease that is not granted yet.
    pub fn new(service: ServiceId, target: TargetId, permit: PermitId) -> Self {
        Self {
            service,
            target,
            permit,
            pending_requests: IndexMap::new(),
            last_attempt: 0,
            until: None,
            term: Duration::ZERO,
            has_ended: false,
        }
    }

    fn message(&self, purpose: EjectionPurpose) -> EjectionRequest {
        EjectionRequest {
            service: self.service.clone(),
            target: self.target.clone(),
            permit: self.permit.clone(),
            attempt: self.last_attempt,
            purpose,
        }
    }

    /// Returns the next request to send, or `None` if the lease has ended.
    pub fn next_request(&mut self, now: MonoTime) -> Option<EjectionRequest> {
        if self.has_ended(now) {
            return None;
        }
        self.last_attempt += 1;
        self.pending_requests.insert(self.last_attempt, now);
        if self.pending_requests.len() > PENDING_REQUESTS_MAX {
            self.pending_requests.shift_remove_index(0);
        }
        Some(self.message(match self.until {
            Some(_) => EjectionPurpose::Renew,
            None => EjectionPurpose::Eject,
        }))
    }

    /// Applies a grant. A grant for no pending request, or after the end of the lease, has no
    /// effect.
    pub fn on_grant(&mut self, grant: &EjectionGrant, now: MonoTime) {
        if grant.permit != self.permit || self.has_ended(now) {
            return;
        }
        if let Some(sent) = self.pending_requests.swap_remove(&grant.attempt) {
            self.until = self.until.max(Some(sent.after(grant.term)));
            self.term = grant.term;
        }
    }

    /// Applies a refusal. If the floor, the operators or the end of the permit is the reason, the
    /// lease ends at once; a refusal because the arbiter has just changed does not shorten the
    /// term.
    pub fn on_refusal(&mut self, refusal: EjectionRefusal) {
        self.has_ended |= !matches!(
            refusal,
            EjectionRefusal::NotArbiter | EjectionRefusal::TooEarly { .. }
        );
    }

    /// Returns `true` if the lease was released, refused or seen to have expired.
    pub fn is_terminated(&self) -> bool {
        self.has_ended
    }

    /// Returns `true` if the target may be kept ejected now.
    pub fn is_valid(&self, now: MonoTime) -> bool {
        !self.has_ended && self.until.is_some_and(|until| now < until)
    }

    /// Returns `true` if a third of the term has passed, so that two more attempts fit into the
    /// rest.
    pub fn needs_renewal(&self, now: MonoTime) -> bool {
        self.until
            .is_some_and(|until| until.since(now) < self.term * 2 / 3)
    }

    /// Returns `true` if the lease was released, refused or has expired. This is final.
    pub fn has_ended(&mut self, now: MonoTime) -> bool {
        self.has_ended |= self.until.is_some_and(|until| now >= until);
        self.has_ended
    }

    /// Ends the lease and returns the release message. The target must be in use before the message
    /// is sent.
    pub fn release(&mut self) -> EjectionRequest {
        self.has_ended = true;
        self.message(EjectionPurpose::Release)
    }
}
