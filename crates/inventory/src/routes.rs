//! Lookup of the route for a request.
//!
//! The longest prefix in whole path segments wins. Among routes with the same prefix, one that
//! lists the method is preferred to one that matches all methods. A lookup costs one hash access
//! for each path segment, whatever the number of routes.
//!
//! Prefixes and paths are compared percent-decoded, because a target decodes them too: `/%61dmin`
//! must match the route of `/admin`. Paths that targets may interpret in different ways are
//! refused.

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

/// Maximum number of path segments in a lookup; deeper paths match by their first segments.
const SEGMENT_COUNT_MAX: usize = 32;

/// Returned when a text is not a valid request method.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("a method is a word of 1 to 32 upper-case letters")]
pub struct MethodError;

/// Method of a request, such as `GET`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestMethod(SmolStr);

impl RequestMethod {
    /// Parses a method.
    ///
    /// # Errors
    ///
    /// Returns [`MethodError`] if the text is not a word of 1 to 32 upper-case letters and hyphens.
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

    /// Returns `true` if RFC 9110 defines the method as idempotent.
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
    /// Returns `true` if the route matches a method.
    pub fn allows_method(&self, method: &RequestMethod) -> bool {
        self.methods.is_empty() || self.methods.contains(method)
    }

    /// Returns `true` if a request of this route may be sent twice.
    pub fn is_idempotent(&self, method: &RequestMethod) -> bool {
        match self.idempotency {
            IdempotencyRule::ByMethod => method.is_idempotent(),
            IdempotencyRule::Always => true,
            IdempotencyRule::Never => false,
        }
    }
}

/// Returned when no route matches a request.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RouteError {
    /// A target may interpret the path differently than this table does.
    #[error("the path is ambiguous")]
    BadPath,
    /// No prefix matches.
    #[error("no route matches the path")]
    NoPath,
    /// A prefix matches, but not with this method.
    #[error("the route does not take the method")]
    NoMethod,
}

/// All routes by prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: IndexMap<SmolStr, Vec<Arc<RouteRecord>>>,
}

impl RouteTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a route. Returns the other route as an error if both match the same requests.
    pub fn add(&mut self, route: RouteRecord) -> Result<(), Arc<RouteRecord>> {
        let prefix = SmolStr::new(decode_path(&route.prefix).trim_end_matches('/'));
        let siblings = self.routes.entry(prefix).or_default();
        let collides = |sibling: &&Arc<RouteRecord>| {
            sibling.methods.is_empty() && route.methods.is_empty()
                || sibling
                    .methods
                    .iter()
                    .any(|method| route.methods.contains(method))
        };
        if let Some(sibling) = siblings.iter().find(collides) {
            return Err(sibling.clone());
        }
        siblings.push(Arc::new(route));
        // Routes that list methods are preferred.
        siblings.sort_by_key(|sibling| sibling.methods.is_empty());
        Ok(())
    }

    /// Returns the route of a request.
    ///
    /// # Errors
    ///
    /// Returns [`RouteError`] if the path is ambiguous, if no prefix matches, or if none matches
    /// with the method.
    pub fn find(
        &self,
        method: &RequestMethod,
        path: &str,
    ) -> Result<&Arc<RouteRecord>, RouteError> {
        check_path(path)?;
        let path = decode_path(path);
        let mut failure = RouteError::NoPath;
        for prefix in prefixes_of(&path) {
            let Some(siblings) = self.routes.get(prefix) else {
                continue;
            };
            if let Some(route) = siblings
                .iter()
                .find(|sibling| sibling.allows_method(method))
            {
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
/// servers drop them), bytes outside ASCII, and the encoded forms of all of these and of `/` and
/// `%`. An encoded `%` is refused because a target that decodes twice would resolve another path.
///
/// # Errors
///
/// Returns [`RouteError::BadPath`] for such a path.
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

/// Returns `true` if a text starts with the two hexadecimal digits of a byte that may be encoded.
fn is_safe_escape(text: &str) -> bool {
    let digits = text
        .get(..2)
        .filter(|digits| digits.bytes().all(|byte| byte.is_ascii_hexdigit()));
    let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
    byte.is_some_and(|byte| {
        !byte.is_ascii_control() && !matches!(byte, b'.' | b'/' | b'\\' | b'%' | b';' | b'?' | b'#')
    })
}

/// Returns the prefixes of a path in whole segments, the longest first.
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
