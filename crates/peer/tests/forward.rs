//! Forwarding of requests to the owner of their target.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

mod support;

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use chicorycroft_peer::prelude::*;
use http::{
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Empty,
    Full, //
};
use hyper::body::{
    Body,
    Frame,
    Incoming, //
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
    net::TcpListener,
    sync::{
        Notify,
        watch, //
    },
    time::Instant,
};

fn head() -> ForwardHead {
    ForwardHead {
        request: RequestId::new(1),
        route: RouteId::new("rates").unwrap(),
        team: None,
        service: ServiceId::new("rate").unwrap(),
        target: TargetId::new("rate-01").unwrap(),
        left_millis: 1000,
        attempt: 1,
        is_idempotent: false,
    }
}

fn get() -> Request<Empty<Bytes>> {
    Request::get("/rates?from=1").body(Empty::new()).unwrap()
}

/// A body of 64 KiB blocks that counts the bytes that were read from it.
struct BlockBody {
    remaining: usize,
    sent: Arc<AtomicUsize>,
}

impl Body for BlockBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if self.remaining == 0 {
            return Poll::Ready(None);
        }
        self.remaining -= 1;
        self.sent.fetch_add(64 << 10, Ordering::Relaxed);
        Poll::Ready(Some(Ok(Frame::data(vec![7; 64 << 10].into()))))
    }
}

/// Guards against an upload of 50 MB that is buffered in memory, or arrives truncated.
#[tokio::test]
async fn upload_streams_in_bounded_memory() {
    let server = PeerServer::new(LOOPBACK).await.unwrap();
    let address = server.address().unwrap();
    let (_stop, stopped) = watch::channel(false);
    let (sent, buffered_max) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (sent_count, buffered_peak) = (sent.clone(), buffered_max.clone());
    let read_slowly = move |_: ForwardHead, request: Request<Incoming>| {
        let (sent, buffered_max) = (sent_count.clone(), buffered_peak.clone());
        async move {
            let (mut body, mut count, mut pause_at) = (request.into_body(), 0, 0);
            while let Some(Ok(frame)) = body.frame().await {
                count += frame.data_ref().map_or(0, Bytes::len);
                if count >= pause_at {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    pause_at = count + (1 << 20);
                }
                let buffered = sent.load(Ordering::Relaxed).saturating_sub(count);
                buffered_max.fetch_max(buffered, Ordering::Relaxed);
            }
            Response::new(Full::from(count.to_string()))
        }
    };
    tokio::spawn(server.serve(on_message, read_slowly, stopped));
    let body = BlockBody {
        remaining: 800,
        sent,
    };
    let request = Request::post("/documents").body(body).unwrap();
    let client = PeerClient::new();
    let response = client
        .forward(address, head(), request, ample_deadline())
        .await;
    assert_eq!(body_of(response.unwrap()).await, "52428800");
    let buffered_max = buffered_max.load(Ordering::Relaxed);
    println!("bytes=52428800 buffered_max={buffered_max}");
    assert!(buffered_max < 1 << 20, "{buffered_max} bytes were buffered");
}

/// Starts a peer that writes raw HTTP/2 frames: settings, then `frame` after the head of a request, and then
/// closes the connection.
async fn start_raw_peer(frame: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream
            .write_all(&[0, 0, 0, 4, 0, 0, 0, 0, 0])
            .await
            .unwrap();
        let mut preface = [0; 24];
        stream.read_exact(&mut preface).await.unwrap();
        loop {
            let mut head = [0; 9];
            stream.read_exact(&mut head).await.unwrap();
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
            let mut payload = vec![0; usize::try_from(length).unwrap()];
            stream.read_exact(&mut payload).await.unwrap();
            if head[3] == 1 {
                break;
            }
        }
        stream.write_all(frame).await.unwrap();
    });
    address
}

/// Guards against a request that is sent a second time although the first one may have run, and against one that
/// is not sent again although the first one certainly did not run.
#[tokio::test]
async fn only_proof_of_the_peer_makes_a_request_not_sent() {
    const REFUSED_STREAM: &[u8] = &[0, 0, 4, 3, 0, 0, 0, 0, 1, 0, 0, 0, 7];
    const INTERNAL_ERROR: &[u8] = &[0, 0, 4, 3, 0, 0, 0, 0, 1, 0, 0, 0, 2];
    const GOAWAY_BELOW: &[u8] = &[0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    const GOAWAY_AT: &[u8] = &[0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0];
    let cases: [(&str, &'static [u8], bool); 5] = [
        ("refused stream", REFUSED_STREAM, true),
        ("reset", INTERNAL_ERROR, false),
        ("GOAWAY below the stream, then closed", GOAWAY_BELOW, true),
        ("GOAWAY at the stream, then closed", GOAWAY_AT, false),
        ("closed", b"", false),
    ];
    for (name, frame, is_not_sent) in cases {
        let address = start_raw_peer(frame).await;
        let error = PeerClient::new()
            .forward(address, head(), get(), ample_deadline())
            .await
            .unwrap_err();
        assert_eq!(error.is_not_sent(), is_not_sent, "{name}: {error}");
    }
    let unused_address = TcpListener::bind(LOOPBACK)
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let error = PeerClient::new()
        .forward(unused_address, head(), get(), ample_deadline())
        .await
        .unwrap_err();
    assert!(error.is_not_sent(), "{error}");
    let error = PeerClient::new()
        .call(unused_address, probe(), ample_deadline())
        .await
        .unwrap_err();
    assert!(matches!(error, PeerError::Connect { .. }), "{error}");
}

/// Guards against heartbeats that are blocked by uploads whose target reads slowly.
#[tokio::test]
async fn stalled_uploads_do_not_block_messages() {
    const UPLOADS: u32 = 16;
    let server = PeerServer::new(LOOPBACK).await.unwrap();
    let address = server.address().unwrap();
    let (_stop, stopped) = watch::channel(false);
    let started = Arc::new(tokio::sync::Semaphore::new(0));
    let all_started = started.clone();
    let stall = move |_: ForwardHead, request: Request<Incoming>| {
        started.add_permits(1);
        async move {
            std::future::pending::<()>().await;
            drop(request);
            Response::new(Full::<Bytes>::default())
        }
    };
    tokio::spawn(server.serve(on_message, stall, stopped));
    let client = Arc::new(PeerClient::new());
    for _ in 0..UPLOADS {
        let (client, sent) = (client.clone(), Arc::default());
        let body = BlockBody {
            remaining: 16,
            sent,
        };
        let request = Request::post("/documents").body(body).unwrap();
        tokio::spawn(async move {
            client
                .forward(address, head(), request, ample_deadline())
                .await
        });
    }
    let permits = all_started.acquire_many(UPLOADS).await;
    permits.unwrap().forget();
    // Leaves the uploads time to fill their flow-control windows.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let deadline = Instant::now() + Duration::from_secs(5);
    let answer = client.call(address, probe(), deadline).await;
    assert_eq!(answer.unwrap(), PeerMessage::Accepted);
}

/// Guards against a forwarded request that waits until its deadline on an unresponsive connection.
#[tokio::test]
async fn ping_ends_a_forwarded_request_on_an_unresponsive_connection() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = PeerClient::new();
    let deadline = Instant::now() + Duration::from_secs(3600);
    let forward = client.forward(address, head(), get(), deadline);
    let accept = async {
        let accepted = listener.accept().await.unwrap();
        tokio::time::pause();
        accepted
    };
    let (outcome, _unresponsive) = tokio::join!(forward, accept);
    let error = outcome.unwrap_err();
    assert!(!error.is_not_sent(), "{error}");
    assert!(
        Instant::now() < deadline - Duration::from_secs(3000),
        "{error}"
    );
}

/// Guards against a planned stop that aborts a request in flight, or accepts a new one and then aborts it.
#[tokio::test]
async fn planned_stop_cuts_no_request() {
    let server = PeerServer::new(LOOPBACK).await.unwrap();
    let address = server.address().unwrap();
    let (stop, stopped) = watch::channel(false);
    let (started, may_end) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (on_start, end) = (started.clone(), may_end.clone());
    let on_forward = move |_: ForwardHead, _: Request<Incoming>| {
        let (on_start, end) = (on_start.clone(), end.clone());
        async move {
            on_start.notify_one();
            end.notified().await;
            Response::new(Full::from("complete"))
        }
    };
    let served = tokio::spawn(server.serve(on_message, on_forward, stopped));
    let client = Arc::new(PeerClient::new());
    let forwarder = client.clone();
    let first = tokio::spawn(async move {
        forwarder
            .forward(address, head(), get(), ample_deadline())
            .await
    });
    started.notified().await;
    stop.send(true).unwrap();
    // The next request is refused once the server has stopped listening and sent GOAWAY.
    let error = loop {
        match client.call(address, probe(), ample_deadline()).await {
            Ok(_) => tokio::task::yield_now().await,
            Err(error) => break error,
        }
    };
    assert!(!matches!(error, PeerError::TimedOut), "{error}");
    assert!(
        !served.is_finished(),
        "the server did not wait for the request"
    );
    may_end.notify_one();
    let response = first.await.unwrap().unwrap();
    assert_eq!(body_of(response).await, "complete");
    assert!(served.await.unwrap(), "the drain limit passed");
}

/// Guards against a request that keeps running at the owner after its caller has disconnected.
#[tokio::test]
async fn abandoned_request_is_cancelled_at_the_peer() {
    struct NotifyOnDrop(Arc<Notify>);

    impl Drop for NotifyOnDrop {
        fn drop(&mut self) {
            self.0.notify_one();
        }
    }

    let server = PeerServer::new(LOOPBACK).await.unwrap();
    let address = server.address().unwrap();
    let (_stop, stopped) = watch::channel(false);
    let (started, ended) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (on_start, on_end) = (started.clone(), ended.clone());
    let on_forward = move |_: ForwardHead, _: Request<Incoming>| {
        let (on_start, guard) = (on_start.clone(), NotifyOnDrop(on_end.clone()));
        async move {
            on_start.notify_one();
            std::future::pending::<()>().await;
            drop(guard);
            Response::new(Full::<Bytes>::default())
        }
    };
    tokio::spawn(server.serve(on_message, on_forward, stopped));
    let client = PeerClient::new();
    tokio::select! {
        _ = client.forward(address, head(), get(), ample_deadline()) => panic!("the request has ended"),
        () = started.notified() => {}
    }
    let cancelled = tokio::time::timeout(Duration::from_secs(20), ended.notified());
    assert!(cancelled.await.is_ok(), "the request is still running");
}
