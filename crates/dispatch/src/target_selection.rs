//! Target selection in a pool.
//!
//! Load pattern: about a third of the slots are in use, at any time a third of the targets fails for some
//! seconds, and each host sends one or two requests per second. Non-idempotent requests go to targets with a
//! recent good answer, first to those that the host has an idle connection to. Idempotent requests also try
//! targets without a recent answer.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::{
    evidence::TargetTrust,
    fleet_share::FleetShare,
    messages::{
        AdmitRequest,
        TargetChoice, //
    },
    target_slots::TargetSlots, //
};

/// Multiple of the mean latency after which an open request makes its target doubtful. Fewer than one ordinary
/// request in a hundred takes longer.
pub(crate) const STUCK_FACTOR: u32 = 3;

/// Time without a request after which a host tries a target that it has an idle connection to. The platform asks
/// that most healthy targets get a request within two seconds while others fail.
pub(crate) const TRIAL_IDLE_CONNECTED: Duration = Duration::from_millis(1000);

/// Time without a request after which any host tries a target. It is longer than [`TRIAL_IDLE_CONNECTED`], as a
/// trial without an idle connection costs a new one.
pub(crate) const TRIAL_IDLE: Duration = Duration::from_millis(1600);

/// Fraction of the unblocked targets that must get a request within [`TRIAL_IDLE`]. The platform asks for 0.7 within
/// two seconds, over all zones together, and checks the past two seconds when a tenth of the requests fails at once.
const USED_RATIO_MIN: CapacityRatio = CapacityRatio::from_mille(800);

/// The same while many requests fail. The platform looks at the healthy targets only, so that most of those without
/// requests may be among them.
const USED_RATIO_FAILING: CapacityRatio = CapacityRatio::from_mille(950);

/// Fraction of failed attempts from which many requests fail: somewhat less than the tenth from which the platform
/// checks, as each dispatcher sees the failures of its own zone only.
pub(crate) const FAILING_RATIO_MIN: CapacityRatio = CapacityRatio::from_mille(90);

/// Fraction of a pool that may be blocked. Beyond it, blocked targets get requests again, so that the rest
/// does not carry the whole load.
pub(crate) const BLOCKED_RATIO_MAX: CapacityRatio = CapacityRatio::from_mille(400);

/// Age up to which a good answer is fresh. A third of the targets begin a gray failure within nine seconds, so a
/// target with a good answer of this age has failed since in one of twenty cases, and with one that is three
/// seconds old in one of three.
const FRESH_FOR: Duration = Duration::from_millis(400);

/// State of a pool that decides about its targets, beside the targets themselves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolState {
    /// Moving average over the good answers.
    pub(crate) mean_latency: Duration,
    /// The part of the fleet that the dispatcher decides for.
    pub(crate) share: FleetShare,
    /// Whether at least [`FAILING_RATIO_MIN`] of the recent attempts failed.
    pub(crate) is_failing: bool,
    /// Whether idempotent requests arrive often enough to try targets with them.
    pub(crate) has_idempotent: bool,
}

/// The target for a request.
#[derive(Debug)]
pub(crate) struct SelectedTarget<'a> {
    pub(crate) id: &'a TargetId,
    pub(crate) trust: TargetTrust,
    pub(crate) choice: TargetChoice,
}

/// Selects among the targets of a pool at one time.
#[derive(Debug)]
pub(crate) struct TargetSelection<'a> {
    targets: &'a IndexMap<TargetId, TargetSlots>,
    state: PoolState,
    now: MonoTime,
}

/// Sort key of a target for a request; the lowest is selected.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct TargetRank {
    /// `None` for a trial, which goes before all others.
    trust: Option<TargetTrust>,
    /// Step of the age of the last good answer for non-idempotent requests, see [`staleness_of`]; 0 for others.
    staleness: u32,
    is_unconnected: bool,
    open_count: usize,
    /// Step of the expected time, see [`slowness_of`].
    slowness: u32,
    /// Time since the last good answer.
    answer_age: Duration,
}

/// Returns `true` if a request is a trial of a target that got none for a while, or none ever. A host with an idle
/// connection to the target tries it earlier, because that costs no new connection. Non-idempotent requests try
/// targets only if too few are in use, as in a service without idempotent requests.
fn is_trial(
    request: &AdmitRequest,
    (id, target): (&TargetId, &TargetSlots),
    (trust, is_coverage_low): (TargetTrust, bool),
    now: MonoTime,
) -> bool {
    let is_due = match request.is_idempotent {
        true if target.granted_at().is_none() => true,
        true if request.connected.contains(id) => target.idle_time(now) > TRIAL_IDLE_CONNECTED,
        true => target.idle_time(now) > TRIAL_IDLE,
        false => is_coverage_low && target.idle_time(now) > TRIAL_IDLE,
    };
    is_due && target.is_trial_due(now) && trust != TargetTrust::Blocked && !request.is_repeat
}

/// Returns the step that an age falls into. Step 0 ends at [`FRESH_FOR`], and each further step ends at twice the
/// age of the one before.
fn staleness_of(age: Duration) -> u32 {
    let steps = age.as_millis() / FRESH_FOR.as_millis();
    steps.checked_ilog2().map_or(0, |step| step + 1)
}

/// Returns the step that an expected time falls into. Step 0 ends at half the mean of the pool, and each further step at
/// twice the time of the one before.
fn slowness_of(expected_time: Duration, mean_latency: Duration) -> u32 {
    let halves = expected_time.as_micros() * 2 / mean_latency.as_micros().max(1);
    halves.checked_ilog2().map_or(0, |step| step + 1)
}

impl<'a> TargetSelection<'a> {
    /// Creates a selection among `targets` at `now`.
    pub(crate) fn new(
        targets: &'a IndexMap<TargetId, TargetSlots>,
        state: PoolState,
        now: MonoTime,
    ) -> Self {
        Self {
            targets,
            state,
            now,
        }
    }

    /// Returns the best target for a request; `None` if no acceptable target has a slot.
    pub(crate) fn select(&self, request: &AdmitRequest) -> Option<SelectedTarget<'a>> {
        let now = self.now;
        let stuck_after = self.state.mean_latency.saturating_mul(STUCK_FACTOR);
        let blocked = self.targets.values();
        let blocked = blocked.filter(|target| target.evidence().trust(now) == TargetTrust::Blocked);
        let blocked_max = BLOCKED_RATIO_MAX.ceil_of(u32::try_from(self.targets.len()).unwrap_or(0));
        let may_use_blocked = u32::try_from(blocked.count()).unwrap_or(0) > blocked_max;
        let is_coverage_low = self.is_coverage_low();
        // While many requests fail, the platform also wants requests to a target that has recovered since it left
        // some without an answer. At other times these show that it still hangs.
        let idle_after = match self.state.is_failing {
            true => stuck_after,
            false => Duration::MAX,
        };
        let share = self.state.share.zone_fraction;
        let candidates = self.targets.iter().filter_map(|(id, target)| {
            let is_paced = target.is_cold(now) || target.is_limited();
            let mean = target.mean_time(self.state.mean_latency);
            // Ordinary requests of a target that is slow by nature are no sign that it hangs.
            let trust = target.trust(stuck_after.max(mean.saturating_mul(STUCK_FACTOR)), now);
            let is_trial = target.is_idle(idle_after, now)
                && is_trial(request, (id, target), (trust, is_coverage_low), now);
            let has_slot = match is_trial {
                true => target.has_trial_slot(share, now),
                false => target.has_free_slot(share, now),
            };
            let is_usable = has_slot
                && (self.state.share.is_followed || !is_paced)
                && !request.tried.contains(id);
            let is_excluded =
                trust == TargetTrust::Blocked && !(may_use_blocked && target.allows_trial(now));
            let rank = match is_trial {
                true => TargetRank::default(),
                false => self.rank(request, (id, target), trust),
            };
            let is_acceptable = trust <= request.least_trust || is_trial;
            (is_usable && is_acceptable && !is_excluded).then_some((rank, id, trust))
        });
        let (rank, id, trust) = candidates.min()?;
        let (target, mean_latency) = (self.targets.get(id)?, self.state.mean_latency);
        let choice = TargetChoice {
            is_trial: rank.trust.is_none(),
            mean_time: target.mean_time(mean_latency),
            expected_time: target.expected_time(mean_latency, now),
        };
        Some(SelectedTarget { id, trust, choice })
    }

    /// Returns `true` if too few of the unblocked targets got a request within [`TRIAL_IDLE`].
    fn is_coverage_low(&self) -> bool {
        let (mut usable, mut used) = (0, 0);
        for target in self.targets.values() {
            if target.evidence().trust(self.now) != TargetTrust::Blocked {
                usable += 1;
                used += u32::from(target.idle_time(self.now) < TRIAL_IDLE);
            }
        }
        let ratio_min = match self.state.is_failing {
            true => USED_RATIO_FAILING,
            false => USED_RATIO_MIN,
        };
        used < ratio_min.ceil_of(usable)
    }

    fn rank(
        &self,
        request: &AdmitRequest,
        (id, target): (&TargetId, &TargetSlots),
        trust: TargetTrust,
    ) -> TargetRank {
        // Without idempotent requests, others spread over targets without a recent answer.
        let counts_as_proven = !self.state.has_idempotent && trust == TargetTrust::Unknown;
        let trust = match counts_as_proven {
            true => TargetTrust::Proven,
            false => trust,
        };
        let answer_age = target.evidence().good_at().map(|at| self.now.since(at));
        let answer_age = answer_age.unwrap_or(Duration::MAX);
        let staleness = match request.is_idempotent {
            true => 0,
            false => staleness_of(answer_age),
        };
        let expected_time = target.expected_time(self.state.mean_latency, self.now);
        TargetRank {
            trust: Some(trust),
            staleness,
            slowness: slowness_of(expected_time, self.state.mean_latency),
            is_unconnected: !request.connected.contains(id),
            open_count: target.open_count(),
            answer_age,
        }
    }
}
