//! Specification of rate shares and their transfer, over [`TokenLedger`].
//!
//! Three hosts share 3 requests a second with a burst of 3, so that each mints a token a second and
//! a token lives for a second. A step of time is half a second.

mod events;
mod parts;

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_limits::prelude::*;

use crate::{
    digest::{
        digest_of,
        digest_of_all, //
    },
    names,
    search::ProtocolModel, //
};

use parts::{
    RateProcess,
    WireMessage, //
};

pub use events::{
    RateBound,
    RateEvent,
    RateRule, //
};

const HOSTS: usize = 3;
const STEP: Duration = Duration::from_millis(500);
/// A name is given to a new process only after the old one was silent for longer than
/// [`TICK_GAP_MAX`](chicorycroft_limits::fence::TICK_GAP_MAX).
const REPLACE_AFTER: u64 = 3;

/// A state of the model.
#[derive(Debug)]
pub struct RateWorld {
    without: Option<RateRule>,
    left: RateBound,
    draws: u32,
    at: u64,
    hosts: u32,
    processes: Vec<RateProcess>,
    wire: Vec<WireMessage>,
    /// What one bucket for the whole fleet would still allow, and whether it was overdrawn.
    allowed: TokenAmount,
    is_overdrawn: bool,
}

impl RateWorld {
    fn new(bound: RateBound, without: Option<RateRule>) -> Self {
        let mut world = Self {
            without,
            left: bound,
            draws: bound.draws,
            at: 0,
            hosts: HOSTS as u32,
            processes: Vec::new(),
            wire: Vec::new(),
            allowed: TokenAmount::from_whole(3),
            is_overdrawn: false,
        };
        for name in 0..HOSTS {
            // Clocks of different hosts show unrelated times.
            world.start_process(name, 1, 7_000_000 * name as u64);
        }
        world.left.steps += 2;
        world.apply(&RateEvent::Step);
        world.apply(&RateEvent::Step);
        world
    }

    fn terms(&self) -> LimitTerms {
        let (rate, burst) = (RequestRate::from_whole(3), BurstSize::from_whole(3));
        let live = match self.without {
            Some(RateRule::LiveHosts) => HOSTS as u32,
            _ => self.hosts,
        };
        LimitTerms::new(rate, burst, HOSTS as u32, live)
    }

    fn start_process(&mut self, name: usize, incarnation: u64, base: u64) {
        let since = MonoTime::from_micros(base);
        let is_backdated = incarnation > 1 && self.without == Some(RateRule::EmptyStart);
        let life = if is_backdated {
            self.terms().token_lifetime()
        } else {
            Duration::ZERO
        };
        let number = HostIncarnation::new(incarnation);
        let process = RateProcess {
            name,
            incarnation,
            born: self.at,
            base: since.after(life).as_micros(),
            ledger: TokenLedger::new(names::host(name), number, since),
            paused_at: None,
            is_replaced: false,
        };
        self.processes.push(process);
        self.touch(self.processes.len() - 1);
    }

    /// Does what the loop of a running process does.
    fn touch(&self, of: usize) {
        let process = &self.processes[of];
        let now = process.now(self.at);
        if self.without != Some(RateRule::SleepGate) {
            process.ledger.fence().tick(now);
        }
        process.ledger.balance(&names::team(), &self.terms(), now);
    }

    fn balance(&self, of: usize) -> TokenAmount {
        let process = &self.processes[of];
        let now = process.now(self.at);
        process.ledger.balance(&names::team(), &self.terms(), now)
    }

    /// Returns the process that has a name now.
    fn holder(&self, name: usize) -> usize {
        let is_holder = |process: &RateProcess| process.name == name && !process.is_replaced;
        self.processes.iter().position(is_holder).unwrap_or(0)
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.processes.len()).filter(|of| self.processes[*of].paused_at.is_none())
    }

    fn step(&mut self) {
        self.left.steps -= 1;
        self.at += 1;
        let terms = self.terms();
        let burst = TokenAmount::from_micros(terms.burst.as_micros());
        self.allowed = self
            .allowed
            .saturating_add(terms.rate.accrued_over(STEP))
            .min(burst);
        for of in self.running() {
            self.touch(of);
        }
    }

    fn spend(&mut self, of: usize) {
        let process = &self.processes[of];
        let now = process.now(self.at);
        if process
            .ledger
            .try_take(&names::team(), &self.terms(), now)
            .is_ok()
        {
            self.is_overdrawn |= self.allowed < TokenAmount::ONE;
            self.allowed = self.allowed.saturating_sub(TokenAmount::ONE);
        }
    }

    fn open_draw(&self, of: usize, wanted: TokenAmount) -> Option<TransferRequest> {
        let process = &self.processes[of];
        let (team, terms) = (names::team(), self.terms());
        let now = process.now(self.at);
        let purpose = TransferPurpose::HostSurplus;
        process
            .ledger
            .open_transfer((&team, &terms), wanted, purpose, now)
    }

    fn draw(&mut self, of: usize, from: usize) {
        self.left.draws -= 1;
        if let Some(draw) = self.open_draw(of, TokenAmount::ONE) {
            self.send(from, TokenMessage::Request(draw));
        }
    }

    fn send(&mut self, to: usize, message: TokenMessage) {
        let is_repeat = false;
        self.wire.push(WireMessage {
            to,
            message,
            is_repeat,
        });
    }

    fn receive(&mut self, message: WireMessage) {
        let of = self.holder(message.to);
        let process = &self.processes[of];
        let (terms, now) = (self.terms(), process.now(self.at));
        match message.message {
            TokenMessage::Request(draw) => {
                let Some(grant) = process.ledger.answer_request(&draw, &terms, now) else {
                    return;
                };
                if self.without == Some(RateRule::DeductFirst) {
                    self.give_back(of, &grant);
                }
                let to = (0..HOSTS).find(|name| names::host(*name) == grant.request_id.host);
                self.send(to.unwrap_or(0), TokenMessage::Grant(grant));
            }
            TokenMessage::Grant(mut grant) => {
                if self.without == Some(RateRule::OneGrant) && message.is_repeat {
                    self.renumber(of, &mut grant);
                }
                if self.without == Some(RateRule::TokenLife) {
                    for lot in &mut grant.batches {
                        (lot.first_left, lot.last_left) =
                            (terms.token_lifetime(), terms.token_lifetime());
                    }
                }
                let process = &self.processes[of];
                process.ledger.accept_grant(&grant, &terms, now);
            }
        }
    }

    /// Undoes the deduction of a grant: the giver gets the same lots by a grant of its own.
    fn give_back(&self, of: usize, grant: &TokenGrant) {
        let mut copy = grant.clone();
        self.renumber(of, &mut copy);
        let process = &self.processes[of];
        let now = process.now(self.at);
        process.ledger.accept_grant(&copy, &self.terms(), now);
    }

    /// Makes a grant the answer to a draw that this process opens now.
    fn renumber(&self, of: usize, grant: &mut TokenGrant) {
        if let Some(draw) = self.open_draw(of, TokenAmount::ONE) {
            grant.request_id = draw.id;
        }
    }

    fn replace(&mut self, of: usize) {
        let (name, incarnation) = (self.processes[of].name, self.processes[of].incarnation);
        self.start_process(name, incarnation + 1, 0);
        let Some(mut old) = self.processes.pop() else {
            return;
        };
        std::mem::swap(&mut old, &mut self.processes[of]);
        if old.paused_at.is_some() {
            old.is_replaced = true;
            self.processes.push(old);
        } else {
            self.left.faults -= 1;
        }
    }

    fn apply(&mut self, event: &RateEvent) {
        match *event {
            RateEvent::Step => self.step(),
            RateEvent::Spend(of) => self.spend(of),
            RateEvent::Draw(of, from) => self.draw(of, from),
            RateEvent::Deliver(n) => {
                let message = self.wire.remove(n);
                self.receive(message);
            }
            RateEvent::Double(n) => {
                self.left.doubles -= 1;
                let message = self.wire[n].clone();
                self.wire[n].is_repeat = true;
                self.receive(message);
            }
            RateEvent::Crash(of) | RateEvent::Replace(of) => self.replace(of),
            RateEvent::Pause(of) => {
                self.left.faults -= 1;
                self.processes[of].paused_at = Some(self.at);
            }
            RateEvent::Wake(of) => {
                self.processes[of].paused_at = None;
                self.touch(of);
            }
            RateEvent::Resume(of) => {
                let process = &self.processes[of];
                process.ledger.fence().resume(process.now(self.at));
                self.touch(of);
            }
            RateEvent::Join => {
                self.left.faults -= 1;
                self.hosts += 1;
                self.start_process(HOSTS, 1, 0);
            }
        }
    }

    fn is_asleep(&self, of: usize) -> bool {
        let process = &self.processes[of];
        process.ledger.fence().state(process.now(self.at)).is_none()
    }

    fn process_events(&self, of: usize, events: &mut Vec<RateEvent>) {
        let process = &self.processes[of];
        if let Some(paused_at) = process.paused_at {
            events.push(RateEvent::Wake(of));
            if !process.is_replaced && self.at - paused_at >= REPLACE_AFTER {
                events.push(RateEvent::Replace(of));
            }
            return;
        }
        if self.is_asleep(of) {
            if !process.is_replaced {
                events.push(RateEvent::Resume(of));
            }
            return;
        }
        if self.balance(of) >= TokenAmount::ONE {
            events.push(RateEvent::Spend(of));
        }
        if self.left.draws > 0 {
            // Hosts differ by name alone, so that the first draw may be any one.
            let is_first = self.left.draws == self.draws;
            let is_fixed = |from: usize| {
                (process.name == 0 && from == 1) || (process.name == HOSTS && from == 0)
            };
            let others = (0..HOSTS).filter(|name| *name != process.name);
            let others = others.filter(|from| !is_first || is_fixed(*from));
            events.extend(others.map(|name| RateEvent::Draw(of, name)));
        }
        if self.left.faults > 0 {
            events.extend([RateEvent::Crash(of), RateEvent::Pause(of)]);
        }
    }

    fn events(&self) -> Vec<RateEvent> {
        let mut events = Vec::new();
        if self.left.steps > 0 {
            events.push(RateEvent::Step);
        }
        for of in 0..self.processes.len() {
            self.process_events(of, &mut events);
        }
        for (n, message) in self.wire.iter().enumerate() {
            if self.processes[self.holder(message.to)].paused_at.is_some() {
                continue;
            }
            events.push(RateEvent::Deliver(n));
            if self.left.doubles > 0 && !message.is_repeat {
                events.push(RateEvent::Double(n));
            }
        }
        if self.left.faults > 0 && self.hosts == HOSTS as u32 {
            events.push(RateEvent::Join);
        }
        events
    }

    fn digest(&self) -> u128 {
        let processes = digest_of_all(&self.processes);
        let wire = digest_of_all(&self.wire);
        let rest = (
            &self.left,
            self.at,
            self.hosts,
            self.allowed,
            self.is_overdrawn,
        );
        digest_of(&(processes, wire, rest))
    }

    fn breach(&self) -> Option<String> {
        if self.is_overdrawn {
            return Some("I5: a request runs beyond the rate and burst of its team".into());
        }
        let held = self.running().map(|of| self.balance(of));
        let held = held.fold(TokenAmount::ZERO, TokenAmount::saturating_add);
        (held > self.allowed).then(|| {
            let allowed = self.allowed;
            format!("I5: hosts hold {held} tokens where the rate and burst leave {allowed}")
        })
    }
}

/// Makes the model within a bound, whole or without one rule.
pub fn rate_model(
    bound: RateBound,
    without: Option<RateRule>,
) -> ProtocolModel<RateWorld, RateEvent> {
    ProtocolModel {
        start: Box::new(move || RateWorld::new(bound, without)),
        events: RateWorld::events,
        copy: None,
        apply: RateWorld::apply,
        digest: RateWorld::digest,
        breach: RateWorld::breach,
    }
}
