//! Starts and stops a host.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use chicorycroft_border::prelude::*;
use chicorycroft_platform::prelude::*;
use chicorycroft_proxy::prelude::*;
use thiserror::Error;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinSet, //
};

use crate::{
    admin,
    clock::HostClock,
    config_loop,
    decision_log::DecisionLine,
    dispatch,
    state::HostState, //
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
}

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    state: Arc<HostState>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    stop: watch::Sender<bool>,
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
        let state = Arc::new(HostState::new(settings, clock));
        let platform = Arc::new(platform);
        let mut loops = JoinSet::new();
        loops.spawn(config_loop::follow(state.clone(), platform));
        loops.spawn(config_loop::apply_bookings(state.clone()));
        let admin_state = state.clone();
        loops.spawn(async move {
            if let Err(error) = admin::serve(admin_state, admin_listener).await {
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

    /// Stops the host: no new connections, requests run to their end.
    ///
    /// Returns whether all requests ended within the drain limit.
    pub async fn stop(mut self) -> bool {
        self.stop.send_replace(true);
        let is_drained = self.server.await.unwrap_or(false);
        self.loops.shutdown().await;
        is_drained
    }
}
