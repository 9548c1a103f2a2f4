//! A target with slots, a cold start and gray failures on demand.
//!
//! Every run of a named request is recorded, so that a test or the demo can tell what ran, how often,
//! at most how many at once, and whether a key ever arrived. Of the heads, only the latest are kept:
//! a long run stays small, because forbidden texts are looked for on arrival.

use std::{
    collections::VecDeque,
    fmt,
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
    http::{
        HeaderName,
        HeaderValue,
        StatusCode, //
    },
    response::{
        IntoResponse,
        Response, //
    },
};
use http_body_util::BodyExt;
use hyper_util::{
    rt::{
        TokioExecutor,
        TokioIo, //
    },
    server::conn::auto,
    service::TowerToHyperService,
};
use indexmap::IndexMap;
use smol_str::SmolStr;
use tokio::{
    net::TcpListener,
    sync::{
        OwnedSemaphorePermit,
        Semaphore, //
    },
    task::JoinSet,
    time::Instant, //
};

/// Number of heads that are kept.
const HEADS_MAX: usize = 256;

/// Header by which the target tells when it started.
const STARTED_AT: HeaderName = HeaderName::from_static("x-started-at");

/// Header by which the target tells that it is cold.
const TARGET_STATE: HeaderName = HeaderName::from_static("x-target-state");

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

/// A request that has come to a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetArrival<'a> {
    /// Path of the request, without the query.
    pub path: &'a str,
    /// Requests that run at the target, this one included unless it is shed.
    pub at_once: u32,
    /// Whether the target is cold.
    pub is_cold: bool,
}

/// Is called with every request that comes to a target.
type ArrivalObserver = Arc<dyn Fn(TargetArrival<'_>) + Send + Sync>;

#[derive(Debug)]
struct TargetState {
    fault: TargetFault,
    service_time: Duration,
    started_at: Instant,
    start_count: u32,
    cold_time: Duration,
    request_count: u32,
    at_once: u32,
    at_once_max: u32,
    cold_overloads: u32,
    runs: IndexMap<SmolStr, u32>,
    heads: VecDeque<String>,
    forbidden: Vec<String>,
    forbidden_heads: u32,
}

impl TargetState {
    fn is_cold(&self) -> bool {
        self.started_at.elapsed() < self.cold_time
    }
}

/// A target in this process. Clones share the state.
#[derive(Clone)]
pub struct StandinTarget {
    state: Arc<Mutex<TargetState>>,
    slots: Arc<Semaphore>,
    body_bytes_max: usize,
    observer: Option<ArrivalObserver>,
}

impl fmt::Debug for StandinTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StandinTarget(..)")
    }
}

impl StandinTarget {
    /// Makes a warm target with a number of slots and a service time.
    pub fn new(slots: usize, service_time: Duration) -> Self {
        Self {
            state: Arc::new(Mutex::new(TargetState {
                fault: TargetFault::None,
                service_time,
                started_at: Instant::now(),
                start_count: 1,
                cold_time: Duration::ZERO,
                request_count: 0,
                at_once: 0,
                at_once_max: 0,
                cold_overloads: 0,
                runs: IndexMap::new(),
                heads: VecDeque::new(),
                forbidden: Vec::new(),
                forbidden_heads: 0,
            })),
            slots: Arc::new(Semaphore::new(slots)),
            body_bytes_max: 64 << 20,
            observer: None,
        }
    }

    /// Calls a closure with every request that comes.
    #[must_use]
    pub fn with_observer(
        mut self,
        observer: impl Fn(TargetArrival<'_>) + Send + Sync + 'static,
    ) -> Self {
        self.observer = Some(Arc::new(observer));
        self
    }

    /// Counts the heads that hold one of these texts, such as keys, from now on.
    #[must_use]
    pub fn with_forbidden(self, texts: impl IntoIterator<Item = String>) -> Self {
        self.state().forbidden.extend(texts);
        self
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
        state.start_count += 1;
        state.cold_time = cold_time;
    }

    /// Returns how often each named request ran.
    pub fn runs(&self) -> IndexMap<SmolStr, u32> {
        self.state().runs.clone()
    }

    /// Returns the heads of the latest requests, one header a line; at most 256 are kept.
    pub fn heads(&self) -> Vec<String> {
        self.state().heads.iter().cloned().collect()
    }

    /// Returns how many heads held a forbidden text, those that are no longer kept included.
    pub fn forbidden_heads(&self) -> u32 {
        self.state().forbidden_heads
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

    /// Serves the target on a listener until the task is dropped, which cuts all connections as a
    /// crash does.
    ///
    /// # Errors
    ///
    /// Fails when the listener fails.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let router = Router::new().fallback(answer).with_state(self);
        let mut connections = JoinSet::new();
        loop {
            let (stream, _) = tokio::select! {
                accepted = listener.accept() => accepted?,
                Some(_) = connections.join_next() => continue,
            };
            stream.set_nodelay(true)?;
            let service = TowerToHyperService::new(router.clone());
            connections.spawn(async move {
                let builder = auto::Builder::new(TokioExecutor::new());
                // A caller that goes away is no failure of the target.
                let _ = builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
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
        if state.forbidden.iter().any(|text| head.contains(text)) {
            state.forbidden_heads += 1;
        }
        if state.heads.len() == HEADS_MAX {
            state.heads.pop_front();
        }
        state.heads.push_back(head);
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

    fn observe(&self, path: &str) {
        let Some(observer) = &self.observer else {
            return;
        };
        let state = self.state();
        let (at_once, is_cold) = (state.at_once, state.is_cold());
        drop(state);
        observer(TargetArrival {
            path,
            at_once,
            is_cold,
        });
    }

    /// Adds what the target says about itself to an answer.
    fn sign(&self, mut response: Response) -> Response {
        let state = self.state();
        let headers = response.headers_mut();
        headers.insert(STARTED_AT, HeaderValue::from(state.start_count));
        let word = if state.is_cold() { "cold" } else { "ready" };
        headers.insert(TARGET_STATE, HeaderValue::from_static(word));
        response
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
        if state.at_once > 1 && state.is_cold() {
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
    let response = run(&target, request).await;
    target.sign(response)
}

async fn run(target: &StandinTarget, request: Request) -> Response {
    let (fault, service_time) = target.begin(&request);
    let name = request.headers().get(REQUEST_NAME);
    let name = name.and_then(|name| name.to_str().ok()).map(SmolStr::new);
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let Ok(slot) = target.slots.clone().try_acquire_owned() else {
        target.observe(&path);
        let not_run = [("x-not-run", "1")];
        return (StatusCode::SERVICE_UNAVAILABLE, not_run, "shed\n").into_response();
    };
    let guard = RunGuard::new(target, slot, name);
    target.observe(&path);
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
