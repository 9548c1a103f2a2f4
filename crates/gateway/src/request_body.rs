//! Reads the whole body of a request.
//!
//! A slot of a target is taken only afterwards, so that slow callers hold none, and a request that did not
//! run can be sent to another target. All bodies of a process share a bounded room.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use chicorycroft_adapter::prelude::*;
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::sync::{
    OwnedSemaphorePermit,
    Semaphore, //
};

/// Room that a body takes at a time where its length is not stated, in KiB.
const STEP_KIB: u32 = 256;

/// Why a body was not read. Its request has not run.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyReadError {
    /// It is larger than allowed.
    #[error("the body is larger than allowed")]
    TooLarge,
    /// All room for bodies is taken.
    #[error("there is no room for the body")]
    NoRoom,
    /// The caller broke it off.
    #[error("the body was cut")]
    Cut,
    /// It did not come in time.
    #[error("the body came too slowly")]
    TooSlow,
}

impl BodyReadError {
    /// Returns what the caller is told.
    pub fn answer(self) -> RefusalAnswer {
        match self {
            Self::TooLarge => RefusalAnswer::BodyTooLarge,
            Self::NoRoom => RefusalAnswer::Unavailable,
            Self::Cut | Self::TooSlow => RefusalAnswer::SlowBody,
        }
    }

    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "body-too-large",
            Self::NoRoom => "no-room-for-body",
            Self::Cut => "body-cut",
            Self::TooSlow => "body-too-slow",
        }
    }
}

fn take_room(room: &Arc<Semaphore>, kib: u32) -> Result<OwnedSemaphorePermit, BodyReadError> {
    let taken = room.clone().try_acquire_many_owned(kib);
    taken.map_err(|_| BodyReadError::NoRoom)
}

/// Reads a body of at most `length_max` bytes within a time. The room goes back with the permit.
///
/// # Errors
///
/// Fails when the body is too large or too slow, is cut, or finds no room, in KiB of the semaphore.
pub async fn read_body<B>(
    room: &Arc<Semaphore>,
    body: B,
    length_max: u64,
    limit: Duration,
) -> Result<(Bytes, OwnedSemaphorePermit), BodyReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let read = tokio::time::timeout(limit, read_all(room, body, length_max)).await;
    read.unwrap_or(Err(BodyReadError::TooSlow))
}

async fn read_all<B>(
    room: &Arc<Semaphore>,
    mut body: B,
    length_max: u64,
) -> Result<(Bytes, OwnedSemaphorePermit), BodyReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let hint = body.size_hint();
    if hint.lower() > length_max {
        return Err(BodyReadError::TooLarge);
    }
    let stated = hint.exact().map(|length| length.div_ceil(1024));
    let stated = stated.map_or(STEP_KIB, |kib| u32::try_from(kib).unwrap_or(u32::MAX));
    let mut held = take_room(room, stated)?;
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyReadError::Cut)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        bytes.extend_from_slice(&data);
        if bytes.len() as u64 > length_max {
            return Err(BodyReadError::TooLarge);
        }
        while bytes.len() > held.num_permits() * 1024 {
            held.merge(take_room(room, STEP_KIB)?);
        }
    }
    Ok((bytes.freeze(), held))
}
