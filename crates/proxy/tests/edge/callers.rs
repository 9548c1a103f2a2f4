//! Hostile, slow and too many callers.

use std::time::Duration;

use chicorycroft_proxy::prelude::*;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream, //
};

use crate::common::{
    LIMITS,
    TestEdge,
    accept,
    answer_raw,
    listen,
    read_all,
    read_until, //
};

/// Guards against heads that two readers frame in two ways.
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
        let answer = edge.exchange(&bytes).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{fields}: {answer}"
        );
        assert!(answer.contains("\"run\":\"not-run\""), "{fields}: {answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{fields}: {answer}");
    }
    for (status, line) in [
        ("400", "GET  /x HTTP/1.1"),
        ("400", "GET /x y HTTP/1.1"),
        ("400", "GET /x HTTP/1.1 "),
        ("400", "GET /x HTTP/3.0"),
        ("400", "\x16\x03\x01"),
        ("405", "CONNECT a:1 HTTP/1.1"),
    ] {
        let answer = edge.exchange(format!("{line}\r\nHost: a:1\r\n\r\n")).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{line}: {answer}"
        );
    }
    assert_eq!(edge.request_count(), 0);
}

/// Guards against a chunked body that reaches the target as whole although its framing is wrong.
#[tokio::test]
async fn bad_chunk_cuts_the_request() {
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
        let (answer, seen) = tokio::join!(edge.exchange(&bytes), async {
            read_all(&mut accept(&listener).await).await
        });
        assert!(answer.starts_with("HTTP/1.1 400"), "{chunks:?}: {answer}");
        assert_eq!(
            answer.matches("HTTP/1.1").count(),
            1,
            "{chunks:?}: {answer}"
        );
        assert!(!seen.contains("\r\n0\r\n\r\n"), "{chunks:?}: {seen}");
    }
}

/// Guards against callers that hold a connection or a target with a head or body that never ends.
#[tokio::test(start_paused = true)]
async fn slow_request_is_refused() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let answer = edge.exchange("GET /x HTTP/1.1\r\nHost: a\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(edge.exchange("").await.is_empty());
    assert!(
        edge.exchange("PRI * HTTP/2.0\r\n\r\nSM")
            .await
            .contains(" 408 ")
    );
    assert_eq!(edge.request_count(), 0);

    let body = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc";
    let (answer, seen) = tokio::join!(edge.exchange(body), async {
        read_all(&mut accept(&listener).await).await
    });
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"run\":\"unknown\""), "{answer}");
    assert!(seen.ends_with("abc"), "{seen}");
}

/// Guards against a full host that lets callers hang or cuts them without a word.
#[tokio::test]
async fn connection_over_the_limit_is_refused() {
    let (_listener, target) = listen().await;
    let limits = ServerLimits {
        connections_max: 1,
        ..LIMITS
    };
    let edge = TestEdge::new(limits, target).await;
    let first = TcpStream::connect(edge.address).await.unwrap();
    let answer = edge.exchange("GET /x HTTP/1.1\r\nHost: a\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("\"run\":\"not-run\""), "{answer}");
    assert!(answer.contains("too-many-connections"), "{answer}");
    assert_eq!(edge.request_count(), 0);
    drop(first);
}

/// Guards against refusals that overtake, and against pipelined requests that are lost.
#[tokio::test]
async fn refusal_comes_after_earlier_answers() {
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
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            stream.write_all(answer).await.unwrap();
        }
    };
    let (answer, ()) = tokio::join!(edge.exchange(&bytes), target);
    let statuses: Vec<&str> = answer.matches("HTTP/1.1 200").collect();
    assert_eq!(statuses.len(), 2, "{answer}");
    assert!(
        answer.rfind("HTTP/1.1 400") > answer.rfind("HTTP/1.1 200"),
        "{answer}"
    );
}

/// Guards against a planned stop that cuts an upload.
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
    let answer = read_all(&mut caller).await;
    assert!(answer.ends_with("ok"), "{answer}");
    assert!(edge.server.await.unwrap());
}

/// Guards against a stop that waits for a caller without end, and against an unreported cut.
#[tokio::test(start_paused = true)]
async fn stop_is_bounded_and_reports_cuts() {
    let (listener, target) = listen().await;
    let edge = TestEdge::new(LIMITS, target).await;
    let ask = edge.exchange("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    let stop = async {
        let (_, stream) =
            answer_raw(&listener, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok").await;
        edge.stop.send_replace(true);
        (stream, Duration::ZERO)
    };
    let (answer, held) = tokio::join!(ask, stop);
    assert!(answer.ends_with("ok"), "{answer}");
    assert!(!edge.server.await.unwrap());
    drop(held);
}
