//! Finds the route of a request.
//!
//! The longest prefix in whole path segments wins. Among routes with the same prefix, one that names
//! the method goes before one that takes all methods. A lookup costs one hash access for each path
//! segment, whatever the number of routes.

use std::{
    fmt,
    str::FromStr,
    sync::Arc, //
};

use indexmap::IndexMap;
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
        let prefix = SmolStr::new(route.prefix.trim_end_matches('/'));
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
    /// Fails when no prefix matches, or none with the method.
    pub fn find(
        &self,
        method: &RequestMethod,
        path: &str,
    ) -> Result<&Arc<RouteRecord>, RouteError> {
        let mut failure = RouteError::NoPath;
        for prefix in prefixes_of(path) {
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
