//! Discrete-event simulation of a fleet of ledgers and brokers with message delays and losses.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_limits::{
    allowance::SMALL_FLEET,
    prelude::*, //
};
use eyre::Result;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::rates_counts::{
    RateCounts,
    TeamCounts, //
};

pub(crate) const HOSTS: usize = 48;
pub(crate) const ZONES: usize = 3;
pub(crate) const TEAM_RATES: [u32; 8] = [10, 20, 50, 100, 100, 200, 400, 100];
pub(crate) const RUN_SECONDS: u64 = 30;
/// Time after which requests are counted: all hosts start without tokens, but the ideal bucket starts
/// full.
const WARM_UP_MICROS: u64 = 5_000_000;
const TRANSFER_WAIT_MICROS: u64 = 25_000;
const TICK_MICROS: u64 = 1_000;
/// Bytes of a transfer request, of a grant without tokens, and of each batch of tokens in it, encoded
/// with bincode in an h2 data frame.
const REQUEST_BYTES: u64 = 60;
const GRANT_BYTES: u64 = 70;
const BATCH_BYTES: u64 = 20;
/// Start of a host's pause, its removal from the roster, and the end of the pause.
const PAUSE_MICROS: (u64, u64, u64) = (10_000_000, 12_000_000, 16_000_000);

/// Load and faults of one row of the table.
#[derive(Clone, Copy)]
pub(crate) struct RateCase {
    pub(crate) name: &'static str,
    /// Returns the host that a request of a team arrives at.
    pub(crate) host_at: fn(team: usize, second: u64, random: u64) -> usize,
    pub(crate) loss_mille: u32,
    pub(crate) is_host_paused: bool,
    /// Load of the last team, as a multiple of its rate.
    pub(crate) last_team_load: f64,
    /// Burst of each team, in seconds of its rate.
    pub(crate) burst_seconds: u32,
    pub(crate) has_transfers: bool,
}

impl RateCase {
    fn is_within_rate(&self, team: usize) -> bool {
        team + 1 < TEAM_RATES.len() || self.last_team_load <= 1.0
    }
}

enum RateEvent {
    Request { team: usize },
    Message { to: usize, message: TokenMessage },
    Tick,
}

/// A request that waits for tokens from other hosts.
struct WaitingRequest {
    team: usize,
    since: u64,
    is_admitted_by_ideal: bool,
}

/// A simulated host with its own clock.
pub(crate) struct SimulatedHost {
    ledger: TokenLedger,
    broker: TokenBroker,
    waiting: Vec<WaitingRequest>,
    clock_offset: u64,
    pub(crate) bytes: u64,
    is_paused: bool,
}

/// A single token bucket for the whole fleet, as the ideal to compare with.
struct IdealBucket {
    level: f64,
    filled_at: u64,
}

pub(crate) struct RateSimulation {
    pub(crate) case: RateCase,
    /// Separate from the random numbers of the network, so that runs with and without transfers get the
    /// same requests.
    arrivals: ChaCha8Rng,
    network: ChaCha8Rng,
    pub(crate) hosts: Vec<SimulatedHost>,
    teams: Vec<(TeamId, LimitTerms)>,
    ideal: Vec<IdealBucket>,
    roster: ZoneRoster,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: Vec<Option<RateEvent>>,
    pub(crate) counts: RateCounts,
    now: u64,
}

fn host_id(host: usize) -> Result<HostId> {
    Ok(HostId::new(&format!("entry-{host}"))?)
}

fn zone_id(host: usize) -> Result<ZoneId> {
    Ok(ZoneId::new(&format!("zone-{}", host % ZONES))?)
}

fn roster_without(absent: Option<usize>) -> Result<ZoneRoster> {
    let live = (0..HOSTS).filter(|&host| Some(host) != absent);
    let hosts: Result<Vec<_>> = live
        .map(|host| Ok((host_id(host)?, zone_id(host)?)))
        .collect();
    Ok(ZoneRoster::new(hosts?))
}

fn create_host(host: usize, random: &mut ChaCha8Rng) -> Result<SimulatedHost> {
    let clock_offset = random.random_range(0..1_000_000_000);
    let start = MonoTime::from_micros(clock_offset);
    Ok(SimulatedHost {
        ledger: TokenLedger::new(host_id(host)?, HostIncarnation::new(1), start),
        broker: TokenBroker::new(zone_id(host)?, SMALL_FLEET, start),
        waiting: Vec::new(),
        clock_offset,
        bytes: 0,
        is_paused: false,
    })
}

fn create_team(number: usize, burst_seconds: u32) -> Result<(TeamId, LimitTerms)> {
    let rate = TEAM_RATES[number];
    let burst = BurstSize::from_whole(rate * burst_seconds);
    let terms = LimitTerms::new(RequestRate::from_whole(rate), burst, HOSTS as u32, 1);
    Ok((TeamId::new(&format!("team-{number}"))?, terms))
}

impl RateSimulation {
    pub(crate) fn new(case: RateCase, seed: u64) -> Result<Self> {
        let mut random = ChaCha8Rng::seed_from_u64(!seed);
        let hosts: Result<Vec<_>> = (0..HOSTS).map(|at| create_host(at, &mut random)).collect();
        let teams: Result<Vec<_>> = (0..TEAM_RATES.len())
            .map(|number| create_team(number, case.burst_seconds))
            .collect();
        let full_bucket = |&rate: &u32| IdealBucket {
            level: f64::from(rate * case.burst_seconds),
            filled_at: 0,
        };
        let counts = RateCounts {
            teams: vec![TeamCounts::default(); TEAM_RATES.len()],
            spent_at: vec![Vec::new(); TEAM_RATES.len()],
            ..RateCounts::default()
        };
        Ok(Self {
            case,
            arrivals: ChaCha8Rng::seed_from_u64(seed),
            network: random,
            hosts: hosts?,
            teams: teams?,
            ideal: TEAM_RATES.iter().map(full_bucket).collect(),
            roster: roster_without(None)?,
            events: BinaryHeap::new(),
            pending: Vec::new(),
            counts,
            now: 0,
        })
    }

    fn schedule(&mut self, at: u64, event: RateEvent) {
        self.events.push(Reverse((at, self.pending.len() as u64)));
        self.pending.push(Some(event));
    }

    fn schedule_request(&mut self, team: usize) {
        let is_last = team + 1 == TEAM_RATES.len();
        let load = if is_last {
            self.case.last_team_load
        } else {
            0.8
        };
        let rate = f64::from(TEAM_RATES[team]) * load;
        let fraction: f64 = self.arrivals.random_range(f64::EPSILON..1.0);
        let interval = -fraction.ln() / rate * 1e6;
        self.schedule(self.now + interval as u64, RateEvent::Request { team });
    }

    fn clock(&self, host: usize) -> MonoTime {
        MonoTime::from_micros(self.hosts[host].clock_offset + self.now)
    }

    fn context(&self, host: usize, team: usize) -> BrokerContext<'_> {
        BrokerContext {
            ledger: &self.hosts[host].ledger,
            roster: &self.roster,
            terms: self.teams[team].1,
            now: self.clock(host),
        }
    }

    fn team_number(&self, team: &TeamId) -> usize {
        let is_team = |(other, _): &(TeamId, LimitTerms)| other == team;
        self.teams.iter().position(is_team).unwrap_or(0)
    }

    fn send(&mut self, from: usize, messages: Vec<OutboundMessage>) {
        for outbound in messages {
            let name = outbound.to.as_str().trim_start_matches("entry-");
            let to: usize = name.parse().unwrap_or(0);
            let bytes = match &outbound.message {
                TokenMessage::Request(_) => REQUEST_BYTES,
                TokenMessage::Grant(grant) => {
                    GRANT_BYTES + BATCH_BYTES * grant.batches.len() as u64
                }
            };
            self.hosts[from].bytes += bytes;
            self.hosts[to].bytes += bytes;
            let is_far = from % ZONES != to % ZONES;
            let delay = self.network.random_range(300..600) + if is_far { 1_200 } else { 0 };
            if self.network.random_range(0..1000) >= self.case.loss_mille {
                let message = outbound.message;
                self.schedule(self.now + delay, RateEvent::Message { to, message });
            }
        }
    }

    fn admit_by_ideal(&mut self, team: usize) -> bool {
        let (rate, now) = (f64::from(TEAM_RATES[team]), self.now);
        let burst = rate * f64::from(self.case.burst_seconds);
        let bucket = &mut self.ideal[team];
        let accrued = (now - bucket.filled_at) as f64 * rate / 1e6;
        bucket.level = (bucket.level + accrued).min(burst);
        bucket.filled_at = now;
        let is_admitted = bucket.level >= 1.0;
        bucket.level -= f64::from(u8::from(is_admitted));
        is_admitted
    }

    fn on_request(&mut self, team: usize) {
        self.schedule_request(team);
        let random = self.arrivals.random();
        let host = (self.case.host_at)(team, self.now / 1_000_000, random);
        let is_admitted_by_ideal = self.admit_by_ideal(team);
        if self.hosts[host].is_paused {
            return;
        }
        self.counts.teams[team].requests += u64::from(self.is_counted(team));
        let (id, terms) = self.teams[team].clone();
        let taken = self.hosts[host]
            .ledger
            .try_take(&id, &terms, self.clock(host));
        let request = WaitingRequest {
            team,
            since: self.now,
            is_admitted_by_ideal,
        };
        match taken {
            Ok(()) => self.record_spent(&request),
            Err(shortage) if shortage.is_grant_expected && self.case.has_transfers => {
                self.hosts[host].waiting.push(request);
            }
            Err(_) => self.refuse(team, is_admitted_by_ideal),
        }
        if self.case.has_transfers {
            let messages = self.hosts[host]
                .broker
                .refill(&id, &self.context(host, team));
            self.send(host, messages);
        }
    }

    fn is_counted(&self, team: usize) -> bool {
        self.now >= WARM_UP_MICROS && self.case.is_within_rate(team)
    }

    fn refuse(&mut self, team: usize, is_admitted_by_ideal: bool) {
        let is_false = is_admitted_by_ideal && self.is_counted(team);
        self.counts.teams[team].false_refusals += u64::from(is_false);
    }

    fn record_spent(&mut self, request: &WaitingRequest) {
        self.counts.waits.push(self.now - request.since);
        self.counts.spent_at[request.team].push(self.now);
    }

    fn retry_waiting(&mut self, host: usize) {
        for request in std::mem::take(&mut self.hosts[host].waiting) {
            let (id, terms) = &self.teams[request.team];
            let now = self.clock(host);
            if self.hosts[host].ledger.take_after_wait(id, terms, now) {
                self.record_spent(&request);
            } else if self.now - request.since >= TRANSFER_WAIT_MICROS {
                self.refuse(request.team, request.is_admitted_by_ideal);
            } else {
                let (id, team) = (id.clone(), request.team);
                self.hosts[host].waiting.push(request);
                let messages = self.hosts[host]
                    .broker
                    .refill(&id, &self.context(host, team));
                self.send(host, messages);
            }
        }
    }

    fn on_message(&mut self, to: usize, message: TokenMessage) {
        if self.hosts[to].is_paused {
            return;
        }
        let broker = &self.hosts[to].broker;
        let messages = match message {
            TokenMessage::Request(request) => {
                let team = self.team_number(&request.team);
                broker.on_request(request, &self.context(to, team))
            }
            TokenMessage::Grant(grant) => {
                let team = self.team_number(&grant.team);
                broker.on_grant(&grant, &self.context(to, team))
            }
        };
        self.send(to, messages);
        self.retry_waiting(to);
    }

    /// Returns the host to pause: the broker of the largest team, whose absence has the largest effect.
    fn paused_host(&self) -> Option<usize> {
        (0..HOSTS).find(|&host| {
            let zone = zone_id(host).ok();
            let broker = zone.and_then(|zone| self.roster.broker_of(&zone, &self.teams[6].0));
            host != 0 && broker == Some(self.hosts[host].ledger.host())
        })
    }

    fn on_tick(&mut self) {
        for host in 0..HOSTS {
            if self.hosts[host].is_paused {
                continue;
            }
            let now = self.clock(host);
            self.hosts[host].ledger.fence().tick(now);
            let context_of = |team: &TeamId| Some(self.context(host, self.team_number(team)));
            let messages = self.hosts[host].broker.poll(context_of, now);
            self.send(host, messages);
            self.retry_waiting(host);
        }
        self.schedule(self.now + TICK_MICROS, RateEvent::Tick);
    }

    pub(crate) fn run(&mut self) -> Result<()> {
        (0..TEAM_RATES.len()).for_each(|team| self.schedule_request(team));
        self.schedule(0, RateEvent::Tick);
        let paused = self.paused_host().filter(|_| self.case.is_host_paused);
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > RUN_SECONDS * 1_000_000 {
                break;
            }
            if let Some(host) = paused {
                self.update_pause(host, at)?;
            }
            self.now = at;
            match self.pending[number as usize].take() {
                Some(RateEvent::Request { team }) => self.on_request(team),
                Some(RateEvent::Message { to, message }) => self.on_message(to, message),
                Some(RateEvent::Tick) => self.on_tick(),
                None => {}
            }
        }
        Ok(())
    }

    fn update_pause(&mut self, host: usize, at: u64) -> Result<()> {
        let has_passed = |point: u64| self.now < point && at >= point;
        let (start, unlisted, end) = (
            has_passed(PAUSE_MICROS.0),
            has_passed(PAUSE_MICROS.1),
            has_passed(PAUSE_MICROS.2),
        );
        if start {
            self.hosts[host].is_paused = true;
        }
        if unlisted {
            self.roster = roster_without(Some(host))?;
        }
        if end {
            self.roster = roster_without(None)?;
            self.hosts[host].is_paused = false;
            self.hosts[host]
                .ledger
                .fence()
                .resume(MonoTime::from_micros(self.hosts[host].clock_offset + at));
        }
        Ok(())
    }
}
