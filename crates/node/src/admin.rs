//! Health, readiness, metrics, status, explanations and planned stops over HTTP.
//!
//! The address is for operators and the platform's balancer, and the settings keep it on loopback
//! unless they say otherwise. No answer holds a key or a digest of one.

use std::{
    fmt,
    sync::Arc, //
};

use axum::{
    Json,
    Router, //
    extract::{
        Query,
        State, //
    },
    http::{
        StatusCode, //
        header::CONTENT_TYPE,
    },
    response::{
        IntoResponse,
        Response, //
    },
    routing::{
        get,
        post, //
    },
};
use chicorycroft_border::generated::{
    explain::ExplainDocument,
    status::StatusDocument, //
};
use tokio::{
    net::TcpListener,
    sync::watch, //
};

use crate::{
    decision_log::DecisionLine,
    metrics::HostMetrics,
    status::{
        ExplainQuery,
        HostStatus, //
        count_targets,
        explain_document,
        status_document,
    },
};

/// What the admin address needs of the host.
pub struct AdminCalls {
    collect: Box<dyn Fn() -> HostStatus + Send + Sync>,
    metrics: Arc<HostMetrics>,
    drain: watch::Sender<bool>,
}

impl fmt::Debug for AdminCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdminCalls(..)")
    }
}

impl AdminCalls {
    /// Joins a collector of facts, the metrics, and the watch that a planned stop sets.
    pub fn new(
        collect: impl Fn() -> HostStatus + Send + Sync + 'static,
        metrics: Arc<HostMetrics>,
        drain: watch::Sender<bool>,
    ) -> Self {
        Self {
            collect: Box::new(collect),
            metrics,
            drain,
        }
    }

    /// Copies the facts of this moment into the gauges.
    fn refresh_gauges(&self) {
        let status = (self.collect)();
        let metrics = &self.metrics;
        metrics.set_readiness(status.unready_reason.is_none(), status.is_stopping);
        if let Some(view) = &status.view {
            metrics.set_config_version(view.snapshot().version());
        }
        let (count_in, count_out) = count_targets(&status);
        metrics.set_targets("in", count_in);
        metrics.set_targets("out", count_out);
        let facts = || status.targets.values();
        let in_use = facts()
            .filter_map(|facts| facts.in_use)
            .map(u64::from)
            .sum();
        let limit = facts().filter_map(|facts| facts.limit).map(u64::from).sum();
        metrics.set_slots("in_use", in_use);
        metrics.set_slots("limit", limit);
        metrics.set_peers("listed", status.peers.len());
        let is_live = |state: &str| state == "live";
        let live = status
            .peers
            .iter()
            .filter(|peer| is_live(peer.state))
            .count();
        metrics.set_peers("live", live);
    }
}

/// Serves the admin address until the task is dropped.
///
/// # Errors
///
/// Fails when the listener fails.
pub async fn serve(calls: AdminCalls, listener: TcpListener) -> std::io::Result<()> {
    let router = Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(readiness))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .route("/explain", get(explain))
        .route("/drain", post(drain))
        .with_state(Arc::new(calls));
    axum::serve(listener, router).await
}

async fn readiness(State(calls): State<Arc<AdminCalls>>) -> (StatusCode, String) {
    match (calls.collect)().unready_reason {
        None => (StatusCode::OK, "ready\n".into()),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}

async fn metrics(State(calls): State<Arc<AdminCalls>>) -> Response {
    calls.refresh_gauges();
    match calls.metrics.encode() {
        Ok(text) => ([(CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn status(State(calls): State<Arc<AdminCalls>>) -> Json<StatusDocument> {
    Json(status_document(&(calls.collect)()))
}

async fn explain(
    State(calls): State<Arc<AdminCalls>>,
    Query(query): Query<ExplainQuery>,
) -> Json<ExplainDocument> {
    Json(explain_document(&(calls.collect)(), &query))
}

async fn drain(State(calls): State<Arc<AdminCalls>>) -> (StatusCode, &'static str) {
    if calls.drain.send_replace(true) {
        return (StatusCode::ACCEPTED, "the planned stop has begun before\n");
    }
    DecisionLine::new("drain_requested").info();
    (StatusCode::ACCEPTED, "the planned stop begins\n")
}
