//! Bodies share a memory limit.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::Bytes;
use chicorycroft_gateway::body_buffer::{
    BodyMemory,
    BodyReadError,
    read_answer,
    read_body, //
};
use http_body::{
    Body,
    SizeHint, //
};
use http_body_util::{
    BodyExt,
    Full,
    StreamBody, //
};
use hyper::body::Frame;

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
    let memory = BodyMemory::new(1024);
    let (body, reserved) = read_body(&memory, stream(10, 64 << 10), 1 << 30, LIMIT)
        .await
        .unwrap();
    assert_eq!(body.len(), 640 << 10);
    assert_eq!(memory.available_kib(), 1024 - 768);
    drop(reserved);
    assert_eq!(memory.available_kib(), 1024);
    let read = read_body(&memory, stream(40, 64 << 10), 1 << 30, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::NoMemory));
    assert_eq!(memory.available_kib(), 1024);
}

/// Guards against accepting bodies above the size limit, with or without a declared length.
#[tokio::test]
async fn body_above_the_limit_is_refused() {
    let memory = BodyMemory::new(1024);
    let whole = Full::new(Bytes::from(vec![7; 2000]));
    let read = read_body(&memory, whole, 1999, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::TooLarge));
    let read = read_body(&memory, stream(2, 1000), 1999, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::TooLarge));
}

/// Guards against reading a slow body for longer than the time limit of its request.
#[tokio::test(start_paused = true)]
async fn slow_body_times_out_with_its_request() {
    let memory = BodyMemory::new(1024);
    let never = StreamBody::new(futures_util::stream::pending::<
        Result<Frame<Bytes>, std::convert::Infallible>,
    >());
    let read = read_body(&memory, never, 1 << 20, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::TooSlow));
    assert_eq!(memory.available_kib(), 1024);
}

/// Guards against short bodies of other callers that are refused because a few long ones, such as answers without an end,
/// have taken all memory.
#[tokio::test]
async fn long_bodies_leave_memory_to_short_ones() {
    let memory = BodyMemory::new(4096);
    let long = || read_answer(&memory, stream(40, 64 << 10), 1 << 30);
    let (first, second) = tokio::join!(long(), long());
    let held = [&first, &second].map(|read| read.is_ok());
    assert_eq!(held, [true, false]);
    // The first one holds 2.5 MiB, and a quarter of the memory is kept.
    let declared = Full::new(Bytes::from(vec![7; 1 << 20]));
    let read = read_body(&memory, declared, 1 << 30, LIMIT).await;
    assert_eq!(read.map(|_| ()), Err(BodyReadError::NoMemory));
    let mut short = Vec::new();
    for _ in 0..4 {
        let read = read_answer(&memory, stream(4, 64 << 10), 1 << 30).await;
        short.push(read.unwrap());
    }
    drop((first, short));
    assert!(long().await.is_ok());
}

/// Guards against a target that takes memory by a declared length, of which it sends nothing.
#[tokio::test(start_paused = true)]
async fn memory_of_an_answer_is_reserved_as_it_arrives() {
    let memory = BodyMemory::new(4096);
    let declared = Full::new(Bytes::from(vec![7; 2 << 20]));
    let pending = DeclaredBody(declared);
    let mut read = Box::pin(read_answer(&memory, pending, 1 << 30));
    assert!(tokio::time::timeout(LIMIT, &mut read).await.is_err());
    assert_eq!(memory.available_kib(), 4096 - 256);
}

/// Guards against bytes that are lost or mixed up between the blocks of a body.
#[tokio::test]
async fn body_is_written_as_it_was_read() {
    for (parts, size) in [(0, 1), (1, 1), (3, 4096), (700, 1000), (9, 100_000)] {
        let memory = BodyMemory::new(1 << 20);
        let sent: Vec<u8> = (0..parts * size).map(|at| (at % 251) as u8).collect();
        let frames: Vec<_> = sent
            .chunks(size)
            .map(|part| {
                Ok::<_, std::convert::Infallible>(Frame::data(Bytes::copy_from_slice(part)))
            })
            .collect();
        let body = StreamBody::new(futures_util::stream::iter(frames));
        let (read, _reserved) = read_answer(&memory, body, 1 << 30).await.unwrap();
        assert_eq!(read.len(), sent.len());
        assert_eq!(read.size_hint().exact(), Some(sent.len() as u64));
        let copy = read.clone().collect().await.unwrap().to_bytes();
        assert_eq!(copy, sent);
        assert_eq!(read.collect().await.unwrap().to_bytes(), sent);
    }
}

/// A body that declares its length and sends nothing.
struct DeclaredBody(Full<Bytes>);

impl Body for DeclaredBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Poll::Pending
    }

    fn size_hint(&self) -> SizeHint {
        self.0.size_hint()
    }
}
