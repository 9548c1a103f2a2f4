//! Faults of targets for the `detection` experiment. Times are in microseconds.

use chicorycroft_placement::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Start of the fault.
pub(crate) const FAULT_START_MICROS: u64 = 10_000_000;
/// Time after which a request times out.
pub(crate) const DEADLINE_MICROS: u64 = 1_000_000;

/// Fault of the first target, or of all targets of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FaultKind {
    /// The target refuses all attempts.
    Dead,
    /// 30 percent of the target's answers are wrong.
    Wrong30,
    /// The target takes ten times as long.
    Slow10,
    /// Attempts of one host, the target's owner, time out, while other hosts reach the target.
    OwnerCut,
    /// The target is down for three seconds of every six.
    Flapping,
    /// All targets of the service take ten times as long.
    ServiceSlow,
    /// No target has a fault.
    Healthy,
}

impl FaultKind {
    pub(crate) const ALL: [Self; 7] = [
        Self::Dead,
        Self::Wrong30,
        Self::Slow10,
        Self::OwnerCut,
        Self::Flapping,
        Self::ServiceSlow,
        Self::Healthy,
    ];

    /// Returns `true` if the failing target is down. A time before the fault counts as its start.
    pub(crate) fn is_down(self, at: u64) -> bool {
        let since = at.saturating_sub(FAULT_START_MICROS);
        self == Self::Dead || self == Self::Flapping && since % 6_000_000 < 3_000_000
    }

    /// Draws the outcome and duration of an attempt. Two percent of the attempts fail without a fault.
    pub(crate) fn draw_attempt(
        self,
        target: usize,
        is_sender_cut_off: bool,
        at: u64,
        rng: &mut ChaCha8Rng,
    ) -> (AttemptOutcome, u64) {
        let latency = rng.random_range(15_000..35_000);
        let is_active = at >= FAULT_START_MICROS && (target == 0 || self == Self::ServiceSlow);
        let wrong_fraction = match self {
            Self::Wrong30 if is_active => 0.3,
            _ => 0.02,
        };
        let outcome = match rng.random_bool(wrong_fraction) {
            true => AttemptOutcome::Wrong,
            false => AttemptOutcome::Good,
        };
        match self {
            _ if !is_active => (outcome, latency),
            _ if self.is_down(at) => (AttemptOutcome::Refused, 1_000),
            Self::OwnerCut if is_sender_cut_off => (AttemptOutcome::TimedOut, DEADLINE_MICROS),
            Self::Slow10 | Self::ServiceSlow => (outcome, 10 * latency),
            _ => (outcome, latency),
        }
    }
}

/// Draws the time to the next event of a Poisson process, in microseconds like its mean interval.
pub(crate) fn draw_interval(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
    let fraction: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    (-fraction.ln() * mean) as u64 + 1
}
