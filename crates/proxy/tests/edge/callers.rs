//! Malicious and slow callers, and the connection limit.

use std::time::Duration;

use chicorycroft_proxy::prelude::*;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::Instant, //
};

use crate::common::{
    LIMITS,
    TestEdge,
    accept,
    listen,
    read_all,
    read_until,
    respond_raw, //
};

/// Guards against request smuggling: heads that two parsers could frame differently.
#[tokio::test]
async fn malformed_head_is_refused_and_connection_closed() {
    let (_listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let many = "a: b\r\n".repeat(101);
    let long = format!("a: {}\r\n", "b".repeat(17 << 10));
    let cases = [
        ("400", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
        ("400", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"),
        ("400", "Content-Length: 3\r\nContent-Length: 3\r\n"),
        ("400", "Content-Length: 3\r\nContent-Length: 4\r\n"),
        ("400", "Content-Length: 3, 3\r\n"),
        ("400", "Content-Length: +3\r\n"),
        ("400", "Content-Length: 0x3\r\n"),
        ("400", "Content-Length: 99999999999999999999999\r\n"),
        (
            "400",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        ),
        ("400", "Transfer-Encoding: gzip, chunked\r\n"),
        ("400", "Transfer-Encoding: xchunked\r\n"),
        ("400", "Transfer-Encoding : chunked\r\n"),
        ("400", "Transfer-Encoding:\x0bchunked\r\n"),
        ("400", "a: b\r\n folded\r\n"),
        ("400", "a: b\nTransfer-Encoding: chunked\r\n"),
        ("400", "a: b\rTransfer-Encoding: chunked\r\n"),
        ("400", "a: b\0c\r\n"),
        ("400", "a b: c\r\n"),
        ("400", "no colon\r\n"),
        ("400", "Host: second\r\n"),
        ("400", "Upgrade: websocket\r\nConnection: upgrade\r\n"),
        ("417", "Expect: something\r\n"),
        ("431", &many),
        ("431", &long),
    ];
    for (status, fields) in cases {
        let bytes =
            format!("POST /x HTTP/1.1\r\nHost: a\r\n{fields}\r\nabcGET /y HTTP/1.1\r\n\r\n");
        let response = edge.exchange(&bytes).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{fields}: {response}"
        );
        assert!(
            response.contains("\"run\":\"not-run\""),
            "{fields}: {response}"
        );
        assert_eq!(
            response.matches("HTTP/1.1").count(),
            1,
            "{fields}: {response}"
        );
    }
    for (status, line) in [
        ("400", "GET  /x HTTP/1.1"),
        ("400", "GET /x y HTTP/1.1"),
        ("400", "GET /x HTTP/1.1 "),
        ("400", "GET /x HTTP/3.0"),
        ("400", "\x16\x03\x01"),
        ("405", "CONNECT a:1 HTTP/1.1"),
    ] {
        let response = edge.exchange(format!("{line}\r\nHost: a:1\r\n\r\n")).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{line}: {response}"
        );
    }
    assert_eq!(edge.request_count(), 0);
}

/// Guards against a malformed chunked body that the target receives as complete.
#[tokio::test]
async fn malformed_chunk_truncates_the_request() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    for chunks in [
        "3 \r\nabc\r\n0\r\n\r\n",
        "0x3\r\nabc\r\n0\r\n\r\n",
        "-3\r\nabc\r\n0\r\n\r\n",
        "\r\nabc\r\n0\r\n\r\n",
        "3\nabc\r\n0\r\n\r\n",
        "3\r\nabcd\r\n0\r\n\r\n",
        "3\r\nabc\n0\r\n\r\n",
        "fffffffffffffffff\r\nabc\r\n0\r\n\r\n",
        "3\r\nabc\r\n0\r\na: b\nc: d\r\n\r\n",
    ] {
        let head = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        let bytes = format!("{head}{chunks}GET /y HTTP/1.1\r\nHost: a\r\n\r\n");
        let (response, received) = tokio::join!(edge.exchange(&bytes), async {
            read_all(&mut accept(&listener).await).await
        });
        assert!(
            response.starts_with("HTTP/1.1 400"),
            "{chunks:?}: {response}"
        );
        assert_eq!(
            response.matches("HTTP/1.1").count(),
            1,
            "{chunks:?}: {response}"
        );
        assert!(
            !received.contains("\r\n0\r\n\r\n"),
            "{chunks:?}: {received}"
        );
    }
}

/// Guards against callers that occupy a connection or a target with a head or body that never ends.
#[tokio::test(start_paused = true)]
async fn slow_request_is_refused() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let response = edge.exchange("GET /x HTTP/1.1\r\nHost: a\r\n").await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(edge.exchange("").await.is_empty());
    assert!(
        edge.exchange("PRI * HTTP/2.0\r\n\r\nSM")
            .await
            .contains(" 408 ")
    );
    assert_eq!(edge.request_count(), 0);

    let body = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc";
    let (response, received) = tokio::join!(edge.exchange(body), async {
        read_all(&mut accept(&listener).await).await
    });
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("\"run\":\"unknown\""), "{response}");
    assert!(received.ends_with("abc"), "{received}");
}

/// Guards against a host at its connection limit that lets callers hang or closes without a response.
#[tokio::test]
async fn connection_over_the_limit_is_refused() {
    let (_listener, target) = listen().await;
    let limits = ServerLimits {
        connections_max: 1,
        ..LIMITS
    };
    let edge = TestEdge::new(limits, target).await;
    let first = TcpStream::connect(edge.address).await.unwrap();
    let response = edge.exchange("GET /x HTTP/1.1\r\nHost: a\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("\"run\":\"not-run\""), "{response}");
    assert!(response.contains("too-many-connections"), "{response}");
    assert_eq!(edge.request_count(), 0);
    drop(first);
}

/// Guards against a refusal that is sent before earlier responses, and against lost pipelined requests.
#[tokio::test]
async fn refusal_is_sent_after_earlier_responses() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let good = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    let chunked =
        "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let bytes = format!("{good}\r\n{chunked}GET /x HTTP/1.1\r\nbad\r\n\r\n");
    let target = async {
        let mut stream = accept(&listener).await;
        for end in ["abc", "0\r\n\r\n"] {
            read_until(&mut stream, end).await;
            let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            stream.write_all(response).await.unwrap();
        }
    };
    let (response, ()) = tokio::join!(edge.exchange(&bytes), target);
    let statuses: Vec<&str> = response.matches("HTTP/1.1 200").collect();
    assert_eq!(statuses.len(), 2, "{response}");
    assert!(
        response.rfind("HTTP/1.1 400") > response.rfind("HTTP/1.1 200"),
        "{response}"
    );
}

/// Guards against a planned stop that interrupts an upload.
#[tokio::test]
async fn stop_lets_upload_finish() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let mut caller = TcpStream::connect(edge.address).await.unwrap();
    let head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabc";
    caller.write_all(head).await.unwrap();
    let mut stream = accept(&listener).await;
    read_until(&mut stream, "abc").await;
    edge.stop.send_replace(true);
    caller.write_all(b"def").await.unwrap();
    read_until(&mut stream, "def").await;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        .await
        .unwrap();
    let response = read_all(&mut caller).await;
    assert!(response.ends_with("ok"), "{response}");
    assert!(edge.server.await.unwrap());
}

/// Guards against a planned stop that waits forever for a caller or does not report closed connections.
#[tokio::test(start_paused = true)]
async fn stop_is_limited_and_reports_forced_closes() {
    // Shorter than the 10 s after which a body without progress ends by itself.
    let limits = ServerLimits {
        drain_limit: Duration::from_secs(8),
        ..LIMITS
    };
    let (listener, target) = listen().await;
    let edge = TestEdge::new(limits, target).await;
    let exchange = edge.exchange("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    let stop = async {
        let (_, stream) =
            respond_raw(&listener, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok").await;
        edge.stop.send_replace(true);
        (stream, Duration::ZERO)
    };
    let started_at = Instant::now();
    let (response, open_stream) = tokio::join!(exchange, stop);
    assert!(response.ends_with("ok"), "{response}");
    assert!(!edge.server.await.unwrap());
    assert!(started_at.elapsed() < Duration::from_millis(8100));
    drop(open_stream);
}
