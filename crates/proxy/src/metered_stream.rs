//! A socket that counts the bytes read from and written to the operating system.
//!
//! The HTTP library skips interim responses without a limit, so a target that sends them without end would keep the
//! connection's task busy until the deadline. The bytes before the head of a response are therefore limited here.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
};

use thiserror::Error;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// Maximum number of bytes up to the end of the head of a response, interim responses included.
const RESPONSE_HEAD_BYTES_MAX: u64 = 64 << 10;

/// Error of a read from a socket whose peer sent too much before the head of its response was complete.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("no complete response head within {RESPONSE_HEAD_BYTES_MAX} bytes")]
pub struct ResponseHeadError;

/// Shared counter of the bytes read from a socket, with a limit while the head of a response is awaited.
#[derive(Clone, Debug)]
pub struct ReadMeter(Arc<ReadCount>);

#[derive(Debug)]
struct ReadCount {
    count: AtomicU64,
    limit: AtomicU64,
}

impl Default for ReadMeter {
    fn default() -> Self {
        Self::new()
    }
}

impl ReadMeter {
    /// Creates a counter without a limit.
    pub fn new() -> Self {
        Self(Arc::new(ReadCount {
            count: AtomicU64::new(0),
            limit: AtomicU64::new(u64::MAX),
        }))
    }

    /// Returns the number of bytes read so far.
    pub fn count(&self) -> u64 {
        self.0.count.load(Ordering::Acquire)
    }

    /// Limits the bytes until the head of the next response is complete. Reads beyond the limit fail.
    pub fn expect_head(&self) {
        let limit = self.count().saturating_add(RESPONSE_HEAD_BYTES_MAX);
        self.0.limit.store(limit, Ordering::Release);
    }

    /// Ends the limit, because the head of the response is complete.
    pub fn on_head(&self) {
        self.0.limit.store(u64::MAX, Ordering::Release);
    }

    fn is_over_limit(&self) -> bool {
        self.count() >= self.0.limit.load(Ordering::Acquire)
    }

    fn add(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.0.count.fetch_add(count, Ordering::AcqRel);
    }
}

/// Shared counter of the bytes written to a socket.
#[derive(Clone, Debug, Default)]
pub struct WriteMeter(Arc<AtomicU64>);

impl WriteMeter {
    /// Returns the number of bytes written so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    fn add(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = written {
            let count = u64::try_from(*count).unwrap_or(u64::MAX);
            self.0.fetch_add(count, Ordering::AcqRel);
        }
    }
}

/// A socket that updates a [`ReadMeter`] and a [`WriteMeter`].
#[derive(Debug)]
pub struct MeteredStream {
    inner: TcpStream,
    read_meter: ReadMeter,
    write_meter: WriteMeter,
}

impl MeteredStream {
    /// Creates a stream with new counters.
    pub fn new(inner: TcpStream) -> Self {
        Self {
            inner,
            read_meter: ReadMeter::new(),
            write_meter: WriteMeter::default(),
        }
    }

    /// Returns the counter of the bytes read.
    pub fn read_meter(&self) -> ReadMeter {
        self.read_meter.clone()
    }

    /// Returns the counter of the bytes written.
    pub fn write_meter(&self) -> WriteMeter {
        self.write_meter.clone()
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_meter.is_over_limit() {
            let error = io::Error::new(io::ErrorKind::InvalidData, ResponseHeadError);
            return Poll::Ready(Err(error));
        }
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.read_meter.add(buffer.filled().len() - filled);
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.write_meter.add(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.write_meter.add(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
