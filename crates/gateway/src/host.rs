//! Starts and stops a gateway process.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_proxy::prelude::*;
use http::{
    Response,
    StatusCode, //
};
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
    clock::GatewayClock,
    follow_loop,
    gossip_loop,
    ingress,
    metrics::GatewayMetrics,
    peer_service,
    permit_service,
    ready_service,
    state::GatewayState,
    store_loop, //
};

/// Largest head of a caller's request, in bytes. Configurations state 16 KiB.
const HEAD_BYTES_MAX: usize = 32 << 10;

/// Longest time in which a head must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Most connections of callers: half of a small host's descriptors.
const CONNECTIONS_MAX: usize = 2000;

/// Time between the turn of readiness and the close of idle connections at a planned stop. The balancer
/// asks once a second and goes by two misses.
const READINESS_NOTICE: Duration = Duration::from_millis(2600);

/// Time before the kill at which open connections are closed by force.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Hosts that are told of a planned stop at once; the others hear of it from them.
const HOSTS_TOLD: usize = 4;

/// Time between sweeps of idle connections to targets.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Why a process does not start.
#[derive(Debug, Error)]
pub enum HostError {
    /// An address is not free or not on this machine.
    #[error("cannot listen for {purpose} at {address}: {source}")]
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

fn listen_error(
    purpose: &'static str,
    address: SocketAddr,
) -> impl Fn(std::io::Error) -> HostError {
    move |source| HostError::Listen {
        purpose,
        address,
        source,
    }
}

/// A running gateway process.
#[derive(Debug)]
pub struct GatewayHost {
    state: Arc<GatewayState>,
    caller_address: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<bool>,
    loops: JoinSet<()>,
}

impl GatewayHost {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails when one of its addresses is not free.
    pub async fn start(
        mut settings: GatewaySettings,
        clock: GatewayClock,
    ) -> Result<Self, HostError> {
        let caller = settings.caller_listen;
        let limits = ServerLimits {
            head_bytes_max: HEAD_BYTES_MAX,
            head_timeout: HEAD_TIMEOUT,
            connections_max: CONNECTIONS_MAX,
            drain_limit: settings
                .stop_limit
                .saturating_sub(READINESS_NOTICE + STOP_MARGIN),
        };
        let server = CallerServer::new(caller, limits).await;
        let server = server.map_err(listen_error("callers", caller))?;
        let caller_address = server.address().map_err(listen_error("callers", caller))?;
        let ready = settings.ready_listen;
        let ready_listener = TcpListener::bind(ready).await;
        let ready_listener = ready_listener.map_err(listen_error("readiness", ready))?;
        let peer = settings.peer_listen;
        let peer_server = PeerServer::new(peer).await;
        let peer_server = peer_server.map_err(listen_error("other hosts", peer))?;
        if settings.peer_address.port() == 0 {
            // The system chose the port.
            let chosen = peer_server.address();
            settings.peer_address = chosen.map_err(listen_error("other hosts", peer))?;
        }
        let state = Arc::new(GatewayState::new(settings, clock, GatewayMetrics::new()?));
        let stop = watch::Sender::new(false);
        let handler_state = state.clone();
        let handler = move |request| ingress::answer(handler_state.clone(), request);
        let server = tokio::spawn(server.serve(handler, stop.subscribe()));
        let mut loops = start_loops(&state, ready_listener);
        let (message_state, peer_stop) = (state.clone(), watch::Sender::new(false));
        loops.spawn(async move {
            let stop = peer_stop.subscribe();
            let on_message =
                move |message| peer_service::on_message(message_state.clone(), message);
            peer_server.serve(on_message, refuse_forward, stop).await;
        });
        Ok(Self {
            state,
            caller_address,
            stop,
            server,
            loops,
        })
    }

    /// Serves the metrics at an address of their own besides the readiness address.
    ///
    /// # Errors
    ///
    /// Fails when the address is not free.
    pub async fn serve_metrics(&mut self, address: SocketAddr) -> Result<SocketAddr, HostError> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(listen_error("metrics", address))?;
        let bound = listener
            .local_addr()
            .map_err(listen_error("metrics", address))?;
        let state = self.state.clone();
        self.loops.spawn(async move {
            if let Err(error) = ready_service::serve_metrics(state, listener).await {
                log::error!("event=metrics_service_ended error=\"{error}\"");
            }
        });
        Ok(bound)
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the shared state.
    pub fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }

    /// Stops the process: readiness turns and other hosts are told, idle connections close after a
    /// notice time, and requests run to their end.
    ///
    /// Returns whether all requests ended within the limit.
    pub async fn stop(mut self) -> bool {
        self.state.begin_stop();
        let others = self.state.gossip.records().into_iter().skip(1);
        for record in others.take(HOSTS_TOLD) {
            // A host that is down must not take time from the requests under way.
            let state = self.state.clone();
            self.loops
                .spawn(async move { gossip_loop::exchange(&state, record.address).await });
        }
        tokio::time::sleep(READINESS_NOTICE).await;
        self.stop.send_replace(true);
        let is_drained = matches!((&mut self.server).await, Ok(true));
        self.loops.shutdown().await;
        is_drained
    }
}

/// Gateway hosts send their requests to targets by themselves.
async fn refuse_forward<B>(_: ForwardHead, _: http::Request<B>) -> Response<ProxyBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}

async fn sweep(state: Arc<GatewayState>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        state.connections.sweep(state.now());
        let index = state.knowledge.index();
        if let Some(index) = index {
            state.metrics.on_config(index.config().version().get());
        }
    }
}

fn start_loops(state: &Arc<GatewayState>, ready_listener: TcpListener) -> JoinSet<()> {
    let mut loops = JoinSet::new();
    loops.spawn(gossip_loop::gossip(state.clone()));
    loops.spawn(follow_loop::follow(state.clone()));
    loops.spawn(store_loop::read(state.clone()));
    loops.spawn(permit_service::serve_queues(state.clone()));
    loops.spawn(sweep(state.clone()));
    let ready_state = state.clone();
    loops.spawn(async move {
        if let Err(error) = ready_service::serve(ready_state, ready_listener).await {
            log::error!("event=ready_service_ended error=\"{error}\"");
        }
    });
    loops
}
