//! Evidence, life cycle and ejection leases of the targets that this host owns.

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
/// A holder renews from a third of it on, so that two tries may be lost. The floor stays reserved
/// for this long when a holder dies.
const LEASE_TERM: Duration = Duration::from_secs(6);

/// What the host knows about one owned target.
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

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HealthAdvice {
    /// What the evidence says now, if it says something new.
    pub verdict: Option<HealthVerdict>,
    /// Whether to start probing the target.
    pub starts_probing: bool,
    /// Whether the target gives no sign of life.
    pub is_cut_off: bool,
}

/// What to do about a lease when time has passed.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseTask {
    /// Send this request to the arbiter.
    Send(EjectionRequest),
    /// The target is back in use without a permit.
    Lost(TargetId),
    /// Probe whether the target has recovered.
    Probe(TargetId),
}

/// Health of owned targets, and the permits that this host issues as arbiter.
#[derive(Debug)]
pub struct HealthRegistry {
    targets: ShardMap<TargetId, TargetHealth>,
    /// How each service does at the moment, by the counters of all hosts that are heard.
    pub baseline: ServiceBaseline,
    /// Targets that do not answer this host.
    pub paths: PathMonitor,
    /// Permits of the services whose arbiter this host is.
    pub arbiter: EjectionArbiter,
    last_permit: AtomicU64,
}

impl Default for HealthRegistry {
    fn default() -> Self {
        Self::new()
    }
}

impl HealthRegistry {
    /// Makes a registry without evidence.
    pub fn new() -> Self {
        Self {
            targets: ShardMap::new(),
            baseline: ServiceBaseline::new(),
            paths: PathMonitor::new(),
            arbiter: EjectionArbiter::new(LEASE_TERM),
            last_permit: AtomicU64::new(0),
        }
    }

    /// Notes the end of an attempt or a probe.
    pub fn observe(
        &self,
        target: &TargetRecord,
        outcome: AttemptOutcome,
        latency: Duration,
        now: MonoTime,
    ) -> HealthAdvice {
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
            HealthAdvice {
                verdict,
                starts_probing,
                is_cut_off: health.test.is_unresponsive(),
            }
        })
    }

    /// Tells whether a probe of a target is still of use, and how long it may take.
    pub fn next_probe(&self, target: &TargetId, now: MonoTime) -> Option<Duration> {
        /// Limit of a probe without a reference; a probe takes about 25 ms.
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

    /// Notes a probe of a target that is out. Tells whether the target is back in use.
    pub fn on_recovery_probe(&self, target: &TargetId, is_good: bool, now: MonoTime) -> bool {
        let event = match is_good {
            true => LifecycleEvent::ProbeSucceeded,
            false => LifecycleEvent::ProbeFailed,
        };
        let is_back = self.targets.with(target, |health| {
            let was_out = health.lifecycle.phase().is_out();
            let is_back = was_out && !health.lifecycle.on_event(event, now).is_out();
            if is_back {
                health.test.reset();
            }
            is_back
        });
        is_back.unwrap_or(false)
    }

    /// Returns the phase of an owned target.
    pub fn phase_of(&self, target: &TargetId) -> Option<TargetPhase> {
        self.targets.with(target, |health| health.lifecycle.phase())
    }

    /// Tells whether an owned target may get requests of callers.
    pub fn takes_work(&self, target: &TargetId) -> bool {
        self.phase_of(target)
            .is_none_or(TargetPhase::accepts_requests)
    }

    /// Applies an event to the life cycle of a target.
    pub fn on_event(&self, target: &TargetId, event: LifecycleEvent, now: MonoTime) {
        self.targets.with(target, |health| {
            if event == LifecycleEvent::Restarted {
                health.test.reset();
            }
            health.lifecycle.on_event(event, now);
        });
    }

    /// Makes the request for a permit to eject a target, unless one is open.
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

    /// Takes the arbiter's grant. Tells whether the target goes out of use now.
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

    /// Takes the arbiter's refusal, or `None` where no answer came.
    pub fn on_refusal(&self, target: &TargetId, refusal: Option<EjectionRefusal>) {
        self.targets.with(target, |health| {
            let Some(lease) = &mut health.lease else {
                return;
            };
            if let Some(refusal) = refusal {
                lease.on_refusal(refusal);
            }
            // A request that was not granted is made anew by the next verdict.
            if !health.lifecycle.phase().is_out() {
                health.lease = None;
            }
        });
    }

    /// Ends the lease of a target that is back in use and returns the message that says so.
    pub fn release(&self, target: &TargetId) -> Option<EjectionRequest> {
        let request = self.targets.with(target, |health| {
            let mut lease = health.lease.take()?;
            Some(lease.release())
        });
        request.flatten()
    }

    /// Lets time pass for all targets; forgets those that are no longer owned.
    pub fn on_tick(&self, is_owned: impl Fn(&TargetId) -> bool, now: MonoTime) -> Vec<LeaseTask> {
        let mut tasks = Vec::new();
        self.targets.retain(|target, health| {
            if !is_owned(target) {
                return false;
            }
            let before = health.lifecycle.phase();
            let after = health.lifecycle.on_event(LifecycleEvent::Ticked, now);
            if !before.eq(&after) && matches!(after, TargetPhase::Probing { .. }) {
                health.is_probed = true;
                tasks.push(LeaseTask::Probe(target.clone()));
            }
            let Some(lease) = &mut health.lease else {
                return true;
            };
            if lease.has_ended(now) {
                health.lease = None;
                if after.is_out() {
                    health.lifecycle.on_event(LifecycleEvent::PermitLost, now);
                    tasks.push(LeaseTask::Lost(target.clone()));
                }
            } else if after.is_out() && lease.needs_renewal(now) {
                tasks.extend(lease.next_request(now).map(LeaseTask::Send));
            }
            true
        });
        tasks
    }

    /// Sums the counters of owned targets by service.
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
