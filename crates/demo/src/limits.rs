//! Compares a team's requests with its rate and burst.
//!
//! The number of requests allowed in a window is `rate x window + burst`. Refusals are compared with a
//! reference limiter, which is a single token bucket that refills at the team's rate up to its burst and
//! starts full.

use std::time::Duration;

use crate::{
    records::CallRecord,
    scenario::TeamProfile, //
};

/// The token bucket of a single limiter for the whole fleet, used as the reference.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated_at: Duration,
}

impl TokenBucket {
    fn new(team: &TeamProfile) -> Self {
        let burst = f64::from(team.burst);
        Self {
            rate: f64::from(team.rate),
            burst,
            level: burst,
            updated_at: Duration::ZERO,
        }
    }

    fn advance(&mut self, at: Duration) {
        let elapsed = at.saturating_sub(self.updated_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.updated_at = self.updated_at.max(at);
    }

    fn try_take(&mut self, at: Duration) -> bool {
        self.advance(at);
        let is_allowed = self.level >= 1.0;
        if is_allowed {
            self.level -= 1.0;
        }
        is_allowed
    }
}

/// Returns the number of requests that the reference limiter allows.
pub fn count_allowed(team: &TeamProfile, calls: &[&CallRecord]) -> usize {
    let mut bucket = TokenBucket::new(team);
    let allowed = calls.iter().filter(|call| bucket.try_take(call.sent));
    allowed.count()
}

/// Returns the number of requests refused as over the rate that the reference limiter allows in addition
/// to the admitted ones. Each counted refusal takes a token from the reference limiter, so that one lost
/// token is counted once, however many refusals follow.
pub fn count_false_refusals(team: &TeamProfile, calls: &[&CallRecord]) -> usize {
    let mut bucket = TokenBucket::new(team);
    let mut count = 0;
    for call in calls {
        bucket.advance(call.sent);
        if call.is_admitted() {
            // Drops below zero if a counted refusal has already taken the token.
            bucket.level -= 1.0;
        } else if call.is_over_rate() && bucket.try_take(call.sent) {
            count += 1;
        }
    }
    count
}

/// Returns by how many requests the team exceeded `rate x window + burst` in its worst window, or 0. A
/// request counts for a window only if it was both sent and completed in it, so that any excess is
/// certain.
pub fn overshoot(team: &TeamProfile, calls: &[&CallRecord]) -> f64 {
    let admitted = calls.iter().filter(|call| call.is_admitted());
    let mut spans: Vec<(Duration, Duration)> =
        admitted.map(|call| (call.ended, call.sent)).collect();
    spans.sort_unstable();
    let (rate, burst) = (f64::from(team.rate), f64::from(team.burst));
    let excess_from = |from: Duration| {
        let inside = spans.iter().filter(|(_, sent)| *sent >= from);
        let excess = inside.zip(1_u32..).map(|((ended, _), count)| {
            let window = ended.saturating_sub(from).as_secs_f64();
            f64::from(count) - rate * window - burst
        });
        excess.fold(0.0, f64::max)
    };
    let starts = spans.iter().map(|(_, sent)| excess_from(*sent));
    starts.fold(0.0, f64::max)
}
