//! A socket that counts the bytes written to the operating system.

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

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// Shared counter of the bytes written to a socket.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteMeter(Arc<AtomicU64>);

impl WriteMeter {
    /// Returns the number of bytes written so far.
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    fn add(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = written {
            let count = u64::try_from(*count).unwrap_or(u64::MAX);
            self.0.fetch_add(count, Ordering::AcqRel);
        }
    }
}

/// A socket that updates a [`WriteMeter`] on each write.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    inner: TcpStream,
    meter: WriteMeter,
}

impl MeteredStream {
    /// Creates a stream that adds the bytes written to `inner` to `meter`.
    pub(crate) fn new(inner: TcpStream, meter: WriteMeter) -> Self {
        Self { inner, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.meter.add(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.meter.add(&written);
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
