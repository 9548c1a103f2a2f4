//! Callers that keep their connections open until the other end closes them or a request fails.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_platform_standin::prelude::*;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use smol_str::{
    SmolStr,
    format_smolstr, //
};
use tokio::{
    net::TcpStream,
    sync::watch,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

use crate::{
    history::{
        CallOutcome,
        CallRecord, //
    },
    plan::HostIndex,
};

/// Deadline that is sent with each request.
const REQUEST_DEADLINE: Duration = Duration::from_secs(3);

/// Time after the deadline for which a caller still waits, to record late answers.
const LATE_ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Timeout of connection attempts; the platform's clients use the same one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest and longest pause between two requests of a caller, in milliseconds.
const PAUSE_MILLIS: (u64, u64) = (20, 220);

/// Every n-th caller keeps using the previous key after its withdrawal.
const WITHDRAWN_KEY_INTERVAL: usize = 6;

/// Pause after a failed connection.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// State that is shared with all callers of a run.
#[derive(Clone, Debug)]
pub struct CallerState {
    /// Hosts that the load balancer offers to callers.
    pub in_rotation: Vec<HostIndex>,
    /// Number of the newest key.
    pub key: usize,
    /// Number of routes that were added to the configuration.
    pub added_routes: u64,
    /// Whether the run is over.
    pub is_over: bool,
}

/// A caller with one keep-alive connection.
#[derive(Debug)]
pub struct SoakCaller {
    number: usize,
    /// Whether the caller uses the key before the newest one, which is withdrawn.
    uses_withdrawn_key: bool,
    random: ChaCha8Rng,
    sent: usize,
    state: watch::Receiver<CallerState>,
    hosts: Vec<SocketAddr>,
    start: Instant,
}

/// Returns the text of a key.
pub fn key_text(key: usize) -> String {
    format!("key-{key}")
}

impl SoakCaller {
    /// Creates a caller whose requests are drawn from the seed and its number.
    pub fn new(
        seed: u64,
        number: usize,
        state: watch::Receiver<CallerState>,
        hosts: Vec<SocketAddr>,
        start: Instant,
    ) -> Self {
        Self {
            number,
            uses_withdrawn_key: number.is_multiple_of(WITHDRAWN_KEY_INTERVAL),
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1000) + number as u64),
            sent: 0,
            state,
            hosts,
            start,
        }
    }

    /// Sends requests until the run is over and returns their records.
    pub async fn run(mut self) -> Vec<CallRecord> {
        let mut records = Vec::new();
        let mut open: Option<(HostIndex, TcpStream)> = None;
        while !self.state.borrow().is_over {
            let pause = self.random.random_range(PAUSE_MILLIS.0..PAUSE_MILLIS.1);
            sleep(Duration::from_millis(pause)).await;
            let (host, stream) = match open.take() {
                Some(kept) => kept,
                None => match self.connect().await {
                    Some(fresh) => fresh,
                    None => {
                        sleep(RETRY_PAUSE).await;
                        continue;
                    }
                },
            };
            let (record, stream) = self.call(host, stream).await;
            records.push(record);
            open = stream.map(|stream| (host, stream));
        }
        records
    }

    async fn connect(&mut self) -> Option<(HostIndex, TcpStream)> {
        let hosts = self.state.borrow().in_rotation.clone();
        let host = *hosts.get(self.random.random_range(0..hosts.len().max(1)))?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.hosts[host.0])).await;
        Some((host, stream.ok()?.ok()?))
    }

    /// Draws a request and returns whether it is idempotent, and its key. Half of the requests are idempotent, and a
    /// tenth need no key; these use the route that was added last.
    fn draw_request(&mut self) -> (CallerRequest, bool, Option<usize>) {
        let id: SmolStr = format_smolstr!("c{}-{}", self.number, self.sent);
        self.sent += 1;
        let newest = self.state.borrow().key;
        let key = newest.saturating_sub(usize::from(self.uses_withdrawn_key));
        let added = self.state.borrow().added_routes.checked_sub(1);
        let open_prefix = added.map_or_else(|| "/open/".to_owned(), added_prefix);
        let (line, is_idempotent, key) = match self.random.random_range(0..10) {
            0 => (format!("GET {open_prefix}x"), true, None),
            1..5 => ("GET /look/x".to_owned(), true, Some(key)),
            _ => ("POST /buy/x".to_owned(), false, Some(key)),
        };
        let request = CallerRequest {
            line,
            id: id.to_string(),
            deadline: REQUEST_DEADLINE,
            key: key.map(key_text),
            body: match is_idempotent {
                true => String::new(),
                false => "x".repeat(self.random.random_range(1..4000)),
            },
        };
        (request, is_idempotent, key)
    }

    async fn call(
        &mut self,
        host: HostIndex,
        mut stream: TcpStream,
    ) -> (CallRecord, Option<TcpStream>) {
        let (request, is_idempotent, key) = self.draw_request();
        let sent_at = self.start.elapsed();
        let exchange = timeout(
            REQUEST_DEADLINE + LATE_ANSWER_MARGIN,
            request.exchange(&mut stream),
        )
        .await;
        let (outcome, is_kept) = match exchange {
            Ok(Ok(answer)) => {
                let is_kept = !answer.closes_connection();
                let outcome = CallOutcome::Answered {
                    status: answer.status,
                    is_signed: answer.is_signed(),
                    request: answer.request_id().unwrap_or_default().into(),
                    body: answer.body,
                };
                (outcome, is_kept)
            }
            Ok(Err(_)) => (CallOutcome::Cut, false),
            Err(_) => (CallOutcome::Unanswered, false),
        };
        let record = CallRecord {
            id: request.id.into(),
            host,
            is_idempotent,
            key,
            sent_at,
            ended_at: self.start.elapsed(),
            outcome,
        };
        (record, is_kept.then_some(stream))
    }
}
