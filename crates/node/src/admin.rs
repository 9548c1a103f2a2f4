//! Health, readiness, metrics and status, for operators and the platform's balancer.

use std::sync::Arc;

use axum::{
    Router, //
    extract::State,
    http::StatusCode,
    routing::get,
};
use tokio::net::TcpListener;

use crate::state::HostState;

/// Serves the admin address until the task is dropped.
///
/// # Errors
///
/// Fails when the listener fails.
pub async fn serve(state: Arc<HostState>, listener: TcpListener) -> std::io::Result<()> {
    let router = Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(readiness))
        .with_state(state);
    axum::serve(listener, router).await
}

async fn readiness(State(state): State<Arc<HostState>>) -> (StatusCode, &'static str) {
    match state.is_ready() {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}
