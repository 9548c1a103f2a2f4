//! Validates the HTTP/1 framing of a caller's connection before the HTTP library reads it.
//!
//! The guard passes an HTTP/1 head on only when it is complete and valid. It replaces an invalid head by
//! one that makes the server send a refusal and close the connection, so that the refusal is sent after
//! the responses to earlier requests. HTTP/2 connections pass unchanged.
//!
//! While requests wait behind another one on a connection, the HTTP library does not read, and would not notice that the
//! caller has left. The guard then reads ahead, up to a limit, and fails the connection at its end.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration, //
};

use bytes::{
    Buf,
    BytesMut, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    time::{
        Instant,
        Sleep, //
    },
};

use crate::{
    framing::{
        BodyFraming,
        ChunkScanner,
        check_head,
        find_head_end, //
    },
    head_queue::HeadQueue,
    names,
    refusal::RefusalKind,
};

/// Bytes that a caller sends at the start of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// The part of the HTTP/2 preface that looks like an HTTP/1 head.
const HTTP2_HEAD: &[u8] = b"PRI * HTTP/2.0\r\n\r\n";

/// Buffer size of one read from the socket, in bytes.
const READ_BYTES: usize = 8192;

/// Maximum number of bytes held of requests that wait behind another one: some fifty requests without a body.
const READ_AHEAD_BYTES_MAX: usize = 16 << 10;

/// Time for which a closing connection is still read. With unread data the system would reset the
/// connection before the caller has read the refusal.
const LINGER_MAX: Duration = Duration::from_millis(500);

/// Maximum number of bytes read from a closing connection.
const LINGER_BYTES_MAX: usize = 1 << 20;

/// Maximum time for which a caller may read nothing of a response.
const WRITE_STALL_MAX: Duration = Duration::from_secs(30);

/// Part of the connection that the guard reads next.
#[derive(Debug)]
enum GuardState {
    /// A head, of which `scanned` bytes contain no end.
    Head { scanned: usize },
    /// This many remaining bytes of a body with a content length.
    Length(u64),
    /// A chunked body.
    Chunked(ChunkScanner),
    /// An HTTP/2 connection, which is not checked.
    Passthrough,
    /// Nothing, because the last head was refused.
    Refused,
    /// Nothing, because a chunked body was malformed.
    Malformed,
}

/// A caller's socket whose HTTP/1 framing is validated.
#[derive(Debug)]
pub(crate) struct ConnectionGuard<S> {
    inner: S,
    head_bytes_max: usize,
    head_timeout: Duration,
    state: GuardState,
    /// Whether no HTTP/1 head has been received yet.
    is_first: bool,
    /// Bytes received but not validated yet.
    unchecked: BytesMut,
    /// Time at which the last of them arrived.
    received_at: Instant,
    /// Heads that the HTTP library has not handed over yet.
    heads: HeadQueue,
    /// Validated bytes that the HTTP library has not read yet.
    checked: BytesMut,
    head_timer: Option<Pin<Box<Sleep>>>,
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Timer of a closing connection and the number of bytes read since the close began.
    linger: Option<(Pin<Box<Sleep>>, usize)>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> ConnectionGuard<S> {
    /// Creates a guard for the socket of a new connection.
    pub(crate) fn new(
        inner: S,
        (head_bytes_max, head_timeout): (usize, Duration),
        heads: HeadQueue,
    ) -> Self {
        Self {
            inner,
            head_bytes_max,
            head_timeout,
            state: GuardState::Head { scanned: 0 },
            is_first: true,
            unchecked: BytesMut::new(),
            received_at: Instant::now(),
            heads,
            checked: BytesMut::new(),
            head_timer: None,
            write_timer: None,
            linger: None,
        }
    }

    /// Replaces the current head by one that makes the server send a refusal.
    fn refuse(&mut self, kind: RefusalKind) {
        log::info!("event=request_refused reason={}", kind.name());
        self.unchecked.clear();
        self.state = GuardState::Refused;
        let head = format!(
            "GET / HTTP/1.1\r\nhost: refused\r\nconnection: close\r\n{}: {}\r\n\r\n",
            names::GUARD_REFUSAL,
            kind.name()
        );
        self.heads.push(self.received_at);
        self.checked.extend_from_slice(head.as_bytes());
    }

    /// Moves this many bytes from `unchecked` to `checked`.
    fn release(&mut self, count: usize) {
        self.checked.extend_from_slice(&self.unchecked[..count]);
        self.unchecked.advance(count);
    }

    fn expect_head(&mut self) {
        self.state = GuardState::Head { scanned: 0 };
    }

    /// Validates `unchecked` as far as possible and moves the valid bytes to `checked`.
    fn advance(&mut self) {
        match &mut self.state {
            GuardState::Head { scanned } => {
                let scanned = *scanned;
                self.advance_head(scanned);
            }
            GuardState::Length(left) => {
                let count = usize::try_from(*left)
                    .unwrap_or(usize::MAX)
                    .min(self.unchecked.len());
                *left -= u64::try_from(count).unwrap_or(0);
                if *left == 0 {
                    self.expect_head();
                }
                self.release(count);
            }
            GuardState::Chunked(scanner) => match scanner.scan(&self.unchecked) {
                Ok(count) => {
                    if scanner.is_done() {
                        self.expect_head();
                    }
                    self.release(count);
                }
                Err(_) => {
                    log::info!("event=request_cut reason=bad-chunk");
                    self.state = GuardState::Malformed;
                }
            },
            GuardState::Passthrough => self.release(self.unchecked.len()),
            GuardState::Refused | GuardState::Malformed => {}
        }
    }

    fn advance_head(&mut self, scanned: usize) {
        while scanned == 0 && self.unchecked.starts_with(b"\r\n") {
            self.unchecked.advance(2);
        }
        let end = match find_head_end(&self.unchecked, scanned) {
            Ok(end) => end,
            Err(kind) => return self.refuse(kind),
        };
        let Some(end) = end.filter(|&end| end <= self.head_bytes_max) else {
            if self.unchecked.len() > self.head_bytes_max {
                return self.refuse(RefusalKind::HeadTooLarge);
            }
            let scanned = self.unchecked.len();
            self.state = GuardState::Head { scanned };
            return;
        };
        if self.is_first && &self.unchecked[..end] == HTTP2_HEAD {
            return self.advance_preface();
        }
        self.is_first = false;
        self.head_timer = None;
        match check_head(&self.unchecked[..end]) {
            Ok(framing) => {
                self.state = match framing {
                    BodyFraming::Length(0) => GuardState::Head { scanned: 0 },
                    BodyFraming::Length(length) => GuardState::Length(length),
                    BodyFraming::Chunked => GuardState::Chunked(ChunkScanner::new()),
                };
                self.heads.push(self.received_at);
                self.release(end);
            }
            Err(kind) => self.refuse(kind),
        }
    }

    /// Passes an HTTP/2 preface on when it is complete.
    fn advance_preface(&mut self) {
        if self.unchecked.starts_with(HTTP2_PREFACE) {
            self.head_timer = None;
            self.state = GuardState::Passthrough;
            self.release(self.unchecked.len());
        } else if !HTTP2_PREFACE.starts_with(&self.unchecked) {
            self.refuse(RefusalKind::BadRequest);
        }
    }

    /// Reads from the socket into `unchecked` and returns whether the connection has reached its end.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let received = self.poll_receive(context);
        if received.is_pending() && matches!(self.state, GuardState::Head { .. }) {
            return self.poll_head_timer(context);
        }
        Poll::Ready(Ok(ready!(received)? == 0))
    }

    /// Reads once from the socket into `unchecked` and returns the number of bytes; 0 at the end of the connection.
    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut space = [0; READ_BYTES];
        let mut buffer = ReadBuf::new(&mut space);
        ready!(Pin::new(&mut self.inner).poll_read(context, &mut buffer))?;
        self.unchecked.extend_from_slice(buffer.filled());
        self.received_at = Instant::now();
        Poll::Ready(Ok(buffer.filled().len()))
    }

    /// Reads what follows a request that waits behind another one, and fails if the caller has left.
    fn poll_read_ahead(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while !self.heads.is_empty() && self.unchecked.len() < READ_AHEAD_BYTES_MAX {
            let Poll::Ready(received) = self.poll_receive(context) else {
                break;
            };
            if received? == 0 {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        Ok(())
    }

    /// Enforces the timeout for a head. The server enforces the one for idle connections between requests.
    ///
    /// Returns `true` if a new connection has sent nothing, and refuses an incomplete head.
    fn poll_head_timer(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.unchecked.is_empty() && !self.is_first {
            return Poll::Pending;
        }
        let limit = self.head_timeout;
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        ready!(timer.as_mut().poll(context));
        if self.unchecked.is_empty() {
            return Poll::Ready(Ok(true));
        }
        self.refuse(RefusalKind::SlowRequest);
        Poll::Ready(Ok(false))
    }

    /// Reads a body of known length directly into the reader's buffer.
    fn poll_length(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        left: u64,
    ) -> Poll<io::Result<()>> {
        let count_max = usize::try_from(left)
            .unwrap_or(usize::MAX)
            .min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(count_max));
        ready!(Pin::new(&mut self.inner).poll_read(context, &mut part))?;
        let count = part.filled().len();
        buffer.advance(count);
        let left = left - u64::try_from(count).unwrap_or(0);
        if left == 0 {
            self.expect_head();
        } else {
            self.state = GuardState::Length(left);
        }
        Poll::Ready(Ok(()))
    }

    /// Fails a write that the caller blocks for longer than [`WRITE_STALL_MAX`].
    fn poll_written<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(WRITE_STALL_MAX)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Reads and discards data until the caller closes or a linger limit is reached.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let (timer, total) = self
            .linger
            .get_or_insert_with(|| (Box::pin(tokio::time::sleep(LINGER_MAX)), 0));
        loop {
            let mut space = [0; READ_BYTES];
            let mut buffer = ReadBuf::new(&mut space);
            match Pin::new(&mut self.inner).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    *total += buffer.filled().len();
                    if *total > LINGER_BYTES_MAX {
                        return Poll::Ready(Ok(()));
                    }
                }
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => return timer.as_mut().poll(context).map(Ok),
            }
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for ConnectionGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if !this.checked.is_empty() {
                let count = this.checked.len().min(buffer.remaining());
                buffer.put_slice(&this.checked[..count]);
                this.checked.advance(count);
                return Poll::Ready(Ok(()));
            }
            match this.state {
                GuardState::Passthrough if this.unchecked.is_empty() => {
                    return Pin::new(&mut this.inner).poll_read(context, buffer);
                }
                GuardState::Length(left) if this.unchecked.is_empty() => {
                    return this.poll_length(context, buffer, left);
                }
                // The server closes the connection after the refusal.
                GuardState::Refused => return Poll::Pending,
                GuardState::Malformed => {
                    return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
                }
                _ => {}
            }
            if !this.unchecked.is_empty() {
                this.advance();
            }
            let needs_input = match this.state {
                GuardState::Head { scanned } => scanned == this.unchecked.len(),
                GuardState::Refused | GuardState::Malformed => false,
                _ => this.unchecked.is_empty(),
            } || this.is_first && HTTP2_PREFACE.starts_with(&this.unchecked);
            if this.checked.is_empty() && needs_input && ready!(this.poll_fill(context))? {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ConnectionGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.poll_written(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.poll_written(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes each time that the connection wakes up, also while it does not read.
        self.poll_read_ahead(context)?;
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.inner).poll_shutdown(context))?;
        }
        match this.state {
            GuardState::Head { .. } | GuardState::Passthrough if this.unchecked.is_empty() => {
                Poll::Ready(Ok(()))
            }
            _ => this.poll_linger(context),
        }
    }
}
