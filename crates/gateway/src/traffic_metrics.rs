//! Metrics and log lines of the messages between hosts and of the answers of the store.
//!
//! Answers that arrive in part and are then given up fill a link without any use, so they are counted apart.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_peer::prelude::*;
use prometheus::{
    HistogramOpts,
    HistogramVec,
    IntCounterVec,
    Opts,
    Registry, //
};

/// Upper bounds of the buckets for the time of a call, in seconds. A dispatcher counts as lost after 0.15 s without a
/// permit, and a long poll takes about a second at most.
const CALL_BUCKETS: [f64; 9] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 1.2];

/// Counters of bytes and times of calls.
#[derive(Clone, Debug)]
pub struct TrafficMetrics {
    peer_bytes: IntCounterVec,
    discarded_bytes: IntCounterVec,
    call_time: HistogramVec,
    store_bytes: IntCounterVec,
    store_time: HistogramVec,
}

impl TrafficMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric name is invalid or registered twice.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let opts = HistogramOpts::new(name, help).buckets(CALL_BUCKETS.to_vec());
            HistogramVec::new(opts, labels)
        };
        let metrics = Self {
            peer_bytes: IntCounterVec::new(
                Opts::new(
                    "gateway_peer_bytes_total",
                    "Bytes of messages between hosts, by direction and kind.",
                ),
                &["direction", "kind"],
            )?,
            discarded_bytes: IntCounterVec::new(
                Opts::new(
                    "gateway_peer_discarded_bytes_total",
                    "Bytes of answers of other hosts that arrived in part, by kind.",
                ),
                &["kind"],
            )?,
            call_time: histogram(
                "gateway_peer_call_seconds",
                "Time of calls to other hosts, by kind and outcome.",
                &["kind", "outcome"],
            )?,
            store_bytes: IntCounterVec::new(
                Opts::new(
                    "gateway_store_bytes_total",
                    "Bytes of answers of the store, by part.",
                ),
                &["part"],
            )?,
            store_time: histogram(
                "gateway_store_answer_seconds",
                "Time of calls to the store, with the wait of a watch, by part.",
                &["part"],
            )?,
        };
        registry.register(Box::new(metrics.peer_bytes.clone()))?;
        registry.register(Box::new(metrics.discarded_bytes.clone()))?;
        registry.register(Box::new(metrics.call_time.clone()))?;
        registry.register(Box::new(metrics.store_bytes.clone()))?;
        registry.register(Box::new(metrics.store_time.clone()))?;
        Ok(metrics)
    }

    fn on_peer_bytes(&self, direction: &str, kind: MessageKind, count: ByteCount) {
        let bytes = self
            .peer_bytes
            .with_label_values(&[direction, &*kind.to_string()]);
        bytes.inc_by(count.get());
    }

    /// Records a call to another host, and logs an answer that arrived in part.
    fn on_call(&self, report: &CallReport) {
        let kind = report.kind.to_string();
        self.on_peer_bytes("sent", report.kind, report.sent);
        self.on_peer_bytes("received", report.kind, report.received);
        let time = self
            .call_time
            .with_label_values(&[&*kind, &*report.outcome.to_string()]);
        time.observe(report.elapsed.as_secs_f64());
        if report.outcome == CallOutcome::Answered || report.received == ByteCount::default() {
            return;
        }
        let discarded = self.discarded_bytes.with_label_values(&[&*kind]);
        discarded.inc_by(report.received.get());
        log::info!(
            "event=peer_answer_discarded kind={kind} outcome={} bytes={} elapsed_ms={}",
            report.outcome,
            report.received,
            report.elapsed.as_millis()
        );
    }

    /// Returns an observer that records the calls to other hosts.
    pub fn call_observer(&self) -> CallObserver {
        let metrics = self.clone();
        CallObserver::new(move |report| metrics.on_call(report))
    }

    /// Returns an observer that records the answers to other hosts.
    pub fn answer_observer(&self) -> AnswerObserver {
        let metrics = self.clone();
        AnswerObserver::new(move |report| {
            metrics.on_peer_bytes("received", report.kind, report.received);
            metrics.on_peer_bytes("sent", report.kind, report.sent);
        })
    }

    /// Records an answer of the store.
    pub fn on_store_answer(&self, part: StorePart, size: ByteCount, elapsed: Duration) {
        let part = part.to_string();
        let bytes = self.store_bytes.with_label_values(&[&*part]);
        bytes.inc_by(size.get());
        let time = self.store_time.with_label_values(&[&*part]);
        time.observe(elapsed.as_secs_f64());
    }
}
