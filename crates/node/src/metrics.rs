//! Counters, gauges and histograms of one host, in the text format of Prometheus.
//!
//! Label sets are bounded: routes and teams beyond a fixed number share the label `other`, so that
//! a large inventory or a scan of paths does not take the memory of the host. No label holds a key.

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
    TextEncoder, //
    core::Collector,
};
use smol_str::SmolStr;

use crate::status::TeamFacts;

/// Most routes with a label of their own.
const ROUTE_LABELS_MAX: usize = 512;

/// Most teams with a label of their own.
const TEAM_LABELS_MAX: usize = 128;

/// Label of everything beyond the bound.
const OTHER_LABEL: &str = "other";

/// Bounds of histogram buckets, in seconds. The target is 2.9 ms of added latency.
const LATENCY_BOUNDS: [f64; 12] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002, 0.002_9, 0.005, 0.01, 0.025, 0.1, 0.5, 2.0,
];

/// Labels that are given out until a bound is reached.
#[derive(Debug)]
struct LabelBound {
    seen: ShardMap<SmolStr, ()>,
    count: AtomicUsize,
    most: usize,
}

impl LabelBound {
    fn new(most: usize) -> Self {
        Self {
            seen: ShardMap::new(),
            count: AtomicUsize::new(0),
            most,
        }
    }

    fn label_of<'a>(&self, name: &'a str) -> &'a str {
        let key = SmolStr::new(name);
        if self.seen.with(&key, |_| ()).is_some() {
            return name;
        }
        if self.count.fetch_add(1, Ordering::Relaxed) < self.most {
            self.seen.insert(key, ());
            return name;
        }
        // Keeps the count near the bound, so that it never wraps.
        self.count.fetch_sub(1, Ordering::Relaxed);
        OTHER_LABEL
    }
}

/// Metrics of one host.
#[derive(Debug)]
pub struct HostMetrics {
    registry: Registry,
    routes: LabelBound,
    teams: LabelBound,
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

/// Makes metrics and registers them.
struct MetricMaker<'a>(&'a Registry);

impl MetricMaker<'_> {
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
    /// Makes the metrics of a host that has done nothing yet.
    ///
    /// # Errors
    ///
    /// Fails when a metric is defined twice or with a name that is not valid.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("chicorycroft".into()), None)?;
        let make = MetricMaker(&registry);
        Ok(Self {
            routes: LabelBound::new(ROUTE_LABELS_MAX),
            teams: LabelBound::new(TEAM_LABELS_MAX),
            requests: make.counters(
                "requests_total",
                "Requests by route, decision and class of the status.",
                &["route", "decision", "status"],
            )?,
            refusals: make.counters("refusals_total", "Refusals by reason.", &["reason"])?,
            attempts: make.counters("attempts_total", "Attempts by outcome.", &["outcome"])?,
            admitted: make.counters(
                "tokens_taken_total",
                "Tokens that requests took, by team.",
                &["team"],
            )?,
            over_rate: make.counters(
                "token_shortages_total",
                "Requests that found no token, by team.",
                &["team"],
            )?,
            ejections: make.counters("ejections_total", "Ejections by reason.", &["reason"])?,
            retries: make.register(IntCounter::new(
                "retries_total",
                "Attempts after the first.",
            )?)?,
            queue_wait: make
                .seconds("queue_wait_seconds", "Time that requests wait for a slot.")?,
            added_latency: make.seconds(
                "added_latency_seconds",
                "Time from the head of a request to its first attempt.",
            )?,
            slots: make.gauges("slots", "Slots of targets by state.", &["state"])?,
            targets: make.gauges("targets", "Targets by state.", &["state"])?,
            peers: make.gauges("peers", "Other hosts by state.", &["state"])?,
            config_version: make
                .gauge("config_version", "Version of the configuration in force.")?,
            is_ready: make.gauge("ready", "1 while the host takes requests.")?,
            is_stopping: make.gauge("stopping", "1 once a planned stop has begun.")?,
            registry,
        })
    }

    /// Counts a request that was answered. `route` is `None` when no route matched.
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

    /// Counts a request of a team that took a token or found none.
    pub fn on_token(&self, team: &TeamId, is_taken: bool) {
        let counter = if is_taken {
            &self.admitted
        } else {
            &self.over_rate
        };
        let team = self.teams.label_of(team.as_str());
        counter.with_label_values(&[team]).inc();
    }

    /// Returns the counts of the teams that have a label of their own.
    pub fn team_counts(&self) -> IndexMap<TeamId, TeamFacts> {
        let mut counts = IndexMap::new();
        self.teams.seen.for_each(|name, ()| {
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

    /// Counts an ejection. The reasons are a fixed set.
    pub fn on_ejection(&self, reason: &'static str) {
        self.ejections.with_label_values(&[reason]).inc();
    }

    /// Counts an attempt after the first.
    pub fn on_retry(&self) {
        self.retries.inc();
    }

    /// Records the time that a request waited for a slot.
    pub fn on_queue_wait(&self, time: std::time::Duration) {
        self.queue_wait.observe(time.as_secs_f64());
    }

    /// Records the time from the head of a request to its first attempt.
    pub fn on_added_latency(&self, time: std::time::Duration) {
        self.added_latency.observe(time.as_secs_f64());
    }

    /// Sets the number of targets in a state. The states are a fixed set.
    pub fn set_targets(&self, state: &'static str, count: usize) {
        self.targets.with_label_values(&[state]).set(count as i64);
    }

    /// Sets the number of slots in a state. The states are a fixed set.
    pub fn set_slots(&self, state: &'static str, count: u64) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.slots.with_label_values(&[state]).set(count);
    }

    /// Sets the number of other hosts in a state. The states are a fixed set.
    pub fn set_peers(&self, state: &'static str, count: usize) {
        self.peers.with_label_values(&[state]).set(count as i64);
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.config_version
            .set(i64::try_from(version.get()).unwrap_or(i64::MAX));
    }

    /// Sets whether the host takes requests and whether it stops.
    pub fn set_readiness(&self, is_ready: bool, is_stopping: bool) {
        self.is_ready.set(is_ready.into());
        self.is_stopping.set(is_stopping.into());
    }

    /// Writes all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be encoded.
    pub fn encode(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
