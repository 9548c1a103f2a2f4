//! Length, seed and the times of the faults.

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

/// Lengths of the load that `--seconds` takes. Below 24 s, the zone is out for hardly longer than
/// the 3 s in which work may still reach it.
pub const SECONDS: RangeInclusive<u32> = 24..=3600;

/// Length of the load unless another one is asked for, in seconds.
pub const SECONDS_DEFAULT: u32 = 38;

/// Length and seed of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DemoPlan {
    /// Time that load is sent for.
    pub length: Duration,
    /// Seed of the requests and of their times.
    pub seed: u64,
}

/// What happens to the fleet, in order of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DemoStep {
    /// A target answers half of its requests with an error.
    GrayErrors,
    /// The same target answers slowly instead.
    GraySlow,
    /// The target is well again.
    GrayEnd,
    /// A zone is out by its booking.
    ZoneOut,
    /// The targets of the zone restart, cold.
    ZoneRestart,
    /// The booking of the zone ends.
    ZoneBack,
    /// A key is withdrawn.
    KeyWithdrawn,
    /// A target restarts, cold.
    ColdRestart,
    /// A host stops as planned.
    HostStop,
    /// Another host crashes.
    HostCrash,
}

impl DemoStep {
    /// All steps, with the thousandth of the run at which each comes.
    pub const TIMES: [(Self, u32); 10] = [
        (Self::GrayErrors, 80),
        (Self::GraySlow, 190),
        (Self::GrayEnd, 310),
        (Self::ZoneOut, 350),
        (Self::KeyWithdrawn, 440),
        (Self::ZoneRestart, 520),
        (Self::ZoneBack, 550),
        (Self::ColdRestart, 650),
        (Self::HostStop, 730),
        (Self::HostCrash, 840),
    ];
}

impl DemoPlan {
    /// Plans a run.
    pub const fn new(seconds: u32, seed: u64) -> Self {
        Self {
            length: Duration::from_secs(seconds as u64),
            seed,
        }
    }

    /// Returns the time of a step after the start of the load.
    pub fn time_of(&self, step: DemoStep) -> Duration {
        let times = DemoStep::TIMES.iter();
        let mille = times
            .filter(|(it, _)| *it == step)
            .map(|(_, mille)| *mille)
            .sum();
        self.length / 1000 * mille
    }
}
