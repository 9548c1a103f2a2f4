//! Specification of the adoption of configuration versions, over [`ConfigFollower`].
//!
//! Three hosts in three zones follow a platform that may answer with anything that was ever
//! published. Each host tells the others what is in force on it.

mod events;

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;

use crate::{
    digest::digest_of,
    names,
    search::ProtocolModel, //
};

pub use events::{
    VersionBound,
    VersionEvent,
    VersionRule, //
};

const HOSTS: usize = 3;
/// Times only matter after a failed fetch, and the pause after it is always over.
const FAILED_AT: MonoTime = MonoTime::START;
const NOW: MonoTime = MonoTime::from_millis(1000);

#[derive(Clone, Debug)]
struct VersionHost {
    follower: ConfigFollower,
    /// The index that waits for its check, as the follower knows it.
    checking: Option<IndexSummary>,
    in_force: Option<IndexSummary>,
    /// Version that all others had when this host started or woke.
    floor: u64,
    is_paused: bool,
    is_serving: bool,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct VersionWorld {
    without: Option<VersionRule>,
    left: VersionBound,
    faults: u32,
    published: Vec<IndexSummary>,
    hosts: Vec<VersionHost>,
    links: Vec<Option<IndexSummary>>,
    reverted: Option<String>,
}

fn summary(version: u64, twin: usize) -> IndexSummary {
    IndexSummary {
        version: ConfigVersion::new(version),
        digest: DocumentDigest::of_document(format!("{version}.{twin}").as_bytes()),
    }
}

impl VersionWorld {
    fn new(bound: VersionBound, without: Option<VersionRule>) -> Self {
        let mut world = Self {
            without,
            left: VersionBound {
                messages: 3 + 6 + bound.messages,
                ..bound
            },
            faults: bound.faults,
            published: vec![summary(1, 0)],
            hosts: Vec::new(),
            links: vec![None; HOSTS * HOSTS],
            reverted: None,
        };
        world.hosts = (0..HOSTS).map(|_| world.new_host()).collect();
        for of in 0..HOSTS {
            world.apply(&VersionEvent::Read(of, 0));
            world.apply(&VersionEvent::Fetch(of));
            world.apply(&VersionEvent::Accept(of));
        }
        for (from, to) in Self::pairs() {
            world.apply(&VersionEvent::Say(from, to));
            world.apply(&VersionEvent::Hear(from, to));
        }
        world
    }

    fn pairs() -> impl Iterator<Item = (usize, usize)> {
        let all = (0..HOSTS).flat_map(|from| (0..HOSTS).map(move |to| (from, to)));
        all.filter(|(from, to)| from != to)
    }

    fn host_count(&self) -> HostCount {
        let others = match self.without {
            Some(VersionRule::PeersFirst) => 0,
            _ => HOSTS - 1,
        };
        HostCount {
            others,
            zones: others,
            is_fresh: true,
        }
    }

    fn new_host(&self) -> VersionHost {
        let mut follower = ConfigFollower::new();
        follower.on_host_count(self.host_count());
        VersionHost {
            follower,
            checking: None,
            in_force: None,
            floor: 0,
            is_paused: false,
            is_serving: false,
        }
    }

    /// Returns the index as the follower is told of it.
    fn shown(&self, of: usize, index: IndexSummary) -> IndexSummary {
        let twin = |other: &IndexSummary| other.version == index.version && *other != index;
        let version = match self.without {
            Some(VersionRule::VersionOrder) => {
                let accepted = self.hosts[of].follower.accepted();
                let is_known = accepted.is_some_and(|known| known.digest == index.digest);
                accepted.map_or(0, |known| known.version.get()) + u64::from(!is_known)
            }
            Some(VersionRule::DigestConflict) => {
                let earlier = self.published.iter().take_while(|other| **other != index);
                10 * index.version.get() + earlier.filter(|other| twin(other)).count() as u64
            }
            _ => index.version.get(),
        };
        IndexSummary {
            version: ConfigVersion::new(version),
            digest: index.digest,
        }
    }

    /// Returns the published index that a follower has in force.
    fn real(&self, shown: IndexSummary) -> Option<IndexSummary> {
        let mut published = self.published.iter();
        published
            .find(|index| index.digest == shown.digest)
            .copied()
    }

    fn tell(&mut self, of: usize, source: IndexSource, index: IndexSummary) {
        let shown = self.shown(of, index);
        self.hosts[of].follower.on_index(source, shown, NOW);
    }

    fn fetch(&mut self, of: usize) {
        let host = &mut self.hosts[of];
        if let Some(due) = host.follower.next_fetch() {
            let name = "rules".into();
            let digest = due.digest;
            host.follower.on_parts(due, &[PartSummary { name, digest }]);
            host.follower.on_part(digest);
            host.checking = Some(due);
        }
    }

    /// Returns the version that every other host has in force.
    fn floor_for(&self, of: usize) -> u64 {
        let others = self.hosts.iter().enumerate().filter(|(n, _)| *n != of);
        let version = |host: &VersionHost| host.in_force.map_or(0, |index| index.version.get());
        others.map(|(_, host)| version(host)).min().unwrap_or(0)
    }

    fn restart(&mut self, of: usize) {
        self.left.faults -= 1;
        self.hosts[of] = self.new_host();
        self.hosts[of].floor = self.floor_for(of);
        // Connections end with the process, and what was on them is lost.
        (0..HOSTS).for_each(|from| self.links[from * HOSTS + of] = None);
    }

    fn wake(&mut self, of: usize) {
        self.hosts[of].is_paused = false;
        self.hosts[of].floor = self.floor_for(of);
        let count = self.host_count();
        if self.without != Some(VersionRule::WakeRefresh) {
            self.hosts[of].follower.on_resume();
            self.hosts[of].follower.on_host_count(count);
        }
        if self.without != Some(VersionRule::FreshReports) {
            (0..HOSTS).for_each(|from| self.links[from * HOSTS + of] = None);
        }
    }

    fn apply(&mut self, event: &VersionEvent) {
        match *event {
            VersionEvent::Publish => {
                self.left.versions -= 1;
                let last = self.published.last().map_or(0, |index| index.version.get());
                self.published.push(summary(last + 1, 0));
            }
            VersionEvent::PublishTwin => {
                self.left.twins -= 1;
                let last = self.published.last().map_or(0, |index| index.version.get());
                self.published.push(summary(last, self.published.len()));
            }
            VersionEvent::Read(of, n) => {
                self.left.messages -= 1;
                self.tell(of, IndexSource::Platform, self.published[n]);
            }
            VersionEvent::Say(from, to) => {
                self.left.messages -= 1;
                self.links[from * HOSTS + to] = self.hosts[from].in_force;
            }
            VersionEvent::Hear(from, to) => {
                let (host, zone) = (names::host(from), names::zone(from));
                if let Some(index) = self.links[from * HOSTS + to] {
                    self.tell(to, IndexSource::Peer { host, zone }, index);
                }
            }
            VersionEvent::Fetch(of) => self.fetch(of),
            VersionEvent::Restart(of) => self.restart(of),
            VersionEvent::Pause(of) => {
                self.left.faults -= 1;
                self.hosts[of].is_paused = true;
            }
            VersionEvent::Wake(of) => self.wake(of),
            VersionEvent::Fail(of) | VersionEvent::Accept(of) | VersionEvent::Refuse(of) => {
                self.decide(event, of);
            }
        }
        for of in 0..HOSTS {
            self.settle(of);
        }
    }

    fn decide(&mut self, event: &VersionEvent, of: usize) {
        let host = &mut self.hosts[of];
        if let VersionEvent::Fail(_) = event {
            self.left.failures -= 1;
            if let Some(due) = host.follower.next_fetch() {
                host.follower.on_fetch_failed(due, FAILED_AT);
            }
            return;
        }
        let Some(checking) = host.checking.take() else {
            return;
        };
        let outcome = match event {
            VersionEvent::Accept(_) => host.follower.accept(checking),
            _ => {
                self.left.failures -= 1;
                host.follower.refuse(checking)
            }
        };
        if let Err(error) = outcome {
            self.reverted = Some(format!("h{of} lost the version that it checks: {error}"));
        }
    }

    /// Works out what a host serves after an event.
    fn settle(&mut self, of: usize) {
        if self.hosts[of].is_paused {
            return;
        }
        let accepted = self.hosts[of].follower.accepted();
        let next = accepted.and_then(|shown| self.real(shown));
        let host = &mut self.hosts[of];
        if let (Some(before), Some(after)) = (host.in_force, next) {
            let is_lower = after.version < before.version;
            if is_lower || (after.version == before.version && after != before) {
                let (old, new) = (before.version, after.version);
                self.reverted = Some(match is_lower {
                    true => format!("I13: h{of} goes from version {old} back to {new}"),
                    false => format!("I13: h{of} changes within version {old}"),
                });
            }
        }
        host.in_force = next;
        let is_ready = host.follower.readiness(false) == HostReadiness::Ready;
        let is_early = self.without == Some(VersionRule::ReadyFirst) && next.is_some();
        host.is_serving = is_ready || is_early;
    }

    fn events(&self) -> Vec<VersionEvent> {
        let mut events = Vec::new();
        if self.left.versions > 0 {
            events.push(VersionEvent::Publish);
        }
        if self.left.twins > 0 {
            events.push(VersionEvent::PublishTwin);
        }
        for (of, host) in self.hosts.iter().enumerate() {
            if host.is_paused {
                events.push(VersionEvent::Wake(of));
                continue;
            }
            if self.left.messages > 0 {
                events.extend((0..self.published.len()).map(|n| VersionEvent::Read(of, n)));
            }
            if host.checking.is_some() {
                events.push(VersionEvent::Accept(of));
            }
            if host.follower.next_fetch().is_some() {
                events.push(VersionEvent::Fetch(of));
            }
            // Hosts differ by name alone, so that the first one to fail may be any one.
            if self.left.faults > 0 && (of == 0 || self.left.faults < self.faults) {
                events.extend([VersionEvent::Restart(of), VersionEvent::Pause(of)]);
            }
            if self.left.failures > 0 && host.checking.is_some() {
                events.push(VersionEvent::Refuse(of));
            }
            if self.left.failures > 0 && host.follower.next_fetch().is_some() {
                events.push(VersionEvent::Fail(of));
            }
        }
        for (from, to) in Self::pairs() {
            let is_running = !self.hosts[from].is_paused && self.left.messages > 0;
            if is_running && self.hosts[from].in_force.is_some() {
                events.push(VersionEvent::Say(from, to));
            }
            if !self.hosts[to].is_paused && self.links[from * HOSTS + to].is_some() {
                events.push(VersionEvent::Hear(from, to));
            }
        }
        events
    }

    fn breach(&self) -> Option<String> {
        let is_behind = |host: &VersionHost| {
            let version = host.in_force.map_or(0, |index| index.version.get());
            host.is_serving && !host.is_paused && version < host.floor
        };
        let behind = self.hosts.iter().position(is_behind).map(|of| {
            let floor = self.hosts[of].floor;
            format!("I13: h{of} serves while all others had version {floor} when it came back")
        });
        self.reverted.clone().or(behind)
    }
}

/// Makes the model within a bound, whole or without one rule.
pub fn version_model(
    bound: VersionBound,
    without: Option<VersionRule>,
) -> ProtocolModel<VersionWorld, VersionEvent> {
    ProtocolModel {
        start: Box::new(move || VersionWorld::new(bound, without)),
        events: VersionWorld::events,
        copy: Some(VersionWorld::clone),
        apply: VersionWorld::apply,
        digest: |world| digest_of(world),
        breach: VersionWorld::breach,
    }
}
