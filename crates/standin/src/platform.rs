//! An in-memory platform that serves values and hosts over HTTP.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use axum::{
    Json,
    Router, //
    extract::{
        Path,
        Query,
        State, //
    },
    http::StatusCode,
    response::{
        IntoResponse,
        Response, //
    },
    routing::get,
};
use bytes::Bytes;
use chicorycroft_core::prelude::*;
use chicorycroft_platform::{
    http_adapter::{
        HostJson,
        VERSION, //
    },
    prelude::*, //
};
use serde_json::json;
use smol_str::SmolStr;
use tokio::{
    net::TcpListener,
    sync::watch, //
};

/// Time after which a watch without changes ends.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct PlatformState {
    values: HashMap<SmolStr, PlatformValue>,
    hosts: Vec<HostListing>,
    is_down: bool,
    call_count: u64,
}

/// An in-memory platform. Clones share the state.
#[derive(Clone, Debug)]
pub struct StandinPlatform {
    state: Arc<Mutex<PlatformState>>,
    change: watch::Sender<u64>,
}

impl Default for StandinPlatform {
    fn default() -> Self {
        Self::new()
    }
}

impl StandinPlatform {
    /// Creates a platform without values and hosts.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            change: watch::Sender::new(0),
        }
    }

    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a value under the next version of its name and wakes the watches.
    pub fn put(&self, name: &str, content: impl Into<Bytes>) {
        let mut state = self.state();
        let last = state
            .values
            .get(name)
            .map_or(0, |value| value.version.get());
        let value = PlatformValue {
            content: content.into(),
            version: ConfigVersion::new(last + 1),
        };
        state.values.insert(name.into(), value);
        drop(state);
        self.change.send_modify(|count| *count += 1);
    }

    /// Publishes the parts of a configuration version and the index that lists them.
    pub fn publish(&self, version: u64, parts: &[(&str, String)]) {
        let mut entries = Vec::new();
        for (name, content) in parts {
            self.put(name, content.clone());
            entries.push(json!({
                "name": name,
                "version": version,
                "digest": DocumentDigest::of_document(content.as_bytes()).to_string(),
            }));
        }
        self.put(
            "index",
            json!({ "version": version, "parts": entries }).to_string(),
        );
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<HostListing>) {
        self.state().hosts = hosts;
    }

    /// Sets whether the platform rejects all calls with status 503.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
    }

    /// Returns the number of calls so far, including pending watches.
    pub fn call_count(&self) -> u64 {
        self.state().call_count
    }

    fn count_call(&self) -> Result<(), StatusCode> {
        let mut state = self.state();
        state.call_count += 1;
        if state.is_down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }

    /// Returns a client that calls this platform directly, without a network.
    pub fn client(&self) -> PlatformClient {
        let (reader, watcher, lister) = (self.clone(), self.clone(), self.clone());
        let down = || PlatformError::Unreachable {
            reason: "the stand-in is down".into(),
        };
        PlatformClient::new(
            move |name| {
                let platform = reader.clone();
                Box::pin(async move {
                    platform.count_call().map_err(|_| down())?;
                    let value = platform.state().values.get(&name).cloned();
                    value.ok_or(PlatformError::Missing { name })
                })
            },
            move |name, version| {
                let platform = watcher.clone();
                Box::pin(async move {
                    platform.count_call().map_err(|_| down())?;
                    Ok(platform.wait_newer(&name, version).await)
                })
            },
            move || {
                let platform = lister.clone();
                Box::pin(async move {
                    platform.count_call().map_err(|_| down())?;
                    Ok(platform.state().hosts.clone())
                })
            },
        )
    }

    async fn wait_newer(&self, name: &str, version: ConfigVersion) -> Option<PlatformValue> {
        let mut change = self.change.subscribe();
        let newer = async {
            loop {
                change.mark_unchanged();
                let value = self.state().values.get(name).cloned();
                if let Some(value) = value.filter(|value| value.version > version) {
                    return Some(value);
                }
                if change.changed().await.is_err() {
                    return None;
                }
            }
        };
        tokio::time::timeout(WATCH_TIMEOUT, newer)
            .await
            .ok()
            .flatten()
    }

    /// Serves the platform on a listener until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let router = Router::new()
            .route("/v1/values/{*name}", get(serve_value))
            .route("/v1/hosts", get(serve_hosts))
            .with_state(self);
        axum::serve(listener, router).await
    }

    /// Serves the platform on a free loopback port and returns the address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub async fn spawn(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        tokio::spawn(self.clone().serve(listener));
        Ok(address)
    }
}

fn value_response(value: Option<PlatformValue>, absent: StatusCode) -> Response {
    match value {
        Some(value) => {
            let version = [(VERSION, value.version.to_string())];
            (version, value.content).into_response()
        }
        None => absent.into_response(),
    }
}

async fn serve_value(
    State(platform): State<StandinPlatform>,
    Path(name): Path<String>,
    Query(query): Query<HashMap<String, String>>,
) -> Result<Response, StatusCode> {
    platform.count_call()?;
    let Some(newer_than) = query.get("newer_than") else {
        let value = platform.state().values.get(name.as_str()).cloned();
        return Ok(value_response(value, StatusCode::NOT_FOUND));
    };
    let version = newer_than.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
    let value = platform.wait_newer(&name, version).await;
    Ok(value_response(value, StatusCode::NOT_MODIFIED))
}

async fn serve_hosts(
    State(platform): State<StandinPlatform>,
) -> Result<Json<Vec<HostJson>>, StatusCode> {
    platform.count_call()?;
    let hosts = platform.state().hosts.iter().map(HostJson::from).collect();
    Ok(Json(hosts))
}
