//! Latency that one entry host adds, measured with open-loop load.
//!
//! Each rate is run twice in one process: directly to a target, and through an entry host whose runtime
//! has one thread. The latency of a request is measured from its scheduled time, so that a slow answer
//! does not hide the delay of later requests (coordinated omission).

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use axum::Router;
use bytes::Bytes;
use chicorycroft_border::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_node::prelude::*;
use chicorycroft_platform::prelude::*;
use chicorycroft_standin::prelude::*;
use eyre::{
    Result,
    eyre, //
};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{
    BodyExt,
    Empty, //
};
use hyper::client::conn::http1::{
    SendRequest,
    handshake, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    runtime::{
        Builder,
        Runtime, //
    },
    task::JoinSet,
    time::Instant, //
};

/// Offered rates, in requests per second: the two specified ones, then up to the capacity of one thread.
const RATES: [u32; 6] = [200, 2_000, 5_000, 10_000, 15_000, 20_000];

/// Length of one run.
const RUN_TIME: Duration = Duration::from_secs(5);

/// Fraction of the offered requests that must be answered for the next rate to be tried.
const ANSWERED_FRACTION_MIN: f64 = 0.99;

/// Key of the team that sends the load.
const KEY: &str = "bench";

type Sender = SendRequest<Empty<Bytes>>;

/// A pool of keep-alive connections to one address.
#[derive(Debug)]
struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<Sender>>,
}

impl ConnectionPool {
    fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            address,
            idle: Mutex::default(),
        })
    }

    async fn acquire(&self) -> Result<Sender> {
        let idle = self
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop();
        if let Some(sender) = idle.filter(Sender::is_ready) {
            return Ok(sender);
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }

    /// Sends one request and returns `true` if it was answered with a success status.
    async fn call(&self) -> Result<bool> {
        let mut sender = self.acquire().await?;
        let request = Request::get("/bench/lookup")
            .header("host", "bench")
            .header("x-api-key", KEY)
            .body(Empty::new())?;
        let response = sender.send_request(request).await?;
        let is_good = response.status().is_success();
        response.into_body().collect().await?;
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sender);
        Ok(is_good)
    }
}

/// Result of one run.
struct RunReport {
    latencies: Histogram<u64>,
    failures: u64,
}

/// Sends requests at a fixed rate and records their latencies in microseconds.
async fn run_load(pool: Arc<ConnectionPool>, rate: u32, time: Duration) -> Result<RunReport> {
    let count = (f64::from(rate) * time.as_secs_f64()) as u32;
    let start = Instant::now() + Duration::from_millis(10);
    let mut calls = JoinSet::new();
    for number in 0..count {
        let due = start + Duration::from_secs_f64(f64::from(number) / f64::from(rate));
        tokio::time::sleep_until(due).await;
        let pool = pool.clone();
        calls.spawn(async move {
            let call = tokio::time::timeout(Duration::from_secs(5), pool.call()).await;
            let is_good = matches!(call, Ok(Ok(true)));
            is_good.then(|| due.elapsed())
        });
    }
    let mut latencies = Histogram::new_with_bounds(1, 60_000_000, 3)?;
    let mut failures = 0;
    while let Some(call) = calls.join_next().await {
        match call? {
            Some(latency) => latencies.saturating_record(latency.as_micros() as u64),
            None => failures += 1,
        }
    }
    Ok(RunReport {
        latencies,
        failures,
    })
}

async fn start_target() -> Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let router = Router::new().fallback(|| async { "17.40 OMR\n" });
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(address)
}

async fn start_entry(target: SocketAddr) -> Result<EntryHost> {
    let digest = KeyDigest::of_key(KEY.as_bytes());
    // Many slots and a fast warm-up, so that the host is measured and not the limit of its target.
    let document = format!(
        "zones: [{{id: z1, region: r1}}]
services: [{{id: bench, floor: 0.5, slots: 4096, connections: 4096, warm_up_answers: 1}}]
targets: [{{id: bench-1, service: bench, zone: z1, address: '{target}'}}]
teams: [{{id: bench, key_digests: ['{digest}'], rate: 1000000, burst: 1000000}}]
routes: [{{id: bench, prefix: /bench, service: bench}}]
rules: {{host_bound: 1}}
"
    );
    let platform = StandinPlatform::new();
    platform.publish(1, &[("all", document)]);
    let settings = "{host: bench-entry, zone: z1, platform: '127.0.0.1:1', \
         caller_listen: '127.0.0.1:0', peer_listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0'}";
    let settings = HostSettings::new(settings)?;
    platform.set_hosts(vec![HostListing {
        id: settings.host.clone(),
        zone: settings.zone.clone(),
        address: target,
        is_leaving: false,
    }]);
    let clock = HostClock::with_system_time();
    Ok(EntryHost::start(settings, platform.client(), clock).await?)
}

fn runtime(threads: usize) -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    Ok(builder.worker_threads(threads).enable_all().build()?)
}

fn print_row(rate: u32, path: &str, report: &RunReport) {
    let millis_at = |quantile| report.latencies.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{rate} {path} {} {} {:.2} {:.2} {:.2}",
        report.latencies.len(),
        report.failures,
        millis_at(0.5),
        millis_at(0.99),
        millis_at(0.999)
    );
}

/// Waits until the host answers, then warms up its target.
async fn warm_up(pool: &Arc<ConnectionPool>) -> Result<()> {
    for _ in 0..200 {
        if pool.call().await.unwrap_or(false) {
            run_load(pool.clone(), 2_000, Duration::from_secs(1)).await?;
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(eyre!("the entry host did not answer within 200 attempts"))
}

/// Prints the latencies at each rate, directly and through one entry host.
pub(crate) fn run(_seed: u64) -> Result<()> {
    let (target_runtime, entry_runtime, load_runtime) = (runtime(2)?, runtime(1)?, runtime(3)?);
    let target = target_runtime.block_on(start_target())?;
    let host = entry_runtime.block_on(start_entry(target))?;
    let direct = ConnectionPool::new(target);
    let proxied = ConnectionPool::new(host.caller_address());
    load_runtime.block_on(warm_up(&proxied))?;
    println!("rate path answered failed p50_ms p99_ms p99.9_ms");
    for rate in RATES {
        let direct_report = load_runtime.block_on(run_load(direct.clone(), rate, RUN_TIME))?;
        let proxied_report = load_runtime.block_on(run_load(proxied.clone(), rate, RUN_TIME))?;
        print_row(rate, "direct", &direct_report);
        print_row(rate, "entry", &proxied_report);
        let added = |quantile| {
            let proxied_latency = proxied_report.latencies.value_at_quantile(quantile) as f64;
            (proxied_latency - direct_report.latencies.value_at_quantile(quantile) as f64) / 1000.0
        };
        println!(
            "{rate} added - - {:.2} {:.2} {:.2}",
            added(0.5),
            added(0.99),
            added(0.999)
        );
        let offered = f64::from(rate) * RUN_TIME.as_secs_f64();
        if (proxied_report.latencies.len() as f64) < offered * ANSWERED_FRACTION_MIN {
            break;
        }
    }
    entry_runtime.block_on(host.stop());
    Ok(())
}
