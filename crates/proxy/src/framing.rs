//! Strict validation of HTTP/1 framing, against request smuggling.
//!
//! A target may parse requests less strictly than the HTTP library. Any request that two parsers could
//! frame differently is refused here, before the library reads it.

use crate::{
    head::HEADER_COUNT_MAX,
    refusal::RefusalKind, //
};

/// Maximum size of the extensions of a chunk, in bytes; the fleet uses none.
const EXTENSION_BYTES_MAX: u32 = 256;

/// Maximum size of a trailer section, in bytes.
const TRAILER_BYTES_MAX: u32 = 8192;

/// Framing of the body after a head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFraming {
    /// A body of this many bytes.
    Length(u64),
    /// A body in the chunked transfer coding.
    Chunked,
}

/// Searches for the end of a head from `start` on and returns the position after its empty line.
///
/// # Errors
///
/// Returns [`RefusalKind::BadRequest`] on a line feed that does not follow a carriage return.
pub(crate) fn find_head_end(bytes: &[u8], start: usize) -> Result<Option<usize>, RefusalKind> {
    for at in start..bytes.len() {
        if bytes[at] != b'\n' {
            continue;
        }
        if at == 0 || bytes[at - 1] != b'\r' {
            return Err(RefusalKind::BadRequest);
        }
        if bytes[..=at].ends_with(b"\r\n\r\n") {
            return Ok(Some(at + 1));
        }
    }
    Ok(None)
}

/// Validates a complete head and returns the framing of its body.
///
/// # Errors
///
/// Returns the refusal for a head that is malformed, has too many fields or frames its body ambiguously.
pub(crate) fn check_head(head: &[u8]) -> Result<BodyFraming, RefusalKind> {
    let text = head
        .strip_suffix(b"\r\n\r\n")
        .ok_or(RefusalKind::BadRequest)?;
    let mut lines = text.split(|&byte| byte == b'\n');
    let line = lines.next().unwrap_or_default();
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let is_http10 = check_request_line(line)?;
    let mut length = None;
    let mut is_chunked = false;
    for (count, line) in lines.enumerate() {
        if count >= HEADER_COUNT_MAX {
            return Err(RefusalKind::HeadTooLarge);
        }
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let (name, value) = split_field(line).ok_or(RefusalKind::BadRequest)?;
        if name.eq_ignore_ascii_case(b"content-length") {
            let number = parse_length(value).ok_or(RefusalKind::BadRequest)?;
            if length.replace(number).is_some() {
                return Err(RefusalKind::BadRequest);
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if is_chunked || is_http10 || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(RefusalKind::BadRequest);
            }
            is_chunked = true;
        }
    }
    match (length, is_chunked) {
        (Some(_), true) => Err(RefusalKind::BadRequest),
        (_, true) => Ok(BodyFraming::Chunked),
        (length, false) => Ok(BodyFraming::Length(length.unwrap_or(0))),
    }
}

/// Validates a request line and returns `true` if its version is HTTP/1.0.
fn check_request_line(line: &[u8]) -> Result<bool, RefusalKind> {
    let parts: Vec<&[u8]> = line.split(|&byte| byte == b' ').collect();
    match parts[..] {
        [method, target, version]
            if !method.is_empty()
                && method.iter().copied().all(is_token_byte)
                && !target.is_empty()
                && target.iter().all(u8::is_ascii_graphic) =>
        {
            match version {
                b"HTTP/1.1" => Ok(false),
                b"HTTP/1.0" => Ok(true),
                _ => Err(RefusalKind::BadRequest),
            }
        }
        _ => Err(RefusalKind::BadRequest),
    }
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Splits a field line into name and value. Returns `None` for a folded line, a space before the colon or
/// control characters.
fn split_field(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let at = line.iter().position(|&byte| byte == b':')?;
    let (name, value) = (&line[..at], line[at + 1..].trim_ascii());
    let is_name = !name.is_empty() && name.iter().copied().all(is_token_byte);
    let is_value = value
        .iter()
        .all(|&byte| byte == b'\t' || !byte.is_ascii_control());
    (is_name && is_value).then_some((name, value))
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number)?;
    text.parse().ok()
}

/// Element that is expected next in a chunked body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChunkStep {
    /// A digit or the end of the chunk size, of which `digits` digits give `value` so far.
    Size { value: u64, digits: u8 },
    /// Chunk extensions, of which `length` bytes were read.
    Extension { length: u32, value: u64 },
    /// The line feed after the chunk size.
    SizeLf { value: u64 },
    /// This many remaining bytes of chunk data.
    Data { left: u64 },
    /// The carriage return after the chunk data.
    DataCr,
    /// The line feed after the chunk data.
    DataLf,
    /// A trailer line, of which `line` bytes were read, after `total` bytes of all trailer lines.
    Trailer { line: u32, total: u32 },
    /// The line feed after a trailer line.
    TrailerLf { line: u32, total: u32 },
    /// Nothing, because the body is complete.
    Done,
}

/// Error for a malformed chunked body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ChunkError;

/// Incremental parser for the framing of a chunked body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChunkScanner {
    step: ChunkStep,
}

impl ChunkScanner {
    /// Creates a scanner positioned before the first chunk.
    pub(crate) fn new() -> Self {
        Self {
            step: ChunkStep::Size {
                value: 0,
                digits: 0,
            },
        }
    }

    /// Returns `true` if the end of the body was scanned.
    pub(crate) fn is_done(&self) -> bool {
        self.step == ChunkStep::Done
    }

    /// Scans bytes up to the end of the body and returns how many of them belong to it.
    ///
    /// # Errors
    ///
    /// Returns a [`ChunkError`] on the first malformed byte.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Result<usize, ChunkError> {
        let mut at = 0;
        while at < bytes.len() && !self.is_done() {
            if let ChunkStep::Data { left } = &mut self.step {
                let rest = u64::try_from(bytes.len() - at).unwrap_or(u64::MAX);
                let step = rest.min(*left);
                *left -= step;
                at += usize::try_from(step).unwrap_or(0);
                if *left == 0 {
                    self.step = ChunkStep::DataCr;
                }
            } else {
                self.step = self.next_step(bytes[at])?;
                at += 1;
            }
        }
        Ok(at)
    }

    /// Returns the step that follows from a byte outside chunk data.
    fn next_step(&self, byte: u8) -> Result<ChunkStep, ChunkError> {
        use ChunkStep::{
            Data,
            DataCr,
            DataLf,
            Done,
            Extension,
            Size,
            SizeLf,
            Trailer,
            TrailerLf, //
        };
        let digit = char::from(byte).to_digit(16);
        Ok(match (self.step, byte) {
            (Size { value, digits }, _) if digit.is_some() && digits < 15 => Size {
                value: value << 4 | u64::from(digit.unwrap_or(0)),
                digits: digits + 1,
            },
            (Size { value, digits: 1.. }, b'\r') => SizeLf { value },
            (Size { value, digits: 1.. }, b';') => Extension { length: 0, value },
            (Extension { value, .. }, b'\r') => SizeLf { value },
            (Extension { length, value }, _)
                if !byte.is_ascii_control() && length < EXTENSION_BYTES_MAX =>
            {
                let length = length + 1;
                Extension { length, value }
            }
            (SizeLf { value: 0 }, b'\n') => Trailer { line: 0, total: 0 },
            (SizeLf { value }, b'\n') => Data { left: value },
            (DataCr, b'\r') => DataLf,
            (DataLf, b'\n') => Size {
                value: 0,
                digits: 0,
            },
            (Trailer { line, total }, b'\r') => TrailerLf { line, total },
            (Trailer { line, total }, _)
                if (byte == b'\t' || !byte.is_ascii_control()) && total < TRAILER_BYTES_MAX =>
            {
                let (line, total) = (line + 1, total + 1);
                Trailer { line, total }
            }
            (TrailerLf { line: 0, .. }, b'\n') => Done,
            (TrailerLf { total, .. }, b'\n') => Trailer { line: 0, total },
            _ => return Err(ChunkError),
        })
    }
}
