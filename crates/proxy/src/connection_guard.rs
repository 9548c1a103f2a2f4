//! Stands between a caller's socket and the HTTP library.
//!
//! The guard releases a head of HTTP/1 only when it is whole and checked. In place of a bad head it
//! releases one that makes the server answer with a refusal and close, so that refusals keep their
//! order behind the answers to earlier requests. Connections of HTTP/2 pass unchanged.

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
    time::Sleep,
};

use crate::{
    framing::{
        BodyFraming,
        ChunkScanner, //
        check_head,
        find_head_end,
    },
    names,
    refusal::RefusalKind,
};

const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Bytes of the preface that look like a head.
const HTTP2_HEAD: &[u8] = b"PRI * HTTP/2.0\r\n\r\n";

/// Bytes that one read takes from the socket.
const READ_BYTES: usize = 8192;

/// Longest time and most bytes that a close reads on, so that unread data does not make the system
/// reset the connection before the caller has read the refusal.
const LINGER_MAX: Duration = Duration::from_millis(500);
const LINGER_BYTES_MAX: usize = 1 << 20;

/// Longest time that a caller may read nothing of an answer.
const WRITE_STALL_MAX: Duration = Duration::from_secs(30);

#[derive(Debug)]
enum GuardState {
    Head { scanned: usize },
    Length(u64),
    Chunked(ChunkScanner),
    Tunnel,
    Refused,
    Broken,
}

/// A caller's socket whose heads are checked.
#[derive(Debug)]
pub(crate) struct ConnectionGuard<S> {
    inner: S,
    head_bytes_max: usize,
    head_timeout: Duration,
    state: GuardState,
    is_first: bool,
    raw: BytesMut,
    ready: BytesMut,
    head_timer: Option<Pin<Box<Sleep>>>,
    write_timer: Option<Pin<Box<Sleep>>>,
    linger: Option<(Pin<Box<Sleep>>, usize)>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> ConnectionGuard<S> {
    /// Guards a socket.
    pub(crate) fn new(inner: S, head_bytes_max: usize, head_timeout: Duration) -> Self {
        Self {
            inner,
            head_bytes_max,
            head_timeout,
            state: GuardState::Head { scanned: 0 },
            is_first: true,
            raw: BytesMut::new(),
            ready: BytesMut::new(),
            head_timer: None,
            write_timer: None,
            linger: None,
        }
    }

    fn refuse(&mut self, kind: RefusalKind) {
        log::info!("event=request_refused reason={}", kind.name());
        self.raw.clear();
        self.state = GuardState::Refused;
        let head = format!(
            "GET / HTTP/1.1\r\nhost: refused\r\nconnection: close\r\n{}: {}\r\n\r\n",
            names::GUARD_REFUSAL,
            kind.name()
        );
        self.ready.extend_from_slice(head.as_bytes());
    }

    fn release(&mut self, count: usize) {
        self.ready.extend_from_slice(&self.raw[..count]);
        self.raw.advance(count);
    }

    fn start_head(&mut self) {
        self.state = GuardState::Head { scanned: 0 };
    }

    /// Moves what is checked to `ready`.
    fn advance(&mut self) {
        match &mut self.state {
            GuardState::Head { scanned } => {
                let scanned = *scanned;
                self.advance_head(scanned);
            }
            GuardState::Length(left) => {
                let count = usize::try_from(*left)
                    .unwrap_or(usize::MAX)
                    .min(self.raw.len());
                *left -= u64::try_from(count).unwrap_or(0);
                if *left == 0 {
                    self.start_head();
                }
                self.release(count);
            }
            GuardState::Chunked(scanner) => match scanner.scan(&self.raw) {
                Ok(count) => {
                    if scanner.is_done() {
                        self.start_head();
                    }
                    self.release(count);
                }
                Err(_) => {
                    log::info!("event=request_cut reason=bad-chunk");
                    self.state = GuardState::Broken;
                }
            },
            GuardState::Tunnel => self.release(self.raw.len()),
            GuardState::Refused | GuardState::Broken => {}
        }
    }

    fn advance_head(&mut self, scanned: usize) {
        while scanned == 0 && self.raw.starts_with(b"\r\n") {
            self.raw.advance(2);
        }
        let end = match find_head_end(&self.raw, scanned) {
            Ok(end) => end,
            Err(kind) => return self.refuse(kind),
        };
        let Some(end) = end.filter(|&end| end <= self.head_bytes_max) else {
            if self.raw.len() > self.head_bytes_max {
                return self.refuse(RefusalKind::HeadTooLarge);
            }
            let scanned = self.raw.len();
            self.state = GuardState::Head { scanned };
            return;
        };
        if self.is_first && &self.raw[..end] == HTTP2_HEAD {
            return self.advance_preface();
        }
        self.is_first = false;
        self.head_timer = None;
        match check_head(&self.raw[..end]) {
            Ok(framing) => {
                self.state = match framing {
                    BodyFraming::Length(0) => GuardState::Head { scanned: 0 },
                    BodyFraming::Length(length) => GuardState::Length(length),
                    BodyFraming::Chunked => GuardState::Chunked(ChunkScanner::new()),
                };
                self.release(end);
            }
            Err(kind) => self.refuse(kind),
        }
    }

    fn advance_preface(&mut self) {
        if self.raw.starts_with(HTTP2_PREFACE) {
            self.head_timer = None;
            self.state = GuardState::Tunnel;
            self.release(self.raw.len());
        } else if !HTTP2_PREFACE.starts_with(&self.raw) {
            self.refuse(RefusalKind::BadRequest);
        }
    }

    /// Reads more into `raw`; returns whether the caller has closed.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut space = [0; READ_BYTES];
        let mut buffer = ReadBuf::new(&mut space);
        let read = Pin::new(&mut self.inner).poll_read(context, &mut buffer);
        if read.is_pending() && matches!(self.state, GuardState::Head { .. }) {
            return self.poll_head_timer(context);
        }
        ready!(read)?;
        self.raw.extend_from_slice(buffer.filled());
        Poll::Ready(Ok(buffer.filled().is_empty()))
    }

    /// Ends the wait for a head. An idle connection between requests is left to the server.
    fn poll_head_timer(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.raw.is_empty() && !self.is_first {
            return Poll::Pending;
        }
        let limit = self.head_timeout;
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        ready!(timer.as_mut().poll(context));
        if self.raw.is_empty() {
            return Poll::Ready(Ok(true));
        }
        self.refuse(RefusalKind::SlowRequest);
        Poll::Ready(Ok(false))
    }

    /// Reads a body of known length straight into the reader's buffer.
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
            self.start_head();
        } else {
            self.state = GuardState::Length(left);
        }
        Poll::Ready(Ok(()))
    }

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
            if !this.ready.is_empty() {
                let count = this.ready.len().min(buffer.remaining());
                buffer.put_slice(&this.ready[..count]);
                this.ready.advance(count);
                return Poll::Ready(Ok(()));
            }
            match this.state {
                GuardState::Tunnel if this.raw.is_empty() => {
                    return Pin::new(&mut this.inner).poll_read(context, buffer);
                }
                GuardState::Length(left) if this.raw.is_empty() => {
                    return this.poll_length(context, buffer, left);
                }
                // The server closes after its answer.
                GuardState::Refused => return Poll::Pending,
                GuardState::Broken => {
                    return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
                }
                _ => {}
            }
            if !this.raw.is_empty() {
                this.advance();
            }
            let needs_input = match this.state {
                GuardState::Head { scanned } => scanned == this.raw.len(),
                GuardState::Refused | GuardState::Broken => false,
                _ => this.raw.is_empty(),
            } || this.is_first && HTTP2_PREFACE.starts_with(&this.raw);
            if this.ready.is_empty() && needs_input && ready!(this.poll_fill(context))? {
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
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.inner).poll_shutdown(context))?;
        }
        match this.state {
            GuardState::Head { .. } | GuardState::Tunnel if this.raw.is_empty() => {
                Poll::Ready(Ok(()))
            }
            _ => this.poll_linger(context),
        }
    }
}
