//! The ejecting owner's side of a permit.

use std::{
    fmt,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::arbiter::EjectionRefusal;

/// Sent requests whose grants are still awaited; older ones are given up.
const AWAITED_MAX: usize = 8;

/// Identity of a permit. The holder chooses it, so that a request that arrives twice makes one.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PermitId {
    /// Host that ejects.
    pub holder: HostId,
    /// Its incarnation.
    pub incarnation: HostIncarnation,
    /// Number within the incarnation.
    pub number: u64,
}

impl fmt::Display for PermitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.holder, self.incarnation, self.number)
    }
}

/// What a holder wants from the arbiter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestPurpose {
    /// To eject a target.
    Eject,
    /// To keep a target out.
    Renew,
    /// To give the permit back; the target is in use again.
    Release,
}

/// Message of a holder to the arbiter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectionRequest {
    /// Service of the target.
    pub service: ServiceId,
    /// Target to keep out.
    pub target: TargetId,
    /// Permit.
    pub permit: PermitId,
    /// Number of the request for this permit.
    pub attempt: u32,
    /// What is wanted.
    pub purpose: RequestPurpose,
}

/// Answer of the arbiter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EjectionGrant {
    /// Permit.
    pub permit: PermitId,
    /// Number of the request that this answers.
    pub attempt: u32,
    /// Length of the lease, from the sending of the request.
    pub term: Duration,
}

/// A permit to keep one target out, as its holder sees it.
///
/// The lease runs from the sending of the request and not from the arrival of the grant, so that
/// it ends here before it ends at the arbiter, however late a message is.
#[derive(Debug)]
pub struct EjectionLease {
    service: ServiceId,
    target: TargetId,
    permit: PermitId,
    awaited: IndexMap<u32, MonoTime>,
    last_attempt: u32,
    until: Option<MonoTime>,
    term: Duration,
    has_ended: bool,
}

impl EjectionLease {
    /// Makes a lease that is not granted yet.
    pub fn new(service: ServiceId, target: TargetId, permit: PermitId) -> Self {
        Self {
            service,
            target,
            permit,
            awaited: IndexMap::new(),
            last_attempt: 0,
            until: None,
            term: Duration::ZERO,
            has_ended: false,
        }
    }

    fn message(&self, purpose: RequestPurpose) -> EjectionRequest {
        EjectionRequest {
            service: self.service.clone(),
            target: self.target.clone(),
            permit: self.permit.clone(),
            attempt: self.last_attempt,
            purpose,
        }
    }

    /// Returns the next request to send, or `None` after the end.
    pub fn next_request(&mut self, now: MonoTime) -> Option<EjectionRequest> {
        if self.has_ended(now) {
            return None;
        }
        self.last_attempt += 1;
        self.awaited.insert(self.last_attempt, now);
        if self.awaited.len() > AWAITED_MAX {
            self.awaited.shift_remove_index(0);
        }
        Some(self.message(match self.until {
            Some(_) => RequestPurpose::Renew,
            None => RequestPurpose::Eject,
        }))
    }

    /// Takes a grant. One that answers no awaited request, or arrives after the end, has no effect.
    pub fn on_grant(&mut self, grant: &EjectionGrant, now: MonoTime) {
        if grant.permit != self.permit || self.has_ended(now) {
            return;
        }
        if let Some(sent) = self.awaited.swap_remove(&grant.attempt) {
            self.until = self.until.max(Some(sent.after(grant.term)));
            self.term = grant.term;
        }
    }

    /// Takes a refusal. When the floor, the operators or the end of the permit is the reason, the
    /// target goes back at once; an arbiter that has just changed leaves the term as it is.
    pub fn on_refusal(&mut self, refusal: EjectionRefusal) {
        self.has_ended |= !matches!(
            refusal,
            EjectionRefusal::NotArbiter | EjectionRefusal::TooEarly { .. }
        );
    }

    /// Tells whether the target may be kept out now.
    pub fn is_valid(&self, now: MonoTime) -> bool {
        !self.has_ended && self.until.is_some_and(|until| now < until)
    }

    /// Tells whether a third of the term has passed, so that two more tries fit into the rest.
    pub fn needs_renewal(&self, now: MonoTime) -> bool {
        self.until
            .is_some_and(|until| until.since(now) < self.term * 2 / 3)
    }

    /// Tells whether the lease was released or ran out. It never comes back.
    pub fn has_ended(&mut self, now: MonoTime) -> bool {
        self.has_ended |= self.until.is_some_and(|until| now >= until);
        self.has_ended
    }

    /// Ends the lease and returns the message that says so. The target must be in use before the
    /// message is sent.
    pub fn release(&mut self) -> EjectionRequest {
        self.has_ended = true;
        self.message(RequestPurpose::Release)
    }
}
