//! Error for a request that gets no token.

use std::time::Duration;

use thiserror::Error;

/// Returned when a request gets no token.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the team has no token on this host; the next one is due in {} ms", retry_after.as_millis())]
pub struct TokenShortage {
    /// Time after which this host has minted enough for one request.
    pub retry_after: Duration,
    /// Whether a transfer request is in flight or due now, so that the caller may wait for its
    /// grant.
    pub is_grant_expected: bool,
}
