//! Zones with a dispatcher each, and one host that sends requests to them.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;

use crate::common::*;

/// Time for which a request holds its slot.
const SERVICE_TIME: Duration = Duration::from_millis(250);

/// Longest wait of a request for a slot.
pub(crate) const WAIT: Duration = Duration::from_millis(480);

/// How the host looks for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HostSearch {
    /// Asks each zone at once, and then waits in the first busy one, as before loads were known.
    InTurn,
    /// Uses the loads.
    ByLoad,
}

struct Zone {
    id: ZoneId,
    dispatcher: ZoneDispatcher,
    directory: TargetDirectory,
    held: Vec<(MonoTime, DispatchGrant)>,
    waiting: Vec<(TicketNumber, MonoTime)>,
}

/// What became of the requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetTally {
    pub(crate) calls: u32,
    pub(crate) refused: u32,
    pub(crate) refused_at_door: u32,
    /// Zone and wait of each request that got a slot, and the time at which it did.
    pub(crate) served: Vec<(ZoneId, Duration, MonoTime)>,
}

/// Zones with a dispatcher each, and one host in the first of them.
pub(crate) struct ZoneFleet {
    search: HostSearch,
    zones: Vec<Zone>,
    pub(crate) loads: ZoneLoads,
    pub(crate) tally: FleetTally,
}

impl ZoneFleet {
    /// Creates a zone for each number of targets, which have two slots each.
    pub(crate) fn new(search: HostSearch, targets: &[usize]) -> Self {
        let zone_of = |(index, count): (usize, &usize)| {
            let id = ZoneId::new(["a", "b", "c"][index]).unwrap();
            let entry_of = |number| TargetEntry {
                zone: id.clone(),
                ..entry(number)
            };
            Zone {
                directory: directory((0..*count).map(entry_of).collect()),
                dispatcher: ZoneDispatcher::new(0),
                held: Vec::new(),
                waiting: Vec::new(),
                id,
            }
        };
        Self {
            search,
            zones: targets.iter().enumerate().map(zone_of).collect(),
            loads: ZoneLoads::new(),
            tally: FleetTally::default(),
        }
    }

    pub(crate) fn zone_ids(&self) -> Vec<ZoneId> {
        self.zones.iter().map(|zone| zone.id.clone()).collect()
    }

    /// Holds all slots of a zone until a time.
    pub(crate) fn fill(&mut self, zone: usize, until: MonoTime, now: MonoTime) {
        let zone = &mut self.zones[zone];
        let request = AdmitRequest {
            zone: Some(zone.id.clone()),
            left_millis: 60_000,
            ..request("held")
        };
        while let PoolAnswer::Granted(grant) =
            admit(&zone.dispatcher, &zone.directory, &request, now)
        {
            zone.held.push((until, grant));
        }
    }

    /// Releases the slots whose requests are done, and serves the queues.
    pub(crate) fn advance(&mut self, now: MonoTime) {
        for zone in &mut self.zones {
            let (done, held) = zone.held.drain(..).partition(|(until, _)| *until <= now);
            zone.held = held;
            let done: Vec<(MonoTime, DispatchGrant)> = done;
            let mut changes: Vec<QueueChange> = Vec::new();
            for (_, grant) in done {
                let notice = ReleaseNotice {
                    zone: Some(zone.id.clone()),
                    ..notice(&grant, AttemptResult::Good)
                };
                changes.push(zone.dispatcher.release(&notice, now).1);
            }
            changes.push(zone.dispatcher.serve_queues(&zone.directory, now));
            for change in changes {
                for (ticket, grant) in change.granted {
                    let waiting = zone.waiting.iter().find(|(known, _)| *known == ticket);
                    let waited = now.since(waiting.unwrap().1);
                    zone.held.push((now.after(SERVICE_TIME), grant));
                    self.tally.served.push((zone.id.clone(), waited, now));
                    let load = zone.dispatcher.load(&service(), Some(&zone.id), now);
                    self.loads.record(&service(), &zone.id, load.unwrap(), now);
                }
                self.tally.refused += change.expired.len() as u32;
            }
        }
    }

    /// Asks the dispatcher of a zone, and returns the wait that it states if it refuses.
    fn call(
        &mut self,
        index: usize,
        request: &AdmitRequest,
        now: MonoTime,
    ) -> Result<(), Duration> {
        self.tally.calls += 1;
        let zone = &mut self.zones[index];
        let request = AdmitRequest {
            zone: Some(zone.id.clone()),
            ..request.clone()
        };
        let answer = admit(&zone.dispatcher, &zone.directory, &request, now);
        let load = zone
            .dispatcher
            .load(&request.service, request.zone.as_ref(), now);
        // The answer to a request that waits comes after its wait.
        match &answer {
            PoolAnswer::Waiting(_) => self.loads.record_waiting(&request.service, &zone.id),
            _ => self
                .loads
                .record(&request.service, &zone.id, load.unwrap(), now),
        }
        match answer {
            PoolAnswer::Granted(grant) => {
                zone.held.push((now.after(SERVICE_TIME), grant));
                let served = (zone.id.clone(), Duration::ZERO, now);
                self.tally.served.push(served);
                Ok(())
            }
            PoolAnswer::Waiting(ticket) => {
                zone.waiting.push((ticket, now));
                Ok(())
            }
            PoolAnswer::Busy { expected_wait, .. } => Err(expected_wait),
            other => panic!("{other:?}"),
        }
    }

    /// Sends a request of a team, and returns `true` unless it is refused.
    pub(crate) fn send(&mut self, team: &str, now: MonoTime) -> bool {
        let request = AdmitRequest {
            team: Some(TeamId::new(team).unwrap()),
            ..request("sent")
        };
        let is_taken = match self.search {
            HostSearch::InTurn => self.send_in_turn(&request, now),
            HostSearch::ByLoad => self.send_by_load(&request, now),
        };
        self.tally.refused += u32::from(!is_taken);
        is_taken
    }

    fn send_in_turn(&mut self, request: &AdmitRequest, now: MonoTime) -> bool {
        let mut zones = 0..self.zones.len();
        let waiting = AdmitRequest {
            wait_millis: whole_millis(WAIT),
            ..request.clone()
        };
        zones.any(|zone| self.call(zone, request, now).is_ok())
            || self.call(0, &waiting, now).is_ok()
    }

    fn send_by_load(&mut self, request: &AdmitRequest, now: MonoTime) -> bool {
        let service = service();
        let door = DoorRequest {
            service: &service,
            team: request.team.as_ref(),
            priority: request.priority,
            wait: WAIT,
            body_time: Duration::ZERO,
        };
        let ids = self.zone_ids();
        if let DoorAnswer::Refused(_) = self.loads.decide(&door, &ids, now) {
            self.tally.refused_at_door += 1;
            return false;
        }
        let terms = OrderTerms {
            home: &ids[0],
            priority: request.priority,
            length: BodyLength::new(0),
        };
        let views = terms.order(self.loads.views(&service, &ids, now));
        let index_of = |zone: &ZoneId| ids.iter().position(|id| id == zone).unwrap();
        let mut choice = WaitChoice::new(terms, views.clone());
        for view in &views {
            if view.is_full() {
                choice.add_viewed(&view.zone);
                continue;
            }
            match self.call(index_of(&view.zone), request, now) {
                Ok(()) => return true,
                Err(stated) => choice.add_stated(&view.zone, stated),
            }
        }
        let waiting = AdmitRequest {
            wait_millis: whole_millis(WAIT),
            ..request.clone()
        };
        let mut stated_waits = Vec::new();
        while let Some(zone) = choice.next_zone(WAIT) {
            match self.call(index_of(&zone), &waiting, now) {
                Ok(()) => return true,
                Err(stated) => stated_waits.push(stated),
            }
        }
        let stated_wait = stated_waits.into_iter().min().unwrap_or_default();
        self.loads.record_refusal(&door, stated_wait, now);
        false
    }
}
