//! Bodies and trailers that pass through the forwarding server.

use std::convert::Infallible;

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderValue,
    Request, //
};
use http_body::Frame;
use http_body_util::{
    BodyExt,
    Channel,
    Empty,
    combinators::UnsyncBoxBody, //
};
use hyper::client::conn::http2::{
    SendRequest,
    handshake, //
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo, //
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::timeout, //
};

use crate::common::{
    LIMITS,
    TestEdge,
    WAIT_MAX,
    accept,
    listen,
    read_all,
    read_until,
    respond_raw, //
};

type CallerBody = UnsyncBoxBody<Bytes, Infallible>;

async fn http2_caller(edge: &TestEdge) -> SendRequest<CallerBody> {
    let stream = TcpStream::connect(edge.address).await.unwrap();
    let (sender, connection) = handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    sender
}

fn http2_request(body: CallerBody) -> Request<CallerBody> {
    let request = Request::builder().method("POST").uri("http://a/x");
    request
        .header("trailer", "x-digest, x-api-key")
        .body(body)
        .unwrap()
}

/// Guards against keys that reach a target in trailers.
#[tokio::test]
async fn trailers_reach_target_without_key() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let serve = async || {
        let mut stream = accept(&listener).await;
        let received =
            read_until(&mut stream, "\r\n\r\n").await + &read_until(&mut stream, "\r\n\r\n").await;
        stream.write_all(ok.as_bytes()).await.unwrap();
        received
    };
    let bytes = "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTrailer: X-Digest, X-Api-Key\r\n\
         Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Digest: 1\r\nX-Api-Key: SECRET\r\n\r\n";
    let (response, received) = tokio::join!(edge.exchange(bytes), serve());
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(
        received.contains("x-digest: 1") && !received.contains("SECRET"),
        "{received}"
    );

    let edge = TestEdge::new(LIMITS, target).await;
    let mut trailers = HeaderMap::new();
    trailers.insert("x-digest", HeaderValue::from_static("1"));
    trailers.insert("x-api-key", HeaderValue::from_static("SECRET"));
    let body = http_body_util::Full::new(Bytes::from_static(b"abc"))
        .with_trailers(async { Some(Ok(trailers)) })
        .map_frame(|frame: Frame<Bytes>| frame);
    let mut caller = http2_caller(&edge).await;
    let request = http2_request(UnsyncBoxBody::new(body));
    let (response, received) = tokio::join!(caller.send_request(request), serve());
    assert_eq!(response.unwrap().status(), 200);
    assert!(
        received.contains("x-digest: 1") && !received.contains("SECRET"),
        "{received}"
    );
}

/// Guards against a truncated response that a caller receives as complete.
#[tokio::test]
async fn truncated_response_reaches_caller_as_truncated() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let get = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    for framing in ["Content-Length: 9", "Transfer-Encoding: chunked"] {
        let truncated = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n2\r\nok\r\n");
        let serve = async || drop(respond_raw(&listener, &truncated).await);
        let (response, ()) = tokio::join!(edge.exchange(get), serve());
        assert!(
            !response.contains("0\r\n\r\n") && response.contains("ok"),
            "{response}"
        );

        let mut caller = http2_caller(&edge).await;
        let request = http2_request(UnsyncBoxBody::new(Empty::new()));
        let (response, ()) = tokio::join!(caller.send_request(request), serve());
        assert!(response.unwrap().into_body().collect().await.is_err());
    }
}

/// Guards against a target that continues to process a request after its caller disconnected.
#[tokio::test]
async fn disconnected_caller_cancels_request_at_target() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let mut caller = TcpStream::connect(edge.address).await.unwrap();
    caller
        .write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    let (_, mut stream) = respond_raw(&listener, "").await;
    drop(caller);
    assert!(read_all(&mut stream).await.is_empty());

    let mut caller = http2_caller(&edge).await;
    let request = http2_request(UnsyncBoxBody::new(Empty::new()));
    let mut stream = tokio::select! {
        _ = caller.send_request(request) => panic!("unexpected response"),
        (_, stream) = respond_raw(&listener, "") => stream,
    };
    assert!(read_all(&mut stream).await.is_empty());
}

/// Guards against a caller that reads nothing and thereby occupies a slot of the target.
#[tokio::test(start_paused = true)]
async fn unread_response_is_abandoned() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let large = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 64 << 20);
    let serve = async || {
        let (_, mut stream) = respond_raw(&listener, &large).await;
        let written = timeout(WAIT_MAX, stream.write_all(&vec![0; 64 << 20])).await;
        assert!(
            written.unwrap().is_err(),
            "the target could write the whole response"
        );
    };
    let mut caller = TcpStream::connect(edge.address).await.unwrap();
    caller
        .write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    serve().await;

    let mut caller = http2_caller(&edge).await;
    let request = http2_request(UnsyncBoxBody::new(Empty::new()));
    let (response, ()) = tokio::join!(caller.send_request(request), serve());
    assert!(response.is_ok());
}

/// Guards against a partial upload that a target receives as complete.
#[tokio::test]
async fn disconnected_caller_truncates_its_upload() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    for framing in ["Content-Length: 9", "Transfer-Encoding: chunked"] {
        let mut caller = TcpStream::connect(edge.address).await.unwrap();
        let head = format!("POST /x HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n3\r\nabc\r\n");
        caller.write_all(head.as_bytes()).await.unwrap();
        let mut stream = accept(&listener).await;
        read_until(&mut stream, "abc").await;
        drop(caller);
        let rest = read_all(&mut stream).await;
        assert!(!rest.contains('0'), "{rest}");
    }
}

/// Guards against an upload that waits for a `100 Continue` response that never arrives.
#[tokio::test]
async fn expectation_is_answered_by_the_server() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let mut caller = TcpStream::connect(edge.address).await.unwrap();
    let head = "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    let serve = async {
        let mut stream = accept(&listener).await;
        read_until(&mut stream, "abc").await
    };
    let (received, ()) = tokio::join!(serve, async {
        read_until(&mut caller, "100 Continue\r\n\r\n").await;
        caller.write_all(b"abc").await.unwrap();
    });
    assert!(!received.contains("expect"), "{received}");
}

/// Guards against a planned stop that interrupts requests on an HTTP/2 connection.
#[tokio::test]
async fn stop_lets_http2_upload_finish() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let mut caller = http2_caller(&edge).await;
    let (mut body_sender, body) = Channel::<Bytes, Infallible>::new(1);
    body_sender
        .send_data(Bytes::from_static(b"abc"))
        .await
        .unwrap();
    let request = http2_request(UnsyncBoxBody::new(body));
    let serve = async {
        let mut stream = accept(&listener).await;
        read_until(&mut stream, "abc").await;
        edge.stop.send_replace(true);
        // A refused connection shows that the server has begun to stop.
        while TcpStream::connect(edge.address).await.is_ok() {
            tokio::task::yield_now().await;
        }
        body_sender
            .send_data(Bytes::from_static(b"def"))
            .await
            .unwrap();
        drop(body_sender);
        read_until(&mut stream, "def").await;
        let ok = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        stream.write_all(ok).await.unwrap();
    };
    let (response, ()) = tokio::join!(caller.send_request(request), serve);
    let body = response.unwrap().into_body().collect().await.unwrap();
    assert_eq!(body.to_bytes(), "ok");
    assert!(edge.server.await.unwrap());
    let request = http2_request(UnsyncBoxBody::new(Empty::new()));
    assert!(caller.send_request(request).await.is_err());
}

/// Guards against HTTP/2 heads that exceed the size limits or that HTTP/1 would refuse.
#[tokio::test]
async fn unsafe_http2_head_is_refused() {
    let (_listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let host = vec![("host", "b".to_owned())];
    let many = vec![("a", "b".to_owned()); 101];
    let long = vec![("a", "b".repeat(17 << 10))];
    for (fields, status) in [(host, 400), (many, 431), (long, 431)] {
        let mut caller = http2_caller(&edge).await;
        let mut request = http2_request(UnsyncBoxBody::new(Empty::new()));
        for (name, value) in fields {
            request.headers_mut().append(name, value.parse().unwrap());
        }
        assert_eq!(caller.send_request(request).await.unwrap().status(), status);
    }
    assert_eq!(edge.request_count(), 0);
}
