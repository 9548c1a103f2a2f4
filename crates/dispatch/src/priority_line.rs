//! The requests of one priority that wait for a slot.
//!
//! Load pattern: some routes have short objectives and long deadlines, so that a team waits with requests that still
//! meet their objective and with others that no longer do. The first go first, the one whose objective ends first
//! before the others. Requests that came back at their return time go before both.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::{
    messages::TicketNumber,
    team_turns::{
        TeamTurns,
        TurnClass, //
    },
    waiting_queue::WaitingRequest,
};

/// Grants to a team that waits, after which their mean interval is used.
const SAMPLES_MIN: u32 = 4;

/// Time for which the pace of a team is kept while none of its requests waits.
const PACE_VALID_FOR: Duration = Duration::from_secs(2);

/// Teams whose pace is kept before old ones are dropped.
const PACES_MIN: usize = 64;

/// Most requests of a team that are compared with a new one to find its place.
const COMPARED_MAX: usize = 256;

/// Least factor, in tenths, by which the turns of a team may slow down while a request waits behind others. Without it a
/// line that is filled to its limit turns away half of the requests that it admitted last.
const MARGIN_MIN: u32 = 20;

/// Largest factor, in tenths.
const MARGIN_MAX: u32 = 80;

/// Increase of the factor with each request that waited in vain, and decrease with each grant: at a steady load, one
/// request waits in vain for ten that are served.
const MARGIN_STEPS: (u32, u32) = (10, 1);

/// Requests by the latest start with which they meet their objective, then by arrival.
type StartOrder = BTreeSet<(MonoTime, TicketNumber)>;

/// Requests of one team and class.
#[derive(Clone, Debug, Default)]
struct ClassLine {
    in_time: StartOrder,
    /// Requests that no longer meet their objective.
    late: StartOrder,
}

impl ClassLine {
    fn count(&self) -> u64 {
        (self.in_time.len() + self.late.len()) as u64
    }

    fn remove(&mut self, key: &(MonoTime, TicketNumber)) -> bool {
        self.in_time.remove(key) || self.late.remove(key)
    }

    /// Returns the number of requests that go before a new one.
    fn ahead_of(&self, in_time_until: MonoTime) -> u64 {
        let new = (in_time_until, TicketNumber::new(u64::MAX));
        match self.in_time.range(..=new).take(COMPARED_MAX).count() {
            COMPARED_MAX => self.in_time.len() as u64,
            earlier => earlier as u64,
        }
    }

    /// Moves the requests that no longer meet their objective behind the others.
    fn sort_late(&mut self, now: MonoTime) {
        while let Some(first) = self.in_time.first().copied()
            && first.0 < now
        {
            self.in_time.remove(&first);
            self.late.insert(first);
        }
    }

    fn first(&mut self, now: MonoTime) -> Option<TicketNumber> {
        self.sort_late(now);
        let first = self.in_time.first().or_else(|| self.late.first());
        first.map(|(_, ticket)| *ticket)
    }

    fn last(&mut self, now: MonoTime) -> Option<TicketNumber> {
        self.sort_late(now);
        let last = self.late.last().or_else(|| self.in_time.last());
        last.map(|(_, ticket)| *ticket)
    }
}

/// Mean interval of the grants to a team while it waits. It follows from what the other teams and priorities take.
#[derive(Clone, Copy, Debug)]
struct TurnPace {
    granted_at: MonoTime,
    mean: Duration,
    sample_count: u32,
    /// Factor, in tenths, for what goes before a request that waits already.
    margin: u32,
}

impl TurnPace {
    fn new(now: MonoTime) -> Self {
        Self {
            granted_at: now,
            mean: Duration::ZERO,
            sample_count: 0,
            margin: MARGIN_MIN,
        }
    }

    fn record(&mut self, now: MonoTime) {
        let weight = self.sample_count.min(2 * SAMPLES_MIN - 1);
        self.mean = (self.mean * weight + now.since(self.granted_at)) / (weight + 1);
        (self.granted_at, self.sample_count) = (now, self.sample_count.saturating_add(1));
        self.margin = self.margin.saturating_sub(MARGIN_STEPS.1).max(MARGIN_MIN);
    }

    /// Continues after a time in which no request of the team waited.
    fn resume(&mut self, now: MonoTime) {
        match self.is_valid(now) {
            true => self.granted_at = now,
            false => *self = Self::new(now),
        }
    }

    fn is_valid(&self, now: MonoTime) -> bool {
        now.since(self.granted_at) < PACE_VALID_FOR
    }

    fn record_late(&mut self) {
        self.margin = (self.margin + MARGIN_STEPS.0).min(MARGIN_MAX);
    }

    /// Returns the expected time until the turn of a request with others of its team ahead. The factor does not apply to
    /// its own turn: a team with no others gets one, from which its pace is measured again.
    fn time_after(&self, ahead: u64) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let turns = ahead.saturating_mul(self.margin).saturating_add(10);
        self.interval().saturating_mul(turns) / 10
    }

    fn interval(&self) -> Duration {
        match self.sample_count >= SAMPLES_MIN {
            true => self.mean,
            false => Duration::ZERO,
        }
    }
}

/// The place of a new request in its line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinePlace {
    /// Requests of the line that are served before it, if no others arrive.
    pub ahead: u64,
    /// Time until it is served at the pace of its team, which has others arriving; zero if that is not known.
    pub by_pace: Duration,
}

/// The waiting requests of one team.
#[derive(Clone, Debug, Default)]
struct TeamLine {
    returned: ClassLine,
    new: ClassLine,
}

impl TeamLine {
    fn count(&self) -> u64 {
        self.returned.count() + self.new.count()
    }

    fn class(&self) -> TurnClass {
        match self.returned.count() {
            0 => TurnClass::New,
            _ => TurnClass::Returned,
        }
    }

    /// Returns the number of requests that go before a new one.
    fn ahead_of(&self, in_time_until: MonoTime) -> u64 {
        self.returned.count() + self.new.ahead_of(in_time_until)
    }

    fn first(&mut self, now: MonoTime) -> Option<TicketNumber> {
        let returned = self.returned.first(now);
        returned.or_else(|| self.new.first(now))
    }

    fn last(&mut self, now: MonoTime) -> Option<TicketNumber> {
        let new = self.new.last(now);
        new.or_else(|| self.returned.last(now))
    }
}

/// The queue of one priority.
#[derive(Clone, Debug, Default)]
pub struct PriorityLine {
    turns: TeamTurns,
    teams: IndexMap<Option<TeamId>, TeamLine>,
    /// Paces of the teams that wait, and of those that did a short time ago.
    paces: IndexMap<Option<TeamId>, TurnPace>,
    /// Length of `paces` at which old ones are dropped.
    paces_max: usize,
    count: u64,
    returned_count: u64,
}

impl PriorityLine {
    /// Creates an empty line.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting requests.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the number of waiting requests that came back at their return time.
    pub fn returned_count(&self) -> u64 {
        self.returned_count
    }

    /// Returns the number of teams that wait.
    pub fn team_count(&self) -> u64 {
        self.teams.len() as u64
    }

    /// Returns the place of a new request of a team, which must start until a time to meet its objective.
    pub fn place_of(
        &self,
        team: &Option<TeamId>,
        in_time_until: MonoTime,
        is_return: bool,
    ) -> LinePlace {
        if is_return {
            return LinePlace {
                ahead: self.returned_count,
                by_pace: Duration::ZERO,
            };
        }
        let line = self.teams.get(team);
        let own = line.map_or(0, |line| line.ahead_of(in_time_until));
        let others = self.teams.len() as u64 - u64::from(line.is_some());
        // Each other team gets a turn for each of this one.
        let lag = self.turns.lag_of(team);
        let by_turns = self.returned_count + own + others * (own + 1 + lag);
        let by_pace = self.paces.get(team).map(|pace| pace.time_after(own));
        LinePlace {
            ahead: by_turns.min(self.count + lag),
            by_pace: by_pace.unwrap_or_default(),
        }
    }

    /// Adds a request.
    pub fn push(&mut self, ticket: TicketNumber, waiting: &WaitingRequest) {
        let team = &waiting.request.team;
        if !self.teams.contains_key(team) {
            self.resume_pace(team, waiting.since);
        }
        let line = self.teams.entry(team.clone()).or_default();
        let class_line = match waiting.is_return {
            true => &mut line.returned,
            false => &mut line.new,
        };
        class_line.in_time.insert((waiting.in_time_until, ticket));
        self.count += 1;
        self.returned_count += u64::from(waiting.is_return);
        let (class, count) = (line.class(), line.count());
        self.turns.set_waiting(team, class, count);
    }

    fn resume_pace(&mut self, team: &Option<TeamId>, now: MonoTime) {
        let pace = self.paces.entry(team.clone());
        pace.or_insert_with(|| TurnPace::new(now)).resume(now);
        if self.paces.len() >= self.paces_max.max(PACES_MIN) {
            let teams = &self.teams;
            self.paces
                .retain(|team, pace| teams.contains_key(team) || pace.is_valid(now));
            self.paces_max = 2 * self.paces.len();
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: TicketNumber, waiting: &WaitingRequest) {
        let team = &waiting.request.team;
        let Some(line) = self.teams.get_mut(team) else {
            return;
        };
        let key = (waiting.in_time_until, ticket);
        let is_returned = line.returned.remove(&key);
        if !is_returned && !line.new.remove(&key) {
            return;
        }
        self.count -= 1;
        self.returned_count -= u64::from(is_returned);
        let (class, count) = (line.class(), line.count());
        if count == 0 {
            self.teams.swap_remove(team);
        }
        self.turns.set_waiting(team, class, count);
    }

    /// Records that a request of a team waited in vain.
    pub fn record_late(&mut self, team: &Option<TeamId>) {
        if let Some(pace) = self.paces.get_mut(team) {
            pace.record_late();
        }
    }

    /// Records a grant to a request of a team, which waited or not.
    pub fn record_grant(&mut self, team: &Option<TeamId>, now: MonoTime) {
        if self.teams.contains_key(team)
            && let Some(pace) = self.paces.get_mut(team)
        {
            pace.record(now);
        }
        self.turns.record_grant(team);
    }

    /// Returns the request that is served first.
    pub fn first(&mut self, now: MonoTime) -> Option<TicketNumber> {
        let team = self.turns.first()?;
        self.teams.get_mut(team)?.first(now)
    }

    /// Returns the request that is served last.
    pub fn last(&mut self, now: MonoTime) -> Option<TicketNumber> {
        let team = self.turns.last()?;
        self.teams.get_mut(team)?.last(now)
    }
}
