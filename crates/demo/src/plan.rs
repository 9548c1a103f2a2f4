//! The length and seed of a run, and the times of the faults.

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

/// Allowed values of `--seconds`. Below 24 s, the zone is out for hardly longer than the 3 s in which
/// requests may still reach it.
pub const SECONDS: RangeInclusive<u32> = 24..=3600;

/// Default length of the load, in seconds.
pub const SECONDS_DEFAULT: u32 = 38;

/// Length and seed of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DemoPlan {
    /// Length of the load.
    pub length: Duration,
    /// Seed of the random requests and their times.
    pub seed: u64,
}

/// A step of the fault script, in order of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DemoStep {
    /// A target starts to answer half of its requests with an error.
    GrayErrors,
    /// The same target answers slowly instead.
    GraySlow,
    /// The target recovers.
    GrayEnd,
    /// A booking takes a zone out.
    ZoneOut,
    /// The targets of the zone restart and are cold.
    ZoneRestart,
    /// The booking ends and the zone is in use again.
    ZoneReturn,
    /// A key is withdrawn.
    KeyWithdrawn,
    /// A target restarts and is cold.
    ColdRestart,
    /// The planned stop of a host begins.
    HostStop,
    /// Another host crashes.
    HostCrash,
}

impl DemoStep {
    /// All steps with their times, in thousandths of the length of the load.
    pub const TIMES: [(Self, u32); 10] = [
        (Self::GrayErrors, 80),
        (Self::GraySlow, 190),
        (Self::GrayEnd, 310),
        (Self::ZoneOut, 350),
        (Self::KeyWithdrawn, 440),
        (Self::ZoneRestart, 520),
        (Self::ZoneReturn, 550),
        (Self::ColdRestart, 650),
        (Self::HostStop, 730),
        (Self::HostCrash, 840),
    ];
}

impl DemoPlan {
    /// Creates a plan with a length in seconds and a seed.
    pub const fn new(seconds: u32, seed: u64) -> Self {
        Self {
            length: Duration::from_secs(seconds as u64),
            seed,
        }
    }

    /// Returns the time of a step, from the start of the load.
    pub fn time_of(&self, step: DemoStep) -> Duration {
        let times = DemoStep::TIMES.iter();
        let per_mille = times
            .filter(|(other, _)| *other == step)
            .map(|(_, per_mille)| *per_mille)
            .sum();
        self.length / 1000 * per_mille
    }
}
