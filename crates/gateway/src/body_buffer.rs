//! Buffers the bodies of requests and answers.
//!
//! A target's slot is acquired only after the body of a request is complete, so slow callers occupy no slots, and a
//! request that did not run can be sent to another target. All bodies of a process share a memory limit, and long ones
//! leave a part of it to the others.

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

/// Part of the memory that is kept for the first [`RESERVE_STEP_KIB`] of each body, in percent.
const KEPT_PERCENT: usize = 25;

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

/// Memory that all bodies of a process share.
///
/// A part of it is kept for the beginnings of bodies, so that a few long ones, such as answers without an end, do not
/// displace the short ones of other callers.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    /// One permit stands for 1 KiB.
    free: Arc<Semaphore>,
    /// Free memory that a body leaves to others when it reserves more than [`RESERVE_STEP_KIB`], in KiB.
    kept_kib: usize,
}

impl BodyMemory {
    /// Creates a memory of a size in KiB.
    pub fn new(size_kib: usize) -> Self {
        Self {
            free: Arc::new(Semaphore::new(size_kib)),
            kept_kib: size_kib * KEPT_PERCENT / 100,
        }
    }

    /// Returns the free memory, in KiB.
    pub fn available_kib(&self) -> usize {
        self.free.available_permits()
    }

    /// Reserves memory for a body that holds `held_kib` already.
    ///
    /// # Errors
    ///
    /// Returns [`BodyReadError::NoMemory`] if there is too little free memory for a body of this length.
    pub fn reserve(
        &self,
        kib: u32,
        held_kib: usize,
    ) -> Result<OwnedSemaphorePermit, BodyReadError> {
        let permit = self.free.clone().try_acquire_many_owned(kib);
        let permit = permit.map_err(|_| BodyReadError::NoMemory)?;
        let is_long = held_kib + permit.num_permits() > RESERVE_STEP_KIB as usize;
        // Dropping the permit returns the memory.
        match is_long && self.available_kib() < self.kept_kib {
            true => Err(BodyReadError::NoMemory),
            false => Ok(permit),
        }
    }
}

/// Returns the declared length of a body in KiB, rounded up.
fn declared_kib(body: &impl Body) -> Option<u32> {
    let length = body.size_hint().exact()?;
    Some(u32::try_from(length.div_ceil(1024)).unwrap_or(u32::MAX))
}

/// Reads the body of a request, of at most `length_max` bytes, within `limit`. Memory for a declared length is reserved
/// before the body is read, so that a body for which there is no room is refused at once. Dropping the returned permit
/// releases the memory.
///
/// # Errors
///
/// Returns an error if the body is too large or too slow, ends early, or there is too little memory.
pub async fn read_body<B>(
    memory: &BodyMemory,
    body: B,
    length_max: u64,
    limit: Duration,
) -> Result<(BodyBlocks, OwnedSemaphorePermit), BodyReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let initial_kib = declared_kib(&body).unwrap_or(RESERVE_STEP_KIB);
    let read = read_reserving(memory, body, length_max, initial_kib);
    let read = tokio::time::timeout(limit, read).await;
    read.unwrap_or(Err(BodyReadError::TooSlow))
}

/// Reads the body of an answer, of at most `length_max` bytes. Memory is reserved as the bytes arrive, because a faulty
/// target may declare a length that it does not send.
///
/// # Errors
///
/// Returns an error if the body is too large, ends early, or there is too little memory.
pub async fn read_answer<B>(
    memory: &BodyMemory,
    body: B,
    length_max: u64,
) -> Result<(BodyBlocks, OwnedSemaphorePermit), BodyReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let initial_kib = declared_kib(&body).map_or(RESERVE_STEP_KIB, |kib| kib.min(RESERVE_STEP_KIB));
    read_reserving(memory, body, length_max, initial_kib).await
}

async fn read_reserving<B>(
    memory: &BodyMemory,
    mut body: B,
    length_max: u64,
    initial_kib: u32,
) -> Result<(BodyBlocks, OwnedSemaphorePermit), BodyReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let hint = body.size_hint();
    if hint.lower() > length_max {
        return Err(BodyReadError::TooLarge);
    }
    let mut reserved = memory.reserve(initial_kib, 0)?;
    let declared = hint.exact().and_then(|length| usize::try_from(length).ok());
    let mut writer = BlockWriter::new().with_declared(declared.unwrap_or(0));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyReadError::Cut)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = writer.written() + data.len();
        if length as u64 > length_max {
            return Err(BodyReadError::TooLarge);
        }
        while length > reserved.num_permits() * 1024 {
            reserved.merge(memory.reserve(RESERVE_STEP_KIB, reserved.num_permits())?);
        }
        writer.write(&data);
    }
    Ok((writer.finish(), reserved))
}
