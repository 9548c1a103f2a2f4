//! Whether this host's own path is at fault.
//!
//! A target that does not answer its owner may be well: the link between the two may be cut in one
//! direction. Another host's probe tells.

use std::{
    collections::HashMap,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

/// Time after which the result of a probe no longer counts.
const PROBE_LIFE: Duration = Duration::from_secs(10);

/// Time to wait for another host's probe; a probe takes about 25 ms and the way 3 ms.
const PROBE_WAIT: Duration = Duration::from_millis(500);

/// Services whose targets must fail from this host only before the host itself is at fault.
const SERVICES_MIN: usize = 2;

/// What to do about a target that does not answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathDecision {
    /// Ask this host for a probe.
    AskProbe(HostId),
    /// Wait for the probe's result.
    AwaitProbe,
    /// Eject the target: it does not answer others either, or no other host can be asked.
    Eject,
    /// Hand the target over to the host that reaches it.
    MoveOwnership(HostId),
    /// Eject nothing: most targets of several services fail from this host only.
    HostAtFault,
}

/// What is known about one target that does not answer this host.
#[derive(Debug)]
struct PathRecord {
    service: ServiceId,
    helper: HostId,
    asked_at: MonoTime,
    answer: Option<bool>,
}

/// Unreachable targets and the probes of other hosts.
#[derive(Debug, Default)]
pub struct PathFault {
    targets: ShardMap<TargetId, PathRecord>,
}

impl PathFault {
    /// Makes a rule that knows of no unreachable target.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides about a target that does not answer this host. `second` is the second candidate for
    /// its ownership; `owned` tells how many targets of each service this host owns.
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
            .retain(|_, it| now.since(it.asked_at) < PROBE_LIFE);
        let known = self.targets.with(target, |record| {
            (record.helper.clone(), record.asked_at, record.answer)
        });
        if known.is_none() {
            let record = PathRecord {
                service: service.clone(),
                helper: second.clone(),
                asked_at: now,
                answer: None,
            };
            self.targets.insert(target.clone(), record);
        }
        if self.is_host_at_fault(owned) {
            return PathDecision::HostAtFault;
        }
        match known {
            None => PathDecision::AskProbe(second.clone()),
            Some((helper, _, Some(true))) => PathDecision::MoveOwnership(helper),
            Some((_, _, Some(false))) => PathDecision::Eject,
            Some((_, at, None)) if now.since(at) < PROBE_WAIT => PathDecision::AwaitProbe,
            Some(_) => PathDecision::Eject,
        }
    }

    /// Takes the result of another host's probe. A late one about a target that is no longer in
    /// question has no effect.
    pub fn on_probe(&self, target: &TargetId, helper: &HostId, has_answered: bool) {
        self.targets.with(target, |record| {
            if &record.helper == helper {
                record.answer = Some(has_answered);
            }
        });
    }

    /// Notes that a target answers this host again.
    pub fn on_answer(&self, target: &TargetId) {
        self.targets.remove(target);
    }

    /// Tells whether most owned targets of several services fail from this host only.
    pub fn is_host_at_fault(&self, owned: &HashMap<ServiceId, usize>) -> bool {
        let mut only_here: HashMap<ServiceId, usize> = HashMap::new();
        self.targets.for_each(|_, record| {
            if record.answer == Some(true) {
                *only_here.entry(record.service.clone()).or_default() += 1;
            }
        });
        let is_most = |(service, count): (&ServiceId, &usize)| {
            2 * count > owned.get(service).copied().unwrap_or_default()
        };
        only_here.iter().filter(|it| is_most(*it)).count() >= SERVICES_MIN
    }
}
