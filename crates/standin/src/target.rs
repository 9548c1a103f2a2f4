//! A target with a limited number of slots, a cold start and injected faults.
//!
//! The target records how often each named request ran, the maximum concurrency, and whether a
//! forbidden text such as a key arrived, so that a test or the demo can check them. Forbidden texts are
//! searched on arrival, and only the latest 256 request heads are kept, which bounds the memory of a
//! long run.

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

/// Maximum number of request heads that are kept.
const HEADS_MAX: usize = 256;

/// Response header with the number of starts of the target.
const STARTED_AT: HeaderName = HeaderName::from_static("x-started-at");

/// Response header with the state of the target, `cold` or `ready`.
const TARGET_STATE: HeaderName = HeaderName::from_static("x-target-state");

/// An injected fault of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetFault {
    /// No fault.
    #[default]
    None,
    /// Every `n`-th request fails with status 500.
    ErrorEvery(u32),
    /// The service time is multiplied by this factor.
    SlowBy(u32),
    /// Requests run, but are never answered.
    Unresponsive,
}

/// Request header with a name that is unique to the request, by which repeated runs are counted.
pub const REQUEST_NAME: &str = "x-request-name";

/// A request that arrived at a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetArrival<'a> {
    /// Path of the request, without the query.
    pub path: &'a str,
    /// Number of requests running at the target, including this one unless it is shed.
    pub concurrent: u32,
    /// Whether the target is cold.
    pub is_cold: bool,
}

/// A callback that is invoked for every request that arrives.
type ArrivalObserver = Arc<dyn Fn(TargetArrival<'_>) + Send + Sync>;

#[derive(Debug)]
struct TargetState {
    fault: TargetFault,
    service_time: Duration,
    started_at: Instant,
    start_count: u32,
    cold_time: Duration,
    request_count: u32,
    concurrent: u32,
    concurrent_max: u32,
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

/// A target that runs in this process. Clones share the state.
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
    /// Creates a warm target with a number of slots and a service time.
    pub fn new(slots: usize, service_time: Duration) -> Self {
        Self {
            state: Arc::new(Mutex::new(TargetState {
                fault: TargetFault::None,
                service_time,
                started_at: Instant::now(),
                start_count: 1,
                cold_time: Duration::ZERO,
                request_count: 0,
                concurrent: 0,
                concurrent_max: 0,
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

    /// Sets a closure that is called for every request that arrives.
    #[must_use]
    pub fn with_observer(
        mut self,
        observer: impl Fn(TargetArrival<'_>) + Send + Sync + 'static,
    ) -> Self {
        self.observer = Some(Arc::new(observer));
        self
    }

    /// Adds texts, such as keys, that must not occur in request heads. Heads that contain one are counted
    /// from now on.
    #[must_use]
    pub fn with_forbidden_texts(self, texts: impl IntoIterator<Item = String>) -> Self {
        self.state().forbidden.extend(texts);
        self
    }

    fn state(&self) -> MutexGuard<'_, TargetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the injected fault.
    pub fn set_fault(&self, fault: TargetFault) {
        self.state().fault = fault;
    }

    /// Restarts the target, which can handle only one request at a time for `cold_time`.
    pub fn restart_cold(&self, cold_time: Duration) {
        let mut state = self.state();
        state.started_at = Instant::now();
        state.start_count += 1;
        state.cold_time = cold_time;
    }

    /// Returns the number of runs of each named request.
    pub fn runs(&self) -> IndexMap<SmolStr, u32> {
        self.state().runs.clone()
    }

    /// Returns the heads of the latest requests, at most 256, with one header per line.
    pub fn heads(&self) -> Vec<String> {
        self.state().heads.iter().cloned().collect()
    }

    /// Returns the number of heads that contained a forbidden text, including those no longer kept.
    pub fn forbidden_heads(&self) -> u32 {
        self.state().forbidden_heads
    }

    /// Returns the number of requests so far, including shed requests.
    pub fn request_count(&self) -> u32 {
        self.state().request_count
    }

    /// Returns the maximum number of requests that ran concurrently.
    pub fn concurrent_max(&self) -> u32 {
        self.state().concurrent_max
    }

    /// Returns how often a request started while the target was cold and already running another one.
    pub fn cold_overloads(&self) -> u32 {
        self.state().cold_overloads
    }

    /// Serves the target on a listener until the future is dropped, which closes all connections
    /// abruptly, as a crash does.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
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
                // A connection closed by its caller is not an error of the target.
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
    /// Returns an error if no port is available.
    pub async fn spawn(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        tokio::spawn(self.clone().serve(listener));
        Ok(address)
    }

    /// Records a request and returns the fault that applies to it and its service time.
    fn record_request(&self, request: &Request) -> (TargetFault, Duration) {
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
        let (concurrent, is_cold) = (state.concurrent, state.is_cold());
        drop(state);
        observer(TargetArrival {
            path,
            concurrent,
            is_cold,
        });
    }

    /// Adds the headers with the number of starts and the state of the target to a response.
    fn add_state_headers(&self, mut response: Response) -> Response {
        let state = self.state();
        let headers = response.headers_mut();
        headers.insert(STARTED_AT, HeaderValue::from(state.start_count));
        let word = if state.is_cold() { "cold" } else { "ready" };
        headers.insert(TARGET_STATE, HeaderValue::from_static(word));
        response
    }
}

/// A running request, which counts towards the concurrency until it is dropped.
struct RunGuard {
    target: StandinTarget,
    _slot: OwnedSemaphorePermit,
}

impl RunGuard {
    fn new(target: &StandinTarget, slot: OwnedSemaphorePermit, name: Option<SmolStr>) -> Self {
        let mut state = target.state();
        state.concurrent += 1;
        state.concurrent_max = state.concurrent_max.max(state.concurrent);
        if state.concurrent > 1 && state.is_cold() {
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
        self.target.state().concurrent -= 1;
    }
}

async fn answer(State(target): State<StandinTarget>, request: Request) -> Response {
    let response = run_request(&target, request).await;
    target.add_state_headers(response)
}

async fn run_request(target: &StandinTarget, request: Request) -> Response {
    let (fault, service_time) = target.record_request(&request);
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
    if fault == TargetFault::Unresponsive {
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
