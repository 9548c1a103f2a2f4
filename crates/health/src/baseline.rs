//! How the other targets of a service do at the moment.
//!
//! Each host sends the counters of a short window with its heartbeats. A fault of the whole service
//! is in the counters of all hosts, so that no target stands out.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::latency::{
    LatencyHistogram,
    shortest_of, //
};

/// Age at which the counters of a host no longer count.
const COUNTERS_LIFE: Duration = Duration::from_secs(5);

/// Answers of other targets below which there is no reference.
const ANSWERS_MIN: u64 = 20;

/// A latency is slow from this many buckets above the median, which is five and a half times.
const SLOW_BUCKETS: usize = 5;

/// Shortest time that a probe gets: ten times what one takes.
const PROBE_DEADLINE_MIN: Duration = Duration::from_millis(250);

/// What a host counted for a service during the last window.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceCounters {
    /// Attempts that ended.
    pub attempts: u64,
    /// Attempts that were refused, cut, timed out or answered wrong.
    pub failures: u64,
    /// Attempts that the target refused under load.
    pub sheds: u64,
    /// Latencies of whole answers.
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

/// What a target of a service is compared with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BaselineReference {
    /// Part of the attempts that fail, from 0 to 1.
    pub failure_rate: f64,
    /// Part of the attempts that are shed, from 0 to 1.
    pub shed_rate: f64,
    /// First bucket of slow latencies.
    pub slow_bucket: usize,
    /// Part of the answers that are slow, from 0 to 1.
    pub slow_rate: f64,
}

impl BaselineReference {
    /// Returns how long a probe may take. A fixed time would turn a slowdown of the whole service
    /// into failures of the targets that are probed.
    pub fn probe_deadline(&self) -> Duration {
        shortest_of(self.slow_bucket).max(PROBE_DEADLINE_MIN)
    }
}

/// Latest counters of every host for every service.
#[derive(Debug, Default)]
pub struct ServiceBaseline {
    services: ShardMap<ServiceId, IndexMap<HostId, (MonoTime, ServiceCounters)>>,
}

impl ServiceBaseline {
    /// Makes a baseline without counters.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the counters of a host, which replace its earlier ones.
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

    /// Returns what a target is compared with, given its own counters, which are in those of its
    /// owner and are left out. Returns `None` when the others answered too little.
    pub fn reference(
        &self,
        service: &ServiceId,
        own: &ServiceCounters,
        now: MonoTime,
    ) -> Option<BaselineReference> {
        let mut sum = ServiceCounters::default();
        self.services.with(service, |hosts| {
            hosts.retain(|_, (at, _)| now.since(*at) < COUNTERS_LIFE);
            hosts.values().for_each(|(_, counters)| sum.merge(counters));
        });
        let attempts = sum.attempts.saturating_sub(own.attempts);
        if attempts < ANSWERS_MIN {
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
