//! Faults of targets for the experiment on detection. Times are in microseconds.

use chicorycroft_placement::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// When the fault starts.
pub(crate) const FAULT_AT: u64 = 10_000_000;
/// Longest time of a request.
pub(crate) const DEADLINE: u64 = 1_000_000;

/// What is wrong with the first target, or with all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FaultKind {
    Dead,
    Wrong30,
    Slow10,
    OwnerCut,
    Flapping,
    ServiceSlow,
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

    /// Whether the target is down: three seconds of six when it flaps.
    pub(crate) fn is_down(self, at: u64) -> bool {
        let since = at.saturating_sub(FAULT_AT);
        self == Self::Dead || self == Self::Flapping && since % 6_000_000 < 3_000_000
    }

    /// Draws how an attempt ends and after how many microseconds. Two in a hundred fail anyhow.
    pub(crate) fn draw(
        self,
        target: usize,
        sees_cut: bool,
        at: u64,
        rng: &mut ChaCha8Rng,
    ) -> (AttemptOutcome, u64) {
        let usual = rng.random_range(15_000..35_000);
        let is_active = at >= FAULT_AT && (target == 0 || self == Self::ServiceSlow);
        let wrong_part = match self {
            Self::Wrong30 if is_active => 0.3,
            _ => 0.02,
        };
        let outcome = match rng.random_bool(wrong_part) {
            true => AttemptOutcome::Wrong,
            false => AttemptOutcome::Good,
        };
        match self {
            _ if !is_active => (outcome, usual),
            _ if self.is_down(at) => (AttemptOutcome::Refused, 1_000),
            Self::OwnerCut if sees_cut => (AttemptOutcome::TimedOut, DEADLINE),
            Self::Slow10 | Self::ServiceSlow => (outcome, 10 * usual),
            _ => (outcome, usual),
        }
    }
}

/// Draws the time to the next of events that come at random.
pub(crate) fn gap(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
    let part: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    (-part.ln() * mean) as u64 + 1
}
