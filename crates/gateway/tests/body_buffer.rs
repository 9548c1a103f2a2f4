//! Bodies share a memory limit.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_gateway::body_buffer::{
    BodyReadError,
    read_body, //
};
use http_body::Body;
use http_body_util::{
    BodyExt,
    Full,
    StreamBody, //
};
use hyper::body::Frame;
use tokio::sync::Semaphore;

const LIMIT: Duration = Duration::from_secs(1);

fn stream(parts: usize, size: usize) -> impl Body<Data = Bytes> + Unpin {
    let frames = (0..parts).map(move |_| {
        let data = Bytes::from(vec![7; size]);
        Ok::<_, std::convert::Infallible>(Frame::data(data))
    });
    StreamBody::new(futures_util::stream::iter(frames))
}

/// Guards against a body without a declared length that uses more memory than was reserved for it.
#[tokio::test]
async fn reservation_grows_with_a_body_of_unknown_length() {
    let memory = Arc::new(Semaphore::new(1024));
    let (body, reserved) = read_body(&memory, stream(10, 64 << 10), 1 << 30, LIMIT)
        .await
        .unwrap();
    assert_eq!(body.len(), 640 << 10);
    assert_eq!(memory.available_permits(), 1024 - 768);
    drop(reserved);
    assert_eq!(memory.available_permits(), 1024);
    let read = read_body(&memory, stream(40, 64 << 10), 1 << 30, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::NoMemory));
    assert_eq!(memory.available_permits(), 1024);
}

/// Guards against accepting bodies above the size limit, with or without a declared length.
#[tokio::test]
async fn body_above_the_limit_is_refused() {
    let memory = Arc::new(Semaphore::new(1024));
    let whole = Full::new(Bytes::from(vec![7; 2000]));
    let read = read_body(&memory, whole, 1999, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::TooLarge));
    let read = read_body(&memory, stream(2, 1000), 1999, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::TooLarge));
}

/// Guards against reading a slow body for longer than the time limit of its request.
#[tokio::test(start_paused = true)]
async fn slow_body_times_out_with_its_request() {
    let memory = Arc::new(Semaphore::new(1024));
    let never = StreamBody::new(futures_util::stream::pending::<
        Result<Frame<Bytes>, std::convert::Infallible>,
    >());
    let read = read_body(&memory, never, 1 << 20, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::TooSlow));
    assert_eq!(memory.available_permits(), 1024);
}

/// Guards against bytes that are lost or mixed up between the blocks of a body.
#[tokio::test]
async fn body_is_written_as_it_was_read() {
    for (parts, size) in [(0, 1), (1, 1), (3, 4096), (700, 1000), (9, 100_000)] {
        let memory = Arc::new(Semaphore::new(1 << 20));
        let sent: Vec<u8> = (0..parts * size).map(|at| (at % 251) as u8).collect();
        let frames: Vec<_> = sent
            .chunks(size)
            .map(|part| {
                Ok::<_, std::convert::Infallible>(Frame::data(Bytes::copy_from_slice(part)))
            })
            .collect();
        let body = StreamBody::new(futures_util::stream::iter(frames));
        let (read, _reserved) = read_body(&memory, body, 1 << 30, LIMIT).await.unwrap();
        assert_eq!(read.len(), sent.len());
        assert_eq!(read.size_hint().exact(), Some(sent.len() as u64));
        let copy = read.clone().collect().await.unwrap().to_bytes();
        assert_eq!(copy, sent);
        assert_eq!(read.collect().await.unwrap().to_bytes(), sent);
    }
}
