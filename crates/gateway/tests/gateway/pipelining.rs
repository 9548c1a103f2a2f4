//! Requests that callers send before the earlier ones of their connection are answered, and slow readers.

use std::time::Duration;

use chicorycroft_platform_standin::prelude::*;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

use crate::test_gateway::{
    TestGateway,
    WAIT_TIMEOUT, //
};

/// Returns the text of a request without a body. `fields` are additional header lines.
fn request(path: &str, id: &str, fields: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: shop.example\r\nx-request-id: {id}\r\n{fields}\r\n")
}

/// Connects a caller and sends bytes.
async fn send(gateway: &TestGateway, text: &str) -> TcpStream {
    let address = gateway.host.caller_address();
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads until the connection closes.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    read.expect("the connection stayed open").unwrap();
    String::from_utf8(bytes).unwrap()
}

/// Returns the status and the request id of each answer in a text.
fn answers(text: &str) -> Vec<(&str, &str)> {
    let heads = text.split("HTTP/1.1 ").skip(1);
    heads
        .map(|head| {
            let mut fields = head.lines().filter_map(|line| line.split_once(": "));
            let id = fields.find(|(name, _)| *name == "x-request-id");
            (&head[..3], id.map_or("", |(_, id)| id))
        })
        .collect()
}

/// Guards against answers that leave in another order than their requests came, because a later one was ready first.
#[tokio::test]
async fn answers_leave_in_the_order_of_their_requests() {
    let gateway = TestGateway::new(2).await;
    for target in &gateway.targets {
        let slow = TargetBehaviour::Answer(Duration::from_millis(300));
        target.set_next_behaviours([slow]);
    }
    let text = [
        request("/open/1", "first", ""),
        request("/open/2", "second", ""),
        request("/open/3", "third", "connection: close\r\n"),
    ];
    let mut caller = send(&gateway, &text.concat()).await;
    let text = read_to_end(&mut caller).await;
    let expected = [("200", "first"), ("200", "second"), ("200", "third")];
    assert_eq!(answers(&text), expected);
}

/// Guards against a target that works on a request for longer than its caller waits, because the time for which the
/// request was behind another one did not count.
#[tokio::test]
async fn time_behind_another_request_counts_against_the_deadline() {
    let gateway = TestGateway::new(1).await;
    let slow = TargetBehaviour::Answer(Duration::from_millis(400));
    gateway.targets[0].set_next_behaviours([slow]);
    let text = [
        request("/open/1", "first", "x-deadline-ms: 900\r\n"),
        request(
            "/open/2",
            "second",
            "x-deadline-ms: 900\r\nconnection: close\r\n",
        ),
    ];
    let mut caller = send(&gateway, &text.concat()).await;
    let text = read_to_end(&mut caller).await;
    assert_eq!(answers(&text), [("200", "first"), ("200", "second")]);
    let received = gateway.received_requests();
    let left = received[1].time_left().unwrap();
    assert!(
        left <= Duration::from_millis(500),
        "{left:?} of 900 ms left"
    );
}

/// Guards against targets that work on for a caller that has left, unnoticed behind a second request that nobody reads.
#[tokio::test]
async fn caller_that_leaves_is_noticed_behind_a_second_request() {
    let gateway = TestGateway::new(1).await;
    gateway.targets[0].set_next_behaviours([TargetBehaviour::Hang]);
    let text = [
        request("/open/1", "first", ""),
        request("/open/2", "second", ""),
    ];
    let caller = send(&gateway, &text.concat()).await;
    gateway
        .wait_until(|_| gateway.received_requests().len() == 1)
        .await;
    drop(caller);
    let left_at = Instant::now();
    let counter = "gateway_requests_total{outcome=\"caller-left\"} 1";
    gateway
        .wait_until(|host| host.state().metrics.text().unwrap().contains(counter))
        .await;
    // A target that works on for half a second after the caller has left works in vain.
    assert!(left_at.elapsed() < Duration::from_millis(400));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(gateway.received_requests().len(), 1);
}

/// Guards against a malformed request that spoils the answer to the one before.
#[tokio::test]
async fn malformed_request_does_not_spoil_the_answer_before() {
    let gateway = TestGateway::new(1).await;
    let slow = TargetBehaviour::Answer(Duration::from_millis(200));
    gateway.targets[0].set_next_behaviours([slow]);
    let text = request("/open/1", "first", "") + "GET  /open/2 HTTP/9\r\n\r\n";
    let mut caller = send(&gateway, &text).await;
    let text = read_to_end(&mut caller).await;
    assert_eq!(answers(&text), [("200", "first"), ("400", "")]);
    assert_eq!(gateway.received_requests().len(), 1);
}

/// Guards against running a request behind an answer that closes the connection, whose caller sends it once more.
#[tokio::test]
async fn request_behind_an_answer_that_closes_does_not_run() {
    let gateway = TestGateway::new(1).await;
    let behind = request("/open/2", "second", "");
    let text = request("/open/1", "first", "connection: close\r\n") + &behind;
    let mut caller = send(&gateway, &text).await;
    let text = read_to_end(&mut caller).await;
    assert_eq!(answers(&text), [("200", "first")]);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(gateway.received_requests().len(), 1);
}

/// Guards against a planned stop that runs a request without answering it: the request in progress is answered, and the
/// one behind it does not run.
#[tokio::test]
async fn planned_stop_answers_in_order_and_closes() {
    let gateway = TestGateway::new(1).await;
    let slow = TargetBehaviour::Answer(Duration::from_millis(400));
    gateway.targets[0].set_next_behaviours([slow]);
    let text = [
        request("/open/1", "first", ""),
        request("/open/2", "second", ""),
    ];
    let mut caller = send(&gateway, &text.concat()).await;
    gateway
        .wait_until(|_| gateway.received_requests().len() == 1)
        .await;
    let targets = gateway.targets.clone();
    let stop = tokio::spawn(gateway.host.stop());
    let text = read_to_end(&mut caller).await;
    assert_eq!(answers(&text), [("200", "first")]);
    assert!(text.contains("connection: close"));
    assert!(stop.await.unwrap());
    assert_eq!(targets[0].requests().len(), 1);
}

/// Guards against a host that runs out of memory by answers that their callers read slowly: the memory of an answer was
/// free again as soon as the target had sent it.
#[tokio::test]
async fn unread_answer_counts_against_the_memory_for_bodies() {
    let gateway = TestGateway::new(1).await;
    let memory = gateway.host.state().body_memory.clone();
    let free = memory.available_kib();
    let length = 8 << 20;
    gateway.targets[0].set_next_behaviours([TargetBehaviour::LongAnswer(length)]);
    let mut caller = send(&gateway, &request("/open/1", "first", "")).await;
    let mut head = [0; 512];
    caller.read_exact(&mut head).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    let held = free - memory.available_kib();
    assert_eq!(held, length >> 10, "KiB are held");
    drop(caller);
    gateway.wait_until(|_| memory.available_kib() == free).await;
}
