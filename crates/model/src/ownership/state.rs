//! The state of the model: the processes, their links and the messages in flight.

use super::{
    HOSTS, OwnerBound, OwnerEvent, OwnerRule,
    process::{
        OwnerProcess,
        PeerMessage, //
    },
};
use crate::digest::{
    digest_of,
    digest_of_unordered, //
};

/// Smallest number of steps after which a host that has just started serves.
const WARM_UP_STEPS: usize = 6;

/// Largest number of messages that wait for a paused process, whose socket buffers are limited.
const QUEUE_MAX: usize = 4;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum LinkState {
    #[default]
    Up,
    Cut,
    Delayed,
}

#[derive(Clone, Debug, Default)]
struct HostLink {
    state: LinkState,
    /// Messages that were sent in earlier steps.
    earlier: Vec<PeerMessage>,
    /// Messages that were sent in the current step.
    current: Vec<PeerMessage>,
}

impl HostLink {
    fn send(&mut self, message: PeerMessage) {
        if self.state != LinkState::Cut && self.earlier.len() + self.current.len() < QUEUE_MAX {
            self.current.push(message);
        }
    }

    fn take_deliverable(&mut self) -> Vec<PeerMessage> {
        let mut deliverable = std::mem::take(&mut self.earlier);
        if self.state != LinkState::Delayed {
            deliverable.append(&mut self.current);
        }
        deliverable
    }
}

/// A state of the ownership model.
#[derive(Clone, Debug)]
pub struct OwnerState {
    omitted_rule: Option<OwnerRule>,
    remaining: OwnerBound,
    processes: Vec<OwnerProcess>,
    links: Vec<HostLink>,
}

impl OwnerState {
    pub(super) fn new(bound: OwnerBound, omitted_rule: Option<OwnerRule>) -> Self {
        let hosts = (0..HOSTS).map(|name| OwnerProcess::new(name, 1, omitted_rule));
        let mut state = Self {
            omitted_rule,
            remaining: bound,
            processes: hosts.collect(),
            links: vec![HostLink::default(); HOSTS * HOSTS],
        };
        (0..WARM_UP_STEPS).for_each(|_| state.step());
        state
    }

    fn link(&mut self, from: usize, to: usize) -> &mut HostLink {
        &mut self.links[from * HOSTS + to]
    }

    fn pairs() -> impl Iterator<Item = (usize, usize)> {
        let all = (0..HOSTS).flat_map(|from| (0..HOSTS).map(move |to| (from, to)));
        all.filter(|(from, to)| from != to)
    }

    /// Returns the index of the process that currently runs under a name.
    fn current_process(&self, name: usize) -> usize {
        let is_current = |process: &OwnerProcess| process.name == name && !process.is_replaced;
        self.processes.iter().position(is_current).unwrap_or(0)
    }

    fn running(&self) -> impl Iterator<Item = &OwnerProcess> {
        self.processes.iter().filter(|process| !process.is_paused)
    }

    fn step(&mut self) {
        self.processes
            .iter_mut()
            .for_each(OwnerProcess::advance_clock);
        for link in &mut self.links {
            let mut current = std::mem::take(&mut link.current);
            link.earlier.append(&mut current);
        }
        self.running().for_each(OwnerProcess::read_roster);
        self.update();
        for number in 0..self.processes.len() {
            let process = &self.processes[number];
            if process.is_paused {
                continue;
            }
            let from = process.name;
            let others = (0..HOSTS).filter(|to| *to != from);
            let heartbeats: Vec<_> = others.map(|to| (to, process.heartbeat_for(to))).collect();
            for (to, heartbeat) in heartbeats {
                heartbeat
                    .into_iter()
                    .for_each(|heartbeat| self.link(from, to).send(heartbeat));
            }
        }
        // The first delivery is for the heartbeats, the second one for the answers to them.
        self.deliver();
        self.deliver();
        self.update();
    }

    fn update(&self) {
        for process in self.running() {
            process.update();
        }
    }

    fn deliver(&mut self) {
        for (from, to) in Self::pairs() {
            let number = self.current_process(to);
            if self.processes[number].is_paused {
                continue;
            }
            for message in self.link(from, to).take_deliverable() {
                let answer = self.processes[number].receive(from, &message, self.omitted_rule);
                // Each message may arrive twice, so it is delivered again and the second answer dropped.
                let _ = self.processes[number].receive(from, &message, self.omitted_rule);
                answer
                    .into_iter()
                    .for_each(|answer| self.link(to, from).send(answer));
            }
        }
    }

    fn replace(&mut self, number: usize) {
        self.remaining.faults -= 1;
        let (name, incarnation) = (
            self.processes[number].name,
            self.processes[number].incarnation,
        );
        let new = OwnerProcess::new(name, incarnation + 1, self.omitted_rule);
        let mut old = std::mem::replace(&mut self.processes[number], new);
        if old.is_paused {
            old.is_replaced = true;
            self.processes.push(old);
        }
        // Messages that waited for the old process are lost with its connections.
        for from in (0..HOSTS).filter(|from| *from != name) {
            let state = self.link(from, name).state;
            *self.link(from, name) = HostLink {
                state,
                ..HostLink::default()
            };
        }
    }

    fn hand_over(&mut self, number: usize) {
        self.remaining.handovers -= 1;
        let from = self.processes[number].name;
        if let Some((to, message)) = self.processes[number].hand_over(self.omitted_rule) {
            self.link(from, to).send(message);
            self.deliver();
        }
    }

    fn set_link(&mut self, (from, to): (usize, usize), state: LinkState) {
        self.remaining.faults -= u32::from(state != LinkState::Up);
        self.link(from, to).state = state;
    }

    pub(super) fn apply(&mut self, event: &OwnerEvent) {
        match *event {
            OwnerEvent::Step => {
                self.remaining.steps -= 1;
                self.step();
            }
            OwnerEvent::Cut(from, to) => self.set_link((from, to), LinkState::Cut),
            OwnerEvent::Delay(from, to) => self.set_link((from, to), LinkState::Delayed),
            OwnerEvent::Restore(from, to) => self.set_link((from, to), LinkState::Up),
            OwnerEvent::CutOutgoing(from) => {
                self.remaining.faults -= 1;
                let others = (0..HOSTS).filter(|to| *to != from);
                others.for_each(|to| self.link(from, to).state = LinkState::Cut);
            }
            OwnerEvent::CutIncoming(to) => {
                self.remaining.faults -= 1;
                let others = (0..HOSTS).filter(|from| *from != to);
                others.for_each(|from| self.link(from, to).state = LinkState::Cut);
            }
            OwnerEvent::Pause(number) | OwnerEvent::Suspend(number) => {
                self.remaining.faults -= 1;
                self.processes[number].is_paused = true;
                self.processes[number].is_suspended = matches!(event, OwnerEvent::Suspend(_));
            }
            OwnerEvent::Wake(number) => {
                self.processes[number].resume(self.omitted_rule);
                self.processes[number].read_roster();
                self.processes[number].update();
            }
            OwnerEvent::Replace(number) => self.replace(number),
            OwnerEvent::OmitFromRoster(number, host) => {
                self.remaining.faults -= 1;
                self.processes[number].omitted_host = Some(host);
                self.processes[number].read_roster();
            }
            OwnerEvent::RestoreRoster(number) => {
                self.processes[number].omitted_host = None;
                self.processes[number].read_roster();
            }
            OwnerEvent::HandOver(number) => self.hand_over(number),
        }
    }

    fn process_events(&self, number: usize, events: &mut Vec<OwnerEvent>) {
        let process = &self.processes[number];
        let may_fail = self.remaining.faults > 0;
        if may_fail && !process.is_replaced {
            events.push(OwnerEvent::Replace(number));
        }
        if process.is_paused {
            events.push(OwnerEvent::Wake(number));
            return;
        }
        if may_fail {
            events.extend([OwnerEvent::Pause(number), OwnerEvent::Suspend(number)]);
        }
        // Rosters of the hosts of a zone differ by at most one host.
        let are_rosters_complete = self
            .processes
            .iter()
            .all(|process| process.omitted_host.is_none());
        if process.omitted_host.is_some() {
            events.push(OwnerEvent::RestoreRoster(number));
        } else if may_fail && are_rosters_complete {
            events.extend((0..HOSTS).map(|host| OwnerEvent::OmitFromRoster(number, host)));
        }
        if self.remaining.handovers > 0 && process.is_serving() {
            events.push(OwnerEvent::HandOver(number));
        }
    }

    pub(super) fn events(&self) -> Vec<OwnerEvent> {
        let mut events = Vec::new();
        if self.remaining.steps == 0 {
            return events;
        }
        events.push(OwnerEvent::Step);
        for number in 0..self.processes.len() {
            self.process_events(number, &mut events);
        }
        if self.remaining.faults > 0 {
            events.extend((0..HOSTS).flat_map(|number| {
                [
                    OwnerEvent::CutOutgoing(number),
                    OwnerEvent::CutIncoming(number),
                ]
            }));
        }
        for (from, to) in Self::pairs() {
            match self.links[from * HOSTS + to].state {
                LinkState::Up if self.remaining.faults > 0 => {
                    events.extend([OwnerEvent::Cut(from, to), OwnerEvent::Delay(from, to)]);
                }
                LinkState::Up => {}
                _ => events.push(OwnerEvent::Restore(from, to)),
            }
        }
        events
    }

    pub(super) fn digest(&self) -> u128 {
        let links = digest_of(&self.links);
        digest_of(&(digest_of_unordered(&self.processes), links, &self.remaining))
    }

    pub(super) fn violation(&self) -> Option<String> {
        let serving = self.running().filter(|process| process.is_serving());
        let serving: Vec<_> = serving
            .map(|process| format!("h{}.{}", process.name, process.incarnation))
            .collect();
        let text = || format!("I6: {} serve the target at once", serving.join(" and "));
        (serving.len() > 1).then(text)
    }
}
