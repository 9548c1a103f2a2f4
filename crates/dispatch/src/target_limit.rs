//! Request rate that a target states in its answers.
//!
//! Load pattern: a target in need states how many requests per second it takes from all hosts together, while the rest of
//! its pool runs at capacity. The dispatcher of its zone keeps to that rate. A dispatcher that has had no answer of the
//! target yet does not know whether it states one.

use std::{
    fmt,
    str::FromStr, //
};

use chicorycroft_core::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// Millionths of a request.
const MICROS: u64 = 1_000_000;

/// Requests that may be sent at once after a pause: one for each slot of an ordinary target.
const BURST: u64 = 2 * MICROS;

/// Lowest rate at which a limited target is tried. Only its answers tell that a limit has ended.
const TRIAL_RATE: RequestRate = RequestRate::from_micros(MICROS / 4);

/// What is known about the rate limit of a target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum LimitState {
    /// No answer of this incarnation is known.
    #[default]
    Unknown,
    /// The latest answer stated no limit.
    Unlimited,
    /// Requests per second that the target takes from all hosts together.
    Limited(RequestRate),
}

impl fmt::Display for LimitState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("unknown"),
            Self::Unlimited => f.write_str("none"),
            Self::Limited(rate) => write!(f, "{rate}"),
        }
    }
}

impl FromStr for LimitState {
    type Err = <RequestRate as FromStr>::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "unknown" => Ok(Self::Unknown),
            "none" => Ok(Self::Unlimited),
            rate => rate.parse().map(Self::Limited),
        }
    }
}

/// Keeps the requests to one target to the rate that it states.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetLimiter {
    state: LimitState,
    /// When the target began to state a limit.
    limited_at: Option<MonoTime>,
    /// Requests that may be sent now, in millionths.
    tokens: u64,
    filled_at: MonoTime,
}

impl TargetLimiter {
    /// Creates the limiter of a target without answers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what is known about the limit.
    pub fn state(&self) -> LimitState {
        self.state
    }

    /// Records what an answer stated to a request that was granted at `granted_at`. Returns `true` if that changed the
    /// state. A request that was granted before the limit was known says nothing about its end.
    pub fn on_answer(
        &mut self,
        limit: Option<RequestRate>,
        granted_at: MonoTime,
        now: MonoTime,
    ) -> bool {
        let is_limited = matches!(self.state, LimitState::Limited(_));
        let next = match limit {
            Some(rate) => LimitState::Limited(rate),
            None if self.limited_at.is_some_and(|at| granted_at <= at) => return false,
            None => LimitState::Unlimited,
        };
        if limit.is_some() && !is_limited {
            (self.limited_at, self.tokens, self.filled_at) = (Some(now), 0, now);
        }
        if limit.is_none() {
            self.limited_at = None;
        }
        std::mem::replace(&mut self.state, next) != next
    }

    /// Returns the requests that may be sent at `now`, in millionths, if a dispatcher has `share` of the rate.
    fn tokens(&self, rate: RequestRate, share: CapacityRatio, now: MonoTime) -> u64 {
        let rate = rate.max(TRIAL_RATE).as_micros();
        let rate = rate * u64::from(share.as_mille()) / u64::from(CapacityRatio::MAX_MILLE);
        let micros = u64::try_from(now.since(self.filled_at).as_micros()).unwrap_or(u64::MAX);
        let filled = rate.saturating_mul(micros) / MICROS;
        self.tokens.saturating_add(filled).min(BURST)
    }

    /// Returns `true` if the target takes a request now from a dispatcher with `share` of the rate.
    pub fn may_send(&self, share: CapacityRatio, now: MonoTime) -> bool {
        match self.state {
            LimitState::Limited(rate) => self.tokens(rate, share, now) >= MICROS,
            LimitState::Unknown | LimitState::Unlimited => true,
        }
    }

    /// Records a request.
    pub fn on_sent(&mut self, share: CapacityRatio, now: MonoTime) {
        if let LimitState::Limited(rate) = self.state {
            self.tokens = self.tokens(rate, share, now).saturating_sub(MICROS);
            self.filled_at = now;
        }
    }
}

/// Limits that targets stated to one host.
#[derive(Debug, Default)]
pub struct StatedLimits {
    limits: ShardMap<TargetId, (u64, RequestRate)>,
}

impl StatedLimits {
    /// Creates the state of a host to which no target stated a limit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what an answer of an incarnation of a target stated.
    pub fn on_answer(&self, target: &TargetId, born: u64, limit: Option<RequestRate>) {
        match limit {
            Some(rate) => {
                self.limits.insert(target.clone(), (born, rate));
            }
            None => {
                self.limits.remove(target);
            }
        }
    }

    /// Returns the limit that an incarnation of a target stated to this host last.
    pub fn limit_of(&self, target: &TargetId, born: u64) -> Option<RequestRate> {
        let stated = self.limits.with(target, |stated| *stated)?;
        (stated.0 == born).then_some(stated.1)
    }
}
