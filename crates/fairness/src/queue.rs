//! Waiting requests of one service.

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::{
    lane::{
        QueueEntry,
        TeamLane, //
    },
    pace::ServicePace,
    refusal::QueueRefusal,
    ticket::{
        QueueTeam,
        QueueTicket, //
    },
};

/// Largest numbers of waiting requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueBounds {
    /// Waiting requests of one team.
    pub per_team: usize,
    /// Waiting requests of all teams.
    pub total: usize,
}

impl Default for QueueBounds {
    /// A waiting request costs about 100 bytes here and a connection at the edge; at 6 targets of 2
    /// slots and 20 ms a request, 256 requests wait less than half a second.
    fn default() -> Self {
        Self {
            per_team: 64,
            total: 256,
        }
    }
}

/// A request that waits, and the one that had to leave for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueAdmission {
    /// Name of the new entry.
    pub ticket: QueueTicket,
    /// Newest entry of the longest team, which is refused as not run.
    pub displaced: Option<QueueTicket>,
}

/// Waiting requests of one service, served max-min fair among teams.
///
/// The team with the least recent service goes first, so that each waiting team gets the same
/// number of slots and what a team leaves is shared by the others.
#[derive(Debug, Default)]
pub struct FairQueue {
    bounds: QueueBounds,
    lanes: IndexMap<QueueTeam, TeamLane>,
    pace: ServicePace,
    expired: Vec<QueueTicket>,
    length: usize,
    last_number: u64,
    last_service: u64,
}

fn ticket_of(team: &QueueTeam, entry: QueueEntry) -> QueueTicket {
    QueueTicket {
        team: team.clone(),
        number: entry.number,
    }
}

impl FairQueue {
    /// Makes an empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Counts the waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn length_of(&self, team: &QueueTeam) -> usize {
        self.lanes.get(team).map_or(0, |lane| lane.entries.len())
    }

    /// Counts the services until a new entry of a team gets its slot: its own entries, and of each
    /// other team no more than one for each of them.
    fn services_before(&self, team: &QueueTeam) -> usize {
        let own = self.length_of(team);
        let others = self.lanes.iter().filter(|(other, _)| *other != team);
        let ahead = others.map(|(_, lane)| lane.entries.len().min(own + 1));
        own + ahead.sum::<usize>()
    }

    /// Adds a request that waits for a slot.
    ///
    /// # Errors
    ///
    /// Fails when the team or the queue is full, or when the slot would come after the deadline.
    pub fn enqueue(
        &mut self,
        team: QueueTeam,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Result<QueueAdmission, QueueRefusal> {
        let expected_wait = self.pace.wait_for(self.services_before(&team), now);
        if deadline <= now || now.after(expected_wait) > deadline {
            return Err(QueueRefusal::TooLate { expected_wait });
        }
        let length = self.length_of(&team);
        if length >= self.bounds.per_team {
            return Err(QueueRefusal::TeamFull { length });
        }
        let displaced = match self.length >= self.bounds.total {
            true => Some(self.displace_for(length)?),
            false => None,
        };
        if self.length == 0 {
            self.pace.record_start(now);
        }
        self.last_number += 1;
        let number = self.last_number;
        let lane = self.lanes.entry(team.clone()).or_default();
        lane.entries.push_back(QueueEntry { number, deadline });
        self.length += 1;
        let ticket = QueueTicket { team, number };
        Ok(QueueAdmission { ticket, displaced })
    }

    /// Removes the newest entry of the longest team, if it has more than the arriving team will.
    fn displace_for(&mut self, arriving: usize) -> Result<QueueTicket, QueueRefusal> {
        let refusal = QueueRefusal::QueueFull {
            length: self.length,
        };
        let longest = self
            .lanes
            .iter_mut()
            .max_by_key(|(_, lane)| lane.entries.len())
            .filter(|(_, lane)| lane.entries.len() > arriving + 1);
        let (team, lane) = longest.ok_or(refusal)?;
        let entry = lane.entries.pop_back().ok_or(refusal)?;
        self.length -= 1;
        Ok(ticket_of(team, entry))
    }

    /// Returns the request that gets a slot which came free.
    pub fn next(&mut self, now: MonoTime) -> Option<QueueTicket> {
        self.collect_expired(now);
        let waiting = self
            .lanes
            .iter_mut()
            .filter(|(_, lane)| !lane.entries.is_empty());
        let (team, lane) = waiting.min_by_key(|(_, lane)| lane.served)?;
        let entry = lane.entries.pop_front()?;
        self.last_service += 1;
        lane.served = self.last_service;
        let ticket = ticket_of(team, entry);
        self.length -= 1;
        self.pace.record_service(now);
        self.forget_idle_lanes();
        Some(ticket)
    }

    /// Forgets teams without entries that would go first anyway.
    ///
    /// A team that has just been served is kept, or it could jump the queue by sending one request
    /// at a time.
    fn forget_idle_lanes(&mut self) {
        let waiting = self.lanes.values().filter(|lane| !lane.entries.is_empty());
        let oldest = waiting.map(|lane| lane.served).min().unwrap_or(u64::MAX);
        self.lanes
            .retain(|_, lane| !lane.entries.is_empty() || lane.served >= oldest);
    }

    /// Removes a request whose caller went away, and tells whether it still waited.
    pub fn cancel(&mut self, ticket: &QueueTicket) -> bool {
        let lane = self.lanes.get_mut(&ticket.team);
        let is_removed = lane.is_some_and(|lane| lane.remove(ticket.number));
        self.length -= usize::from(is_removed);
        is_removed
    }

    fn collect_expired(&mut self, now: MonoTime) {
        for (team, lane) in &mut self.lanes {
            for entry in lane.take_expired(now) {
                self.length -= 1;
                self.expired.push(ticket_of(team, entry));
            }
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<QueueTicket> {
        self.collect_expired(now);
        self.forget_idle_lanes();
        std::mem::take(&mut self.expired)
    }

    /// Returns the next time at which [`FairQueue::expire`] has something to do.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let entries = self.lanes.values().flat_map(|lane| &lane.entries);
        entries.map(|entry| entry.deadline).min()
    }
}
