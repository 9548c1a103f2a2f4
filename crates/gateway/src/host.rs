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
    store_loop,
    task_supervisor::supervise, //
};

/// Stack size of a runtime thread, in bytes. Ordinary work takes up to 480 KB of it; only pages that were used count as
/// memory.
pub const RUNTIME_STACK_BYTES: usize = 2 << 20;

/// Largest request head accepted from a caller, in bytes. Configurations specify 16 KiB.
const HEAD_BYTES_MAX: usize = 32 << 10;

/// Longest time for a request head to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of caller connections: half of a small host's file descriptors.
const CONNECTIONS_MAX: usize = 2000;

/// Delay between reporting unready and closing idle connections during a planned stop. The load balancer
/// checks once a second and removes a host after two failed checks.
const READINESS_DELAY: Duration = Duration::from_millis(2600);

/// Time between the forced close of open connections and the platform's kill.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Time before the forced close of connections by which callers get an answer: the connection is closed once the caller
/// has it, and a close with unread bytes would reset the connection.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Hosts that are notified of a planned stop directly. Gossip carries the notice to the others.
const HOSTS_NOTIFIED: usize = 4;

/// Interval at which expired idle connections to targets are closed.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// An error that prevents the process from starting.
#[derive(Debug, Error)]
pub enum HostError {
    /// An address is in use or does not belong to this machine.
    #[error("cannot listen for {purpose} at {address}: {source}")]
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// The address that could not be bound.
        address: SocketAddr,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// Registering the metrics failed.
    #[error("cannot register the metrics: {0}")]
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
    tasks: JoinSet<()>,
}

impl GatewayHost {
    /// Binds all addresses and starts the server and background tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the addresses cannot be bound or the metrics cannot be registered.
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
                .saturating_sub(READINESS_DELAY + STOP_MARGIN),
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
            // The operating system assigned the port.
            let chosen = peer_server.address();
            settings.peer_address = chosen.map_err(listen_error("other hosts", peer))?;
        }
        let metrics = GatewayMetrics::new()?;
        let peer_server = peer_server.with_observer(metrics.traffic().answer_observer());
        let state = Arc::new(GatewayState::new(settings, clock, metrics));
        let stop = watch::Sender::new(false);
        let handler_state = state.clone();
        let handler = move |request| ingress::answer(handler_state.clone(), request);
        let server = tokio::spawn(server.serve(handler, stop.subscribe()));
        let mut tasks = spawn_tasks(&state, ready_listener);
        let (message_state, peer_stop) = (state.clone(), watch::Sender::new(false));
        tasks.spawn(async move {
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
            tasks,
        })
    }

    /// Serves the metrics at an additional address and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve_metrics(&mut self, address: SocketAddr) -> Result<SocketAddr, HostError> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(listen_error("metrics", address))?;
        let bound = listener
            .local_addr()
            .map_err(listen_error("metrics", address))?;
        let state = self.state.clone();
        self.tasks.spawn(async move {
            if let Err(error) = ready_service::serve_metrics(state, listener).await {
                log::error!("event=metrics_service_ended error=\"{error}\"");
            }
        });
        Ok(bound)
    }

    /// Returns the bound address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the state shared by all tasks.
    pub fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }

    /// Waits until a server of this process ends, which it does only because of an error. The process must end then, so
    /// that the platform starts it again: it would stay in rotation without serving.
    pub async fn until_failed(&mut self) {
        tokio::select! {
            ended = &mut self.server => log::error!("event=caller_server_ended result=\"{ended:?}\""),
            ended = self.tasks.join_next() => log::error!("event=server_ended result=\"{ended:?}\""),
        }
    }

    /// Stops the process: reports unready, notifies other hosts, closes idle connections after a delay and
    /// waits for the requests in progress.
    ///
    /// Returns `true` if all requests completed within the stop limit.
    pub async fn stop(mut self) -> bool {
        let stop_limit = self.state.settings.stop_limit;
        let answer_limit = stop_limit.saturating_sub(STOP_MARGIN + ANSWER_TIME);
        self.state.begin_stop(answer_limit);
        let others = self.state.gossip.records().into_iter().skip(1);
        for record in others.take(HOSTS_NOTIFIED) {
            // Runs in the background: waiting for a host that is down would use up the stop limit.
            let state = self.state.clone();
            self.tasks
                .spawn(async move { gossip_loop::exchange_records(&state, record.address).await });
        }
        tokio::time::sleep(READINESS_DELAY).await;
        self.stop.send_replace(true);
        let is_drained = matches!((&mut self.server).await, Ok(true));
        self.tasks.shutdown().await;
        is_drained
    }
}

/// Refuses forwarded requests: each gateway host sends its requests to targets itself.
async fn refuse_forward<B>(_: ForwardHead, _: http::Request<B>) -> Response<ProxyBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}

async fn sweep_connections(state: Arc<GatewayState>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        state.connections.sweep(state.now());
        let refused = state.store_cache.refused_documents().count();
        state.metrics.on_refused_documents(refused);
        state.metrics.on_store_era(state.store_cache.era());
        let index = state.store_cache.index();
        if let Some(index) = index {
            state.metrics.on_config(index.config().version().get());
        }
    }
}

/// Spawns a background task that is started again whenever it ends.
fn spawn_supervised<F>(
    tasks: &mut JoinSet<()>,
    state: &Arc<GatewayState>,
    name: &'static str,
    start: impl Fn(Arc<GatewayState>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let state = state.clone();
    tasks.spawn(supervise(name, move || start(state.clone())));
}

fn spawn_tasks(state: &Arc<GatewayState>, ready_listener: TcpListener) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    spawn_supervised(&mut tasks, state, "gossip", gossip_loop::gossip);
    spawn_supervised(&mut tasks, state, "follow", follow_loop::follow);
    spawn_supervised(&mut tasks, state, "store", store_loop::read);
    spawn_supervised(&mut tasks, state, "queues", permit_service::serve_queues);
    spawn_supervised(&mut tasks, state, "sweep", sweep_connections);
    let ready_state = state.clone();
    tasks.spawn(async move {
        if let Err(error) = ready_service::serve(ready_state, ready_listener).await {
            log::error!("event=ready_service_ended error=\"{error}\"");
        }
    });
    tasks
}
