//! Connections between hosts.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

mod support;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_peer::{
    codec::MESSAGE_BYTES_MAX,
    prelude::*, //
};
use http::{
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    client::conn::http2, //
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo, //
};
use support::{
    LOOPBACK,
    ample_deadline,
    body_of,
    on_message,
    probe, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    time::Instant,
};

type Answer = Response<Full<Bytes>>;

async fn count_body(head: ForwardHead, request: Request<Incoming>) -> Answer {
    let path = request.uri().path_and_query().unwrap().to_string();
    let mut body = request.into_body();
    let mut count = 0;
    while let Some(Ok(frame)) = body.frame().await {
        count += frame.data_ref().map_or(0, Bytes::len);
    }
    Response::new(Full::from(format!("{} {path} {count}", head.target)))
}

async fn start(codec: PeerCodec) -> (SocketAddr, watch::Sender<bool>) {
    let server = PeerServer::new(LOOPBACK).await.unwrap().with_codec(codec);
    let address = server.address().unwrap();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(server.serve(on_message, count_body, stopped));
    (address, stop)
}

/// Guards against a rolling upgrade during which hosts of two releases cannot exchange messages.
#[tokio::test]
async fn hosts_of_two_releases_exchange_messages() {
    let (old, new) = (PeerCodec::with_highest(FormatVersion::V1), PeerCodec::new());
    for (at_server, at_client) in [(old, new), (new, old)] {
        let (address, _stop) = start(at_server).await;
        let client = PeerClient::with_codec(at_client);
        for _ in 0..2 {
            let answer = client
                .call(address, probe(), ample_deadline())
                .await
                .unwrap();
            assert_eq!(answer, PeerMessage::Accepted);
        }
    }
}

/// Guards against a client that keeps using an unresponsive connection although a new one would work.
#[tokio::test]
async fn unresponsive_connection_is_replaced() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = PeerClient::new();
    let deadline = Instant::now() + Duration::from_millis(50);
    let call = client.call(address, probe(), deadline);
    let (outcome, accepted) = tokio::join!(call, listener.accept());
    let error = outcome.unwrap_err();
    assert!(matches!(error, PeerError::TimedOut), "{error}");
    let _unresponsive = accepted.unwrap();
    let (_stop, stopped) = watch::channel(false);
    let server = PeerServer::with_listener(listener);
    tokio::spawn(server.serve(on_message, count_body, stopped));
    let answer = client
        .call(address, probe(), ample_deadline())
        .await
        .unwrap();
    assert_eq!(answer, PeerMessage::Accepted);
}

/// Guards against a host that keeps a connection to every other host, and against a request on a connection that
/// became unresponsive while it was idle.
#[tokio::test]
async fn idle_connection_is_closed() {
    let (address, _stop) = start(PeerCodec::new()).await;
    let client = PeerClient::new();
    client
        .call(address, probe(), ample_deadline())
        .await
        .unwrap();
    assert_eq!(client.sweep_idle(), 1);
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(31)).await;
    tokio::time::resume();
    assert_eq!(client.sweep_idle(), 0);
    let answer = client
        .call(address, probe(), ample_deadline())
        .await
        .unwrap();
    assert_eq!(answer, PeerMessage::Accepted);
}

/// Guards against a panic or a wrong answer when a client that is not a peer connects.
#[tokio::test]
async fn clients_that_are_not_peers_get_a_refusal() {
    let (address, _stop) = start(PeerCodec::new()).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    let mut answer = Vec::new();
    // The server may close the connection before it has read everything.
    let _ = stream.read_to_end(&mut answer).await;

    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    let cases = [
        ("GET", "/", "", &b""[..], RefusalReason::NotFromPeer),
        ("POST", "/peer/message", "", b"", RefusalReason::Malformed),
        (
            "POST",
            "/peer/message",
            "",
            &[9, 1, 1],
            RefusalReason::UnknownVersion(5),
        ),
        (
            "POST",
            "/peer/message",
            "",
            &[2, 99],
            RefusalReason::UnknownKind,
        ),
        ("GET", "/rates", "garbage", b"", RefusalReason::Malformed),
    ];
    for (method, path, forward, body, expected) in cases {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        if !forward.is_empty() {
            request = request.header("x-peer-forward", forward);
        }
        let request = request.body(Full::<Bytes>::from(body)).unwrap();
        let response = sender.send_request(request).await.unwrap();
        assert_eq!(response.status(), 400, "{path}");
        let (_, message) = PeerCodec::new().decode(&body_of(response).await).unwrap();
        assert_eq!(message, PeerMessage::Refused(expected), "{path}");
    }
    let oversized = Request::post(format!("http://{address}/peer/message"));
    let oversized = oversized
        .body(Full::from(vec![2; MESSAGE_BYTES_MAX + 1]))
        .unwrap();
    let response = sender.send_request(oversized).await.unwrap();
    let (_, message) = PeerCodec::new().decode(&body_of(response).await).unwrap();
    assert_eq!(message, PeerMessage::Refused(RefusalReason::TooLarge));
}
