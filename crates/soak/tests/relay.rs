//! What a relay does to connections.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

use std::time::Duration;

use chicorycroft_soak::prelude::*;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::timeout,
};

/// Time in which something that must not come would have come.
const SHORT: Duration = Duration::from_millis(150);

const LONG: Duration = Duration::from_secs(5);

/// Starts a server that sends back what it gets, and a relay to it.
async fn echo() -> FaultRelay {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    FaultRelay::start(address).await.unwrap()
}

async fn open(relay: &FaultRelay) -> TcpStream {
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    assert!(
        answers(&mut stream, LONG).await,
        "an open link passes bytes"
    );
    stream
}

async fn answers(stream: &mut TcpStream, limit: Duration) -> bool {
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    let mut space = [0; 1];
    matches!(timeout(limit, stream.read(&mut space)).await, Ok(Ok(1)))
}

/// Guards against a cut that loses bytes or lets them pass.
#[tokio::test]
async fn cut_holds_bytes_until_the_link_opens() {
    let relay = echo().await;
    let mut stream = open(&relay).await;
    for mode in [LinkMode::Cut, LinkMode::OneWay] {
        relay.set_mode(mode);
        assert!(!answers(&mut stream, SHORT).await, "{mode:?}");
        relay.set_mode(LinkMode::Open);
        let mut space = [0; 1];
        let read = timeout(LONG, stream.read(&mut space)).await;
        assert_eq!(read.unwrap().unwrap(), 1, "{mode:?}");
    }
}

/// Guards against silence that ends, or reaches new connections.
#[tokio::test]
async fn open_connections_go_silent_and_new_ones_work() {
    let relay = echo().await;
    let mut old = open(&relay).await;
    relay.silence_open();
    assert!(!answers(&mut old, SHORT).await);
    assert!(answers(&mut open(&relay).await, LONG).await);
    assert!(!answers(&mut old, SHORT).await);
}

/// Guards against a reset that looks like an ordinary end, or reaches new connections.
#[tokio::test]
async fn open_connections_are_reset() {
    let relay = echo().await;
    let mut old = open(&relay).await;
    relay.reset_open();
    let mut space = [0; 1];
    let read = timeout(LONG, old.read(&mut space)).await.unwrap();
    assert_eq!(
        read.unwrap_err().kind(),
        std::io::ErrorKind::ConnectionReset
    );
    assert!(answers(&mut open(&relay).await, LONG).await);
    relay.set_mode(LinkMode::Refusing);
    let mut refused = TcpStream::connect(relay.address()).await.unwrap();
    assert!(!answers(&mut refused, LONG).await);
}

/// Guards against a delay that is not there.
#[tokio::test]
async fn delayed_bytes_come_later() {
    let relay = echo().await;
    let mut stream = open(&relay).await;
    relay.set_mode(LinkMode::Delayed(SHORT));
    let begun = tokio::time::Instant::now();
    assert!(answers(&mut stream, LONG).await);
    assert!(begun.elapsed() >= SHORT * 2, "both ways are delayed");
}
