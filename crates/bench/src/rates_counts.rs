//! Counters of one run of the `rates` experiment.

/// Counters of one team.
#[derive(Clone, Default)]
pub(crate) struct TeamCounts {
    pub(crate) requests: u64,
    pub(crate) false_refusals: u64,
}

/// Counters of one run.
#[derive(Default)]
pub(crate) struct RateCounts {
    pub(crate) teams: Vec<TeamCounts>,
    pub(crate) waits: Vec<u64>,
    pub(crate) spent_at: Vec<Vec<u64>>,
}

impl RateCounts {
    pub(crate) fn requests(&self) -> u64 {
        self.teams.iter().map(|team| team.requests).sum()
    }

    pub(crate) fn false_refusals(&self) -> u64 {
        self.teams.iter().map(|team| team.false_refusals).sum()
    }
}
