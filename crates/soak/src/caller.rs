//! Callers that keep their connections until the process behind them is gone.

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
    ledger::{
        CallEnd,
        CallRecord, //
    },
    plan::HostIndex,
};

/// Time that a caller waits for an answer, told with each request.
const DEADLINE: Duration = Duration::from_secs(3);

/// Time beyond the deadline that a caller still listens, to see late answers.
const LISTEN_MARGIN: Duration = Duration::from_secs(1);

/// Time that callers grant a new connection; the platform's clients allow the same.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Shortest and longest pause between two requests of a caller, in milliseconds.
const PAUSE_MILLIS: (u64, u64) = (20, 220);

/// One in so many callers goes on with a key that was withdrawn.
const KEEPS_KEY_EACH: usize = 6;

/// Pause after a failed connection.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What callers are told while they run.
#[derive(Clone, Debug)]
pub struct CallerNews {
    /// Hosts in rotation.
    pub in_rotation: Vec<HostIndex>,
    /// Number of the newest key.
    pub key: usize,
    /// Whether the run is over.
    pub is_over: bool,
}

/// One caller.
#[derive(Debug)]
pub struct SoakCaller {
    number: usize,
    /// Uses the key before the newest one, which is withdrawn.
    keeps_key: bool,
    random: ChaCha8Rng,
    sent: usize,
    news: watch::Receiver<CallerNews>,
    hosts: Vec<SocketAddr>,
    start: Instant,
}

/// Returns the text of a key.
pub fn key_text(key: usize) -> String {
    format!("key-{key}")
}

impl SoakCaller {
    /// Makes a caller.
    pub fn new(
        seed: u64,
        number: usize,
        news: watch::Receiver<CallerNews>,
        hosts: Vec<SocketAddr>,
        start: Instant,
    ) -> Self {
        Self {
            number,
            keeps_key: number.is_multiple_of(KEEPS_KEY_EACH),
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1000) + number as u64),
            sent: 0,
            news,
            hosts,
            start,
        }
    }

    /// Sends requests until the run is over, and returns what became of them.
    pub async fn run(mut self) -> Vec<CallRecord> {
        let mut records = Vec::new();
        let mut open: Option<(HostIndex, TcpStream)> = None;
        while !self.news.borrow().is_over {
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
        let hosts = self.news.borrow().in_rotation.clone();
        let host = *hosts.get(self.random.random_range(0..hosts.len().max(1)))?;
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(self.hosts[host.0])).await;
        Some((host, stream.ok()?.ok()?))
    }

    /// Draws a request: half of them may run twice, a tenth needs no key.
    fn draw(&mut self) -> (CallerRequest, bool, Option<usize>) {
        let id: SmolStr = format_smolstr!("c{}-{}", self.number, self.sent);
        self.sent += 1;
        let newest = self.news.borrow().key;
        let key = newest.saturating_sub(usize::from(self.keeps_key));
        let (line, is_idempotent, key) = match self.random.random_range(0..10) {
            0 => ("GET /open/x", true, None),
            1..5 => ("GET /look/x", true, Some(key)),
            _ => ("POST /buy/x", false, Some(key)),
        };
        let request = CallerRequest {
            line,
            id: id.to_string(),
            deadline: DEADLINE,
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
        let (request, is_idempotent, key) = self.draw();
        let sent_at = self.start.elapsed();
        let exchange = timeout(DEADLINE + LISTEN_MARGIN, request.exchange(&mut stream)).await;
        let (end, is_kept) = match exchange {
            Ok(Ok(answer)) => {
                let is_kept = !answer.closes_connection();
                let end = CallEnd::Answered {
                    status: answer.status,
                    is_signed: answer.is_signed(),
                    request: answer.request_id().unwrap_or_default().into(),
                    body: answer.body,
                };
                (end, is_kept)
            }
            Ok(Err(_)) => (CallEnd::Cut, false),
            Err(_) => (CallEnd::Unanswered, false),
        };
        let record = CallRecord {
            id: request.id.into(),
            host,
            is_idempotent,
            key,
            sent_at,
            ended_at: self.start.elapsed(),
            end,
        };
        (record, is_kept.then_some(stream))
    }
}
