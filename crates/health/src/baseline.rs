//! Present failure rates and latencies of a whole service.
//!
//! Each host sends the counters of a short window with its heartbeats. A fault of the whole service
//! shows in the counters of all hosts, so that no single target stands out.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::latency::{
    LatencyHistogram,
    bucket_start, //
};

/// Age at which the counters of a host are dropped.
const COUNTERS_LIFETIME: Duration = Duration::from_secs(5);

/// Minimum number of attempts at other targets for a reference.
const ATTEMPTS_MIN: u64 = 20;

/// Distance in buckets from the median at which a latency counts as slow. Five buckets are five and
/// a half times the median.
const SLOW_BUCKETS: usize = 5;

/// Minimum timeout of a probe: ten times the usual duration of one.
const PROBE_DEADLINE_MIN: Duration = Duration::from_millis(250);

/// Counters of one host for one service during the last window.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceCounters {
    /// Completed attempts.
    pub attempts: u64,
    /// Attempts that were refused, cut off, timed out or answered with an error.
    pub failures: u64,
    /// Attempts that the target rejected because of load.
    pub sheds: u64,
    /// Latencies of complete answers.
    pub latencies: LatencyHistogram,
}

impl ServiceCounters {
    /// Adds the counters of another host or target.
    pub fn merge(&mut self, other: &Self) {
        self.attempts += other.attempts;
        self.failures += other.failures;
        self.sheds += other.sheds;
        self.latencies.merge(&other.latencies);
    }
}

/// Rates of a service that a target is compared with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BaselineReference {
    /// Fraction of the attempts that fail, from 0 to 1.
    pub failure_rate: f64,
    /// Fraction of the attempts that are shed, from 0 to 1.
    pub shed_rate: f64,
    /// Lowest bucket of slow latencies.
    pub slow_bucket: usize,
    /// Fraction of the attempts that are slow, from 0 to 1.
    pub slow_rate: f64,
}

impl BaselineReference {
    /// Returns the timeout of a probe. A fixed one would turn a slowdown of the whole service into
    /// failures of the probed targets.
    pub fn probe_deadline(&self) -> Duration {
        bucket_start(self.slow_bucket).max(PROBE_DEADLINE_MIN)
    }
}

/// Latest counters of every host for every service.
#[derive(Debug, Default)]
pub struct ServiceBaseline {
    services: ShardMap<ServiceId, IndexMap<HostId, (MonoTime, ServiceCounters)>>,
}

impl ServiceBaseline {
    /// Creates a baseline without counters.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the counters of a host.
    pub fn on_counters(
        &self,
        service: &ServiceId,
        host: &HostId,
        counters: ServiceCounters,
        now: MonoTime,
    ) {
        self.services
            .with_or_insert(service, IndexMap::new, |hosts| {
                hosts.insert(host.clone(), (now, counters));
            });
    }

    /// Returns the rates that a target is compared with. The target's own counters are part of its
    /// owner's counters and are subtracted. Returns `None` if there are too few attempts at other
    /// targets.
    pub fn reference(
        &self,
        service: &ServiceId,
        own: &ServiceCounters,
        now: MonoTime,
    ) -> Option<BaselineReference> {
        let mut sum = ServiceCounters::default();
        self.services.with(service, |hosts| {
            hosts.retain(|_, (at, _)| now.since(*at) < COUNTERS_LIFETIME);
            hosts.values().for_each(|(_, counters)| sum.merge(counters));
        });
        let attempts = sum.attempts.saturating_sub(own.attempts);
        if attempts < ATTEMPTS_MIN {
            return None;
        }
        let part = |all: u64, own: u64| all.saturating_sub(own) as f64 / attempts as f64;
        let median = sum.latencies.median_bucket().unwrap_or(usize::MAX / 2);
        let slow_bucket = median + SLOW_BUCKETS;
        let slow = sum.latencies.count_from(slow_bucket);
        Some(BaselineReference {
            failure_rate: part(sum.failures, own.failures),
            shed_rate: part(sum.sheds, own.sheds),
            slow_bucket,
            slow_rate: part(slow, own.latencies.count_from(slow_bucket)),
        })
    }
}
