//! Connections to targets that are late, cut, silent or gone.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_proxy::prelude::*;
use http::{
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Channel, //
    channel::Sender,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::oneshot,
    time::Instant, //
};

use crate::common::{
    WAIT_MAX,
    accept,
    answer_raw,
    listen,
    read_all,
    read_until, //
};

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

pub(crate) fn client(address: SocketAddr) -> Arc<TargetClient> {
    Arc::new(TargetClient::new(address, 1))
}

pub(crate) fn request(path: &str, body: ProxyBody) -> Request<ProxyBody> {
    let request = Request::builder().method("POST").uri(path);
    request.header("host", "target").body(body).unwrap()
}

pub(crate) async fn send(
    client: &Arc<TargetClient>,
    path: &str,
) -> Result<TargetAnswer, AttemptError> {
    let deadline = Instant::now() + WAIT_MAX;
    client.send(request(path, empty_body()), deadline).await
}

/// Reads an answer to its end.
pub(crate) async fn read(answer: TargetAnswer) -> (BodyEnd, String) {
    let (sender, end) = oneshot::channel();
    let on_end = |end| sender.send(end).unwrap();
    let mut body = answer.into_response(WAIT_MAX, on_end).into_body();
    let mut text = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        text += std::str::from_utf8(frame.data_ref().unwrap()).unwrap();
    }
    (end.await.unwrap(), text)
}

/// Serves one more request on a connection that is open.
async fn answer_next(stream: &mut TcpStream) -> String {
    let head = read_until(stream, "\r\n\r\n").await;
    stream.write_all(OK.as_bytes()).await.unwrap();
    head
}

/// A body that is fed by hand and has begun.
async fn fed_body() -> (Sender<Bytes, BodyError>, ProxyBody) {
    let (mut feed, body) = Channel::new(1);
    feed.send_data(Bytes::from_static(b"abc")).await.unwrap();
    (feed, body.boxed_unsync())
}

/// Guards against a late answer that reaches the next request.
#[tokio::test(start_paused = true)]
async fn late_answer_never_reaches_another_request() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (first, mut stream) = tokio::join!(send(&client, "/first"), async {
        let mut stream = accept(&listener).await;
        read_until(&mut stream, "\r\n\r\n").await;
        stream
    });
    let error = first.unwrap_err();
    assert!(matches!(error, AttemptError::TimedOut), "{error}");
    assert!(!error.is_not_run());
    // The write fails when the connection is closed already.
    let _ = stream.write_all(OK.replace("ok", "no").as_bytes()).await;
    let (second, _) = tokio::join!(send(&client, "/second"), answer_raw(&listener, OK));
    assert_eq!(read(second.unwrap()).await, (BodyEnd::Whole, "ok".into()));
    assert!(read_all(&mut stream).await.is_empty());
}

/// Guards against a new connection for each request, and against one kept beyond 30 s.
#[tokio::test]
async fn idle_connection_is_reused_and_then_closed() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (first, (_, mut stream)) = tokio::join!(send(&client, "/1"), answer_raw(&listener, OK));
    read(first.unwrap()).await;
    let (second, head) = tokio::join!(send(&client, "/2"), answer_next(&mut stream));
    assert!(head.starts_with("POST /2 "), "{head}");
    read(second.unwrap()).await;
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(32)).await;
    tokio::time::resume();
    assert!(read_all(&mut stream).await.is_empty());
}

/// Guards against an idle connection that the target has closed and that fails the next request.
#[tokio::test]
async fn connection_closed_while_idle_is_replaced() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (first, (_, mut stream)) = tokio::join!(send(&client, "/1"), answer_raw(&listener, OK));
    read(first.unwrap()).await;
    stream.shutdown().await.unwrap();
    // The client closes its side once it has seen the end.
    assert!(read_all(&mut stream).await.is_empty());
    let (second, _) = tokio::join!(send(&client, "/2"), answer_raw(&listener, OK));
    assert_eq!(read(second.unwrap()).await.0, BodyEnd::Whole);
}

/// Guards against an answer that is short but counts as whole, and against its connection in use.
#[tokio::test]
async fn short_answer_is_a_cut() {
    let (listener, address) = listen().await;
    let client = client(address);
    for head in ["Content-Length: 9", "Transfer-Encoding: chunked"] {
        let answer = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n2\r\nok\r\n");
        let (sent, stream) = tokio::join!(send(&client, "/"), answer_raw(&listener, &answer));
        drop(stream);
        assert_eq!(read(sent.unwrap()).await.0, BodyEnd::Cut, "{head}");
    }
}

/// Guards against a statement about a run that the socket does not prove.
#[tokio::test]
async fn failure_tells_whether_request_was_written() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (broken, ()) = tokio::join!(send(&client, "/"), async {
        drop(answer_raw(&listener, "").await);
    });
    let broken = broken.unwrap_err();
    assert!(matches!(broken, AttemptError::Broken(_)), "{broken}");
    assert!(!broken.is_not_run());
    let switch = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n";
    let (switched, _) = tokio::join!(send(&client, "/"), answer_raw(&listener, switch));
    assert!(matches!(switched, Err(AttemptError::BadAnswer)));
    drop(listener);
    let refused = send(&client, "/").await.unwrap_err();
    assert!(matches!(refused, AttemptError::Connect(_)), "{refused}");
    assert!(refused.is_not_run());
}

/// Guards against more connections to a target than it can bear.
#[tokio::test(start_paused = true)]
async fn connections_stay_below_the_cap() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (first, (_, mut stream)) = tokio::join!(send(&client, "/1"), answer_raw(&listener, OK));
    let first = first.unwrap();
    let second = send(&client, "/2").await.unwrap_err();
    assert!(matches!(second, AttemptError::NoConnection), "{second}");
    assert!(second.is_not_run());
    // A waiting request gets the connection as soon as it is free.
    let (_, third, head) = tokio::join!(read(first), send(&client, "/3"), answer_next(&mut stream));
    assert!(head.starts_with("POST /3 "), "{head}");
    assert!(third.is_ok());
}

/// Guards against idle connections that are silent like the one that has just timed out.
#[tokio::test(start_paused = true)]
async fn timeout_closes_idle_connections() {
    let (listener, address) = listen().await;
    let client = Arc::new(TargetClient::new(address, 2));
    let (first, (_, mut one)) = tokio::join!(send(&client, "/1"), answer_raw(&listener, OK));
    let (second, (_, mut other)) = tokio::join!(send(&client, "/2"), answer_raw(&listener, OK));
    read(first.unwrap()).await;
    read(second.unwrap()).await;
    let deadline = Instant::now() + Duration::from_secs(1);
    let third = client.send(request("/3", empty_body()), deadline).await;
    assert!(matches!(third, Err(AttemptError::TimedOut)));
    let seen = read_all(&mut one).await + &read_all(&mut other).await;
    assert!(seen.starts_with("POST /3 "), "{seen}");
}

/// Guards against a target that reads nothing and so holds a connection of an abandoned request.
#[tokio::test(start_paused = true)]
async fn blocked_write_does_not_hold_the_connection() {
    let (listener, address) = listen().await;
    let client = client(address);
    let large = request("/", full_body(vec![0; 32 << 20]));
    let sent = client.send(large, Instant::now() + WAIT_MAX);
    let abandoned = tokio::time::timeout(Duration::from_secs(5), sent).await;
    assert!(abandoned.is_err());
    let blocked = accept(&listener).await;
    let (second, _) = tokio::join!(send(&client, "/2"), answer_raw(&listener, OK));
    assert_eq!(read(second.unwrap()).await.0, BodyEnd::Whole);
    drop(blocked);
}

/// Guards against a target that goes on with work that nobody waits for.
#[tokio::test]
async fn abandoned_request_closes_its_connection() {
    let (listener, address) = listen().await;
    let client = client(address);
    let mut stream = tokio::select! {
        _ = send(&client, "/") => panic!("an answer came"),
        (_, stream) = answer_raw(&listener, "") => stream,
    };
    assert!(read_all(&mut stream).await.is_empty());
    let long = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
    let (sent, (_, mut stream)) = tokio::join!(send(&client, "/"), answer_raw(&listener, long));
    let (sender, end) = oneshot::channel();
    let response: Response<ProxyBody> = sent
        .unwrap()
        .into_response(WAIT_MAX, |end| sender.send(end).unwrap());
    drop(response);
    assert_eq!(end.await, Ok(BodyEnd::Abandoned));
    assert!(read_all(&mut stream).await.is_empty());
}

/// Guards against a broken upload that a target takes for a whole one.
#[tokio::test]
async fn failed_request_body_ends_as_cut() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (feed, body) = fed_body().await;
    let deadline = Instant::now() + WAIT_MAX;
    let (sent, seen) = tokio::join!(client.send(request("/", body), deadline), async {
        let mut stream = accept(&listener).await;
        let seen = read_until(&mut stream, "abc").await;
        feed.abort(BodyError::Stalled);
        seen + &read_all(&mut stream).await
    });
    assert!(matches!(sent, Err(AttemptError::RequestStalled)));
    assert!(!seen.contains("0\r\n\r\n"), "{seen}");
}

/// Guards against the rest of an upload that is read as the next request.
#[tokio::test]
async fn early_answer_closes_the_connection() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (feed, body) = fed_body().await;
    let deadline = Instant::now() + WAIT_MAX;
    let (sent, (_, mut stream)) = tokio::join!(
        client.send(request("/", body), deadline),
        answer_raw(&listener, OK)
    );
    assert_eq!(read(sent.unwrap()).await, (BodyEnd::Whole, "ok".into()));
    assert!(!read_all(&mut stream).await.contains("0\r\n\r\n"));
    let (second, _) = tokio::join!(send(&client, "/2"), answer_raw(&listener, OK));
    assert!(second.is_ok());
    drop(feed);
}
