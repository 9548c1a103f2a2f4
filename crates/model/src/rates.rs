//! Specification of rate shares and their transfer, over [`TokenLedger`].
//!
//! Three hosts share a rate of 3 requests a second with a burst of 3, so that each host mints one token
//! a second and a token is valid for one second. A time step is half a second.

mod events;
mod process;

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_limits::prelude::*;

use crate::{
    digest::{
        digest_of,
        digest_of_unordered, //
    },
    names,
    search::ProtocolModel, //
};

use process::{
    InFlightMessage,
    RateProcess, //
};

pub use events::{
    RateBound,
    RateEvent,
    RateRule, //
};

const HOSTS: usize = 3;
const STEP: Duration = Duration::from_millis(500);
/// Steps after which the name of a paused process may be reused: the pause must be longer than
/// [`TICK_GAP_MAX`](chicorycroft_limits::fence::TICK_GAP_MAX).
const REPLACE_AFTER: u64 = 3;

/// A state of the rate model.
#[derive(Debug)]
pub struct RateState {
    omitted_rule: Option<RateRule>,
    remaining: RateBound,
    transfers_total: u32,
    elapsed_steps: u64,
    hosts: u32,
    processes: Vec<RateProcess>,
    in_flight: Vec<InFlightMessage>,
    /// Tokens that remain in a single bucket for the whole fleet.
    allowed: TokenAmount,
    /// Whether a request was admitted while that bucket had no token.
    is_overdrawn: bool,
}

impl RateState {
    fn new(bound: RateBound, omitted_rule: Option<RateRule>) -> Self {
        let mut state = Self {
            omitted_rule,
            remaining: bound,
            transfers_total: bound.draws,
            elapsed_steps: 0,
            hosts: HOSTS as u32,
            processes: Vec::new(),
            in_flight: Vec::new(),
            allowed: TokenAmount::from_whole(3),
            is_overdrawn: false,
        };
        for name in 0..HOSTS {
            // The monotonic clocks of different hosts are unrelated.
            state.start_process(name, 1, 7_000_000 * name as u64);
        }
        state.remaining.steps += 2;
        state.apply(&RateEvent::Step);
        state.apply(&RateEvent::Step);
        state
    }

    fn terms(&self) -> LimitTerms {
        let (rate, burst) = (RequestRate::from_whole(3), BurstSize::from_whole(3));
        let live = match self.omitted_rule {
            Some(RateRule::LiveHosts) => HOSTS as u32,
            _ => self.hosts,
        };
        LimitTerms::new(rate, burst, HOSTS as u32, live)
    }

    fn start_process(&mut self, name: usize, incarnation: u64, clock_base: u64) {
        let since = MonoTime::from_micros(clock_base);
        let is_backdated = incarnation > 1 && self.omitted_rule == Some(RateRule::EmptyStart);
        let life = if is_backdated {
            self.terms().token_lifetime()
        } else {
            Duration::ZERO
        };
        let number = HostIncarnation::new(incarnation);
        let process = RateProcess {
            name,
            incarnation,
            started_step: self.elapsed_steps,
            clock_base: since.after(life).as_micros(),
            ledger: TokenLedger::new(names::host(name), number, since),
            paused_at: None,
            is_replaced: false,
        };
        self.processes.push(process);
        self.update_ledger(self.processes.len() - 1);
    }

    /// Updates the ledger, as the loop of a running process does.
    fn update_ledger(&self, number: usize) {
        let process = &self.processes[number];
        let now = process.now(self.elapsed_steps);
        if self.omitted_rule != Some(RateRule::SleepGate) {
            process.ledger.fence().tick(now);
        }
        process.ledger.balance(&names::team(), &self.terms(), now);
    }

    fn balance(&self, number: usize) -> TokenAmount {
        let process = &self.processes[number];
        let now = process.now(self.elapsed_steps);
        process.ledger.balance(&names::team(), &self.terms(), now)
    }

    /// Returns the index of the process that currently runs under a name.
    fn current_process(&self, name: usize) -> usize {
        let is_current = |process: &RateProcess| process.name == name && !process.is_replaced;
        self.processes.iter().position(is_current).unwrap_or(0)
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.processes.len()).filter(|number| self.processes[*number].paused_at.is_none())
    }

    fn step(&mut self) {
        self.remaining.steps -= 1;
        self.elapsed_steps += 1;
        let terms = self.terms();
        let burst = TokenAmount::from_micros(terms.burst.as_micros());
        self.allowed = self
            .allowed
            .saturating_add(terms.rate.accrued_over(STEP))
            .min(burst);
        for number in self.running() {
            self.update_ledger(number);
        }
    }

    fn spend(&mut self, number: usize) {
        let process = &self.processes[number];
        let now = process.now(self.elapsed_steps);
        if process
            .ledger
            .try_take(&names::team(), &self.terms(), now)
            .is_ok()
        {
            self.is_overdrawn |= self.allowed < TokenAmount::ONE;
            self.allowed = self.allowed.saturating_sub(TokenAmount::ONE);
        }
    }

    fn open_request(&self, number: usize, wanted: TokenAmount) -> Option<TransferRequest> {
        let process = &self.processes[number];
        let (team, terms) = (names::team(), self.terms());
        let now = process.now(self.elapsed_steps);
        let purpose = TransferPurpose::HostSurplus;
        process
            .ledger
            .open_transfer((&team, &terms), wanted, purpose, now)
    }

    fn request_transfer(&mut self, number: usize, from: usize) {
        self.remaining.draws -= 1;
        if let Some(request) = self.open_request(number, TokenAmount::ONE) {
            self.send(from, TokenMessage::Request(request));
        }
    }

    fn send(&mut self, to: usize, message: TokenMessage) {
        let is_repeat = false;
        self.in_flight.push(InFlightMessage {
            to,
            message,
            is_repeat,
        });
    }

    fn receive(&mut self, message: InFlightMessage) {
        let number = self.current_process(message.to);
        let process = &self.processes[number];
        let (terms, now) = (self.terms(), process.now(self.elapsed_steps));
        match message.message {
            TokenMessage::Request(request) => {
                let Some(grant) = process.ledger.answer_request(&request, &terms, now) else {
                    return;
                };
                if self.omitted_rule == Some(RateRule::DeductFirst) {
                    self.restore_tokens(number, &grant);
                }
                let to = (0..HOSTS).find(|name| names::host(*name) == grant.request_id.host);
                self.send(to.unwrap_or(0), TokenMessage::Grant(grant));
            }
            TokenMessage::Grant(mut grant) => {
                if self.omitted_rule == Some(RateRule::OneGrant) && message.is_repeat {
                    self.attach_to_new_request(number, &mut grant);
                }
                if self.omitted_rule == Some(RateRule::TokenLife) {
                    for batch in &mut grant.batches {
                        (batch.first_left, batch.last_left) =
                            (terms.token_lifetime(), terms.token_lifetime());
                    }
                }
                let process = &self.processes[number];
                process.ledger.accept_grant(&grant, &terms, now);
            }
        }
    }

    /// Undoes the deduction of a grant by granting the same tokens to the sender.
    fn restore_tokens(&self, number: usize, grant: &TokenGrant) {
        let mut copy = grant.clone();
        self.attach_to_new_request(number, &mut copy);
        let process = &self.processes[number];
        let now = process.now(self.elapsed_steps);
        process.ledger.accept_grant(&copy, &self.terms(), now);
    }

    /// Opens a new transfer request and makes the grant its answer.
    fn attach_to_new_request(&self, number: usize, grant: &mut TokenGrant) {
        if let Some(request) = self.open_request(number, TokenAmount::ONE) {
            grant.request_id = request.id;
        }
    }

    fn replace(&mut self, number: usize) {
        let (name, incarnation) = (
            self.processes[number].name,
            self.processes[number].incarnation,
        );
        self.start_process(name, incarnation + 1, 0);
        let Some(mut old) = self.processes.pop() else {
            return;
        };
        std::mem::swap(&mut old, &mut self.processes[number]);
        if old.paused_at.is_some() {
            old.is_replaced = true;
            self.processes.push(old);
        } else {
            self.remaining.faults -= 1;
        }
    }

    fn apply(&mut self, event: &RateEvent) {
        match *event {
            RateEvent::Step => self.step(),
            RateEvent::Spend(number) => self.spend(number),
            RateEvent::RequestTransfer(number, from) => self.request_transfer(number, from),
            RateEvent::Deliver(n) => {
                let message = self.in_flight.remove(n);
                self.receive(message);
            }
            RateEvent::Duplicate(n) => {
                self.remaining.doubles -= 1;
                let message = self.in_flight[n].clone();
                self.in_flight[n].is_repeat = true;
                self.receive(message);
            }
            RateEvent::Crash(number) | RateEvent::Replace(number) => self.replace(number),
            RateEvent::Pause(number) => {
                self.remaining.faults -= 1;
                self.processes[number].paused_at = Some(self.elapsed_steps);
            }
            RateEvent::Wake(number) => {
                self.processes[number].paused_at = None;
                self.update_ledger(number);
            }
            RateEvent::Resume(number) => {
                let process = &self.processes[number];
                let now = process.now(self.elapsed_steps);
                process.ledger.fence().resume(now);
                self.update_ledger(number);
            }
            RateEvent::Join => {
                self.remaining.faults -= 1;
                self.hosts += 1;
                self.start_process(HOSTS, 1, 0);
            }
        }
    }

    fn is_blocked(&self, number: usize) -> bool {
        let process = &self.processes[number];
        let now = process.now(self.elapsed_steps);
        process.ledger.fence().state(now).is_none()
    }

    fn process_events(&self, number: usize, events: &mut Vec<RateEvent>) {
        let process = &self.processes[number];
        if let Some(paused_at) = process.paused_at {
            events.push(RateEvent::Wake(number));
            if !process.is_replaced && self.elapsed_steps - paused_at >= REPLACE_AFTER {
                events.push(RateEvent::Replace(number));
            }
            return;
        }
        if self.is_blocked(number) {
            if !process.is_replaced {
                events.push(RateEvent::Resume(number));
            }
            return;
        }
        if self.balance(number) >= TokenAmount::ONE {
            events.push(RateEvent::Spend(number));
        }
        if self.remaining.draws > 0 {
            // Hosts are symmetric, so only one choice of the first transfer request is explored.
            let is_first = self.remaining.draws == self.transfers_total;
            let is_fixed = |from: usize| {
                (process.name == 0 && from == 1) || (process.name == HOSTS && from == 0)
            };
            let others = (0..HOSTS).filter(|name| *name != process.name);
            let others = others.filter(|from| !is_first || is_fixed(*from));
            events.extend(others.map(|name| RateEvent::RequestTransfer(number, name)));
        }
        if self.remaining.faults > 0 {
            events.extend([RateEvent::Crash(number), RateEvent::Pause(number)]);
        }
    }

    fn events(&self) -> Vec<RateEvent> {
        let mut events = Vec::new();
        if self.remaining.steps > 0 {
            events.push(RateEvent::Step);
        }
        for number in 0..self.processes.len() {
            self.process_events(number, &mut events);
        }
        for (n, message) in self.in_flight.iter().enumerate() {
            if self.processes[self.current_process(message.to)]
                .paused_at
                .is_some()
            {
                continue;
            }
            events.push(RateEvent::Deliver(n));
            if self.remaining.doubles > 0 && !message.is_repeat {
                events.push(RateEvent::Duplicate(n));
            }
        }
        if self.remaining.faults > 0 && self.hosts == HOSTS as u32 {
            events.push(RateEvent::Join);
        }
        events
    }

    fn digest(&self) -> u128 {
        let processes = digest_of_unordered(&self.processes);
        let in_flight = digest_of_unordered(&self.in_flight);
        let rest = (
            &self.remaining,
            self.elapsed_steps,
            self.hosts,
            self.allowed,
            self.is_overdrawn,
        );
        digest_of(&(processes, in_flight, rest))
    }

    fn violation(&self) -> Option<String> {
        if self.is_overdrawn {
            return Some("I5: a request runs beyond the rate and burst of its team".into());
        }
        let held = self.running().map(|number| self.balance(number));
        let held = held.fold(TokenAmount::ZERO, TokenAmount::saturating_add);
        (held > self.allowed).then(|| {
            let allowed = self.allowed;
            format!("I5: hosts hold {held} tokens where the rate and burst leave {allowed}")
        })
    }
}

/// Creates the model within a bound, with all rules or with one omitted.
pub fn rate_model(
    bound: RateBound,
    omitted_rule: Option<RateRule>,
) -> ProtocolModel<RateState, RateEvent> {
    ProtocolModel {
        start: Box::new(move || RateState::new(bound, omitted_rule)),
        events: RateState::events,
        copy: None,
        apply: RateState::apply,
        digest: RateState::digest,
        violation: RateState::violation,
    }
}
