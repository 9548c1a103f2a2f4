//! The load of a pool, as its dispatcher tells the hosts.
//!
//! Load pattern: for some seconds more requests arrive than the slots of a service can serve, in one zone or in all.
//! Each answer to a permit request carries the load of the pool, so that hosts know it without asking.

use std::time::Duration;

use chicorycroft_core::{
    define_counter,
    prelude::*, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    evidence::TargetTrust,
    messages::whole_millis,
    service_pool::ServicePool,
    target_selection::{
        BLOCKED_RATIO_MAX,
        FAILING_RATIO_MIN,
        STUCK_FACTOR,
        TRIAL_IDLE_CONNECTED, //
    },
    target_slots::TargetSlots,
    wait_estimate::PoolPace, //
};

/// Number of priorities whose expected waits are told apart; lower ones share that of the last.
const PRIORITIES_MAX: usize = 8;

define_counter!(
    /// Number of slots of a pool.
    SlotTotal
);
define_counter!(
    /// Number of requests that wait for a slot.
    WaitingCount
);

/// Expected wait behind the waiting requests of a priority and those above it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PriorityWait {
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Expected wait, in milliseconds.
    pub wait_millis: u32,
}

/// Load of the targets of a service in one zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolLoad {
    /// Free slots of targets that may get a request.
    pub free_slots: SlotTotal,
    /// Requests that wait for a slot.
    pub waiting: WaitingCount,
    /// Requests completed in a second; zero if too few completed in the last one.
    pub completions: RequestRate,
    /// Expected time until the next slot is free, in milliseconds.
    pub next_slot_millis: u32,
    /// Expected waits by priority, the highest priority first; empty while no request waits.
    pub waits: Vec<PriorityWait>,
}

impl PoolLoad {
    /// Returns the expected wait of a new request of a priority, behind all waiting requests that are served before it;
    /// zero if a slot is free.
    pub fn expected_wait(&self, priority: u8) -> Duration {
        if self.has_free_slot() {
            return Duration::ZERO;
        }
        let mut waits = self.waits.iter().rev();
        let behind = waits.find(|wait| wait.priority <= priority);
        let millis = behind.map_or(self.next_slot_millis, |wait| wait.wait_millis);
        Duration::from_millis(millis.into())
    }

    /// Returns `true` if a target may get a request at once.
    pub fn has_free_slot(&self) -> bool {
        self.free_slots.get() > 0
    }
}

impl ServicePool {
    /// Returns the load of the pool.
    pub fn load(&self, now: MonoTime) -> PoolLoad {
        let slots = self.targets.values();
        let slots = slots
            .map(|target| u64::from(target.entry().slots.get()))
            .sum();
        let interval = self.completions.mean_interval(slots, now);
        let rate = interval.map(|interval| interval.as_secs_f64().recip() * 1e6);
        let pace = self.pace(now);
        PoolLoad {
            free_slots: SlotTotal::new(self.free_slots(now)),
            waiting: WaitingCount::new(self.queue.len() as u64),
            completions: rate.map_or(RequestRate::ZERO, |rate| {
                RequestRate::from_micros(rate as u64)
            }),
            next_slot_millis: whole_millis(pace.interval),
            waits: self.priority_waits(pace),
        }
    }

    /// Returns the slots that a request of any kind may get now. Those for trials count too, because a host must not
    /// take a pool for full that would serve some of its requests.
    fn free_slots(&self, now: MonoTime) -> u64 {
        let stuck_after = self.mean_latency.saturating_mul(STUCK_FACTOR);
        let is_blocked =
            |target: &TargetSlots| target.evidence().trust(now) == TargetTrust::Blocked;
        let blocked = self.targets.values().filter(|target| is_blocked(target));
        let blocked_max = BLOCKED_RATIO_MAX.ceil_of(u32::try_from(self.targets.len()).unwrap_or(0));
        let may_use_blocked = u32::try_from(blocked.count()).unwrap_or(0) > blocked_max;
        let is_failing = self.failures.has_failed(FAILING_RATIO_MIN, now);
        let share = self.share.zone_fraction;
        let free_of = |target: &TargetSlots| {
            let is_paced = target.is_cold(now) || target.is_limited();
            let is_excluded = is_blocked(target) && !(may_use_blocked && target.allows_trial(now));
            let has_trial_slot = is_failing
                && target.idle_time(now) > TRIAL_IDLE_CONNECTED
                && target.is_idle(stuck_after, now)
                && target.has_trial_slot(share, now);
            let has_slot = target.has_free_slot(share, now) || has_trial_slot;
            if !has_slot || is_excluded || is_paced && !self.share.is_followed {
                return 0;
            }
            let slots = u64::from(target.entry().slots.get());
            match is_paced {
                true => 1,
                false => slots.saturating_sub(target.open_count() as u64).max(1),
            }
        };
        self.targets.values().map(free_of).sum()
    }

    /// Returns the expected waits of the priorities in which requests wait.
    fn priority_waits(&self, pace: PoolPace) -> Vec<PriorityWait> {
        let (mut waits, mut ahead) = (Vec::<PriorityWait>::new(), 0);
        for (priority, count) in self.queue.counts().filter(|(_, count)| *count > 0) {
            ahead += count;
            if waits.len() == PRIORITIES_MAX {
                waits.pop();
            }
            waits.push(PriorityWait {
                priority,
                wait_millis: whole_millis(pace.time_for(ahead + 1)),
            });
        }
        waits
    }
}
