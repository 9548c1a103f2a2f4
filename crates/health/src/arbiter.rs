//! Ejection permits that keep a service above its capacity floor.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};
use thiserror::Error;

use crate::lease::{
    EjectionGrant,
    EjectionPurpose,
    EjectionRequest,
    PermitId, //
};

/// Reason why a target may not be ejected.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EjectionRefusal {
    /// This host is not the service's arbiter.
    #[error("this host is not the arbiter of the service")]
    NotArbiter,
    /// Permits of an earlier arbiter may still be in force.
    #[error("permits of an earlier arbiter may be in force until {until}")]
    TooEarly {
        /// Time from which permits can be granted.
        until: MonoTime,
    },
    /// The floor allows no further ejection.
    #[error("the floor allows at most {allowance} ejected targets")]
    FloorReached {
        /// Number of targets that may be ejected at the same time.
        allowance: u32,
    },
    /// Operators have taken the target out of use or do not list it.
    #[error("operators took the target out of use or do not list it")]
    NotInUse,
    /// Another permit for the target is in force.
    #[error("the target is already ejected")]
    AlreadyOut,
    /// The permit was released or has expired.
    #[error("the permit is not in force")]
    PermitEnded,
}

/// A permit in force.
#[derive(Debug)]
struct PermitRecord {
    target: TargetId,
    until: MonoTime,
}

/// Permits of one service.
#[derive(Debug)]
struct ServicePermits {
    started_at: MonoTime,
    floor: CapacityRatio,
    targets_in_use: IndexSet<TargetId>,
    /// Permits in the order of granting, so that a smaller allowance revokes the latest ones.
    permits: IndexMap<PermitId, PermitRecord>,
}

impl ServicePermits {
    fn allowance(&self) -> u32 {
        let count = u32::try_from(self.targets_in_use.len()).unwrap_or(u32::MAX);
        count - self.floor.ceil_of(count)
    }

    /// Counts the permits for targets in use that were granted before a position.
    fn out_before(&self, position: usize) -> u32 {
        let earlier = self.permits.values().take(position);
        let out = earlier.filter(|permit| self.targets_in_use.contains(&permit.target));
        u32::try_from(out.count()).unwrap_or(u32::MAX)
    }

    fn check(
        &self,
        request: &EjectionRequest,
        term: Duration,
        now: MonoTime,
    ) -> Result<(), EjectionRefusal> {
        let allowance = self.allowance();
        let index = self.permits.get_index_of(&request.permit);
        if !self.targets_in_use.contains(&request.target) {
            return Err(EjectionRefusal::NotInUse);
        }
        let position = index.unwrap_or(self.permits.len());
        if self.out_before(position) >= allowance {
            return Err(EjectionRefusal::FloorReached { allowance });
        }
        if index.is_some() {
            return Ok(());
        }
        let until = self.started_at.after(term);
        // A renewal proves a permit of the earlier arbiter, which the waiting time accounts for.
        match request.purpose {
            EjectionPurpose::Renew if now < until => {}
            EjectionPurpose::Renew => return Err(EjectionRefusal::PermitEnded),
            _ if now < until => return Err(EjectionRefusal::TooEarly { until }),
            _ => {}
        }
        let mut permits = self.permits.values();
        match permits.any(|permit| permit.target == request.target) {
            true => Err(EjectionRefusal::AlreadyOut),
            false => Ok(()),
        }
    }
}

/// Issues ejection permits for the services whose arbiter this host is.
#[derive(Debug)]
pub struct EjectionArbiter {
    term: Duration,
    services: ShardMap<ServiceId, ServicePermits>,
}

impl EjectionArbiter {
    /// Creates an arbiter of no service whose leases last for `term`.
    pub fn new(term: Duration) -> Self {
        Self {
            term,
            services: ShardMap::new(),
        }
    }

    /// Starts as the arbiter of a service. New permits are granted only after one term, because
    /// permits of an earlier arbiter may be in force until then.
    pub fn start(&self, service: &ServiceId, now: MonoTime) {
        let permits = ServicePermits {
            started_at: now,
            floor: CapacityRatio::from_mille(CapacityRatio::MAX_MILLE),
            targets_in_use: IndexSet::new(),
            permits: IndexMap::new(),
        };
        self.services.insert(service.clone(), permits);
    }

    /// Stops being the arbiter of a service.
    pub fn stop(&self, service: &ServiceId) {
        self.services.remove(service);
    }

    /// Sets the floor and the targets that operators have in use. A target that operators have
    /// taken out does not count as capacity, so the allowance shrinks with every zone that is taken
    /// out.
    pub fn on_capacity(
        &self,
        service: &ServiceId,
        floor: CapacityRatio,
        targets_in_use: impl IntoIterator<Item = TargetId>,
    ) {
        self.services.with(service, |permits| {
            permits.floor = floor;
            permits.targets_in_use = targets_in_use.into_iter().collect();
        });
    }

    /// Answers a request. Requests are idempotent.
    ///
    /// # Errors
    ///
    /// Returns the reason why the target must be in use. A release always returns
    /// [`EjectionRefusal::PermitEnded`].
    pub fn answer(
        &self,
        request: &EjectionRequest,
        now: MonoTime,
    ) -> Result<EjectionGrant, EjectionRefusal> {
        let answer = self.services.with(&request.service, |service| {
            service.permits.retain(|_, permit| permit.until > now);
            if request.purpose == EjectionPurpose::Release {
                service.permits.shift_remove(&request.permit);
                return Err(EjectionRefusal::PermitEnded);
            }
            service.check(request, self.term, now)?;
            let record = PermitRecord {
                target: request.target.clone(),
                until: now.after(self.term),
            };
            service.permits.insert(request.permit.clone(), record);
            Ok(EjectionGrant {
                permit: request.permit.clone(),
                attempt: request.attempt,
                term: self.term,
            })
        });
        answer.unwrap_or(Err(EjectionRefusal::NotArbiter))
    }
}
