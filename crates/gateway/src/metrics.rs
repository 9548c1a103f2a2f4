//! Prometheus counters and histograms.

use std::time::Duration;

use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use prometheus::{
    Encoder,
    HistogramOpts,
    HistogramVec,
    IntCounter,
    IntCounterVec,
    IntGauge,
    Opts,
    Registry,
    TextEncoder, //
};

use crate::copy_use::CopyUse;

/// Upper bounds of the latency buckets, in seconds. They range from a response without a target to the
/// longest deadline.
const LATENCY_BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2.0, 4.0];

/// Upper bounds of the buckets for the age of the copy of the store, in seconds. The platform's bounds are 2 to 3 s.
const COPY_AGE_BUCKETS: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 2.5];

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
    refused_documents: IntCounter,
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
        let metrics = Self {
            registry: Registry::new(),
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
            refused_documents: IntCounter::new(
                "gateway_documents_refused_total",
                "Documents of the store that could not be decoded, counted at each read.",
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
        registry.register(Box::new(metrics.refused_documents.clone()))?;
        Ok(metrics)
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

    /// Raises the counter of refused documents to a total.
    pub fn on_refused_documents(&self, total: u64) {
        let counted = self.refused_documents.get();
        self.refused_documents.inc_by(total.saturating_sub(counted));
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
