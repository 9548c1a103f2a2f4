//! Permits that keep ejections above the floor of a service.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};
use thiserror::Error;

use crate::lease::{
    EjectionGrant,
    EjectionRequest,
    PermitId,
    RequestPurpose, //
};

/// Why a target may not be ejected.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EjectionRefusal {
    /// This host is not the service's arbiter.
    #[error("this host is not the arbiter of the service")]
    NotArbiter,
    /// The permits of an earlier arbiter may still be in force.
    #[error("permits of an earlier arbiter may be in force until {until}")]
    TooEarly {
        /// When the first permit can be granted.
        until: MonoTime,
    },
    /// The floor allows no further target to be out.
    #[error("the floor allows {allowance} targets to be out")]
    FloorReached {
        /// Targets that may be out at once.
        allowance: u32,
    },
    /// Operators have the target out, or do not list it.
    #[error("operators do not have the target in")]
    NotIn,
    /// Another permit for the target is in force.
    #[error("the target is already out")]
    AlreadyOut,
    /// The permit was released or ran out.
    #[error("the permit is not in force")]
    Ended,
}

/// A permit in force.
#[derive(Debug)]
struct PermitRecord {
    target: TargetId,
    until: MonoTime,
}

/// One service of the arbiter.
#[derive(Debug)]
struct ServicePermits {
    started_at: MonoTime,
    floor: CapacityRatio,
    targets_in: IndexSet<TargetId>,
    /// In the order of granting, so that a smaller allowance takes the latest ones away.
    permits: IndexMap<PermitId, PermitRecord>,
}

impl ServicePermits {
    fn allowance(&self) -> u32 {
        let count = u32::try_from(self.targets_in.len()).unwrap_or(u32::MAX);
        count - self.floor.ceil_of(count)
    }

    /// Counts the permits for targets that are in and that were granted before a position.
    fn out_before(&self, position: usize) -> u32 {
        let earlier = self.permits.values().take(position);
        let out = earlier.filter(|permit| self.targets_in.contains(&permit.target));
        u32::try_from(out.count()).unwrap_or(u32::MAX)
    }

    fn check(
        &self,
        request: &EjectionRequest,
        term: Duration,
        now: MonoTime,
    ) -> Result<(), EjectionRefusal> {
        let allowance = self.allowance();
        let known = self.permits.get_index_of(&request.permit);
        if !self.targets_in.contains(&request.target) {
            return Err(EjectionRefusal::NotIn);
        }
        let position = known.unwrap_or(self.permits.len());
        if self.out_before(position) >= allowance {
            return Err(EjectionRefusal::FloorReached { allowance });
        }
        if known.is_some() {
            return Ok(());
        }
        let until = self.started_at.after(term);
        // A renewal shows a permit of the earlier arbiter, which is one of those the wait is for.
        match request.purpose {
            RequestPurpose::Renew if now < until => {}
            RequestPurpose::Renew => return Err(EjectionRefusal::Ended),
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

/// Issuer of ejection permits for the services whose arbiter this host is.
#[derive(Debug)]
pub struct EjectionArbiter {
    term: Duration,
    services: ShardMap<ServiceId, ServicePermits>,
}

impl EjectionArbiter {
    /// Makes an arbiter of no service, with the length of its leases.
    pub fn new(term: Duration) -> Self {
        Self {
            term,
            services: ShardMap::new(),
        }
    }

    /// Starts as the arbiter of a service. New permits are granted after one term only, because
    /// those of an earlier arbiter may be in force until then.
    pub fn start(&self, service: &ServiceId, now: MonoTime) {
        let permits = ServicePermits {
            started_at: now,
            floor: CapacityRatio::from_mille(CapacityRatio::MAX_MILLE),
            targets_in: IndexSet::new(),
            permits: IndexMap::new(),
        };
        self.services.insert(service.clone(), permits);
    }

    /// Stops as the arbiter of a service.
    pub fn stop(&self, service: &ServiceId) {
        self.services.remove(service);
    }

    /// Sets the floor and the targets that operators have in. A target that is out does not count
    /// as capacity, so the allowance shrinks with every zone that leaves.
    pub fn on_capacity(
        &self,
        service: &ServiceId,
        floor: CapacityRatio,
        targets_in: impl IntoIterator<Item = TargetId>,
    ) {
        self.services.with(service, |permits| {
            permits.floor = floor;
            permits.targets_in = targets_in.into_iter().collect();
        });
    }

    /// Answers a request. The same request has the same effect however often it arrives.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the target must be in use. A release always fails with
    /// [`EjectionRefusal::Ended`].
    pub fn answer(
        &self,
        request: &EjectionRequest,
        now: MonoTime,
    ) -> Result<EjectionGrant, EjectionRefusal> {
        let answer = self.services.with(&request.service, |service| {
            service.permits.retain(|_, permit| permit.until > now);
            if request.purpose == RequestPurpose::Release {
                service.permits.shift_remove(&request.permit);
                return Err(EjectionRefusal::Ended);
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
