//! The bytes of a body in blocks.
//!
//! A contiguous buffer doubles when it is full and is copied, so that for a moment it takes three times the bytes that it
//! holds, and freed buffers of many sizes fragment the heap. Blocks of a fixed size take what was reserved for them.

use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};

/// Smallest block of a body whose length is not known, in bytes.
const BLOCK_BYTES_MIN: usize = 4 << 10;

/// Largest block, in bytes.
const BLOCK_BYTES_MAX: usize = 256 << 10;

/// Maximum size of a part in which a body is written, in bytes. The HTTP library takes the next part when it has written
/// most of the one before, so that the memory is held for as long as the reader is slow.
const WRITE_PART_BYTES: usize = 32 << 10;

/// A complete body. Copies share its bytes.
#[derive(Clone, Debug, Default)]
pub struct BodyBlocks {
    /// None of them is empty.
    blocks: VecDeque<Bytes>,
    length: usize,
}

impl BodyBlocks {
    /// Returns the number of bytes that were not yet written.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns `true` if there are no bytes left to write.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }
}

impl From<Bytes> for BodyBlocks {
    fn from(bytes: Bytes) -> Self {
        let length = bytes.len();
        let blocks = (length > 0).then_some(bytes).into_iter().collect();
        Self { blocks, length }
    }
}

impl Body for BodyBlocks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(block) = self.blocks.front_mut() else {
            return Poll::Ready(None);
        };
        let part = block.split_to(block.len().min(WRITE_PART_BYTES));
        if block.is_empty() {
            self.blocks.pop_front();
        }
        self.length -= part.len();
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}

/// Collects the bytes of a body as they arrive.
#[derive(Debug, Default)]
pub struct BlockWriter {
    body: BodyBlocks,
    /// The block that is being filled.
    last: Vec<u8>,
    /// Declared length of the body, in bytes; zero if it declares none.
    declared: usize,
}

impl BlockWriter {
    /// Creates a writer for a body without a declared length.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the declared length of the body. Memory is allocated as its bytes arrive.
    pub fn with_declared(mut self, length: usize) -> Self {
        self.declared = length;
        self
    }

    /// Returns the number of bytes written so far.
    pub fn written(&self) -> usize {
        self.body.length
    }

    /// Appends bytes.
    pub fn write(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.start_block(data.len());
            }
            let room = self.last.capacity() - self.last.len();
            let (head, tail) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(head);
            self.body.length += head.len();
            data = tail;
        }
    }

    /// Completes the block in use and begins another one, for what is left of the declared length or, without one, as
    /// long as the body so far.
    fn start_block(&mut self, needed: usize) {
        let expected = match self.declared.saturating_sub(self.written()) {
            0 => self.written().max(BLOCK_BYTES_MIN),
            left => left,
        };
        let capacity = expected.max(needed).min(BLOCK_BYTES_MAX);
        let full = std::mem::replace(&mut self.last, Vec::with_capacity(capacity));
        if !full.is_empty() {
            self.body.blocks.push_back(full.into());
        }
    }

    /// Returns the complete body.
    pub fn finish(mut self) -> BodyBlocks {
        if !self.last.is_empty() {
            self.body.blocks.push_back(self.last.into());
        }
        self.body
    }
}
