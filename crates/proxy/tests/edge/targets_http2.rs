//! Connections to targets over HTTP/2 with prior knowledge, including single frames.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use chicorycroft_proxy::prelude::*;
use http::{
    Request,
    Response, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
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
    time::{
        Instant,
        timeout, //
    },
};

use crate::{
    common::{
        LIMITS,
        TestEdge,
        WAIT_MAX,
        accept,
        listen, //
    },
    targets::{
        read,
        request,
        send, //
    },
};

const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const GOAWAY: u8 = 7;

fn client(address: SocketAddr) -> Arc<TargetClient> {
    let client = TargetClient::new(address, 1);
    Arc::new(client.with_protocol(TargetProtocol::Http2))
}

fn frame(kind: u8, stream: u8, words: &[u32]) -> Vec<u8> {
    let length = u8::try_from(words.len() * 4).unwrap();
    let mut bytes = vec![0, 0, length, kind, 0, 0, 0, 0, stream];
    bytes.extend(words.iter().flat_map(|word| word.to_be_bytes()));
    bytes
}

/// Accepts a connection, waits for the head of a request and responds with raw frames.
async fn respond_with_frames(listener: &TcpListener, frames: &[u8]) -> TcpStream {
    let mut stream = accept(listener).await;
    stream.read_exact(&mut [0; 24]).await.unwrap();
    stream.write_all(&frame(SETTINGS, 0, &[])).await.unwrap();
    let mut kind = 0;
    while kind != HEADERS {
        let mut head = [0; 9];
        stream.read_exact(&mut head).await.unwrap();
        kind = head[3];
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        let mut payload = vec![0; usize::try_from(length).unwrap()];
        stream.read_exact(&mut payload).await.unwrap();
    }
    stream.write_all(frames).await.unwrap();
    stream
}

/// Guards against a request that counts as not run although the target may have run it, and against the
/// reverse.
#[tokio::test]
async fn frames_determine_whether_request_ran() {
    let (listener, address) = listen().await;
    let client = client(address);
    let cases = [
        (frame(RST_STREAM, 1, &[7]), "refused", true),
        (frame(RST_STREAM, 1, &[8]), "broke", false),
        (frame(GOAWAY, 0, &[0, 0]), "sent GOAWAY", true),
        (frame(GOAWAY, 0, &[0, 2]), "sent GOAWAY", true),
        (frame(GOAWAY, 0, &[1, 0]), "broke", false),
        (frame(GOAWAY, 0, &[1, 2]), "broke", false),
        (Vec::new(), "broke", false),
    ];
    for (frames, message, is_not_run) in cases {
        let (sent, ()) = tokio::join!(send(&client, "/"), async {
            drop(respond_with_frames(&listener, &frames).await);
        });
        let error = sent.unwrap_err();
        assert!(error.to_string().contains(message), "{frames:?}: {error}");
        assert_eq!(error.is_not_run(), is_not_run, "{frames:?}: {error}");
    }
}

/// Asserts that the client closes the connection within 5 s, well before it closes idle connections.
async fn assert_closed(mut stream: TcpStream) {
    let mut rest = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut rest)).await;
    assert!(read.is_ok(), "the connection stayed open");
}

/// Guards against a connection that stays open after its request timed out or was abandoned.
#[tokio::test(start_paused = true)]
async fn unfinished_request_closes_its_connection() {
    let (listener, address) = listen().await;
    let client = client(address);
    let stream = tokio::select! {
        _ = send(&client, "/") => panic!("unexpected response"),
        stream = respond_with_frames(&listener, &[]) => stream,
    };
    assert_closed(stream).await;

    let (sent, stream) = tokio::join!(send(&client, "/"), respond_with_frames(&listener, &[]));
    assert!(matches!(sent, Err(AttemptError::TimedOut)));
    assert_closed(stream).await;

    // A response head with status 200 that does not end the stream.
    let head = [0, 0, 1, HEADERS, 4, 0, 0, 0, 1, 0x88];
    let (sent, stream) = tokio::join!(send(&client, "/"), respond_with_frames(&listener, &head));
    drop(sent.unwrap().into_response(WAIT_MAX, |_| {}));
    assert_closed(stream).await;
}

async fn echo(request: Request<Incoming>) -> Response<ProxyBody> {
    let head = format!("{:?} {} ", request.version(), request.uri());
    let body = request.into_body().collect().await.unwrap().to_bytes();
    Response::new(full_body(head + std::str::from_utf8(&body).unwrap()))
}

/// Guards against requests that lose their host or body over HTTP/2.
#[tokio::test]
async fn request_and_response_are_forwarded() {
    let server = CallerServer::new(([127, 0, 0, 1], 0).into(), LIMITS)
        .await
        .unwrap();
    let client = client(server.address().unwrap());
    let stop = watch::Sender::new(false);
    let server = tokio::spawn(server.serve(echo, stop.subscribe()));
    for text in ["one", "two"] {
        let request = request("/x?a=1", full_body(text));
        let response = client
            .send(request, Instant::now() + WAIT_MAX)
            .await
            .unwrap();
        let expected = format!("HTTP/2.0 http://target/x?a=1 {text}");
        assert_eq!(read(response).await, (BodyEnd::Complete, expected));
    }
    stop.send_replace(true);
    assert!(server.await.unwrap());
}

/// Responds with the names of the request trailers.
async fn echo_trailers(request: Request<Incoming>) -> Response<ProxyBody> {
    let body = request.into_body().collect().await.unwrap();
    let names = body
        .trailers()
        .map(|trailers| format!("{:?}", trailers.keys().collect::<Vec<_>>()));
    Response::new(full_body(names.unwrap_or_default()))
}

/// Guards against a key in trailers, which HTTP/2 forwards whether or not `Trailer` lists them.
#[tokio::test]
async fn trailers_reach_target_without_key() {
    let server = CallerServer::new(([127, 0, 0, 1], 0).into(), LIMITS)
        .await
        .unwrap();
    let client = client(server.address().unwrap());
    let stop = watch::Sender::new(false);
    tokio::spawn(server.serve(echo_trailers, stop.subscribe()));
    let edge = TestEdge::with_client(LIMITS, client).await;
    let head = "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n";
    let body = "3\r\nabc\r\n0\r\nX-Digest: 1\r\nX-Api-Key: k\r\nAuthorization: k\r\n\r\n";
    let response = edge.exchange(format!("{head}\r\n{body}")).await;
    assert!(response.ends_with("[\"x-digest\"]"), "{response}");
}
