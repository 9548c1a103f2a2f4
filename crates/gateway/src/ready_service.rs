//! HTTP endpoints for readiness checks and metrics.

use std::sync::Arc;

use axum::{
    Router,
    extract::State,
    http::StatusCode,
    routing::get, //
};
use chicorycroft_adapter::headers::READY_PATH;
use tokio::net::TcpListener;

use crate::state::{
    GatewayState,
    HostReadiness, //
};

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

async fn ready(State(state): State<Arc<GatewayState>>) -> (StatusCode, String) {
    match state.readiness() {
        HostReadiness::Ready => (StatusCode::OK, "ready\n".to_owned()),
        reason => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}

async fn metrics(State(state): State<Arc<GatewayState>>) -> Result<String, (StatusCode, String)> {
    state.metrics.on_queues(&state.dispatcher.queue_totals());
    let text = state.metrics.text();
    text.map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
}

/// Serves readiness checks and metrics.
///
/// # Errors
///
/// Returns an error if the listening socket fails.
pub async fn serve(state: Arc<GatewayState>, listener: TcpListener) -> std::io::Result<()> {
    let router = Router::new()
        .route(READY_PATH, get(ready))
        .route(METRICS_PATH, get(metrics))
        .with_state(state);
    axum::serve(listener, router).await
}

/// Serves only the metrics.
///
/// # Errors
///
/// Returns an error if the listening socket fails.
pub async fn serve_metrics(state: Arc<GatewayState>, listener: TcpListener) -> std::io::Result<()> {
    let router = Router::new().route(METRICS_PATH, get(metrics));
    axum::serve(listener, router.with_state(state)).await
}
