//! Finds a caller's key and removes it from a request.
//!
//! A key may come in `Authorization`, `X-Api-Key`, the query or a cookie. It is removed from all of
//! these, repeated ones included, so that no target ever sees it.

use std::fmt;

use http::{
    HeaderMap,
    HeaderValue,
    Uri, //
    header::{
        AUTHORIZATION,
        COOKIE, //
    },
    request::Parts,
};

use crate::names;

/// A caller's key. Never printed.
#[derive(Clone, Eq, PartialEq)]
pub struct CallerKey(Vec<u8>);

impl CallerKey {
    /// Returns the bytes of the key.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

/// Returns the key of a request and removes it from every place where it may stand.
///
/// The first place that holds a key wins: `Authorization`, `X-Api-Key`, the query, a cookie.
pub fn take_key(parts: &mut Parts) -> Option<CallerKey> {
    let from_authorization = bearer_token(&parts.headers);
    let from_header = parts
        .headers
        .get(names::API_KEY)
        .map(|value| value.as_bytes().to_vec());
    parts.headers.remove(AUTHORIZATION);
    parts.headers.remove(names::API_KEY);
    let from_query = strip_query(&mut parts.uri);
    let from_cookie = strip_cookies(&mut parts.headers);
    from_authorization
        .or(from_header)
        .or(from_query)
        .or(from_cookie)
        .map(CallerKey)
}

fn bearer_token(headers: &HeaderMap) -> Option<Vec<u8>> {
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let (scheme, token) = value.split_at_checked(7)?;
    scheme
        .eq_ignore_ascii_case(b"bearer ")
        .then(|| token.trim_ascii().to_vec())
}

fn is_key_field(name: &str) -> bool {
    name.eq_ignore_ascii_case(names::API_KEY_FIELD)
}

fn strip_query(uri: &mut Uri) -> Option<Vec<u8>> {
    let query = uri.query()?;
    let mut key = None;
    let kept: Vec<&str> = query
        .split('&')
        .filter(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let is_key = is_key_field(name);
            if is_key && key.is_none() {
                key = Some(value.as_bytes().to_vec());
            }
            !is_key
        })
        .collect();
    let path_and_query = if kept.is_empty() {
        uri.path().to_owned()
    } else {
        format!("{}?{}", uri.path(), kept.join("&"))
    };
    let mut parts = uri.clone().into_parts();
    parts.path_and_query = path_and_query.parse().ok();
    if let Ok(stripped) = Uri::from_parts(parts) {
        *uri = stripped;
    }
    key
}

fn strip_cookies(headers: &mut HeaderMap) -> Option<Vec<u8>> {
    let mut key = None;
    let mut kept = Vec::new();
    for value in headers.get_all(COOKIE) {
        for pair in value.as_bytes().split(|&byte| byte == b';') {
            let pair = pair.trim_ascii();
            let at = pair
                .iter()
                .position(|&byte| byte == b'=')
                .unwrap_or(pair.len());
            let name = String::from_utf8_lossy(&pair[..at]);
            if !is_key_field(name.trim()) {
                kept.push(pair.to_vec());
            } else if key.is_none() {
                key = Some(pair.get(at + 1..).unwrap_or_default().to_vec());
            }
        }
    }
    headers.remove(COOKIE);
    if !kept.is_empty()
        && let Ok(value) = HeaderValue::from_bytes(&kept.join(&b"; "[..]))
    {
        headers.insert(COOKIE, value);
    }
    key
}
