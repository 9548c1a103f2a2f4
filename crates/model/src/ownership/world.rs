//! The hosts, their links and what is on them.

use super::{
    HOSTS, OwnerBound, OwnerEvent, OwnerRule,
    process::{
        OwnerProcess,
        PeerNotice, //
    },
};
use crate::digest::{
    digest_of,
    digest_of_all, //
};

/// Steps until a host that has just started serves; shorter by one is too early.
const WARM_UP: usize = 6;

/// Most messages that wait for a paused process. Its sockets take no more.
const QUEUE_MAX: usize = 4;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum LinkState {
    #[default]
    Up,
    Cut,
    Slow,
}

#[derive(Clone, Debug, Default)]
struct HostLink {
    state: LinkState,
    /// Messages that were sent in an earlier step, and those of this one.
    late: Vec<PeerNotice>,
    fresh: Vec<PeerNotice>,
}

impl HostLink {
    fn send(&mut self, notice: PeerNotice) {
        if self.state != LinkState::Cut && self.late.len() + self.fresh.len() < QUEUE_MAX {
            self.fresh.push(notice);
        }
    }

    fn take_due(&mut self) -> Vec<PeerNotice> {
        let mut due = std::mem::take(&mut self.late);
        if self.state != LinkState::Slow {
            due.append(&mut self.fresh);
        }
        due
    }
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct OwnerWorld {
    without: Option<OwnerRule>,
    left: OwnerBound,
    processes: Vec<OwnerProcess>,
    links: Vec<HostLink>,
}

impl OwnerWorld {
    pub(super) fn new(bound: OwnerBound, without: Option<OwnerRule>) -> Self {
        let hosts = (0..HOSTS).map(|name| OwnerProcess::new(name, 1, without));
        let mut world = Self {
            without,
            left: bound,
            processes: hosts.collect(),
            links: vec![HostLink::default(); HOSTS * HOSTS],
        };
        (0..WARM_UP).for_each(|_| world.step());
        world
    }

    fn link(&mut self, from: usize, to: usize) -> &mut HostLink {
        &mut self.links[from * HOSTS + to]
    }

    fn pairs() -> impl Iterator<Item = (usize, usize)> {
        let all = (0..HOSTS).flat_map(|from| (0..HOSTS).map(move |to| (from, to)));
        all.filter(|(from, to)| from != to)
    }

    /// Returns the process that has a name now.
    fn holder(&self, name: usize) -> usize {
        let is_holder = |process: &OwnerProcess| process.name == name && !process.is_replaced;
        self.processes.iter().position(is_holder).unwrap_or(0)
    }

    fn running(&self) -> impl Iterator<Item = &OwnerProcess> {
        self.processes.iter().filter(|process| !process.is_paused)
    }

    fn step(&mut self) {
        self.processes.iter_mut().for_each(OwnerProcess::pass_time);
        for link in &mut self.links {
            let mut fresh = std::mem::take(&mut link.fresh);
            link.late.append(&mut fresh);
        }
        self.running().for_each(OwnerProcess::read_roster);
        self.update();
        for of in 0..self.processes.len() {
            let process = &self.processes[of];
            if process.is_paused {
                continue;
            }
            let from = process.name;
            let others = (0..HOSTS).filter(|to| *to != from);
            let beats: Vec<_> = others.map(|to| (to, process.beat_for(to))).collect();
            for (to, beat) in beats {
                beat.into_iter()
                    .for_each(|beat| self.link(from, to).send(beat));
            }
        }
        // Heartbeats first, then the answers to them.
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
            let of = self.holder(to);
            if self.processes[of].is_paused {
                continue;
            }
            for notice in self.link(from, to).take_due() {
                let answer = self.processes[of].receive(from, &notice, self.without);
                // Each message may arrive twice.
                let _ = self.processes[of].receive(from, &notice, self.without);
                answer
                    .into_iter()
                    .for_each(|answer| self.link(to, from).send(answer));
            }
        }
    }

    fn replace(&mut self, of: usize) {
        self.left.faults -= 1;
        let (name, incarnation) = (self.processes[of].name, self.processes[of].incarnation);
        let new = OwnerProcess::new(name, incarnation + 1, self.without);
        let mut old = std::mem::replace(&mut self.processes[of], new);
        if old.is_paused {
            old.is_replaced = true;
            self.processes.push(old);
        }
        // What waited for the old process is lost with its connections.
        for from in (0..HOSTS).filter(|from| *from != name) {
            let state = self.link(from, name).state;
            *self.link(from, name) = HostLink {
                state,
                ..HostLink::default()
            };
        }
    }

    fn hand_over(&mut self, of: usize) {
        self.left.handovers -= 1;
        let from = self.processes[of].name;
        if let Some((to, notice)) = self.processes[of].hand_over(self.without) {
            self.link(from, to).send(notice);
            self.deliver();
        }
    }

    fn set_link(&mut self, (from, to): (usize, usize), state: LinkState) {
        self.left.faults -= u32::from(state != LinkState::Up);
        self.link(from, to).state = state;
    }

    pub(super) fn apply(&mut self, event: &OwnerEvent) {
        match *event {
            OwnerEvent::Step => {
                self.left.steps -= 1;
                self.step();
            }
            OwnerEvent::Cut(from, to) => self.set_link((from, to), LinkState::Cut),
            OwnerEvent::Slow(from, to) => self.set_link((from, to), LinkState::Slow),
            OwnerEvent::Mend(from, to) => self.set_link((from, to), LinkState::Up),
            OwnerEvent::Mute(from) => {
                self.left.faults -= 1;
                let others = (0..HOSTS).filter(|to| *to != from);
                others.for_each(|to| self.link(from, to).state = LinkState::Cut);
            }
            OwnerEvent::Deafen(to) => {
                self.left.faults -= 1;
                let others = (0..HOSTS).filter(|from| *from != to);
                others.for_each(|from| self.link(from, to).state = LinkState::Cut);
            }
            OwnerEvent::Pause(of) | OwnerEvent::Suspend(of) => {
                self.left.faults -= 1;
                self.processes[of].is_paused = true;
                self.processes[of].is_suspended = matches!(event, OwnerEvent::Suspend(_));
            }
            OwnerEvent::Wake(of) => {
                self.processes[of].wake(self.without);
                self.processes[of].read_roster();
                self.processes[of].update();
            }
            OwnerEvent::Replace(of) => self.replace(of),
            OwnerEvent::Unlist(of, host) => {
                self.left.faults -= 1;
                self.processes[of].unlisted = Some(host);
                self.processes[of].read_roster();
            }
            OwnerEvent::Relist(of) => {
                self.processes[of].unlisted = None;
                self.processes[of].read_roster();
            }
            OwnerEvent::HandOver(of) => self.hand_over(of),
        }
    }

    fn process_events(&self, of: usize, events: &mut Vec<OwnerEvent>) {
        let process = &self.processes[of];
        let may_fail = self.left.faults > 0;
        if may_fail && !process.is_replaced {
            events.push(OwnerEvent::Replace(of));
        }
        if process.is_paused {
            events.push(OwnerEvent::Wake(of));
            return;
        }
        if may_fail {
            events.extend([OwnerEvent::Pause(of), OwnerEvent::Suspend(of)]);
        }
        // Lists of the hosts of a zone differ by at most one host.
        let is_first = self
            .processes
            .iter()
            .all(|process| process.unlisted.is_none());
        if process.unlisted.is_some() {
            events.push(OwnerEvent::Relist(of));
        } else if may_fail && is_first {
            events.extend((0..HOSTS).map(|host| OwnerEvent::Unlist(of, host)));
        }
        if self.left.handovers > 0 && process.is_serving() {
            events.push(OwnerEvent::HandOver(of));
        }
    }

    pub(super) fn events(&self) -> Vec<OwnerEvent> {
        let mut events = Vec::new();
        if self.left.steps == 0 {
            return events;
        }
        events.push(OwnerEvent::Step);
        for of in 0..self.processes.len() {
            self.process_events(of, &mut events);
        }
        if self.left.faults > 0 {
            events.extend((0..HOSTS).flat_map(|of| [OwnerEvent::Mute(of), OwnerEvent::Deafen(of)]));
        }
        for (from, to) in Self::pairs() {
            match self.links[from * HOSTS + to].state {
                LinkState::Up if self.left.faults > 0 => {
                    events.extend([OwnerEvent::Cut(from, to), OwnerEvent::Slow(from, to)]);
                }
                LinkState::Up => {}
                _ => events.push(OwnerEvent::Mend(from, to)),
            }
        }
        events
    }

    pub(super) fn digest(&self) -> u128 {
        let links = digest_of(&self.links);
        digest_of(&(digest_of_all(&self.processes), links, &self.left))
    }

    pub(super) fn breach(&self) -> Option<String> {
        let serving = self.running().filter(|process| process.is_serving());
        let serving: Vec<_> = serving
            .map(|process| format!("h{}.{}", process.name, process.incarnation))
            .collect();
        let text = || format!("I6: {} serve the target at once", serving.join(" and "));
        (serving.len() > 1).then(text)
    }
}
