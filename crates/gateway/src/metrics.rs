//! Prometheus counters and histograms.

use std::time::Duration;

use chicorycroft_core::{
    amounts::MICROS_PER_TOKEN,
    prelude::*, //
};
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use prometheus::{
    CounterVec,
    Encoder,
    Histogram,
    HistogramOpts,
    HistogramVec,
    IntCounter,
    IntCounterVec,
    IntGauge,
    IntGaugeVec,
    Opts,
    Registry,
    TextEncoder, //
};

use crate::{
    copy_use::CopyUse,
    traffic_metrics::TrafficMetrics, //
};

/// Upper bounds of the latency buckets, in seconds. They range from a response without a target to the
/// longest deadline.
const LATENCY_BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2.0, 4.0];

/// Upper bounds of the buckets for the age of the copy of the store, in seconds. The platform's bounds are 2 to 3 s.
const COPY_AGE_BUCKETS: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 2.5];

/// Upper bounds of the buckets for the age of a load, in seconds. Refusals use loads of up to 0.25 s.
const LOAD_AGE_BUCKETS: [f64; 6] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25];

/// Raises a counter to a total.
fn raise(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

/// All metrics of a gateway process.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    attempts: IntCounterVec,
    permits: IntCounterVec,
    copy_age: HistogramVec,
    granted_time: HistogramVec,
    config_version: IntGauge,
    store_era: IntGauge,
    refused_documents: IntCounter,
    door_refusals: IntCounter,
    calls_saved: IntCounterVec,
    load_age: Histogram,
    waiting: IntGaugeVec,
    turned_away: IntCounter,
    told_late: IntCounter,
    tickets: IntCounterVec,
    rate_share: IntGauge,
    rate_units: IntGauge,
    tokens_moved: CounterVec,
    over_rate: IntCounter,
    traffic: TrafficMetrics,
}

impl GatewayMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric name is invalid or registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label])
        };
        let latency = HistogramOpts::new(
            "gateway_request_seconds",
            "Time from the head of a request to its answer, by outcome.",
        );
        let copy_age = HistogramOpts::new(
            "gateway_copy_age_seconds",
            "Age of the copy of the store when it was used, by decision, part of the store, and source.",
        );
        let granted_time = HistogramOpts::new(
            "gateway_granted_target_seconds",
            "Expected time to the answer of the targets that this host granted, by choice: rank or trial.",
        );
        let registry = Registry::new();
        let metrics = Self {
            traffic: TrafficMetrics::new(&registry)?,
            registry,
            requests: counter(
                "gateway_requests_total",
                "Requests by outcome: ok, target-status, or the reason of a refusal.",
                "outcome",
            )?,
            latency: HistogramVec::new(latency.buckets(LATENCY_BUCKETS.to_vec()), &["outcome"])?,
            attempts: counter(
                "gateway_attempts_total",
                "Attempts at targets by result.",
                "result",
            )?,
            permits: counter(
                "gateway_permits_total",
                "Answers of dispatchers to this host by kind.",
                "answer",
            )?,
            copy_age: HistogramVec::new(
                copy_age.buckets(COPY_AGE_BUCKETS.to_vec()),
                &["use", "part", "source"],
            )?,
            granted_time: HistogramVec::new(
                granted_time.buckets(LATENCY_BUCKETS.to_vec()),
                &["choice"],
            )?,
            config_version: IntGauge::new(
                "gateway_config_version",
                "Version of the configuration in force.",
            )?,
            store_era: IntGauge::new(
                "gateway_store_era",
                "Latest era of the store that this host knows of.",
            )?,
            refused_documents: IntCounter::new(
                "gateway_documents_refused_total",
                "Documents of the store that could not be decoded, counted at each read.",
            )?,
            door_refusals: IntCounter::new(
                "gateway_door_refusals_total",
                "Requests refused by the loads of the zones, without a call.",
            )?,
            calls_saved: counter(
                "gateway_permit_calls_saved_total",
                "Calls to dispatchers that the loads of the zones made needless, by reason.",
                "reason",
            )?,
            load_age: Histogram::with_opts(
                HistogramOpts::new(
                    "gateway_zone_load_age_seconds",
                    "Age of the load of a full zone when it decided about a request.",
                )
                .buckets(LOAD_AGE_BUCKETS.to_vec()),
            )?,
            waiting: IntGaugeVec::new(
                Opts::new(
                    "gateway_waiting",
                    "Requests that wait for a slot at this dispatcher, by priority.",
                ),
                &["priority"],
            )?,
            turned_away: IntCounter::new(
                "gateway_turned_away_total",
                "Requests that this dispatcher turned away, on arrival or after a wait.",
            )?,
            told_late: IntCounter::new(
                "gateway_told_late_total",
                "Requests that waited at this dispatcher and were then turned away.",
            )?,
            tickets: counter(
                "gateway_return_tickets_total",
                "Return tickets given and kept, and requests that came early for those of their team.",
                "event",
            )?,
            rate_share: IntGauge::new(
                "gateway_rate_share_mille",
                "Share of the team rates that this host may spend, in thousandths.",
            )?,
            rate_units: IntGauge::new(
                "gateway_rate_units",
                "Units of the team rates that this host holds, its own included.",
            )?,
            tokens_moved: CounterVec::new(
                Opts::new(
                    "gateway_tokens_moved_total",
                    "Tokens of teams that moved between dispatchers, by direction.",
                ),
                &["direction"],
            )?,
            over_rate: IntCounter::new(
                "gateway_over_rate_total",
                "Permit requests that the dispatcher of this host refused for a team's rate.",
            )?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.permits.clone()))?;
        registry.register(Box::new(metrics.copy_age.clone()))?;
        registry.register(Box::new(metrics.granted_time.clone()))?;
        registry.register(Box::new(metrics.config_version.clone()))?;
        registry.register(Box::new(metrics.store_era.clone()))?;
        registry.register(Box::new(metrics.refused_documents.clone()))?;
        registry.register(Box::new(metrics.door_refusals.clone()))?;
        registry.register(Box::new(metrics.calls_saved.clone()))?;
        registry.register(Box::new(metrics.load_age.clone()))?;
        registry.register(Box::new(metrics.waiting.clone()))?;
        registry.register(Box::new(metrics.turned_away.clone()))?;
        registry.register(Box::new(metrics.told_late.clone()))?;
        registry.register(Box::new(metrics.tickets.clone()))?;
        registry.register(Box::new(metrics.rate_share.clone()))?;
        registry.register(Box::new(metrics.rate_units.clone()))?;
        registry.register(Box::new(metrics.tokens_moved.clone()))?;
        registry.register(Box::new(metrics.over_rate.clone()))?;
        Ok(metrics)
    }

    /// Returns the metrics of messages between hosts and of the store's answers.
    pub fn traffic(&self) -> &TrafficMetrics {
        &self.traffic
    }

    /// Records the outcome of a request and the time it took.
    pub fn on_request(&self, outcome: &str, time: Duration) {
        self.requests.with_label_values(&[outcome]).inc();
        let latency = self.latency.with_label_values(&[outcome]);
        latency.observe(time.as_secs_f64());
    }

    /// Counts an attempt by its result.
    pub fn on_attempt(&self, result: &str) {
        self.attempts.with_label_values(&[result]).inc();
    }

    /// Counts a dispatcher's answer to a permit request by its kind.
    pub fn on_permit(&self, answer: &str) {
        self.permits.with_label_values(&[answer]).inc();
    }

    /// Counts a request that the loads of the zones refused.
    pub fn on_door_refusal(&self) {
        self.door_refusals.inc();
    }

    /// Counts calls to dispatchers that were not made.
    pub fn on_calls_saved(&self, reason: &str, count: usize) {
        let calls = self.calls_saved.with_label_values(&[reason]);
        calls.inc_by(count as u64);
    }

    /// Records the age of the load of a full zone when a decision used it.
    pub fn on_load_use(&self, age: Duration) {
        self.load_age.observe(age.as_secs_f64());
    }

    /// Records the expected time of a target that was granted.
    pub fn on_grant(&self, choice: TargetChoice) {
        let times = self.granted_time.with_label_values(&[&*choice.to_string()]);
        times.observe(choice.expected_time.as_secs_f64());
    }

    /// Records the age of a part of the copy of the store when a decision used it.
    pub fn on_copy_use(
        &self,
        copy_use: CopyUse,
        part: StorePart,
        source: ContactSource,
        age: Duration,
    ) {
        let labels = [
            &*copy_use.to_string(),
            &*part.to_string(),
            &*source.to_string(),
        ];
        let ages = self.copy_age.with_label_values(&labels);
        ages.observe(age.as_secs_f64());
    }

    /// Sets the gauge of the configuration version in force.
    pub fn on_config(&self, version: u64) {
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets the gauge of the store's era.
    pub fn on_store_era(&self, era: StoreEra) {
        self.store_era
            .set(i64::try_from(era.get()).unwrap_or(i64::MAX));
    }

    /// Raises the counter of refused documents to a total.
    pub fn on_refused_documents(&self, total: u64) {
        raise(&self.refused_documents, total);
    }

    /// Sets the gauges of the queues, and raises their counters to the totals.
    pub fn on_queues(&self, totals: &QueueTotals) {
        for (priority, count) in &totals.waiting {
            let waiting = self.waiting.with_label_values(&[&*priority.to_string()]);
            waiting.set(i64::try_from(*count).unwrap_or(i64::MAX));
        }
        raise(&self.turned_away, totals.refused);
        raise(&self.told_late, totals.told_late);
        let tickets = [
            ("given", totals.given),
            ("kept", totals.kept),
            ("early", totals.early),
        ];
        for (event, total) in tickets {
            raise(&self.tickets.with_label_values(&[event]), total);
        }
    }

    /// Sets the gauges of the share of the team rates.
    pub fn on_rate_share(&self, units: u32, share: CapacityRatio) {
        self.rate_units.set(units.into());
        self.rate_share.set(share.as_mille().into());
    }

    /// Counts tokens that were given to or received from another dispatcher.
    pub fn on_tokens_moved(&self, direction: &str, moved: &[TeamTokens]) {
        let micros: u64 = moved.iter().map(|moved| moved.tokens.as_micros()).sum();
        let counter = self.tokens_moved.with_label_values(&[direction]);
        counter.inc_by(micros as f64 / MICROS_PER_TOKEN as f64);
    }

    /// Counts a permit request that was refused because its team is over its rate.
    pub fn on_over_rate(&self) {
        self.over_rate.inc();
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn text(&self) -> Result<String, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}
