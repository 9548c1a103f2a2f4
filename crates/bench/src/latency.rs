//! Latency that one entry host adds, by open-loop load.
//!
//! Each rate is run twice in one process: straight to a target, and through an entry host whose
//! runtime has one thread. A request's latency counts from the moment it was due, so that a slow
//! answer does not hide the requests that wait behind it.

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
    Result, //
    eyre,
};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{
    BodyExt,
    Empty, //
};
use hyper::client::conn::http1::{
    SendRequest, //
    handshake,
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

/// Offered rates, in requests per second: two stated ones, then up to what one thread bears.
const RATES: [u32; 6] = [200, 2_000, 5_000, 10_000, 15_000, 20_000];

/// Length of one run.
const RUN_TIME: Duration = Duration::from_secs(5);

/// Part of the offered requests that must be answered for a rate to count as borne.
const BORNE_PART: f64 = 0.99;

/// Key of the team that sends the load.
const KEY: &str = "bench";

type Sender = SendRequest<Empty<Bytes>>;

/// Connections to one address.
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

    async fn take(&self) -> Result<Sender> {
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

    /// Sends one request and returns whether it was answered with 200.
    async fn call(&self) -> Result<bool> {
        let mut sender = self.take().await?;
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

/// Offers requests at a rate and collects their latencies in microseconds.
async fn offer(pool: Arc<ConnectionPool>, rate: u32, time: Duration) -> Result<RunReport> {
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
    // Many slots and a fast warm-up, so that the host and not the target's limit is measured.
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
    let at = |quantile| report.latencies.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{rate} {path} {} {} {:.2} {:.2} {:.2}",
        report.latencies.len(),
        report.failures,
        at(0.5),
        at(0.99),
        at(0.999)
    );
}

/// Waits until the host answers, and lets its target warm up.
async fn warm_up(pool: &Arc<ConnectionPool>) -> Result<()> {
    for _ in 0..200 {
        if pool.call().await.unwrap_or(false) {
            offer(pool.clone(), 2_000, Duration::from_secs(1)).await?;
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(eyre!("the entry host does not answer"))
}

/// Prints the latencies at each rate, direct and through one entry host.
pub(crate) fn run(_seed: u64) -> Result<()> {
    let (target_runtime, entry_runtime, load_runtime) = (runtime(2)?, runtime(1)?, runtime(3)?);
    let target = target_runtime.block_on(start_target())?;
    let host = entry_runtime.block_on(start_entry(target))?;
    let direct = ConnectionPool::new(target);
    let through = ConnectionPool::new(host.caller_address());
    load_runtime.block_on(warm_up(&through))?;
    println!("rate path answered failed p50_ms p99_ms p99.9_ms");
    for rate in RATES {
        let straight = load_runtime.block_on(offer(direct.clone(), rate, RUN_TIME))?;
        let proxied = load_runtime.block_on(offer(through.clone(), rate, RUN_TIME))?;
        print_row(rate, "direct", &straight);
        print_row(rate, "entry", &proxied);
        let added = |quantile| {
            let proxied = proxied.latencies.value_at_quantile(quantile) as f64;
            (proxied - straight.latencies.value_at_quantile(quantile) as f64) / 1000.0
        };
        println!(
            "{rate} added - - {:.2} {:.2} {:.2}",
            added(0.5),
            added(0.99),
            added(0.999)
        );
        let offered = f64::from(rate) * RUN_TIME.as_secs_f64();
        if (proxied.latencies.len() as f64) < offered * BORNE_PART {
            break;
        }
    }
    entry_runtime.block_on(host.stop());
    Ok(())
}
