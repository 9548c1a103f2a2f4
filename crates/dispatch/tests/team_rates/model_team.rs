//! One team of the model: its demand, and what it was granted.

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;

/// Length of a step, in milliseconds.
pub(crate) const STEP: u64 = 20;

/// The demand and the grants of one team.
pub(crate) struct ModelTeam {
    pub(crate) id: TeamId,
    pub(crate) limit: TeamLimit,
    /// Requests in a thousandth of a second, in millionths.
    pub(crate) demand: u64,
    pub(crate) backlog: u64,
    /// Zones of the callers, in turn.
    pub(crate) zones: Vec<usize>,
    pub(crate) turn: usize,
    /// Time of the first request, in milliseconds.
    pub(crate) starts_at: u64,
    pub(crate) sent: u64,
    pub(crate) refused: u64,
    /// Requests granted in each step.
    pub(crate) granted: Vec<u64>,
}

impl ModelTeam {
    /// Creates a team that sends a multiple of its rate, in thousandths, from all zones.
    pub(crate) fn new(rate: u32, demand_mille: u64) -> Self {
        Self {
            id: TeamId::new(&format!("team-{rate}-{demand_mille}")).unwrap(),
            limit: TeamLimit {
                rate: RequestRate::from_whole(rate),
                burst: BurstSize::from_whole(rate),
            },
            demand: u64::from(rate) * demand_mille,
            backlog: 0,
            zones: vec![0, 1, 2],
            turn: 0,
            starts_at: 0,
            sent: 0,
            refused: 0,
            granted: Vec::new(),
        }
    }

    /// Sends from these zones only, in turn.
    pub(crate) fn with_zones(mut self, zones: Vec<usize>) -> Self {
        self.zones = zones;
        self
    }

    /// Sends nothing before a time, in milliseconds.
    pub(crate) fn with_start(mut self, at: u64) -> Self {
        self.starts_at = at;
        self
    }

    /// Returns the highest and lowest number of grants in a window after a time, in milliseconds.
    pub(crate) fn extremes(&self, window: u64, from: u64) -> (u64, u64) {
        let steps = &self.granted[usize::try_from(from / STEP).unwrap()..];
        let sums = steps.windows(usize::try_from(window / STEP).unwrap());
        let sums: Vec<u64> = sums.map(|window| window.iter().sum()).collect();
        (*sums.iter().max().unwrap(), *sums.iter().min().unwrap())
    }

    /// Returns `true` if the team sends more than its rate.
    pub(crate) fn is_over_rate(&self) -> bool {
        self.demand * 1000 > self.limit.rate.as_micros()
    }

    /// Returns the requests within the rate in a time.
    pub(crate) fn owed(&self, millis: u64) -> u64 {
        self.limit.rate.as_micros() * millis / 1_000_000_000
    }

    /// Returns the requests that the platform allows the team in five seconds.
    pub(crate) fn allowed(&self) -> u64 {
        let (rate, burst) = (self.limit.rate.as_micros(), self.limit.burst.as_micros());
        (rate * 5 + burst) * 5 / 4 / 1_000_000 + 20
    }
}
