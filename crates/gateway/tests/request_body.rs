//! Bodies of requests share a bounded room.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_gateway::request_body::{
    BodyReadError,
    read_body, //
};
use http_body_util::{
    Full,
    StreamBody, //
};
use hyper::body::Frame;
use tokio::sync::Semaphore;

const LIMIT: Duration = Duration::from_secs(1);

fn stream(parts: usize, size: usize) -> impl http_body::Body<Data = Bytes> + Unpin {
    let frames = (0..parts).map(move |_| {
        let data = Bytes::from(vec![7; size]);
        Ok::<_, std::convert::Infallible>(Frame::data(data))
    });
    StreamBody::new(futures_util::stream::iter(frames))
}

/// Guards against a body without a stated length that takes more memory than was reserved for it.
#[tokio::test]
async fn room_grows_with_a_body_of_unknown_length() {
    let room = Arc::new(Semaphore::new(1024));
    let (body, held) = read_body(&room, stream(10, 64 << 10), 1 << 30, LIMIT)
        .await
        .unwrap();
    assert_eq!(body.len(), 640 << 10);
    assert_eq!(room.available_permits(), 1024 - 768);
    drop(held);
    assert_eq!(room.available_permits(), 1024);
    let read = read_body(&room, stream(40, 64 << 10), 1 << 30, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::NoRoom));
    assert_eq!(room.available_permits(), 1024);
}

/// Guards against bodies above the limit, stated or not.
#[tokio::test]
async fn body_above_the_limit_is_refused() {
    let room = Arc::new(Semaphore::new(1024));
    let whole = Full::new(Bytes::from(vec![7; 2000]));
    let read = read_body(&room, whole, 1999, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::TooLarge));
    let read = read_body(&room, stream(2, 1000), 1999, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::TooLarge));
}

/// Guards against a caller that sends its body for longer than it wants to wait.
#[tokio::test(start_paused = true)]
async fn slow_body_ends_with_the_time_of_its_request() {
    let room = Arc::new(Semaphore::new(1024));
    let never = StreamBody::new(futures_util::stream::pending::<
        Result<Frame<Bytes>, std::convert::Infallible>,
    >());
    let read = read_body(&room, never, 1 << 20, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::TooSlow));
    assert_eq!(room.available_permits(), 1024);
}
