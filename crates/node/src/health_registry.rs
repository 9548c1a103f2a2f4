//! Evidence, lifecycle and ejection leases of the targets that this host owns.

use std::{
    collections::HashMap,
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;
use chicorycroft_health::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_placement::prelude::*;

/// Length of an ejection lease.
///
/// A holder renews after a third of the term, so that two renewals may be lost. When a holder dies,
/// its share of the floor stays reserved for the term.
const LEASE_TERM: Duration = Duration::from_secs(6);

/// Health record of one owned target.
#[derive(Debug)]
struct TargetHealth {
    service: ServiceId,
    test: EvidenceTest,
    lifecycle: TargetLifecycle,
    lease: Option<EjectionLease>,
    is_probed: bool,
}

impl TargetHealth {
    fn new(service: &ServiceId) -> Self {
        Self {
            service: service.clone(),
            test: EvidenceTest::new(EvidenceSettings::default()),
            lifecycle: TargetLifecycle::new(EjectionBackoff::default()),
            lease: None,
            is_probed: false,
        }
    }
}

/// Actions that follow from an observed attempt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HealthUpdate {
    /// New verdict of the evidence, or `None` if it is unchanged.
    pub verdict: Option<HealthVerdict>,
    /// Whether a probe task must be started for the target.
    pub starts_probing: bool,
    /// Whether the target does not respond at all.
    pub is_unresponsive: bool,
}

/// Action that is due for an ejection lease or a target after a tick.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseTask {
    /// Send a request to the arbiter.
    Send(EjectionRequest),
    /// Put the target back in use, because its permit has expired.
    Restore(TargetId),
    /// Start to probe whether the target has recovered.
    Probe(TargetId),
}

/// Health of owned targets, and the permits that this host issues as arbiter.
#[derive(Debug)]
pub struct HealthRegistry {
    targets: ShardMap<TargetId, TargetHealth>,
    /// Current error rate and latency of each service, from the counters of all live hosts.
    pub baseline: ServiceBaseline,
    /// Targets that this host cannot reach, with the results of other hosts' probes.
    pub paths: PathMonitor,
    /// Permits of the services for which this host is the arbiter.
    pub arbiter: EjectionArbiter,
    last_permit: AtomicU64,
}

impl Default for HealthRegistry {
    fn default() -> Self {
        Self::new()
    }
}

impl HealthRegistry {
    /// Creates a registry without evidence.
    pub fn new() -> Self {
        Self {
            targets: ShardMap::new(),
            baseline: ServiceBaseline::new(),
            paths: PathMonitor::new(),
            arbiter: EjectionArbiter::new(LEASE_TERM),
            last_permit: AtomicU64::new(0),
        }
    }

    /// Records the end of an attempt or a probe and returns what follows from it.
    pub fn observe(
        &self,
        target: &TargetRecord,
        outcome: AttemptOutcome,
        latency: Duration,
        now: MonoTime,
    ) -> HealthUpdate {
        let make = || TargetHealth::new(&target.service);
        self.targets.with_or_insert(&target.id, make, |health| {
            let own = health.test.counters(now);
            let reference = self.baseline.reference(&target.service, &own, now);
            let verdict = health
                .test
                .record(outcome, latency, reference.as_ref(), now);
            if outcome == AttemptOutcome::Good {
                health.lifecycle.on_event(LifecycleEvent::Answered, now);
                self.paths.on_answer(&target.id);
            }
            match verdict {
                Some(HealthVerdict::Suspect(_)) => {
                    health.lifecycle.on_event(LifecycleEvent::Suspected, now);
                }
                Some(HealthVerdict::Healthy) => {
                    health.lifecycle.on_event(LifecycleEvent::Cleared, now);
                }
                _ => {}
            }
            let starts_probing = health.test.needs_probe() && !health.is_probed;
            health.is_probed |= starts_probing;
            HealthUpdate {
                verdict,
                starts_probing,
                is_unresponsive: health.test.is_unresponsive(),
            }
        })
    }

    /// Returns the time limit of the next probe of a target, or `None` if no probe is needed.
    pub fn next_probe(&self, target: &TargetId, now: MonoTime) -> Option<Duration> {
        /// Limit of a probe without reference latencies; a probe usually takes about 25 ms.
        const PROBE_LIMIT: Duration = Duration::from_secs(1);
        let limit = self.targets.with(target, |health| {
            health.is_probed = health.test.needs_probe() || health.lifecycle.phase().is_out();
            if !health.is_probed {
                return None;
            }
            let own = health.test.counters(now);
            let reference = self.baseline.reference(&health.service, &own, now);
            Some(reference.map_or(PROBE_LIMIT, |reference| reference.probe_deadline()))
        });
        limit.flatten()
    }

    /// Records a probe of an ejected target. Returns `true` if the target is back in use.
    pub fn on_recovery_probe(&self, target: &TargetId, is_good: bool, now: MonoTime) -> bool {
        let event = match is_good {
            true => LifecycleEvent::ProbeSucceeded,
            false => LifecycleEvent::ProbeFailed,
        };
        let is_restored = self.targets.with(target, |health| {
            let was_out = health.lifecycle.phase().is_out();
            let is_restored = was_out && !health.lifecycle.on_event(event, now).is_out();
            if is_restored {
                health.test.reset();
            }
            is_restored
        });
        is_restored.unwrap_or(false)
    }

    /// Returns the phase of an owned target.
    pub fn phase_of(&self, target: &TargetId) -> Option<TargetPhase> {
        self.targets.with(target, |health| health.lifecycle.phase())
    }

    /// Returns `true` if a target may get requests of callers.
    pub fn accepts_requests(&self, target: &TargetId) -> bool {
        self.phase_of(target)
            .is_none_or(TargetPhase::accepts_requests)
    }

    /// Applies an event to the lifecycle of a target.
    pub fn on_event(&self, target: &TargetId, event: LifecycleEvent, now: MonoTime) {
        self.targets.with(target, |health| {
            if event == LifecycleEvent::Restarted {
                health.test.reset();
            }
            health.lifecycle.on_event(event, now);
        });
    }

    /// Returns a request for a permit to eject a target, or `None` if its lease is still in use.
    pub fn request_permit(
        &self,
        target: &TargetRecord,
        (holder, incarnation): (&HostId, HostIncarnation),
        now: MonoTime,
    ) -> Option<EjectionRequest> {
        let number = self.last_permit.fetch_add(1, Ordering::Relaxed) + 1;
        let permit = || PermitId {
            holder: holder.clone(),
            incarnation,
            number,
        };
        let request = self.targets.with(&target.id, |health| {
            let lease = health.lease.take().filter(|lease| !lease.is_terminated());
            if lease.is_some() {
                health.lease = lease;
                return None;
            }
            let lease = EjectionLease::new(target.service.clone(), target.id.clone(), permit());
            health.lease.insert(lease).next_request(now)
        });
        request.flatten()
    }

    /// Applies a grant of the arbiter. Returns `true` if it ejects the target.
    pub fn on_grant(&self, target: &TargetId, grant: &EjectionGrant, now: MonoTime) -> bool {
        let is_out = self.targets.with(target, |health| {
            let Some(lease) = &mut health.lease else {
                return false;
            };
            lease.on_grant(grant, now);
            let was_out = health.lifecycle.phase().is_out();
            if was_out || !lease.is_valid(now) {
                return false;
            }
            let event = LifecycleEvent::PermitGranted;
            health.lifecycle.on_event(event, now).is_out()
        });
        is_out.unwrap_or(false)
    }

    /// Applies a refusal of the arbiter; `None` if it did not answer.
    pub fn on_refusal(&self, target: &TargetId, refusal: Option<EjectionRefusal>) {
        self.targets.with(target, |health| {
            let Some(lease) = &mut health.lease else {
                return;
            };
            if let Some(refusal) = refusal {
                lease.on_refusal(refusal);
            }
            // The next verdict makes a new request.
            if !health.lifecycle.phase().is_out() {
                health.lease = None;
            }
        });
    }

    /// Ends the lease of a target that is back in use and returns the release for the arbiter.
    pub fn release(&self, target: &TargetId) -> Option<EjectionRequest> {
        let request = self.targets.with(target, |health| {
            let mut lease = health.lease.take()?;
            Some(lease.release())
        });
        request.flatten()
    }

    /// Advances the lifecycles and leases of all targets and returns the actions that are due.
    /// Records of targets that are no longer owned are dropped.
    pub fn on_tick(&self, is_owned: impl Fn(&TargetId) -> bool, now: MonoTime) -> Vec<LeaseTask> {
        let mut tasks = Vec::new();
        self.targets.retain(|target, health| {
            if !is_owned(target) {
                return false;
            }
            let previous = health.lifecycle.phase();
            let phase = health.lifecycle.on_event(LifecycleEvent::Ticked, now);
            if !previous.eq(&phase) && matches!(phase, TargetPhase::Probing { .. }) {
                health.is_probed = true;
                tasks.push(LeaseTask::Probe(target.clone()));
            }
            let Some(lease) = &mut health.lease else {
                return true;
            };
            if lease.has_ended(now) {
                health.lease = None;
                if phase.is_out() {
                    health.lifecycle.on_event(LifecycleEvent::PermitLost, now);
                    tasks.push(LeaseTask::Restore(target.clone()));
                }
            } else if phase.is_out() && lease.needs_renewal(now) {
                tasks.extend(lease.next_request(now).map(LeaseTask::Send));
            }
            true
        });
        tasks
    }

    /// Returns the sums of the counters of owned targets by service.
    pub fn counters(&self, now: MonoTime) -> HashMap<ServiceId, ServiceCounters> {
        let mut services: HashMap<ServiceId, ServiceCounters> = HashMap::new();
        self.targets.for_each(|_, health| {
            let counters = health.test.counters(now);
            services
                .entry(health.service.clone())
                .or_default()
                .merge(&counters);
        });
        services
    }
}
