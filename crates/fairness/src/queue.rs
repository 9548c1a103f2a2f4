//! Waiting requests of one service.

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::{
    interval::SlotInterval,
    refusal::QueueRefusal,
    team_queue::{
        QueueEntry,
        TeamQueue, //
    },
    ticket::{
        QueueTeam,
        QueueTicket, //
    },
};

/// Limits on the number of waiting requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueBounds {
    /// Maximum number of waiting requests of one team.
    pub per_team: usize,
    /// Maximum number of waiting requests of all teams.
    pub total: usize,
}

impl Default for QueueBounds {
    /// A waiting request costs about 100 bytes here and a connection at the edge. With 6 targets of
    /// 2 slots and 20 ms a request, 256 requests wait less than half a second.
    fn default() -> Self {
        Self {
            per_team: 64,
            total: 256,
        }
    }
}

/// A request that was queued, and the one that was removed for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueAdmission {
    /// Identifier of the new entry.
    pub ticket: QueueTicket,
    /// Newest entry of the team with the most entries, which is refused as not run.
    pub displaced: Option<QueueTicket>,
}

/// Waiting requests of one service, scheduled max-min fair among teams.
///
/// The team that got its last slot the longest ago is next, so that each waiting team gets the same
/// number of slots, and slots that a team leaves unused are shared by the others.
#[derive(Debug, Default)]
pub struct FairQueue {
    bounds: QueueBounds,
    teams: IndexMap<QueueTeam, TeamQueue>,
    interval: SlotInterval,
    expired: Vec<QueueTicket>,
    length: usize,
    last_number: u64,
    last_slot: u64,
}

fn ticket_of(team: &QueueTeam, entry: QueueEntry) -> QueueTicket {
    QueueTicket {
        team: team.clone(),
        number: entry.number,
    }
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn length_of(&self, team: &QueueTeam) -> usize {
        self.teams
            .get(team)
            .map_or(0, |team_queue| team_queue.entries.len())
    }

    /// Counts the slots until a new entry of a team gets its own: one for each earlier entry of the
    /// team, and for each other team at most one for each entry of this team, the new one included.
    fn slots_before(&self, team: &QueueTeam) -> usize {
        let own = self.length_of(team);
        let others = self.teams.iter().filter(|(other, _)| *other != team);
        let ahead = others.map(|(_, team_queue)| team_queue.entries.len().min(own + 1));
        own + ahead.sum::<usize>()
    }

    /// Adds a request that waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns [`QueueRefusal`] if the team or the queue is full, or if the slot is expected after
    /// the deadline.
    pub fn enqueue(
        &mut self,
        team: QueueTeam,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Result<QueueAdmission, QueueRefusal> {
        let expected_wait = self.interval.expected_wait(self.slots_before(&team), now);
        if deadline <= now || now.after(expected_wait) > deadline {
            return Err(QueueRefusal::TooLate { expected_wait });
        }
        let length = self.length_of(&team);
        if length >= self.bounds.per_team {
            return Err(QueueRefusal::TeamFull { length });
        }
        let displaced = match self.length >= self.bounds.total {
            true => Some(self.displace_newest(length)?),
            false => None,
        };
        if self.length == 0 {
            self.interval.start_interval(now);
        }
        self.last_number += 1;
        let number = self.last_number;
        let team_queue = self.teams.entry(team.clone()).or_default();
        team_queue
            .entries
            .push_back(QueueEntry { number, deadline });
        self.length += 1;
        let ticket = QueueTicket { team, number };
        Ok(QueueAdmission { ticket, displaced })
    }

    /// Removes the newest entry of the team with the most entries, if that team would still have at
    /// least as many as the arriving one.
    fn displace_newest(&mut self, arriving: usize) -> Result<QueueTicket, QueueRefusal> {
        let refusal = QueueRefusal::QueueFull {
            length: self.length,
        };
        let longest = self
            .teams
            .iter_mut()
            .max_by_key(|(_, team_queue)| team_queue.entries.len())
            .filter(|(_, team_queue)| team_queue.entries.len() > arriving + 1);
        let (team, team_queue) = longest.ok_or(refusal)?;
        let entry = team_queue.entries.pop_back().ok_or(refusal)?;
        self.length -= 1;
        Ok(ticket_of(team, entry))
    }

    /// Returns the request that gets a free slot.
    pub fn next(&mut self, now: MonoTime) -> Option<QueueTicket> {
        self.collect_expired(now);
        let waiting = self
            .teams
            .iter_mut()
            .filter(|(_, team_queue)| !team_queue.entries.is_empty());
        let (team, team_queue) = waiting.min_by_key(|(_, team_queue)| team_queue.last_slot)?;
        let entry = team_queue.entries.pop_front()?;
        self.last_slot += 1;
        team_queue.last_slot = self.last_slot;
        let ticket = ticket_of(team, entry);
        self.length -= 1;
        self.interval.record_slot(now);
        self.drop_idle_teams();
        Some(ticket)
    }

    /// Drops teams without entries that would be next anyway.
    ///
    /// A team that has just got a slot is kept. Otherwise it could get ahead of the others by
    /// sending one request at a time.
    fn drop_idle_teams(&mut self) {
        let waiting = self
            .teams
            .values()
            .filter(|team_queue| !team_queue.entries.is_empty());
        let oldest = waiting
            .map(|team_queue| team_queue.last_slot)
            .min()
            .unwrap_or(u64::MAX);
        self.teams.retain(|_, team_queue| {
            !team_queue.entries.is_empty() || team_queue.last_slot >= oldest
        });
    }

    /// Removes a request whose caller has disconnected. Returns `true` if it was still waiting.
    pub fn cancel(&mut self, ticket: &QueueTicket) -> bool {
        let team_queue = self.teams.get_mut(&ticket.team);
        let is_removed = team_queue.is_some_and(|team_queue| team_queue.remove(ticket.number));
        self.length -= usize::from(is_removed);
        is_removed
    }

    fn collect_expired(&mut self, now: MonoTime) {
        for (team, team_queue) in &mut self.teams {
            for entry in team_queue.remove_expired(now) {
                self.length -= 1;
                self.expired.push(ticket_of(team, entry));
            }
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<QueueTicket> {
        self.collect_expired(now);
        self.drop_idle_teams();
        std::mem::take(&mut self.expired)
    }

    /// Returns the next time at which [`FairQueue::expire`] has a request to remove.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let entries = self
            .teams
            .values()
            .flat_map(|team_queue| &team_queue.entries);
        entries.map(|entry| entry.deadline).min()
    }
}
