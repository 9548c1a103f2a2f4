//! Connections to targets that respond late, close early, do not respond or are unreachable.

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
    Channel,
    channel::Sender, //
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
    listen,
    read_all,
    read_until,
    respond_raw, //
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
) -> Result<TargetResponse, AttemptError> {
    let deadline = Instant::now() + WAIT_MAX;
    client.send(request(path, empty_body()), deadline).await
}

/// Reads a response to its end.
pub(crate) async fn read(response: TargetResponse) -> (BodyEnd, String) {
    let (sender, end) = oneshot::channel();
    let on_end = |end| sender.send(end).unwrap();
    let mut body = response.into_response(WAIT_MAX, on_end).into_body();
    let mut text = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        text += std::str::from_utf8(frame.data_ref().unwrap()).unwrap();
    }
    (end.await.unwrap(), text)
}

/// Responds to one more request on an open connection.
async fn respond_next(stream: &mut TcpStream) -> String {
    let head = read_until(stream, "\r\n\r\n").await;
    stream.write_all(OK.as_bytes()).await.unwrap();
    head
}

/// Returns a body that has begun, and the sender of its data.
async fn started_body() -> (Sender<Bytes, BodyError>, ProxyBody) {
    let (mut body_sender, body) = Channel::new(1);
    body_sender
        .send_data(Bytes::from_static(b"abc"))
        .await
        .unwrap();
    (body_sender, body.boxed_unsync())
}

/// Guards against a late response that is delivered for the next request.
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
    // The write fails if the connection is already closed.
    let _ = stream.write_all(OK.replace("ok", "no").as_bytes()).await;
    let (second, _) = tokio::join!(send(&client, "/second"), respond_raw(&listener, OK));
    assert_eq!(
        read(second.unwrap()).await,
        (BodyEnd::Complete, "ok".into())
    );
    assert!(read_all(&mut stream).await.is_empty());
}

/// Guards against a new connection for each request, and against one that stays open when idle for 32 s.
#[tokio::test]
async fn idle_connection_is_reused_and_then_closed() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (first, (_, mut stream)) = tokio::join!(send(&client, "/1"), respond_raw(&listener, OK));
    read(first.unwrap()).await;
    let (second, head) = tokio::join!(send(&client, "/2"), respond_next(&mut stream));
    assert!(head.starts_with("POST /2 "), "{head}");
    read(second.unwrap()).await;
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(32)).await;
    tokio::time::resume();
    assert!(read_all(&mut stream).await.is_empty());
}

/// Guards against a next request that fails because the target closed the idle connection.
#[tokio::test]
async fn connection_closed_while_idle_is_replaced() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (first, (_, mut stream)) = tokio::join!(send(&client, "/1"), respond_raw(&listener, OK));
    read(first.unwrap()).await;
    stream.shutdown().await.unwrap();
    // The client closes its side after it has read the end of the stream.
    assert!(read_all(&mut stream).await.is_empty());
    let (second, _) = tokio::join!(send(&client, "/2"), respond_raw(&listener, OK));
    assert_eq!(read(second.unwrap()).await.0, BodyEnd::Complete);
}

/// Guards against a short response that counts as complete, and against the reuse of its connection.
#[tokio::test]
async fn short_response_counts_as_truncated() {
    let (listener, address) = listen().await;
    let client = client(address);
    for head in ["Content-Length: 9", "Transfer-Encoding: chunked"] {
        let response = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n2\r\nok\r\n");
        let (sent, stream) = tokio::join!(send(&client, "/"), respond_raw(&listener, &response));
        drop(stream);
        assert_eq!(read(sent.unwrap()).await.0, BodyEnd::Truncated, "{head}");
    }
}

/// Guards against an attempt reported as not run although part of the request was written.
#[tokio::test]
async fn error_states_whether_request_was_written() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (broken, ()) = tokio::join!(send(&client, "/"), async {
        drop(respond_raw(&listener, "").await);
    });
    let broken = broken.unwrap_err();
    assert!(
        matches!(broken, AttemptError::ConnectionBroken(_)),
        "{broken}"
    );
    assert!(!broken.is_not_run());
    let switch = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n";
    let (switched, _) = tokio::join!(send(&client, "/"), respond_raw(&listener, switch));
    assert!(matches!(switched, Err(AttemptError::UnexpectedUpgrade)));
    drop(listener);
    let refused = send(&client, "/").await.unwrap_err();
    assert!(matches!(refused, AttemptError::Connect(_)), "{refused}");
    assert!(refused.is_not_run());
}

/// Guards against more connections to a target than its limit.
#[tokio::test(start_paused = true)]
async fn connections_stay_within_the_limit() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (first, (_, mut stream)) = tokio::join!(send(&client, "/1"), respond_raw(&listener, OK));
    let first = first.unwrap();
    let second = send(&client, "/2").await.unwrap_err();
    assert!(matches!(second, AttemptError::NoConnection), "{second}");
    assert!(second.is_not_run());
    // A waiting request receives the connection as soon as it is free.
    let (_, third, head) =
        tokio::join!(read(first), send(&client, "/3"), respond_next(&mut stream));
    assert!(head.starts_with("POST /3 "), "{head}");
    assert!(third.is_ok());
}

/// Guards against idle connections that stay open although another connection to the target timed out.
#[tokio::test(start_paused = true)]
async fn timeout_closes_idle_connections() {
    let (listener, address) = listen().await;
    let client = Arc::new(TargetClient::new(address, 2));
    let (first, (_, mut first_stream)) =
        tokio::join!(send(&client, "/1"), respond_raw(&listener, OK));
    let (second, (_, mut second_stream)) =
        tokio::join!(send(&client, "/2"), respond_raw(&listener, OK));
    read(first.unwrap()).await;
    read(second.unwrap()).await;
    let deadline = Instant::now() + Duration::from_secs(1);
    let third = client.send(request("/3", empty_body()), deadline).await;
    assert!(matches!(third, Err(AttemptError::TimedOut)));
    let received = read_all(&mut first_stream).await + &read_all(&mut second_stream).await;
    assert!(received.starts_with("POST /3 "), "{received}");
}

/// Guards against a target that reads nothing and thereby blocks the close of an abandoned request.
#[tokio::test(start_paused = true)]
async fn blocked_write_does_not_occupy_the_connection() {
    let (listener, address) = listen().await;
    let client = client(address);
    let large = request("/", full_body(vec![0; 32 << 20]));
    let sent = client.send(large, Instant::now() + WAIT_MAX);
    let abandoned = tokio::time::timeout(Duration::from_secs(5), sent).await;
    assert!(abandoned.is_err());
    let blocked = accept(&listener).await;
    let (second, _) = tokio::join!(send(&client, "/2"), respond_raw(&listener, OK));
    assert_eq!(read(second.unwrap()).await.0, BodyEnd::Complete);
    drop(blocked);
}

/// Guards against a target that continues to process an abandoned request.
#[tokio::test]
async fn abandoned_request_closes_its_connection() {
    let (listener, address) = listen().await;
    let client = client(address);
    let mut stream = tokio::select! {
        _ = send(&client, "/") => panic!("unexpected response"),
        (_, stream) = respond_raw(&listener, "") => stream,
    };
    assert!(read_all(&mut stream).await.is_empty());
    let long = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
    let (sent, (_, mut stream)) = tokio::join!(send(&client, "/"), respond_raw(&listener, long));
    let (sender, end) = oneshot::channel();
    let response: Response<ProxyBody> = sent
        .unwrap()
        .into_response(WAIT_MAX, |end| sender.send(end).unwrap());
    drop(response);
    assert_eq!(end.await, Ok(BodyEnd::Abandoned));
    assert!(read_all(&mut stream).await.is_empty());
}

/// Guards against a failed upload that a target receives as complete.
#[tokio::test]
async fn failed_request_body_ends_as_truncated() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (body_sender, body) = started_body().await;
    let deadline = Instant::now() + WAIT_MAX;
    let (sent, received) = tokio::join!(client.send(request("/", body), deadline), async {
        let mut stream = accept(&listener).await;
        let received = read_until(&mut stream, "abc").await;
        body_sender.abort(BodyError::Stalled);
        received + &read_all(&mut stream).await
    });
    assert!(matches!(sent, Err(AttemptError::RequestBodyStalled)));
    assert!(!received.contains("0\r\n\r\n"), "{received}");
}

/// Guards against the rest of an upload that is read as the next request when the response ends first.
#[tokio::test]
async fn early_answer_closes_the_connection() {
    let (listener, address) = listen().await;
    let client = client(address);
    let (body_sender, body) = started_body().await;
    let deadline = Instant::now() + WAIT_MAX;
    let (sent, (_, mut stream)) = tokio::join!(
        client.send(request("/", body), deadline),
        respond_raw(&listener, OK)
    );
    assert_eq!(read(sent.unwrap()).await, (BodyEnd::Complete, "ok".into()));
    assert!(!read_all(&mut stream).await.contains("0\r\n\r\n"));
    let (second, _) = tokio::join!(send(&client, "/2"), respond_raw(&listener, OK));
    assert!(second.is_ok());
    drop(body_sender);
}

/// Guards against a connection that is busy until the deadline, because its target sends interim responses without
/// end.
#[tokio::test]
async fn interim_responses_without_end_break_the_connection() {
    let (listener, address) = listen().await;
    let client = client(address);
    let interim = "HTTP/1.1 103 X\r\n\r\n".repeat(1000);
    let (sent, ()) = tokio::join!(send(&client, "/"), async {
        let (_, mut stream) = respond_raw(&listener, &interim).await;
        while stream.write_all(interim.as_bytes()).await.is_ok() {}
    });
    let error = sent.unwrap_err();
    assert!(
        matches!(error, AttemptError::ConnectionBroken(_)),
        "{error}"
    );
    assert!(!error.is_not_run());
}
