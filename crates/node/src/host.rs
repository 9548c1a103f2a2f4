//! Starts and stops an entry host.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use chicorycroft_border::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_platform::prelude::*;
use chicorycroft_proxy::prelude::*;
use http::{
    HeaderValue,
    Request,
    Response,
    Version,
    header::CONNECTION, //
};
use hyper::body::Incoming;
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
        AdminContext, //
    },
    clock::HostClock,
    config_loop,
    config_watch,
    decision_log::DecisionLine,
    handover,
    health_loop,
    ingress,
    member_loop,
    metrics::HostMetrics,
    peer_service,
    roster_loop,
    state::HostState,
    status_facts::collect_status,
    token_loop, //
};

/// Error at the start of a host.
#[derive(Debug, Error)]
pub enum HostError {
    /// An address is in use or does not belong to this machine.
    #[error("cannot listen for {purpose} at {address}: {source}; choose another address")]
    Listen {
        /// Who connects to the address.
        purpose: &'static str,
        /// The address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A metric cannot be registered.
    #[error("cannot register the metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Time from the loss of readiness to the close of idle connections at a planned stop.
///
/// The balancer detects the loss of readiness within it. A request that is sent while its idle
/// HTTP/1.1 connection closes is lost, although the host has read nothing of it.
const IDLE_CLOSE_DELAY: Duration = Duration::from_secs(1);

/// Answers a caller. During a planned stop, HTTP/1.1 responses carry `Connection: close`.
async fn answer_caller(state: Arc<HostState>, request: Request<Incoming>) -> Response<ProxyBody> {
    let version = request.version();
    let mut response = ingress::handle(state.clone(), request).await;
    if state.is_stopping() && version < Version::HTTP_2 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
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
    /// Returns an error if one of its addresses cannot be bound or a metric cannot be registered.
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
        let handler = move |request| answer_caller(handler_state.clone(), request);
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

    /// Returns the address of the admin server.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the state that the tasks of the host share.
    pub fn state(&self) -> &Arc<HostState> {
        &self.state
    }

    /// Waits until a planned stop is requested by `POST /drain` or a booking.
    pub async fn drain_requested(&self) {
        // The sender lives as long as the host, so that the wait cannot fail.
        let _ = self
            .drain
            .subscribe()
            .wait_for(|&is_requested| is_requested)
            .await;
    }

    /// Returns the address that other hosts connect to.
    pub fn peer_address(&self) -> SocketAddr {
        self.state.peer_address
    }

    /// Stops the host: it is no longer ready, hands its targets over, closes idle connections after
    /// a delay, and completes the requests of callers and those that other hosts forward.
    ///
    /// Returns `true` if all requests ended within the drain limit.
    pub async fn stop(mut self) -> bool {
        self.drain.send_replace(true);
        self.state.begin_stop();
        let limit = self.state.settings.drain_limit;
        let handover = handover::hand_over_all(&self.state, limit);
        let (stop, server) = (&self.stop, &mut self.server);
        let close_connections = async move {
            tokio::time::sleep(IDLE_CLOSE_DELAY.min(limit)).await;
            stop.send_replace(true);
            server.await
        };
        let ((), server) = tokio::join!(handover, close_connections);
        self.peer_stop.send_replace(true);
        let peer_server = (&mut self.peer_server).await;
        self.loops.shutdown().await;
        matches!((server, peer_server), (Ok(true), Ok(true)))
    }

    /// Ends the host at once and closes its open connections, as a crash does.
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
    let platform = Arc::new(platform.with_budget(state.config.call_budget()));
    let mut loops = JoinSet::new();
    loops.spawn(config_watch::watch(state.clone(), platform.clone()));
    loops.spawn(config_watch::query_peers(state.clone()));
    loops.spawn(config_loop::adopt(state.clone(), platform.clone()));
    loops.spawn(config_loop::apply_bookings(state.clone(), drain.clone()));
    loops.spawn(roster_loop::read_roster(state.clone(), platform));
    loops.spawn(member_loop::sweep(state.clone()));
    loops.spawn(member_loop::heartbeat(state.clone()));
    loops.spawn(member_loop::tick(state.clone()));
    loops.spawn(health_loop::tick(state.clone()));
    loops.spawn(token_loop::run_refills(state.clone()));
    loops.spawn(token_loop::run_broker(state.clone()));
    let admin_state = state.clone();
    let collect = move || collect_status(&admin_state);
    let context = AdminContext::new(collect, state.metrics.clone(), drain.clone());
    loops.spawn(async move {
        if let Err(error) = admin::serve(context, admin_listener).await {
            DecisionLine::new("admin_ended").with("error", error).warn();
        }
    });
    loops
}
