//! Starts and stops a host.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use chicorycroft_border::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_platform::prelude::*;
use chicorycroft_proxy::prelude::*;
use thiserror::Error;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{
        JoinHandle,
        JoinSet, //
    },
};

use crate::{
    admin::{
        self,
        AdminCalls, //
    },
    clock::HostClock,
    config_loop,
    decision_log::DecisionLine,
    handover,
    ingress,
    member_loop,
    metrics::HostMetrics,
    peer_service,
    state::HostState,
    status_facts::collect_status,
    token_loop, //
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

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    state: Arc<HostState>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    drain: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    peer_stop: watch::Sender<bool>,
    server: JoinHandle<bool>,
    peer_server: JoinHandle<bool>,
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
        let peer = settings.peer_listen;
        let peer_error = listen_error("other hosts", peer);
        let peer_server = PeerServer::new(peer).await.map_err(&peer_error)?;
        let peer_server = peer_server.with_drain_limit(settings.drain_limit);
        let peer_address = peer_server.address().map_err(&peer_error)?;
        let admin = settings.admin_listen;
        let admin_error = listen_error("operators", admin);
        let admin_listener = TcpListener::bind(admin).await.map_err(&admin_error)?;
        let admin_address = admin_listener.local_addr().map_err(&admin_error)?;
        let state = Arc::new(HostState::new(
            settings,
            peer_address,
            clock,
            HostMetrics::new()?,
        ));
        let drain = watch::Sender::new(false);
        let loops = start_loops(&state, platform, admin_listener, &drain);
        let (stop, peer_stop) = (watch::Sender::new(false), watch::Sender::new(false));
        let handler_state = state.clone();
        let handler = move |request| ingress::handle(handler_state.clone(), request);
        let server = tokio::spawn(server.serve(handler, stop.subscribe()));
        let (message_state, forward_state) = (state.clone(), state.clone());
        let peer_server = tokio::spawn(peer_server.serve(
            move |message| peer_service::on_message(message_state.clone(), message),
            move |head, request| peer_service::on_forward(forward_state.clone(), head, request),
            peer_stop.subscribe(),
        ));
        Ok(Self {
            state,
            caller_address,
            admin_address,
            stop,
            drain,
            peer_stop,
            server,
            peer_server,
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

    /// Returns the address for other hosts.
    pub fn peer_address(&self) -> SocketAddr {
        self.state.peer_address
    }

    /// Stops the host: readiness turns, owned targets go to other hosts, callers' requests run to
    /// their end, and the other hosts' forwarded requests as well.
    ///
    /// Returns whether all requests ended within the drain limit.
    pub async fn stop(mut self) -> bool {
        self.drain.send_replace(true);
        self.state.begin_stop();
        let limit = self.state.settings.drain_limit;
        let handover = handover::hand_over_all(&self.state, limit);
        self.stop.send_replace(true);
        let ((), server) = tokio::join!(handover, &mut self.server);
        self.peer_stop.send_replace(true);
        let peer_server = (&mut self.peer_server).await;
        self.loops.shutdown().await;
        matches!((server, peer_server), (Ok(true), Ok(true)))
    }

    /// Ends the host at once, as a crash does: open connections are cut.
    pub async fn crash(mut self) {
        self.server.abort();
        self.peer_server.abort();
        self.loops.shutdown().await;
    }
}

fn start_loops(
    state: &Arc<HostState>,
    platform: PlatformClient,
    admin_listener: TcpListener,
    drain: &watch::Sender<bool>,
) -> JoinSet<()> {
    let platform = Arc::new(platform);
    let mut loops = JoinSet::new();
    loops.spawn(config_loop::follow(state.clone(), platform.clone()));
    loops.spawn(config_loop::apply_bookings(state.clone()));
    loops.spawn(member_loop::read_roster(state.clone(), platform));
    loops.spawn(member_loop::heartbeat(state.clone()));
    loops.spawn(member_loop::tick(state.clone()));
    loops.spawn(token_loop::draw(state.clone()));
    loops.spawn(token_loop::poll(state.clone()));
    let admin_state = state.clone();
    let collect = move || collect_status(&admin_state);
    let calls = AdminCalls::new(collect, state.metrics.clone(), drain.clone());
    loops.spawn(async move {
        if let Err(error) = admin::serve(calls, admin_listener).await {
            DecisionLine::new("admin_ended").with("error", error).warn();
        }
    });
    loops
}
