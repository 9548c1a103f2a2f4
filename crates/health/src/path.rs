//! Detection of faults on this host's own network path.
//!
//! A target that does not answer its owner may be healthy: the link between the two may be broken
//! in one direction. A probe from another host distinguishes the cases.

use std::{
    collections::HashMap,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

/// Time after which the result of a probe is dropped.
const PROBE_RESULT_LIFETIME: Duration = Duration::from_secs(10);

/// Time to wait for another host's probe. A probe takes about 25 ms, and the messages 3 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of services of which most targets must be unreachable only from this host, before the
/// host itself counts as faulty.
const SERVICES_MIN: usize = 2;

/// Action for a target that does not answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathDecision {
    /// Ask this host to probe the target.
    RequestProbe(HostId),
    /// Wait for the result of the probe.
    AwaitProbe,
    /// Eject the target: it does not answer other hosts either, or no other host can be asked.
    Eject,
    /// Hand the target over to this host, which reaches it.
    MoveOwnership(HostId),
    /// Eject nothing: most targets of several services are unreachable only from this host.
    HostAtFault,
}

/// A target that does not answer this host, and its probe by another host.
#[derive(Debug)]
struct PathRecord {
    service: ServiceId,
    prober: HostId,
    asked_at: MonoTime,
    is_reachable: Option<bool>,
}

/// Targets that this host cannot reach, and the results of probes by other hosts.
#[derive(Debug, Default)]
pub struct PathMonitor {
    targets: ShardMap<TargetId, PathRecord>,
}

impl PathMonitor {
    /// Creates a monitor without unreachable targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides about a target that does not answer this host. `second` is the second candidate for
    /// its ownership, and `owned` is the number of targets of each service that this host owns.
    pub fn decide(
        &self,
        target: &TargetId,
        service: &ServiceId,
        second: Option<&HostId>,
        owned: &HashMap<ServiceId, usize>,
        now: MonoTime,
    ) -> PathDecision {
        let Some(second) = second else {
            return PathDecision::Eject;
        };
        self.targets
            .retain(|_, record| now.since(record.asked_at) < PROBE_RESULT_LIFETIME);
        let known = self.targets.with(target, |record| {
            (record.prober.clone(), record.asked_at, record.is_reachable)
        });
        if known.is_none() {
            let record = PathRecord {
                service: service.clone(),
                prober: second.clone(),
                asked_at: now,
                is_reachable: None,
            };
            self.targets.insert(target.clone(), record);
        }
        if self.is_host_at_fault(owned) {
            return PathDecision::HostAtFault;
        }
        match known {
            None => PathDecision::RequestProbe(second.clone()),
            Some((prober, _, Some(true))) => PathDecision::MoveOwnership(prober),
            Some((_, _, Some(false))) => PathDecision::Eject,
            Some((_, at, None)) if now.since(at) < PROBE_TIMEOUT => PathDecision::AwaitProbe,
            Some(_) => PathDecision::Eject,
        }
    }

    /// Records the result of another host's probe. A late result for a target that is reachable
    /// again has no effect.
    pub fn on_probe(&self, target: &TargetId, prober: &HostId, has_answered: bool) {
        self.targets.with(target, |record| {
            if &record.prober == prober {
                record.is_reachable = Some(has_answered);
            }
        });
    }

    /// Records that a target answers this host again.
    pub fn on_answer(&self, target: &TargetId) {
        self.targets.remove(target);
    }

    /// Returns `true` if most owned targets of several services are unreachable only from this
    /// host.
    pub fn is_host_at_fault(&self, owned: &HashMap<ServiceId, usize>) -> bool {
        let mut unreachable_here: HashMap<ServiceId, usize> = HashMap::new();
        self.targets.for_each(|_, record| {
            if record.is_reachable == Some(true) {
                *unreachable_here.entry(record.service.clone()).or_default() += 1;
            }
        });
        let is_most = |(service, count): (&ServiceId, &usize)| {
            2 * count > owned.get(service).copied().unwrap_or_default()
        };
        unreachable_here
            .iter()
            .filter(|entry| is_most(*entry))
            .count()
            >= SERVICES_MIN
    }
}
