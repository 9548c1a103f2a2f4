//! Why a request gets no token.

use std::time::Duration;

use thiserror::Error;

/// Why a request gets no token.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the team has no token on this host; the next one is due in {} ms", retry_after.as_millis())]
pub struct TokenShortage {
    /// Time after which this host mints enough for a request.
    pub retry_after: Duration,
    /// Whether a draw is on its way or due now, so that the caller may wait for its grant.
    pub is_draw_open: bool,
}
