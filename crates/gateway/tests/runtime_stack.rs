//! Stack use of the threads of a gateway process.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use std::time::Duration;

use chicorycroft_adapter::prelude::*;
use chicorycroft_gateway::{
    host::RUNTIME_STACK_BYTES,
    prelude::*, //
};
use chicorycroft_platform_standin::prelude::*;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::sleep, //
};

/// Requests that are sent.
const REQUEST_COUNT: usize = 20;

async fn serve_requests() {
    let store = StoreStandIn::start().await.unwrap();
    store.put_config(&config(1, &["key-1"]));
    let target = TargetStandIn::start("t-1").await.unwrap();
    store.put(&target.key(), &target.entry("rate", "a", "ready"));
    let text = SettingsStandIn {
        host: "edge-1".into(),
        zone: "a".into(),
        zones: vec!["a".into()],
        seeds: Vec::new(),
        callers: "127.0.0.1:0".parse().unwrap(),
        ready: "127.0.0.1:0".parse().unwrap(),
        peers: "127.0.0.1:0".parse().unwrap(),
        store: store.address(),
        grace_seconds: 6.0,
        revoke_seconds: 5.0,
    };
    let settings = GatewaySettings::new(&text.text()).unwrap();
    let host = GatewayHost::start(settings, GatewayClock::new())
        .await
        .unwrap();
    while !host.state().is_ready() {
        sleep(Duration::from_millis(20)).await;
    }
    for number in 0..REQUEST_COUNT {
        let mut stream = TcpStream::connect(host.caller_address()).await.unwrap();
        let head = format!(
            "POST /buy/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: id-{number}\r\n\
             x-deadline-ms: 3000\r\nauthorization: Bearer key-1\r\nconnection: close\r\n\
             content-length: 1\r\n\r\nx"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        assert!(answer.starts_with(b"HTTP/1.1 200"));
    }
}

/// Guards against a process that ends with a stack overflow, because ordinary work takes nearly all of a thread's stack. An
/// overflow ends the test.
#[test]
fn threads_need_at_most_half_of_their_stack() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_stack_size(RUNTIME_STACK_BYTES / 2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async { tokio::spawn(serve_requests()).await.unwrap() });
}
