//! Strict framing of HTTP/1.
//!
//! A second reader behind the fleet may be laxer than the HTTP library. Whatever two readers could
//! frame in two ways is refused here, before the library sees it.

use crate::{
    head::HEADER_COUNT_MAX,
    refusal::RefusalKind, //
};

/// Most bytes of chunk extensions; the fleet uses none.
const EXTENSION_BYTES_MAX: u32 = 256;

/// Most bytes of a trailer section.
const TRAILER_BYTES_MAX: u32 = 8192;

/// How the body after a head is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFraming {
    /// This many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
}

/// Returns the end of a head, after its empty line, from `start` on.
///
/// # Errors
///
/// Fails on a line feed without a carriage return before it.
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

/// Checks a whole head and tells how the body is framed.
///
/// # Errors
///
/// Fails when the head is malformed or frames its body in two ways.
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

/// Checks a request line and tells whether it is of HTTP/1.0.
fn check_request_line(line: &[u8]) -> Result<bool, RefusalKind> {
    let words: Vec<&[u8]> = line.split(|&byte| byte == b' ').collect();
    match words[..] {
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

/// Splits a field line; a folded line, a space before the colon and control bytes are malformed.
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

/// What follows in a chunked body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChunkStep {
    Size { value: u64, digits: u8 },
    Extension { length: u32, value: u64 },
    SizeEnd { value: u64 },
    Data { left: u64 },
    DataReturn,
    DataEnd,
    Trailer { line: u32, total: u32 },
    TrailerEnd { line: u32, total: u32 },
    Done,
}

/// A chunked body is malformed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ChunkError;

/// Follows the framing of a chunked body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChunkScanner {
    step: ChunkStep,
}

impl ChunkScanner {
    /// Starts before the first chunk.
    pub(crate) fn new() -> Self {
        Self {
            step: ChunkStep::Size {
                value: 0,
                digits: 0,
            },
        }
    }

    /// Tells whether the body has ended.
    pub(crate) fn is_done(&self) -> bool {
        self.step == ChunkStep::Done
    }

    /// Reads bytes up to the end of the body and returns how many belong to it.
    ///
    /// # Errors
    ///
    /// Fails on the first malformed byte.
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> Result<usize, ChunkError> {
        let mut at = 0;
        while at < bytes.len() && !self.is_done() {
            if let ChunkStep::Data { left } = &mut self.step {
                let rest = u64::try_from(bytes.len() - at).unwrap_or(u64::MAX);
                let step = rest.min(*left);
                *left -= step;
                at += usize::try_from(step).unwrap_or(0);
                if *left == 0 {
                    self.step = ChunkStep::DataReturn;
                }
            } else {
                self.step = self.after(bytes[at])?;
                at += 1;
            }
        }
        Ok(at)
    }

    fn after(&self, byte: u8) -> Result<ChunkStep, ChunkError> {
        use ChunkStep::{
            Data,
            DataEnd,
            DataReturn,
            Done,
            Extension,
            Size,
            SizeEnd,
            Trailer,
            TrailerEnd, //
        };
        let digit = char::from(byte).to_digit(16);
        Ok(match (self.step, byte) {
            (Size { value, digits }, _) if digit.is_some() && digits < 15 => Size {
                value: value << 4 | u64::from(digit.unwrap_or(0)),
                digits: digits + 1,
            },
            (Size { value, digits: 1.. }, b'\r') => SizeEnd { value },
            (Size { value, digits: 1.. }, b';') => Extension { length: 0, value },
            (Extension { value, .. }, b'\r') => SizeEnd { value },
            (Extension { length, value }, _)
                if !byte.is_ascii_control() && length < EXTENSION_BYTES_MAX =>
            {
                let length = length + 1;
                Extension { length, value }
            }
            (SizeEnd { value: 0 }, b'\n') => Trailer { line: 0, total: 0 },
            (SizeEnd { value }, b'\n') => Data { left: value },
            (DataReturn, b'\r') => DataEnd,
            (DataEnd, b'\n') => Size {
                value: 0,
                digits: 0,
            },
            (Trailer { line, total }, b'\r') => TrailerEnd { line, total },
            (Trailer { line, total }, _)
                if (byte == b'\t' || !byte.is_ascii_control()) && total < TRAILER_BYTES_MAX =>
            {
                let (line, total) = (line + 1, total + 1);
                Trailer { line, total }
            }
            (TrailerEnd { line: 0, .. }, b'\n') => Done,
            (TrailerEnd { total, .. }, b'\n') => Trailer { line: 0, total },
            _ => return Err(ChunkError),
        })
    }
}
