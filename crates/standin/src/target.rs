//! A target with slots, a cold start and gray failures on demand.
//!
//! Every run of a request is recorded, so that a test or the demo can tell what ran, how often, at
//! most how many at once, and whether a key ever arrived.

use std::{
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
    Router, //
    body::Body,
    extract::{
        Request,
        State, //
    },
    http::StatusCode,
    response::{
        IntoResponse,
        Response, //
    },
};
use http_body_util::BodyExt;
use indexmap::IndexMap;
use smol_str::SmolStr;
use tokio::{
    net::TcpListener,
    sync::{
        OwnedSemaphorePermit,
        Semaphore, //
    },
    time::Instant, //
};

/// What is wrong with a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetFault {
    /// Nothing.
    #[default]
    None,
    /// Every `n`-th request gets a server error.
    ErrorEvery(u32),
    /// Every answer takes this many times as long.
    SlowBy(u32),
    /// Requests run, but no answer comes.
    Silent,
}

/// Header by which callers of the stand-in name a request, so that repeated runs are seen.
pub const REQUEST_NAME: &str = "x-request-name";

#[derive(Debug)]
struct TargetState {
    fault: TargetFault,
    service_time: Duration,
    started_at: Instant,
    cold_time: Duration,
    request_count: u32,
    at_once: u32,
    at_once_max: u32,
    cold_overloads: u32,
    runs: IndexMap<SmolStr, u32>,
    heads: Vec<String>,
}

/// A target in this process. Clones share the state.
#[derive(Clone, Debug)]
pub struct StandinTarget {
    state: Arc<Mutex<TargetState>>,
    slots: Arc<Semaphore>,
    body_bytes_max: usize,
}

impl StandinTarget {
    /// Makes a warm target with a number of slots and a service time.
    pub fn new(slots: usize, service_time: Duration) -> Self {
        Self {
            state: Arc::new(Mutex::new(TargetState {
                fault: TargetFault::None,
                service_time,
                started_at: Instant::now(),
                cold_time: Duration::ZERO,
                request_count: 0,
                at_once: 0,
                at_once_max: 0,
                cold_overloads: 0,
                runs: IndexMap::new(),
                heads: Vec::new(),
            })),
            slots: Arc::new(Semaphore::new(slots)),
            body_bytes_max: 64 << 20,
        }
    }

    fn state(&self) -> MutexGuard<'_, TargetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what is wrong with the target.
    pub fn set_fault(&self, fault: TargetFault) {
        self.state().fault = fault;
    }

    /// Starts the target anew; for `cold_time` it bears one request at a time.
    pub fn restart_cold(&self, cold_time: Duration) {
        let mut state = self.state();
        state.started_at = Instant::now();
        state.cold_time = cold_time;
    }

    /// Returns how often each named request ran.
    pub fn runs(&self) -> IndexMap<SmolStr, u32> {
        self.state().runs.clone()
    }

    /// Returns the heads of all requests, one header a line.
    pub fn heads(&self) -> Vec<String> {
        self.state().heads.clone()
    }

    /// Returns the number of requests so far, shed ones included.
    pub fn request_count(&self) -> u32 {
        self.state().request_count
    }

    /// Returns the most requests that ran at once.
    pub fn at_once_max(&self) -> u32 {
        self.state().at_once_max
    }

    /// Returns how often a second request came while the target was cold.
    pub fn cold_overloads(&self) -> u32 {
        self.state().cold_overloads
    }

    /// Serves the target on a listener until the task is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the listener fails.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let router = Router::new().fallback(answer).with_state(self);
        axum::serve(listener, router).await
    }

    /// Serves the target on a free loopback port and returns the address.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn spawn(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        tokio::spawn(self.clone().serve(listener));
        Ok(address)
    }

    /// Counts a request and returns what is wrong with this one, and its service time.
    fn begin(&self, request: &Request) -> (TargetFault, Duration) {
        let mut state = self.state();
        state.request_count += 1;
        let mut head = format!("{} {}\n", request.method(), request.uri());
        for (name, value) in request.headers() {
            head += &format!("{name}: {}\n", String::from_utf8_lossy(value.as_bytes()));
        }
        state.heads.push(head);
        let fault = match state.fault {
            TargetFault::ErrorEvery(n) if !state.request_count.is_multiple_of(n.max(1)) => {
                TargetFault::None
            }
            fault => fault,
        };
        let factor = match fault {
            TargetFault::SlowBy(factor) => factor,
            _ => 1,
        };
        (fault, state.service_time * factor)
    }
}

/// A request that runs; it counts until it is dropped.
struct RunGuard {
    target: StandinTarget,
    _slot: OwnedSemaphorePermit,
}

impl RunGuard {
    fn new(target: &StandinTarget, slot: OwnedSemaphorePermit, name: Option<SmolStr>) -> Self {
        let mut state = target.state();
        state.at_once += 1;
        state.at_once_max = state.at_once_max.max(state.at_once);
        if state.at_once > 1 && state.started_at.elapsed() < state.cold_time {
            state.cold_overloads += 1;
        }
        if let Some(name) = name {
            *state.runs.entry(name).or_default() += 1;
        }
        drop(state);
        Self {
            target: target.clone(),
            _slot: slot,
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.target.state().at_once -= 1;
    }
}

async fn answer(State(target): State<StandinTarget>, request: Request) -> Response {
    let (fault, service_time) = target.begin(&request);
    let name = request.headers().get(REQUEST_NAME);
    let name = name.and_then(|name| name.to_str().ok()).map(SmolStr::new);
    let Ok(slot) = target.slots.clone().try_acquire_owned() else {
        let not_run = [("x-not-run", "1")];
        return (StatusCode::SERVICE_UNAVAILABLE, not_run, "shed\n").into_response();
    };
    let guard = RunGuard::new(&target, slot, name);
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let received = match count_bytes(request.into_body(), target.body_bytes_max).await {
        Ok(received) => received,
        Err(status) => return status.into_response(),
    };
    tokio::time::sleep(service_time).await;
    if fault == TargetFault::Silent {
        std::future::pending::<()>().await;
    }
    drop(guard);
    if matches!(fault, TargetFault::ErrorEvery(_)) {
        return (StatusCode::INTERNAL_SERVER_ERROR, "fault\n").into_response();
    }
    format!("{method} {path} received={received}\n").into_response()
}

async fn count_bytes(mut body: Body, limit: usize) -> Result<usize, StatusCode> {
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        received += frame.data_ref().map_or(0, |data| data.len());
        if received > limit {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
    }
    Ok(received)
}
