//! Turns of the teams that wait for slots: start-time fair queueing.
//!
//! Load pattern: one team sends many times its usual load. Each grant advances the virtual time of its team by one,
//! and the waiting team with the lowest goes first. A team that did not wait starts at the virtual time of the pool,
//! so that it neither saves turns nor pays for those that nobody else wanted.

use std::collections::BTreeMap;

use chicorycroft_core::{
    define_counter,
    prelude::*, //
};
use indexmap::IndexMap;

define_counter!(
    /// Number of grants of a team that is always served as if all others waited.
    VirtualTime
);

/// Teams with a virtual time that are kept before those that no longer need one are dropped.
const FINISHED_MIN: usize = 64;

/// Who waits for a team. Lower values go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TurnClass {
    /// A request that came back at its return time.
    Returned,
    /// New requests only.
    New,
}

/// The turn of a waiting team.
#[derive(Clone, Copy, Debug)]
struct TeamTurn {
    class: TurnClass,
    /// Virtual time of its next grant.
    start: VirtualTime,
    /// Number of its waiting requests.
    count: u64,
    /// Order of arrival, which decides between equal times.
    joined: u64,
}

impl TeamTurn {
    fn first_key(&self) -> (TurnClass, VirtualTime, u64) {
        (self.class, self.start, self.joined)
    }

    fn last_key(&self) -> (VirtualTime, u64) {
        let last = self.start.get().saturating_add(self.count);
        (VirtualTime::new(last), self.joined)
    }
}

/// The turns of all teams of one priority.
#[derive(Clone, Debug, Default)]
pub struct TeamTurns {
    now: VirtualTime,
    /// Virtual time after the latest grant of a team, where it is later than `now`.
    finished: IndexMap<Option<TeamId>, VirtualTime>,
    /// Length of `finished` at which those are dropped that are not later.
    finished_max: usize,
    waiting: IndexMap<Option<TeamId>, TeamTurn>,
    by_first: BTreeMap<(TurnClass, VirtualTime, u64), Option<TeamId>>,
    by_last: BTreeMap<(VirtualTime, u64), Option<TeamId>>,
    joined_count: u64,
}

impl TeamTurns {
    /// Creates the turns of no teams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the virtual time at which a team's next grant starts.
    fn start_of(&self, team: &Option<TeamId>) -> VirtualTime {
        let finished = self.finished.get(team).copied().unwrap_or_default();
        finished.max(self.now)
    }

    /// Sets the waiting requests of a team: their number, and the class of the first one. A team with none leaves.
    pub fn set_waiting(&mut self, team: &Option<TeamId>, class: TurnClass, count: u64) {
        let old = self.waiting.swap_remove(team);
        if let Some(old) = &old {
            self.by_first.remove(&old.first_key());
            self.by_last.remove(&old.last_key());
        }
        if count == 0 {
            return;
        }
        let joined = old.map_or(self.joined_count, |old| old.joined);
        self.joined_count += u64::from(old.is_none());
        let turn = TeamTurn {
            class,
            start: old.map_or_else(|| self.start_of(team), |old| old.start),
            count,
            joined,
        };
        self.by_first.insert(turn.first_key(), team.clone());
        self.by_last.insert(turn.last_key(), team.clone());
        self.waiting.insert(team.clone(), turn);
    }

    /// Records a grant to a team, which may wait or not.
    pub fn record_grant(&mut self, team: &Option<TeamId>) {
        let turn = self.waiting.get(team).copied();
        let start = turn.map_or_else(|| self.start_of(team), |turn| turn.start);
        // A return may go before teams with an earlier virtual time, which must not lose their turns by that.
        let earliest = self
            .earliest_start()
            .map_or(start, |earliest| earliest.min(start));
        self.now = self.now.max(earliest);
        let finish = VirtualTime::new(start.get().saturating_add(1));
        self.finished.insert(team.clone(), finish);
        if let Some(turn) = turn {
            self.set_waiting(team, turn.class, 0);
            self.set_waiting(team, turn.class, turn.count);
        }
        if self.finished.len() >= self.finished_max.max(FINISHED_MIN) {
            let now = self.now;
            self.finished.retain(|_, finish| *finish > now);
            self.finished_max = 2 * self.finished.len();
        }
    }

    /// Returns the lowest virtual time of a waiting team.
    fn earliest_start(&self) -> Option<VirtualTime> {
        let first_new = (TurnClass::New, VirtualTime::default(), 0);
        let returned = self.by_first.range(..first_new).next();
        let new = self.by_first.range(first_new..).next();
        let starts = returned.into_iter().chain(new);
        starts.map(|((_, start, _), _)| *start).min()
    }

    /// Returns the number of turns that each other waiting team has before the next one of a team.
    pub fn lag_of(&self, team: &Option<TeamId>) -> u64 {
        let turn = self.waiting.get(team);
        let start = turn.map_or_else(|| self.start_of(team), |turn| turn.start);
        start.get().saturating_sub(self.now.get())
    }

    /// Returns the team whose turn is next.
    pub fn first(&self) -> Option<&Option<TeamId>> {
        self.by_first.values().next()
    }

    /// Returns the team whose last request is the last of all to be served.
    pub fn last(&self) -> Option<&Option<TeamId>> {
        self.by_last.values().next_back()
    }
}
