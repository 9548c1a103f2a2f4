//! Starts and stops a host.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use chicorycroft_border::prelude::*;
use chicorycroft_platform::prelude::*;
use chicorycroft_proxy::prelude::*;
use indexmap::IndexMap;
use thiserror::Error;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinSet, //
};

use crate::{
    admin::{
        self,
        AdminCalls, //
    },
    clock::HostClock,
    config_loop,
    decision_log::DecisionLine,
    dispatch,
    metrics::HostMetrics,
    state::HostState,
    status::HostStatus, //
};

/// Why a host does not start.
#[derive(Debug, Error)]
pub enum HostError {
    /// An address is not free or not on this machine.
    #[error("cannot listen for {purpose} at {address}: {source}; choose another address")]
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[error("the metrics cannot be set up: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Collects what the admin address shows.
fn collect_status(state: &HostState, is_stopping: bool) -> HostStatus {
    let view = state.view();
    let unready_reason = match &view {
        _ if is_stopping => Some("a planned stop has begun".into()),
        None => Some("no configuration yet".into()),
        Some(view) if view.is_host_stopping(&state.settings.host) => {
            Some("a booking stops this host".into())
        }
        Some(_) => None,
    };
    HostStatus {
        host: state.settings.host.clone(),
        zone: state.settings.zone.clone(),
        unready_reason,
        is_stopping,
        at: state.clock.unix(),
        view,
        refused_version: None,
        targets: IndexMap::new(),
        teams: state.metrics.team_counts(),
        peers: Vec::new(),
    }
}

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    state: Arc<HostState>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    stop: watch::Sender<bool>,
    drain: watch::Sender<bool>,
    server: tokio::task::JoinHandle<bool>,
    loops: JoinSet<()>,
}

impl EntryHost {
    /// Starts a host.
    ///
    /// # Errors
    ///
    /// Fails when one of its addresses is not free.
    pub async fn start(
        settings: HostSettings,
        platform: PlatformClient,
        clock: HostClock,
    ) -> Result<Self, HostError> {
        let limits = ServerLimits {
            head_bytes_max: settings.head_bytes_max,
            head_timeout: settings.head_timeout,
            connections_max: settings.connections_max,
            drain_limit: settings.drain_limit,
        };
        let listen_error = |purpose, address| {
            move |source| HostError::Listen {
                purpose,
                address,
                source,
            }
        };
        let caller = settings.caller_listen;
        let server = CallerServer::new(caller, limits)
            .await
            .map_err(listen_error("callers", caller))?;
        let caller_address = server.address().map_err(listen_error("callers", caller))?;
        let admin = settings.admin_listen;
        let admin_error = listen_error("operators", admin);
        let admin_listener = TcpListener::bind(admin).await.map_err(&admin_error)?;
        let admin_address = admin_listener.local_addr().map_err(&admin_error)?;
        let state = Arc::new(HostState::new(settings, clock, HostMetrics::new()?));
        let platform = Arc::new(platform);
        let mut loops = JoinSet::new();
        loops.spawn(config_loop::follow(state.clone(), platform));
        loops.spawn(config_loop::apply_bookings(state.clone()));
        let drain = watch::Sender::new(false);
        let (admin_state, is_stopping) = (state.clone(), drain.subscribe());
        let collect = move || collect_status(&admin_state, *is_stopping.borrow());
        let calls = AdminCalls::new(collect, state.metrics.clone(), drain.clone());
        loops.spawn(async move {
            if let Err(error) = admin::serve(calls, admin_listener).await {
                DecisionLine::new("admin_ended").with("error", error).warn();
            }
        });
        let stop = watch::Sender::new(false);
        let handler_state = state.clone();
        let handler = move |request| dispatch::handle(handler_state.clone(), request);
        let server = tokio::spawn(server.serve(handler, stop.subscribe()));
        Ok(Self {
            state,
            caller_address,
            admin_address,
            stop,
            drain,
            server,
            loops,
        })
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the admin address.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the shared state.
    pub fn state(&self) -> &Arc<HostState> {
        &self.state
    }

    /// Waits until operators ask for a planned stop at the admin address.
    pub async fn drain_requested(&self) {
        // The sender lives as long as the host, so that the wait does not fail.
        let _ = self.drain.subscribe().wait_for(|&is_asked| is_asked).await;
    }

    /// Stops the host: no new connections, requests run to their end.
    ///
    /// Returns whether all requests ended within the drain limit.
    pub async fn stop(mut self) -> bool {
        self.drain.send_replace(true);
        self.stop.send_replace(true);
        let is_drained = self.server.await.unwrap_or(false);
        self.loops.shutdown().await;
        is_drained
    }
}
