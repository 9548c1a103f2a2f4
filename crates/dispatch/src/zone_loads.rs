//! The load of each pool as one host knows it from the answers of dispatchers.
//!
//! Load pattern: for some seconds more requests arrive than the slots of a service can serve. Without a view of its own,
//! a host asks the dispatcher of every zone again for each request.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::{
    pool_load::PoolLoad,
    zone_door::{
        DoorAnswer,
        DoorRequest,
        ServiceDoor, //
    },
};

/// Age up to which a load decides about refusals.
pub const REFUSAL_PERIOD: Duration = Duration::from_millis(250);

/// Age up to which a load decides about the order of zones.
pub const ORDER_PERIOD: Duration = Duration::from_secs(2);

/// Time for which a zone goes last after none of its hosts answered. Its hosts are suspected for as long.
const SILENT_FOR: Duration = Duration::from_secs(3);

/// Assumed way to another zone and back before the first answer.
const WAY_ASSUMED: Duration = Duration::from_millis(10);

/// Weight of the latest measurement of a way, as a divisor.
const WAY_WEIGHT: u32 = 8;

/// Shortest time between two reports of the order of zones of a service.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Longest time between two loads without a free slot after which the zone still counts as full all the time.
const GAP_MAX: Duration = Duration::from_millis(500);

/// A load and the time at which it arrived.
#[derive(Clone, Debug)]
struct SeenLoad {
    load: PoolLoad,
    at: MonoTime,
    /// Arrival of the first of the loads in a row that had no free slot.
    full_since: MonoTime,
    /// Requests of this host that went to wait in the zone since, whose answers come after their wait.
    waiting_since: u32,
}

impl SeenLoad {
    /// Returns `true` if the zone was full for a whole period, so that freed places are taken at once by others and its
    /// expected wait does not get shorter.
    fn is_steady(&self) -> bool {
        self.at.since(self.full_since) >= REFUSAL_PERIOD
    }
}

/// What a host knows about the pools of a service.
#[derive(Clone, Debug, Default)]
struct ServiceLoads {
    zones: IndexMap<ZoneId, SeenLoad>,
    door: ServiceDoor,
    reported_at: Option<MonoTime>,
}

/// What a host knows about the way to a zone.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneWay {
    /// Moving average of the time there and back.
    mean: Option<Duration>,
    /// Time of the last request to which no host of the zone answered, if none did since.
    silent_at: Option<MonoTime>,
}

/// What a host knows about one zone when it decides about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneView {
    /// The zone.
    pub zone: ZoneId,
    /// Latest load; `None` if it is not known or older than [`ORDER_PERIOD`].
    pub load: Option<PoolLoad>,
    /// Age of the load.
    pub age: Duration,
    /// Whether the zone was full for a whole period before the load.
    pub is_steady: bool,
    /// Requests of this host that wait in the zone and are not part of the load.
    pub own_waiting: u32,
    /// Time to the dispatcher of the zone and back.
    pub way: Duration,
    /// Whether the hosts of the zone did not answer a short time ago.
    pub is_silent: bool,
}

impl ZoneView {
    /// Returns the load if it is young enough to decide about refusals.
    pub fn fresh_load(&self) -> Option<&PoolLoad> {
        let load = self.load.as_ref();
        load.filter(|_| self.age < REFUSAL_PERIOD)
    }

    /// Returns the expected wait of a request of a priority, behind those of this host that wait since; zero if the load
    /// is not known, so that the zone is asked. The age of the load counts as time waited, unless the zone has been full
    /// for long and its queue cannot be empty by now.
    pub fn expected_wait(&self, priority: u8) -> Duration {
        let load = self.load.as_ref();
        let wait_of = |load: &PoolLoad| {
            let interval = Duration::from_millis(load.next_slot_millis.into());
            load.expected_wait(priority) + interval.saturating_mul(self.own_waiting)
        };
        let load = load.filter(|load| !load.has_free_slot());
        let wait = load.map(wait_of).unwrap_or_default();
        match self.is_steady && self.age < wait {
            true => wait,
            false => wait.saturating_sub(self.age),
        }
    }

    /// Returns `true` if the zone had no free slot within [`REFUSAL_PERIOD`].
    pub fn is_full(&self) -> bool {
        let load = self.fresh_load();
        load.is_some_and(|load| !load.has_free_slot())
    }
}

/// The latest loads of all pools, and the ways to their zones.
#[derive(Debug, Default)]
pub struct ZoneLoads {
    services: ShardMap<ServiceId, ServiceLoads>,
    ways: ShardMap<ZoneId, ZoneWay>,
}

impl ZoneLoads {
    /// Creates a view without loads.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the load that a dispatcher returned.
    pub fn record(&self, service: &ServiceId, zone: &ZoneId, load: PoolLoad, now: MonoTime) {
        self.services
            .with_or_insert(service, ServiceLoads::default, |loads| {
                if load.has_free_slot() {
                    loads.door.record_free_slot();
                }
                let known = loads.zones.get(zone);
                let known = known.filter(|known| {
                    let was_full = !known.load.has_free_slot() && !load.has_free_slot();
                    was_full && now.since(known.at) < GAP_MAX
                });
                let seen = SeenLoad {
                    full_since: known.map_or(now, |known| known.full_since),
                    at: now,
                    load,
                    waiting_since: 0,
                };
                loads.zones.insert(zone.clone(), seen);
            });
    }

    /// Records that a request of this host goes to wait in a zone.
    pub fn record_waiting(&self, service: &ServiceId, zone: &ZoneId) {
        self.services.with(service, |loads| {
            if let Some(seen) = loads.zones.get_mut(zone) {
                seen.waiting_since += 1;
            }
        });
    }

    /// Records the time that a zone took for an answer without a wait for a slot.
    pub fn record_way(&self, zone: &ZoneId, time: Duration) {
        self.ways.with_or_insert(zone, ZoneWay::default, |way| {
            let mean = way
                .mean
                .map(|mean| (mean * (WAY_WEIGHT - 1) + time) / WAY_WEIGHT);
            way.mean = Some(mean.unwrap_or(time));
            way.silent_at = None;
        });
    }

    /// Records that no host of a zone answered.
    pub fn record_silence(&self, zone: &ZoneId, now: MonoTime) {
        self.ways.with_or_insert(zone, ZoneWay::default, |way| {
            way.silent_at = Some(now);
        });
    }

    /// Returns what is known about zones with targets of a service, in their order.
    pub fn views(&self, service: &ServiceId, zones: &[ZoneId], now: MonoTime) -> Vec<ZoneView> {
        let seen = self.services.with(service, |loads| loads.zones.clone());
        let mut seen = seen.unwrap_or_default();
        let view_of = |zone: &ZoneId| {
            let seen = seen.swap_remove(zone);
            let seen = seen.filter(|seen| now.since(seen.at) < ORDER_PERIOD);
            let way = self.ways.with(zone, |way| *way).unwrap_or_default();
            ZoneView {
                zone: zone.clone(),
                age: seen
                    .as_ref()
                    .map_or(Duration::ZERO, |seen| now.since(seen.at)),
                is_steady: seen.as_ref().is_some_and(SeenLoad::is_steady),
                own_waiting: seen.as_ref().map_or(0, |seen| seen.waiting_since),
                load: seen.map(|seen| seen.load),
                way: way.mean.unwrap_or(WAY_ASSUMED),
                is_silent: way.silent_at.is_some_and(|at| now.since(at) < SILENT_FOR),
            }
        };
        zones.iter().map(view_of).collect()
    }

    /// Records that all zones refused a request for want of a slot, with the shortest wait that they stated. Only a request
    /// of the same team and priority may be refused at the door after it.
    pub fn record_refusal(&self, request: &DoorRequest<'_>, stated_wait: Duration, now: MonoTime) {
        self.services
            .with_or_insert(request.service, ServiceLoads::default, |loads| {
                loads.door.record_refusal(request, stated_wait, now);
            });
    }

    /// Decides whether a request is refused without asking a dispatcher.
    pub fn decide(&self, request: &DoorRequest<'_>, zones: &[ZoneId], now: MonoTime) -> DoorAnswer {
        let views = self.views(request.service, zones, now);
        let decide = |loads: &mut ServiceLoads| loads.door.decide(request, &views, now);
        let answer = self.services.with(request.service, decide);
        answer.unwrap_or(DoorAnswer::Open)
    }

    /// Returns `true` at most once a second for a service, to bound the log.
    pub fn is_report_due(&self, service: &ServiceId, now: MonoTime) -> bool {
        let is_due = self.services.with(service, |loads| {
            let is_due = loads
                .reported_at
                .is_none_or(|at| now.since(at) >= REPORT_PERIOD);
            if is_due {
                loads.reported_at = Some(now);
            }
            is_due
        });
        is_due.unwrap_or(false)
    }
}
