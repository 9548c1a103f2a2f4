//! A gateway process whose targets send answers without an end.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::Duration,
};

use chicorycroft_platform_standin::{
    prelude::*,
    settings::SettingsStandIn, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

/// Memory limit of the process, in MB: that of the smallest machine.
const MEMORY_MB: u64 = 160;

/// Targets that send answers without an end.
const FAULTY_COUNT: usize = 24;

/// Requests in flight to them.
const FAULTY_CALLERS: usize = 60;

/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(3);

/// A process that is killed when the test ends.
struct GatewayProcess {
    child: Child,
    callers: SocketAddr,
    ready: SocketAddr,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a free address. The listener is closed again, as the process listens there itself.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

impl GatewayProcess {
    fn start(store: SocketAddr) -> Self {
        let settings = SettingsStandIn {
            host: "edge-1".into(),
            zone: "a".into(),
            zones: vec!["a".into()],
            seeds: Vec::new(),
            callers: free_address(),
            ready: free_address(),
            peers: free_address(),
            store,
            grace_seconds: 6.0,
            revoke_seconds: 5.0,
        };
        let text = format!("{}[limits]\nmemoryMb = {MEMORY_MB}\n", settings.text());
        let name = format!("chicorycroft-faulty-answers-{}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_chicorycroft-gateway"))
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            callers: settings.callers,
            ready: settings.ready,
        }
    }

    /// Returns the largest memory that the process has used, in MB.
    fn memory_peak_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process has ended");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1));
        kib.unwrap().parse::<u64>().unwrap() / 1024
    }

    async fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(10);
        while status(self.ready, "GET /readyz", "ready").await != Some(200) {
            assert!(Instant::now() < end, "the process is not ready");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Sends a request and returns the status of the answer, or `None` if there is no whole one.
async fn status(address: SocketAddr, line: &str, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = format!(
        "{line} HTTP/1.1\r\nhost: shop.example\r\nx-request-id: {id}\r\nx-deadline-ms: 3000\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut text = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut text)).await;
    read.ok()?.ok()?;
    let text = String::from_utf8_lossy(&text);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let is_whole = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .is_none_or(|length| length == body.len().to_string());
    head.get(9..12)?.parse().ok().filter(|_| is_whole)
}

/// Returns a configuration whose routes are open to all; requests to `/faulty/` go to a service of their own.
fn two_services() -> serde_json::Value {
    let mut document = config(1, &[]);
    let mut route = document["routes"]["open"].clone();
    route["prefix"] = "/faulty/".into();
    route["service"] = "faulty".into();
    document["routes"]["faulty"] = route;
    document["services"]["faulty"] = document["services"]["rate"].clone();
    document
}

/// Runs a load of requests to faulty targets beside requests to a sound one. Returns the memory peak of the process and
/// the count of the requests to the sound target that were sent and that failed.
async fn load_with(part: EndlessPart) -> (u64, usize, usize) {
    let store = StoreStandIn::start().await.unwrap();
    store.put_config(&two_services());
    let sound = TargetStandIn::start("sound").await.unwrap();
    store.put(&sound.key(), &sound.entry("rate", "a", "ready"));
    let mut faulty = Vec::new();
    for number in 0..FAULTY_COUNT {
        let target = TargetStandIn::start(&format!("faulty-{number}"))
            .await
            .unwrap();
        target.set_default_behaviour(Some(TargetBehaviour::Endless(part)));
        store.put(&target.key(), &target.entry("faulty", "a", "ready"));
        faulty.push(target);
    }
    let process = GatewayProcess::start(store.address());
    process.wait_until_ready().await;
    let (callers, end) = (process.callers, Instant::now() + LOAD_TIME);
    let mut tasks = Vec::new();
    for caller in 0..FAULTY_CALLERS {
        tasks.push(tokio::spawn(async move {
            for number in 0.. {
                if Instant::now() > end {
                    return;
                }
                let id = format!("faulty-{caller}-{number}");
                let answer = status(callers, "GET /faulty/1", &id).await;
                assert_ne!(answer, Some(200));
                sleep(Duration::from_millis(20)).await;
            }
        }));
    }
    let (mut sent, mut failed) = (0, 0);
    while Instant::now() < end {
        let answer = status(callers, "GET /open/1", &format!("sound-{sent}")).await;
        sent += 1;
        failed += usize::from(answer != Some(200));
    }
    for task in tasks {
        task.await.unwrap();
    }
    (process.memory_peak_mb(), sent, failed)
}

/// Guards against a process that runs out of memory, or fails the requests of other callers, because targets send heads or
/// bodies without end.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_concern_no_other_request() {
    for part in [
        EndlessPart::HeaderLine,
        EndlessPart::InterimResponses,
        EndlessPart::Chunks,
        EndlessPart::Body,
    ] {
        let (memory_mb, sent, failed) = load_with(part).await;
        println!("{part:?}: {memory_mb} MB, {failed} of {sent} sound requests failed");
        assert!(memory_mb < MEMORY_MB, "{part:?}: {memory_mb} MB were used");
        assert!(
            sent > 0 && failed == 0,
            "{part:?}: {failed} of {sent} sound requests failed"
        );
    }
}
