//! The model: hosts, their processes, polls, cuts, kills, planned stops and callers.

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use indexmap::IndexMap;

use crate::model_team::{
    ModelTeam,
    STEP, //
};

/// Time until hosts know that one was cut off: the timeout of a call.
const CUT_KNOWN_AFTER: u64 = 700;

/// Time from the start of a process until others know it.
const START_KNOWN_AFTER: u64 = 400;

/// Time from the end of a process until the load balancer and its restart have a new one in place.
const RESTART_AFTER: u64 = 3000;

const ZONES: usize = 3;

/// Hosts next in rank that copy bucket levels, the dispatcher included.
const LEVEL_HOLDERS: usize = 3;

fn zone_id(zone: usize) -> ZoneId {
    ZoneId::new(&format!("zone-{zone}")).unwrap()
}

/// One process of a host.
pub(crate) struct ModelProcess {
    pub(crate) borrower: LeaseBorrower,
    pub(crate) zone: usize,
    started_at: u64,
    /// When the process ended or began its planned stop.
    gone_at: Option<u64>,
    /// Time until which others take a lost host for alive.
    known_until: u64,
    next_poll: u64,
    next_exchange: u64,
    roster: FleetRoster,
    book: LeaseBook,
    holder: LeaseHolder,
    copy: Option<StandbyCopy>,
    teams: TeamBuckets,
    /// Share in this step.
    share: CapacityRatio,
    /// Size of the fleet as the process counts it as dispatcher.
    size: u32,
}

impl ModelProcess {
    fn new(slot: usize, incarnation: u64, now: u64) -> Self {
        let mut roster = FleetRoster::new();
        roster.on_zone(&zone_id(slot % ZONES));
        Self {
            borrower: LeaseBorrower {
                host: HostId::new(&format!("host-{slot}")).unwrap(),
                incarnation: HostIncarnation::new(incarnation),
            },
            zone: slot % ZONES,
            started_at: now,
            gone_at: None,
            known_until: 0,
            next_poll: now + START_KNOWN_AFTER,
            next_exchange: now,
            roster,
            book: LeaseBook::new(),
            holder: LeaseHolder::new(),
            copy: None,
            teams: TeamBuckets::new(),
            share: CapacityRatio::default(),
            size: 0,
        }
    }

    /// Returns the time on the clock of the process.
    fn at(&self, now: u64) -> MonoTime {
        MonoTime::from_millis(now - self.started_at)
    }

    fn is_up(&self) -> bool {
        self.gone_at.is_none()
    }
}

/// Whether a host is on the smaller side of a cut.
type CutSide = fn(usize) -> bool;

/// A fleet with its callers.
pub(crate) struct FleetModel {
    pub(crate) now: u64,
    processes: Vec<ModelProcess>,
    config: GatewayConfig,
    pub(crate) teams: Vec<ModelTeam>,
    /// Side of each host while the fleet is cut, and since when.
    cut: Option<(CutSide, u64)>,
    healed_at: u64,
    next_gossip: u64,
    incarnations: u64,
    restarts: Vec<(u64, usize)>,
    callers_turn: usize,
}

impl FleetModel {
    /// Creates a fleet of which all hosts start at once.
    pub(crate) fn new(host_count: usize, teams: Vec<ModelTeam>) -> Self {
        let terms = teams.iter().map(|team| {
            let terms = TeamTerms {
                keys: Vec::new(),
                priority: None,
                rate: Some(team.limit.rate),
                burst: team.limit.burst,
            };
            (team.id.clone(), terms)
        });
        let limits = CallerLimits {
            head_bytes_max: 16_384,
            body_bytes_max: 1 << 26,
            head_timeout: std::time::Duration::from_secs(3),
            idle_timeout: std::time::Duration::from_secs(15),
        };
        let config = GatewayConfig::new(
            ConfigVersion::new(1),
            Vec::new(),
            IndexMap::new(),
            terms.collect(),
            limits,
        );
        let count = u64::try_from(host_count).unwrap();
        Self {
            now: 0,
            processes: (0..host_count)
                .map(|slot| ModelProcess::new(slot, u64::try_from(slot).unwrap(), 0))
                .collect(),
            config: config.unwrap(),
            teams,
            cut: None,
            healed_at: 0,
            next_gossip: 0,
            incarnations: count,
            restarts: Vec::new(),
            callers_turn: 0,
        }
    }

    /// Parts the hosts for which the closure returns `true` from the others.
    pub(crate) fn cut(&mut self, side: CutSide) {
        self.cut = Some((side, self.now));
    }

    pub(crate) fn heal(&mut self) {
        self.cut = None;
        self.healed_at = self.now;
    }

    fn side(&self, slot: usize) -> bool {
        self.cut.is_some_and(|(side, _)| side(slot))
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.side(from) == self.side(to) && self.processes[to].is_up()
    }

    /// Returns the hosts of a zone that those of a side take for alive, the oldest first.
    pub(crate) fn ranked(&self, side: bool, zone: usize) -> Vec<usize> {
        let is_cut_known = self
            .cut
            .is_some_and(|(_, at)| self.now - at >= CUT_KNOWN_AFTER);
        let alive = |slot: &usize| {
            let process = &self.processes[*slot];
            let is_known = self.now - process.started_at >= START_KNOWN_AFTER;
            let is_parted = is_cut_known && self.side(*slot) != side;
            let is_up = process.is_up() || self.now < process.known_until;
            process.zone == zone && is_up && is_known && !is_parted
        };
        let mut ranked: Vec<usize> = (0..self.processes.len()).filter(alive).collect();
        ranked.sort_by_key(|slot| self.processes[*slot].borrower.incarnation);
        ranked
    }

    /// Ends a host without a sign: calls to it time out.
    pub(crate) fn lose(&mut self, slot: usize) {
        self.processes[slot].gone_at = Some(self.now);
        self.processes[slot].known_until = self.now + CUT_KNOWN_AFTER;
        self.restarts.push((self.now + 10 * RESTART_AFTER, slot));
    }

    /// Ends the process of a host: killed, or by a planned stop. Its followers see the end of their polls.
    pub(crate) fn end(&mut self, slot: usize) {
        let ended = self.processes[slot].borrower.clone();
        self.processes[slot].gone_at = Some(self.now);
        self.restarts.push((self.now + RESTART_AFTER, slot));
        for other in 0..self.processes.len() {
            if self.side(other) != self.side(slot) {
                continue;
            }
            let process = &mut self.processes[other];
            if process.zone == slot % ZONES {
                // The pause after a failed call, and the spread of the polls of a stopping dispatcher.
                let pause = 200 + u64::try_from(other * 37 % 300).unwrap();
                process.next_poll = process.next_poll.min(self.now + pause);
                process.holder.on_returned(&ended);
                if let Some(copy) = process.copy.as_mut().filter(|copy| copy.source == ended) {
                    copy.is_ended = true;
                }
            }
        }
    }

    /// Runs the fleet up to a time.
    pub(crate) fn run_to(&mut self, until: u64) {
        while self.now < until {
            self.step();
            self.now += STEP;
        }
    }

    fn step(&mut self) {
        while let Some(at) = self.restarts.iter().position(|(at, _)| *at <= self.now) {
            let (_, slot) = self.restarts.swap_remove(at);
            self.incarnations += 1;
            self.processes[slot] = ModelProcess::new(slot, self.incarnations, self.now);
        }
        let ranks = [false, true].map(|side| [0, 1, 2].map(|zone| self.ranked(side, zone)));
        if self.now >= self.next_gossip {
            self.next_gossip += 1000;
            self.gossip(&ranks);
        }
        for slot in 0..self.processes.len() {
            let side = usize::from(self.side(slot));
            let zone = self.processes[slot].zone;
            let ranked = &ranks[side][zone];
            let is_first = ranked.first() == Some(&slot);
            if self.processes[slot].is_up() && is_first {
                self.update_share(slot);
                self.exchange(slot, &ranks[side]);
            } else if self.processes[slot].is_up() {
                self.follow(slot, ranked);
            }
        }
        for team in 0..self.teams.len() {
            self.send(team, &ranks);
        }
    }

    /// Delivers news of all hosts, in a large fleet only to those that may become dispatchers soon.
    fn gossip(&mut self, ranks: &[[Vec<usize>; ZONES]; 2]) {
        let beat = self.now;
        for slot in 0..self.processes.len() {
            let side = usize::from(self.side(slot));
            let ranked = &ranks[side][self.processes[slot].zone];
            let is_large = self.processes.len() > 60;
            if is_large && !ranked.iter().take(6).any(|known| *known == slot) {
                continue;
            }
            let mut roster = std::mem::take(&mut self.processes[slot].roster);
            for other in 0..self.processes.len() {
                let process = &self.processes[other];
                if other != slot && self.reaches(slot, other) {
                    let at = self.processes[slot].at(self.now);
                    let borrower = &process.borrower;
                    roster.on_beat(&borrower.host, borrower.incarnation, beat, at);
                    roster.on_zone(&zone_id(process.zone));
                }
            }
            self.processes[slot].roster = roster;
        }
    }

    fn update_share(&mut self, slot: usize) {
        let now = self.now;
        let process = &mut self.processes[slot];
        let at = process.at(now);
        let count = process.roster.count(at);
        let uptime = std::time::Duration::from_millis(now - process.started_at);
        let is_assumed = count.is_partial(uptime, ZONES);
        let units = process.book.units(at) + u32::from(!process.holder.is_lent(at));
        let floor = match is_assumed {
            true => size_assumed(units, ZONES),
            false => 1,
        };
        let count = count.with_floor(floor);
        process.size = if is_assumed { 0 } else { count.known };
        let own = share_of_units(units, count);
        let inherited = process.copy.as_ref().map(|copy| copy.inherited(at));
        process.share = own.max(inherited.unwrap_or_default());
        process.teams.record_share(process.share, true, at);
    }

    /// Polls the dispatcher of the zone: lends the unit, and copies the bucket levels as a standby.
    fn follow(&mut self, slot: usize, ranked: &[usize]) {
        let now = self.now;
        let Some(first) = ranked
            .first()
            .copied()
            .filter(|_| now >= self.processes[slot].next_poll)
        else {
            return;
        };
        if !self.reaches(slot, first) {
            self.processes[slot].next_poll = now + 200;
            return;
        }
        let to = self.processes[first].borrower.clone();
        let is_holder = ranked.iter().take(LEVEL_HOLDERS).any(|rank| *rank == slot);
        let (to_at, levels) = {
            let process = &self.processes[first];
            let at = process.at(now);
            (
                at,
                is_holder.then(|| process.teams.levels(&self.config, at)),
            )
        };
        let size = self.processes[first].size;
        let process = &mut self.processes[slot];
        process.roster.on_size(size, process.at(now));
        process.next_poll = now + if is_holder { 250 } else { 500 };
        let at = process.at(now);
        let is_lent = process.holder.try_lend(&to, at).is_ok();
        if let Some(levels) = levels {
            process.teams.copy_levels(&levels, at);
            process.copy = Some(StandbyCopy {
                source: to,
                share: levels.share,
                at,
                is_ended: false,
            });
        }
        if is_lent {
            let own = self.processes[slot].borrower.clone();
            let dispatcher = &mut self.processes[first];
            dispatcher.book.on_lease(&own.host, LEASE_TERM, to_at);
            let roster = &mut dispatcher.roster;
            roster.on_beat(&own.host, own.incarnation, now, to_at);
        }
    }

    /// Asks the dispatchers of the other zones for tokens.
    fn exchange(&mut self, slot: usize, ranks: &[Vec<usize>; ZONES]) {
        if self.now < self.processes[slot].next_exchange {
            return;
        }
        self.processes[slot].next_exchange = self.now + 260;
        for (zone, ranked) in ranks.iter().enumerate() {
            let first = ranked
                .first()
                .copied()
                .filter(|_| zone != self.processes[slot].zone);
            let Some(other) = first.filter(|other| self.reaches(slot, *other)) else {
                continue;
            };
            let at = self.processes[slot].at(self.now);
            let wanted = self.processes[slot].teams.shortages(at);
            let giver = &self.processes[other];
            let given = giver.teams.give(&wanted, &self.config, giver.at(self.now));
            self.processes[slot].teams.receive(&given);
        }
    }

    /// Sends the requests of a team that are due in this step.
    fn send(&mut self, team: usize, ranks: &[[Vec<usize>; ZONES]; 2]) {
        if self.now >= self.teams[team].starts_at {
            self.teams[team].backlog += self.teams[team].demand * STEP;
        }
        let mut granted = 0;
        while self.teams[team].backlog >= 1_000_000 {
            let sender = &mut self.teams[team];
            sender.backlog -= 1_000_000;
            sender.turn += 1;
            let zone = sender.zones[sender.turn % sender.zones.len()];
            let Some(host) = self.next_host(zone) else {
                continue;
            };
            let is_granted = self.admit(team, host, &ranks[usize::from(self.side(host))]);
            let sender = &mut self.teams[team];
            sender.sent += 1;
            sender.refused += u64::from(!is_granted);
            granted += u64::from(is_granted);
        }
        self.teams[team].granted.push(granted);
    }

    /// Returns the next host of a zone in turn that callers can use.
    fn next_host(&mut self, zone: usize) -> Option<usize> {
        for _ in 0..self.processes.len() {
            self.callers_turn = (self.callers_turn + 1) % self.processes.len();
            let process = &self.processes[self.callers_turn];
            let is_ready = self.now == process.started_at || self.now - process.started_at >= 600;
            if process.zone == zone && process.is_up() && (is_ready || self.now < 600) {
                return Some(self.callers_turn);
            }
        }
        None
    }

    /// Asks the dispatchers of all zones, that of the host first.
    fn admit(&mut self, team: usize, host: usize, ranks: &[Vec<usize>; ZONES]) -> bool {
        let own = self.processes[host].zone;
        let (id, limit) = (&self.teams[team].id, self.teams[team].limit);
        let zones = (0..ZONES).map(|step| (own + step) % ZONES);
        let mut asked = zones.filter_map(|zone| {
            let mut ranked = ranks[zone].iter().take(2);
            ranked.find(|dispatcher| self.reaches(host, **dispatcher))
        });
        asked.any(|dispatcher| {
            let process = &self.processes[*dispatcher];
            let at = process.at(self.now);
            process.teams.try_take(id, limit, process.share, at).is_ok()
        })
    }
}
