//! Connection faults that a relay injects.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
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

/// Time to wait before concluding that bytes are held or dropped.
const SHORT: Duration = Duration::from_millis(150);

const LONG: Duration = Duration::from_secs(5);

/// Starts an echo server and a relay to it.
async fn relay_to_echo() -> FaultRelay {
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

async fn connect(relay: &FaultRelay) -> TcpStream {
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    assert!(
        is_echoed(&mut stream, LONG).await,
        "an open link passes bytes"
    );
    stream
}

async fn is_echoed(stream: &mut TcpStream, limit: Duration) -> bool {
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    let mut space = [0; 1];
    matches!(timeout(limit, stream.read(&mut space)).await, Ok(Ok(1)))
}

/// Guards against a cut link that loses bytes or passes them.
#[tokio::test]
async fn cut_holds_bytes_until_the_link_opens() {
    let relay = relay_to_echo().await;
    let mut stream = connect(&relay).await;
    for mode in [LinkMode::Cut, LinkMode::OneWay] {
        relay.set_mode(mode);
        assert!(!is_echoed(&mut stream, SHORT).await, "{mode:?}");
        relay.set_mode(LinkMode::Open);
        let mut space = [0; 1];
        let read = timeout(LONG, stream.read(&mut space)).await;
        assert_eq!(read.unwrap().unwrap(), 1, "{mode:?}");
    }
}

/// Guards against silenced connections that work again, and against silencing new connections.
#[tokio::test]
async fn silenced_connections_stay_silent_and_new_ones_work() {
    let relay = relay_to_echo().await;
    let mut old = connect(&relay).await;
    relay.silence_connections();
    assert!(!is_echoed(&mut old, SHORT).await);
    assert!(is_echoed(&mut connect(&relay).await, LONG).await);
    assert!(!is_echoed(&mut old, SHORT).await);
}

/// Guards against a reset that the caller sees as an ordinary close, and against resetting new connections.
#[tokio::test]
async fn open_connections_are_reset() {
    let relay = relay_to_echo().await;
    let mut old = connect(&relay).await;
    relay.reset_connections();
    let mut space = [0; 1];
    let read = timeout(LONG, old.read(&mut space)).await.unwrap();
    assert_eq!(
        read.unwrap_err().kind(),
        std::io::ErrorKind::ConnectionReset
    );
    assert!(is_echoed(&mut connect(&relay).await, LONG).await);
    relay.set_mode(LinkMode::Refusing);
    let mut refused = TcpStream::connect(relay.address()).await.unwrap();
    assert!(!is_echoed(&mut refused, LONG).await);
}

/// Guards against a delay that is not applied, or in one direction only.
#[tokio::test]
async fn delay_applies_in_both_directions() {
    let relay = relay_to_echo().await;
    let mut stream = connect(&relay).await;
    relay.set_mode(LinkMode::Delayed(SHORT));
    let start = tokio::time::Instant::now();
    assert!(is_echoed(&mut stream, LONG).await);
    assert!(start.elapsed() >= SHORT * 2, "both directions are delayed");
}
