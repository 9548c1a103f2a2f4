//! A team's requests against its rate and burst.
//!
//! The allowed amount of a window is `rate x window + burst`. Refusals are compared with one bucket
//! that is filled at the team's rate up to its burst and starts full.

use std::time::Duration;

use crate::{
    records::CallRecord,
    setting::TeamSetting, //
};

/// A bucket of tokens as one limiter for the whole fleet would keep it.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Duration,
}

impl TokenBucket {
    fn new(team: &TeamSetting) -> Self {
        let burst = f64::from(team.burst);
        Self {
            rate: f64::from(team.rate),
            burst,
            level: burst,
            at: Duration::ZERO,
        }
    }

    fn advance(&mut self, at: Duration) {
        let passed = at.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.at = self.at.max(at);
    }

    fn try_take(&mut self, at: Duration) -> bool {
        self.advance(at);
        let has_token = self.level >= 1.0;
        if has_token {
            self.level -= 1.0;
        }
        has_token
    }
}

/// Counts the requests that one limiter for the whole fleet would have let through.
pub fn within_rate(team: &TeamSetting, calls: &[&CallRecord]) -> usize {
    let mut bucket = TokenBucket::new(team);
    let taken = calls.iter().filter(|call| bucket.try_take(call.sent));
    taken.count()
}

/// Counts the refusals as above the rate that one limiter would have let through beside what the
/// team received. Each counted refusal takes a token of that limiter, so that one lost token counts
/// once, however many refusals follow.
pub fn refused_within(team: &TeamSetting, calls: &[&CallRecord]) -> usize {
    let mut bucket = TokenBucket::new(team);
    let mut count = 0;
    for call in calls {
        bucket.advance(call.sent);
        if call.is_admitted() {
            // Below zero where a counted refusal has taken the token before.
            bucket.level -= 1.0;
        } else if call.is_over_rate() && bucket.try_take(call.sent) {
            count += 1;
        }
    }
    count
}

/// Returns by how many requests the team received more than `rate x window + burst` in any window,
/// or 0. A request counts for a window only when it was sent and ended in it, so that an excess is
/// certain.
pub fn overshoot(team: &TeamSetting, calls: &[&CallRecord]) -> f64 {
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
