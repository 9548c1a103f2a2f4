//! Extracts a caller's API key from a request.
//!
//! A key may be sent in `Authorization`, `X-Api-Key`, the query or a cookie. It is removed from all of
//! these, including repeated and percent-encoded occurrences, so that no target receives it. Headers that
//! may repeat the key (`Proxy-Authorization`, `Referer`) are removed as well.

use std::{
    borrow::Cow,
    fmt, //
};

use http::{
    HeaderMap,
    HeaderValue,
    Uri, //
    header::{
        AUTHORIZATION,
        COOKIE,
        PROXY_AUTHORIZATION,
        REFERER, //
    },
    request::Parts,
};
use percent_encoding::percent_decode;
use thiserror::Error;

use crate::names;

/// Maximum number of times that a name is percent-decoded; a target may decode more than once.
const DECODE_ROUNDS: usize = 3;

/// A caller's API key. Its `Debug` output does not contain the key.
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

/// Error returned when the key of a request cannot be extracted.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum KeyError {
    /// The request contains two different keys.
    #[error("the request contains two different API keys")]
    Conflict,
    /// The query is not a valid URI query after the removal of the key.
    #[error("the query is not valid after the removal of the API key")]
    BadQuery,
}

/// Returns the API key of a request and removes it from the headers, the cookies and the query.
///
/// # Errors
///
/// Returns an error if the request contains two different keys or if the query cannot be rewritten. Such a
/// request must not be forwarded.
pub fn take_key(parts: &mut Parts) -> Result<Option<CallerKey>, KeyError> {
    let headers = &mut parts.headers;
    let mut found: Vec<Vec<u8>> = Vec::new();
    found.extend(
        headers
            .get_all(AUTHORIZATION)
            .iter()
            .filter_map(bearer_token),
    );
    let api_keys = headers.get_all(names::API_KEY).iter();
    found.extend(api_keys.map(|value| value.as_bytes().trim_ascii().to_vec()));
    for name in [AUTHORIZATION, names::API_KEY, PROXY_AUTHORIZATION] {
        headers.remove(name);
    }
    strip_cookies(headers, &mut found);
    strip_referer(headers);
    strip_query(&mut parts.uri, &mut found)?;
    let mut keys = found.into_iter();
    let Some(first) = keys.next() else {
        return Ok(None);
    };
    if keys.any(|key| key != first) {
        return Err(KeyError::Conflict);
    }
    Ok(Some(CallerKey(first)))
}

fn bearer_token(value: &HeaderValue) -> Option<Vec<u8>> {
    let (scheme, token) = value.as_bytes().split_at_checked(7)?;
    scheme
        .eq_ignore_ascii_case(b"bearer ")
        .then(|| token.trim_ascii().to_vec())
}

/// Returns `true` if a name is that of the key field, possibly percent-encoded or with a list index such as
/// `[]`.
fn is_key_field(name: &[u8]) -> bool {
    let mut name = Cow::Borrowed(name);
    for _ in 0..=DECODE_ROUNDS {
        let base = name.split(|&byte| byte == b'[').next().unwrap_or_default();
        if base
            .trim_ascii()
            .eq_ignore_ascii_case(names::API_KEY_FIELD.as_bytes())
        {
            return true;
        }
        name = Cow::Owned(percent_decode(&name).map(plus_to_space).collect());
    }
    false
}

fn plus_to_space(byte: u8) -> u8 {
    if byte == b'+' { b' ' } else { byte }
}

/// Splits `name=value` at the first equals sign.
fn split_pair(pair: &[u8]) -> (&[u8], &[u8]) {
    match pair.iter().position(|&byte| byte == b'=') {
        Some(at) => (&pair[..at], &pair[at + 1..]),
        None => (pair, &[]),
    }
}

fn strip_query(uri: &mut Uri, found: &mut Vec<Vec<u8>>) -> Result<(), KeyError> {
    let Some(query) = uri.query() else {
        return Ok(());
    };
    let count = found.len();
    let mut kept = String::with_capacity(query.len());
    // Some servers also accept `;` as a separator.
    for piece in query.split_inclusive(['&', ';']) {
        let pair = piece.trim_end_matches(['&', ';']);
        let (name, value) = split_pair(pair.as_bytes());
        if is_key_field(name) {
            found.push(percent_decode(value).collect());
        } else {
            kept.push_str(piece);
        }
    }
    if found.len() == count {
        return Ok(());
    }
    let kept = kept.trim_end_matches(['&', ';']);
    let path_and_query = if kept.is_empty() {
        uri.path().to_owned()
    } else {
        format!("{}?{kept}", uri.path())
    };
    let mut parts = uri.clone().into_parts();
    parts.path_and_query = Some(path_and_query.parse().map_err(|_| KeyError::BadQuery)?);
    *uri = Uri::from_parts(parts).map_err(|_| KeyError::BadQuery)?;
    Ok(())
}

fn strip_cookies(headers: &mut HeaderMap, found: &mut Vec<Vec<u8>>) {
    let mut kept = Vec::new();
    for value in headers.get_all(COOKIE) {
        // Some servers also accept `,` as a separator.
        for pair in value.as_bytes().split(|&byte| matches!(byte, b';' | b',')) {
            let (name, value) = split_pair(pair);
            if is_key_field(name) {
                let value = value.trim_ascii();
                let bare = value
                    .strip_prefix(b"\"")
                    .and_then(|value| value.strip_suffix(b"\""));
                found.push(percent_decode(bare.unwrap_or(value)).collect());
            } else if !pair.trim_ascii().is_empty() {
                kept.push(pair.trim_ascii().to_vec());
            }
        }
    }
    headers.remove(COOKIE);
    if !kept.is_empty()
        && let Ok(value) = HeaderValue::from_bytes(&kept.join(&b"; "[..]))
    {
        headers.insert(COOKIE, value);
    }
}

/// Removes a `Referer` whose query contains a key, because it repeats the URL of an earlier request.
fn strip_referer(headers: &mut HeaderMap) {
    let has_key = headers.get_all(REFERER).iter().any(|value| {
        let pieces = value.as_bytes().split(|byte| b"?&;#".contains(byte));
        pieces.skip(1).any(|pair| is_key_field(split_pair(pair).0))
    });
    if has_key {
        headers.remove(REFERER);
    }
}
