//! Finds the route of a request.
//!
//! The longest prefix in whole path segments wins. Among routes with the same prefix, one that names
//! the method goes before one that takes all methods. A lookup costs one hash access for each path
//! segment, whatever the number of routes.
//!
//! Prefixes and paths are compared percent-decoded, because a target decodes them too: `/%61dmin`
//! must take the route of `/admin`. Paths that targets read in different ways are refused.

use std::{
    borrow::Cow,
    fmt,
    str::FromStr,
    sync::Arc, //
};

use indexmap::IndexMap;
use percent_encoding::percent_decode_str;
use smol_str::SmolStr;
use thiserror::Error;

use crate::records::{
    IdempotencyRule,
    RouteRecord, //
};

/// Most path segments that a lookup looks at; deeper paths match by their first ones.
const SEGMENT_COUNT_MAX: usize = 32;

/// Why a text is no request method.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("a method is a word of 1 to 32 upper-case letters")]
pub struct MethodError;

/// Method of a request, such as `GET`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestMethod(SmolStr);

impl RequestMethod {
    /// Checks a text and wraps it.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a word of upper-case letters.
    pub fn new(text: &str) -> Result<Self, MethodError> {
        let is_word = (1..=32).contains(&text.len())
            && text
                .bytes()
                .all(|byte| byte.is_ascii_uppercase() || byte == b'-');
        is_word.then(|| Self(text.into())).ok_or(MethodError)
    }

    /// Returns the method as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Tells whether RFC 9110 defines the method as idempotent.
    pub fn is_idempotent(&self) -> bool {
        matches!(
            self.as_str(),
            "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
        )
    }
}

impl fmt::Display for RequestMethod {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for RequestMethod {
    type Err = MethodError;

    fn from_str(text: &str) -> Result<Self, MethodError> {
        Self::new(text)
    }
}

impl RouteRecord {
    /// Tells whether the route takes a method.
    pub fn takes(&self, method: &RequestMethod) -> bool {
        self.methods.is_empty() || self.methods.contains(method)
    }

    /// Tells whether a request of this route may be sent twice.
    pub fn is_idempotent(&self, method: &RequestMethod) -> bool {
        match self.idempotency {
            IdempotencyRule::ByMethod => method.is_idempotent(),
            IdempotencyRule::Always => true,
            IdempotencyRule::Never => false,
        }
    }
}

/// Why no route takes a request.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RouteError {
    /// A target may read the path as another one than the table does.
    #[error("the path is ambiguous")]
    BadPath,
    /// No prefix matches.
    #[error("no route matches the path")]
    NoPath,
    /// The path is known, but not with this method.
    #[error("the route does not take the method")]
    NoMethod,
}

/// All routes by prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: IndexMap<SmolStr, Vec<Arc<RouteRecord>>>,
}

impl RouteTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a route, or returns the one that it collides with.
    pub fn add(&mut self, route: RouteRecord) -> Result<(), Arc<RouteRecord>> {
        let prefix = SmolStr::new(decode_path(&route.prefix).trim_end_matches('/'));
        let twins = self.routes.entry(prefix).or_default();
        let collides = |twin: &&Arc<RouteRecord>| {
            twin.methods.is_empty() && route.methods.is_empty()
                || twin
                    .methods
                    .iter()
                    .any(|method| route.methods.contains(method))
        };
        if let Some(twin) = twins.iter().find(collides) {
            return Err(twin.clone());
        }
        twins.push(Arc::new(route));
        // Routes that name methods come first.
        twins.sort_by_key(|twin| twin.methods.is_empty());
        Ok(())
    }

    /// Returns the route of a request.
    ///
    /// # Errors
    ///
    /// Fails when the path is ambiguous, when no prefix matches, or none with the method.
    pub fn find(
        &self,
        method: &RequestMethod,
        path: &str,
    ) -> Result<&Arc<RouteRecord>, RouteError> {
        check_path(path)?;
        let path = decode_path(path);
        let mut failure = RouteError::NoPath;
        for prefix in prefixes_of(&path) {
            let Some(twins) = self.routes.get(prefix) else {
                continue;
            };
            if let Some(route) = twins.iter().find(|twin| twin.takes(method)) {
                return Ok(route);
            }
            failure = RouteError::NoMethod;
        }
        Err(failure)
    }

    /// Returns all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<RouteRecord>> {
        self.routes.values().flatten()
    }
}

fn decode_path(path: &str) -> Cow<'_, str> {
    percent_decode_str(path).decode_utf8_lossy()
}

/// Refuses a path that a target may resolve to another one.
///
/// These are dot segments, empty segments, backslashes, control bytes, parameters after `;` (some
/// servers drop them), bytes outside ASCII, and the encoded forms of all of these and of `/` and `%`.
/// An encoded `%` is refused because a target that decodes twice would read another path.
///
/// # Errors
///
/// Fails with [`RouteError::BadPath`].
pub fn check_path(path: &str) -> Result<(), RouteError> {
    let is_plain =
        |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'\\' | b';' | b'?' | b'#');
    let has_bad_segment = || {
        let segments = path.strip_prefix('/').unwrap_or_default();
        let inner = segments.strip_suffix('/').unwrap_or(segments);
        segments.starts_with('/')
            || !segments.is_empty() && inner.split('/').any(|part| matches!(part, "" | "." | ".."))
    };
    let is_safe = path.starts_with('/')
        && path.bytes().all(is_plain)
        && !has_bad_segment()
        && path.split('%').skip(1).all(is_safe_escape);
    is_safe.then_some(()).ok_or(RouteError::BadPath)
}

/// Tells whether a text starts with two hexadecimal digits for a byte that may be encoded.
fn is_safe_escape(text: &str) -> bool {
    let digits = text
        .get(..2)
        .filter(|digits| digits.bytes().all(|byte| byte.is_ascii_hexdigit()));
    let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
    byte.is_some_and(|byte| {
        !byte.is_ascii_control() && !matches!(byte, b'.' | b'/' | b'\\' | b'%' | b';' | b'?' | b'#')
    })
}

/// Prefixes of a path in whole segments, the longest first.
fn prefixes_of(path: &str) -> impl Iterator<Item = &str> {
    let mut ends: Vec<usize> = path
        .match_indices('/')
        .map(|(at, _)| at)
        .chain(std::iter::once(path.len()))
        .take(SEGMENT_COUNT_MAX)
        .collect();
    ends.dedup();
    ends.into_iter().rev().map(|end| &path[..end])
}
