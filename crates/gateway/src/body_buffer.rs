//! Buffers the bodies of requests and answers.
//!
//! A target's slot is acquired only after the body of a request is complete, so slow callers occupy no slots, and a
//! request that did not run can be sent to another target. All bodies of a process share a memory limit.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::Bytes;
use chicorycroft_adapter::prelude::*;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::sync::{
    OwnedSemaphorePermit,
    Semaphore, //
};

use crate::body_blocks::{
    BlockWriter,
    BodyBlocks, //
};

/// Memory reserved at a time for a body without a declared length, in KiB.
const RESERVE_STEP_KIB: u32 = 256;

/// A complete body, and the memory that is reserved for it until it is written.
#[derive(Debug, Default)]
pub struct BufferedBody {
    blocks: BodyBlocks,
    memory: Option<OwnedSemaphorePermit>,
}

impl BufferedBody {
    /// Creates a body for which memory is reserved.
    pub fn new(blocks: BodyBlocks, memory: OwnedSemaphorePermit) -> Self {
        Self {
            blocks,
            memory: Some(memory),
        }
    }
}

impl From<Bytes> for BufferedBody {
    /// Creates a short body of this host, which counts against no limit.
    fn from(bytes: Bytes) -> Self {
        Self {
            blocks: bytes.into(),
            memory: None,
        }
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = Pin::new(&mut self.blocks).poll_frame(context);
        if matches!(frame, Poll::Ready(None)) {
            self.memory = None;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.blocks.size_hint()
    }
}

/// An error while reading a body.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyReadError {
    /// The body exceeds its limit.
    #[error("body exceeds its size limit")]
    TooLarge,
    /// The memory for bodies is used up.
    #[error("memory for bodies is used up")]
    NoMemory,
    /// The connection failed before the end of the body, or the body is malformed.
    #[error("connection failed before the end of the body")]
    Cut,
    /// The body did not arrive within the time limit.
    #[error("body did not arrive within the time limit")]
    TooSlow,
}

impl BodyReadError {
    /// Returns the refusal that a caller gets for the body of its request, which has not run.
    pub fn answer(self) -> RefusalAnswer {
        match self {
            Self::TooLarge => RefusalAnswer::BodyTooLarge,
            Self::NoMemory => RefusalAnswer::Unavailable,
            Self::Cut | Self::TooSlow => RefusalAnswer::SlowBody,
        }
    }

    /// Returns the name of the error in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "body-too-large",
            Self::NoMemory => "no-room-for-body",
            Self::Cut => "body-cut",
            Self::TooSlow => "body-too-slow",
        }
    }
}

fn reserve_memory(
    memory: &Arc<Semaphore>,
    kib: u32,
) -> Result<OwnedSemaphorePermit, BodyReadError> {
    let permit = memory.clone().try_acquire_many_owned(kib);
    permit.map_err(|_| BodyReadError::NoMemory)
}

/// Reads a body of at most `length_max` bytes within `limit`. `memory` has one permit per KiB; dropping the
/// returned permit releases the memory.
///
/// # Errors
///
/// Returns an error if the body is too large or too slow, ends early, or `memory` has too few permits left.
pub async fn read_body<B>(
    memory: &Arc<Semaphore>,
    body: B,
    length_max: u64,
    limit: Duration,
) -> Result<(BodyBlocks, OwnedSemaphorePermit), BodyReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let read = tokio::time::timeout(limit, read_whole(memory, body, length_max)).await;
    read.unwrap_or(Err(BodyReadError::TooSlow))
}

/// Reads a body like [`read_body`], without a time limit.
///
/// # Errors
///
/// Returns an error if the body is too large, ends early, or `memory` has too few permits left.
pub async fn read_whole<B>(
    memory: &Arc<Semaphore>,
    mut body: B,
    length_max: u64,
) -> Result<(BodyBlocks, OwnedSemaphorePermit), BodyReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let hint = body.size_hint();
    if hint.lower() > length_max {
        return Err(BodyReadError::TooLarge);
    }
    let initial_kib = hint.exact().map(|length| length.div_ceil(1024));
    let initial_kib = initial_kib.map_or(RESERVE_STEP_KIB, |kib| {
        u32::try_from(kib).unwrap_or(u32::MAX)
    });
    let mut reserved = reserve_memory(memory, initial_kib)?;
    let declared = hint.exact().and_then(|length| usize::try_from(length).ok());
    let mut writer = BlockWriter::new().with_declared(declared.unwrap_or(0));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyReadError::Cut)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = writer.len() + data.len();
        if length as u64 > length_max {
            return Err(BodyReadError::TooLarge);
        }
        while length > reserved.num_permits() * 1024 {
            reserved.merge(reserve_memory(memory, RESERVE_STEP_KIB)?);
        }
        writer.write(&data);
    }
    Ok((writer.finish(), reserved))
}
