//! HTTP server for health, readiness, metrics, status, explanations and planned stops.
//!
//! The address is for operators and the platform's balancer. By default the settings bind it to
//! loopback. No response contains a key or the digest of a key.

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
        StatusCode,
        header::CONTENT_TYPE, //
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
        HostStatus,
        count_targets,
        explain_document,
        status_document, //
    },
};

/// State of the admin server.
pub struct AdminContext {
    collect: Box<dyn Fn() -> HostStatus + Send + Sync>,
    metrics: Arc<HostMetrics>,
    drain: watch::Sender<bool>,
}

impl fmt::Debug for AdminContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdminContext(..)")
    }
}

impl AdminContext {
    /// Creates the state from a collector of facts, the metrics, and the watch that starts a planned
    /// stop.
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

    /// Updates the gauges from the current facts.
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
/// Returns an error if the listener fails.
pub async fn serve(context: AdminContext, listener: TcpListener) -> std::io::Result<()> {
    let router = Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(readiness))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .route("/explain", get(explain))
        .route("/drain", post(drain))
        .with_state(Arc::new(context));
    axum::serve(listener, router).await
}

async fn readiness(State(context): State<Arc<AdminContext>>) -> (StatusCode, String) {
    match (context.collect)().unready_reason {
        None => (StatusCode::OK, "ready\n".into()),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}

async fn metrics(State(context): State<Arc<AdminContext>>) -> Response {
    context.refresh_gauges();
    match context.metrics.encode() {
        Ok(text) => ([(CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn status(State(context): State<Arc<AdminContext>>) -> Json<StatusDocument> {
    Json(status_document(&(context.collect)()))
}

async fn explain(
    State(context): State<Arc<AdminContext>>,
    Query(query): Query<ExplainQuery>,
) -> Json<ExplainDocument> {
    Json(explain_document(&(context.collect)(), &query))
}

async fn drain(State(context): State<Arc<AdminContext>>) -> (StatusCode, &'static str) {
    if context.drain.send_replace(true) {
        return (StatusCode::ACCEPTED, "the planned stop has begun before\n");
    }
    DecisionLine::new("drain_requested").info();
    (StatusCode::ACCEPTED, "the planned stop begins\n")
}
