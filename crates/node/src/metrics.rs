//! Counters, gauges and histograms of one host, in the text format of Prometheus.
//!
//! Label sets are bounded: routes and teams beyond a fixed number share the label `other`, so that
//! a large inventory or a scan of paths does not exhaust the memory of the host. Labels contain no
//! keys.

use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_placement::prelude::*;
use chicorycroft_proxy::prelude::*;
use http::StatusCode;
use indexmap::IndexMap;
use prometheus::{
    Encoder,
    Histogram,
    HistogramOpts,
    IntCounter,
    IntCounterVec,
    IntGauge,
    IntGaugeVec,
    Opts,
    Registry,
    TextEncoder,
    core::Collector, //
};
use smol_str::SmolStr;

use crate::status::TeamFacts;

/// Largest number of routes with a separate label.
const ROUTE_LABELS_MAX: usize = 512;

/// Largest number of teams with a separate label.
const TEAM_LABELS_MAX: usize = 128;

/// Label of all routes or teams beyond the limit.
const OTHER_LABEL: &str = "other";

/// Bounds of histogram buckets, in seconds. The target is 2.9 ms of added latency.
const LATENCY_BOUNDS: [f64; 12] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002, 0.002_9, 0.005, 0.01, 0.025, 0.1, 0.5, 2.0,
];

/// A set of labels with a limited size.
#[derive(Debug)]
struct LabelSet {
    labels: ShardMap<SmolStr, ()>,
    count: AtomicUsize,
    max: usize,
}

impl LabelSet {
    fn new(max: usize) -> Self {
        Self {
            labels: ShardMap::new(),
            count: AtomicUsize::new(0),
            max,
        }
    }

    fn label_of<'a>(&self, name: &'a str) -> &'a str {
        let key = SmolStr::new(name);
        if self.labels.with(&key, |_| ()).is_some() {
            return name;
        }
        if self.count.fetch_add(1, Ordering::Relaxed) < self.max {
            self.labels.insert(key, ());
            return name;
        }
        // Undoes the increment, so that the count stays near the limit and never wraps.
        self.count.fetch_sub(1, Ordering::Relaxed);
        OTHER_LABEL
    }
}

/// Metrics of one host.
#[derive(Debug)]
pub struct HostMetrics {
    registry: Registry,
    routes: LabelSet,
    teams: LabelSet,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    attempts: IntCounterVec,
    admitted: IntCounterVec,
    over_rate: IntCounterVec,
    ejections: IntCounterVec,
    retries: IntCounter,
    queue_wait: Histogram,
    added_latency: Histogram,
    slots: IntGaugeVec,
    targets: IntGaugeVec,
    peers: IntGaugeVec,
    config_version: IntGauge,
    is_ready: IntGauge,
    is_stopping: IntGauge,
}

/// Creates and registers metrics.
struct MetricFactory<'a>(&'a Registry);

impl MetricFactory<'_> {
    fn register<C: Collector + Clone + 'static>(&self, metric: C) -> prometheus::Result<C> {
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<IntCounterVec> {
        self.register(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntGaugeVec> {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    fn gauge(&self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        self.register(IntGauge::new(name, help)?)
    }

    fn seconds(&self, name: &str, help: &str) -> prometheus::Result<Histogram> {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
        self.register(Histogram::with_opts(options)?)
    }
}

impl HostMetrics {
    /// Creates and registers all metrics of a host.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric is defined twice or its name is not valid.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("chicorycroft".into()), None)?;
        let factory = MetricFactory(&registry);
        Ok(Self {
            routes: LabelSet::new(ROUTE_LABELS_MAX),
            teams: LabelSet::new(TEAM_LABELS_MAX),
            requests: factory.counters(
                "requests_total",
                "Requests by route, decision and class of the status.",
                &["route", "decision", "status"],
            )?,
            refusals: factory.counters("refusals_total", "Refusals by reason.", &["reason"])?,
            attempts: factory.counters("attempts_total", "Attempts by outcome.", &["outcome"])?,
            admitted: factory.counters(
                "tokens_taken_total",
                "Requests that took a token, by team.",
                &["team"],
            )?,
            over_rate: factory.counters(
                "token_shortages_total",
                "Requests refused because no token was available, by team.",
                &["team"],
            )?,
            ejections: factory.counters("ejections_total", "Ejections by reason.", &["reason"])?,
            retries: factory.register(IntCounter::new(
                "retries_total",
                "Attempts after the first.",
            )?)?,
            queue_wait: factory
                .seconds("queue_wait_seconds", "Time that requests wait for a slot.")?,
            added_latency: factory.seconds(
                "added_latency_seconds",
                "Time from the head of a request to its first attempt.",
            )?,
            slots: factory.gauges("slots", "Slots of targets by state.", &["state"])?,
            targets: factory.gauges("targets", "Targets by state.", &["state"])?,
            peers: factory.gauges("peers", "Other hosts by state.", &["state"])?,
            config_version: factory
                .gauge("config_version", "Version of the configuration in force.")?,
            is_ready: factory.gauge("ready", "1 while the host serves requests.")?,
            is_stopping: factory.gauge("stopping", "1 once a planned stop has begun.")?,
            registry,
        })
    }

    /// Counts an answered request. `route` is `None` if the request was refused.
    pub fn on_request(&self, route: Option<&RouteId>, decision: &str, status: StatusCode) {
        let route = route.map_or("none", |route| self.routes.label_of(route.as_str()));
        let class = match status.as_u16() / 100 {
            1 => "1xx",
            2 => "2xx",
            3 => "3xx",
            4 => "4xx",
            _ => "5xx",
        };
        self.requests
            .with_label_values(&[route, decision, class])
            .inc();
    }

    /// Counts a refusal.
    pub fn on_refusal(&self, kind: RefusalKind) {
        self.refusals.with_label_values(&[kind.name()]).inc();
    }

    /// Counts the end of an attempt.
    pub fn on_attempt(&self, outcome: AttemptOutcome) {
        let outcome = match outcome {
            AttemptOutcome::Good => "good",
            AttemptOutcome::Slow => "slow",
            AttemptOutcome::Refused => "refused",
            AttemptOutcome::Shed => "shed",
            AttemptOutcome::TimedOut => "timed-out",
            AttemptOutcome::Cut => "cut",
            AttemptOutcome::Wrong => "wrong",
            AttemptOutcome::Cancelled => "cancelled",
        };
        self.attempts.with_label_values(&[outcome]).inc();
    }

    /// Counts a request of a team that took a token or was refused for lack of one.
    pub fn on_token(&self, team: &TeamId, is_taken: bool) {
        let counter = if is_taken {
            &self.admitted
        } else {
            &self.over_rate
        };
        let team = self.teams.label_of(team.as_str());
        counter.with_label_values(&[team]).inc();
    }

    /// Returns the counts of the teams with a separate label.
    pub fn team_counts(&self) -> IndexMap<TeamId, TeamFacts> {
        let mut counts = IndexMap::new();
        self.teams.labels.for_each(|name, ()| {
            let Ok(team) = TeamId::new(name) else {
                return;
            };
            let facts = TeamFacts {
                admitted: self.admitted.with_label_values(&[name]).get(),
                refused: self.over_rate.with_label_values(&[name]).get(),
            };
            counts.insert(team, facts);
        });
        counts
    }

    /// Counts an ejection. `reason` must come from a fixed set of labels.
    pub fn on_ejection(&self, reason: &'static str) {
        self.ejections.with_label_values(&[reason]).inc();
    }

    /// Counts an attempt after the first.
    pub fn on_retry(&self) {
        self.retries.inc();
    }

    /// Records how long a request waited for a slot.
    pub fn on_queue_wait(&self, time: std::time::Duration) {
        self.queue_wait.observe(time.as_secs_f64());
    }

    /// Records the time from the head of a request to its first attempt.
    pub fn on_added_latency(&self, time: std::time::Duration) {
        self.added_latency.observe(time.as_secs_f64());
    }

    /// Sets the number of targets in a state. `state` must come from a fixed set of labels.
    pub fn set_targets(&self, state: &'static str, count: usize) {
        self.targets.with_label_values(&[state]).set(count as i64);
    }

    /// Sets the number of slots in a state. `state` must come from a fixed set of labels.
    pub fn set_slots(&self, state: &'static str, count: u64) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.slots.with_label_values(&[state]).set(count);
    }

    /// Sets the number of other hosts in a state. `state` must come from a fixed set of labels.
    pub fn set_peers(&self, state: &'static str, count: usize) {
        self.peers.with_label_values(&[state]).set(count as i64);
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.config_version
            .set(i64::try_from(version.get()).unwrap_or(i64::MAX));
    }

    /// Sets whether the host serves requests and whether a planned stop has begun.
    pub fn set_readiness(&self, is_ready: bool, is_stopping: bool) {
        self.is_ready.set(is_ready.into());
        self.is_stopping.set(is_stopping.into());
    }

    /// Encodes all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn encode(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
