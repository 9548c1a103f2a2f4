//! Specification of the adoption of configuration versions, over [`ConfigFollower`].
//!
//! Three hosts in three zones follow a platform that may answer with any index that was ever
//! published. Each host sends the version in force on it to the others.

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
/// Times matter only after a failed fetch. `NOW` is after the retry pause that follows it.
const FAILED_AT: MonoTime = MonoTime::START;
const NOW: MonoTime = MonoTime::from_millis(1000);

#[derive(Clone, Debug)]
struct VersionHost {
    follower: ConfigFollower,
    /// The index that is being checked, as it was presented to the follower.
    checking: Option<IndexSummary>,
    in_force: Option<IndexSummary>,
    /// Lowest version in force on the other hosts when this host restarted or resumed.
    floor: u64,
    is_paused: bool,
    is_serving: bool,
}

/// A state of the version model.
#[derive(Clone, Debug)]
pub struct VersionState {
    omitted_rule: Option<VersionRule>,
    remaining: VersionBound,
    faults_total: u32,
    published: Vec<IndexSummary>,
    hosts: Vec<VersionHost>,
    links: Vec<Option<IndexSummary>>,
    recorded_violation: Option<String>,
}

fn summary(version: u64, variant: usize) -> IndexSummary {
    IndexSummary {
        version: ConfigVersion::new(version),
        digest: DocumentDigest::of_document(format!("{version}.{variant}").as_bytes()),
    }
}

impl VersionState {
    fn new(bound: VersionBound, omitted_rule: Option<VersionRule>) -> Self {
        let mut state = Self {
            omitted_rule,
            remaining: VersionBound {
                messages: 3 + 6 + bound.messages,
                ..bound
            },
            faults_total: bound.faults,
            published: vec![summary(1, 0)],
            hosts: Vec::new(),
            links: vec![None; HOSTS * HOSTS],
            recorded_violation: None,
        };
        state.hosts = (0..HOSTS).map(|_| state.new_host()).collect();
        for number in 0..HOSTS {
            state.apply(&VersionEvent::Read(number, 0));
            state.apply(&VersionEvent::Fetch(number));
            state.apply(&VersionEvent::Accept(number));
        }
        for (from, to) in Self::pairs() {
            state.apply(&VersionEvent::SendVersion(from, to));
            state.apply(&VersionEvent::ReceiveVersion(from, to));
        }
        state
    }

    fn pairs() -> impl Iterator<Item = (usize, usize)> {
        let all = (0..HOSTS).flat_map(|from| (0..HOSTS).map(move |to| (from, to)));
        all.filter(|(from, to)| from != to)
    }

    fn host_count(&self) -> HostCount {
        let others = match self.omitted_rule {
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

    /// Returns the index as it is presented to the follower, which differs where a rule is omitted.
    fn presented_index(&self, number: usize, index: IndexSummary) -> IndexSummary {
        let is_conflicting =
            |other: &IndexSummary| other.version == index.version && *other != index;
        let version = match self.omitted_rule {
            Some(VersionRule::VersionOrder) => {
                let accepted = self.hosts[number].follower.accepted();
                let is_known = accepted.is_some_and(|known| known.digest == index.digest);
                accepted.map_or(0, |known| known.version.get()) + u64::from(!is_known)
            }
            Some(VersionRule::DigestConflict) => {
                let earlier = self.published.iter().take_while(|other| **other != index);
                10 * index.version.get()
                    + earlier.filter(|other| is_conflicting(other)).count() as u64
            }
            _ => index.version.get(),
        };
        IndexSummary {
            version: ConfigVersion::new(version),
            digest: index.digest,
        }
    }

    /// Returns the published index for one that was presented to a follower.
    fn published_index(&self, presented: IndexSummary) -> Option<IndexSummary> {
        let mut published = self.published.iter();
        published
            .find(|index| index.digest == presented.digest)
            .copied()
    }

    fn deliver_index(&mut self, number: usize, source: IndexSource, index: IndexSummary) {
        let presented = self.presented_index(number, index);
        self.hosts[number].follower.on_index(source, presented, NOW);
    }

    fn fetch(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        if let Some(index) = host.follower.next_fetch() {
            let name = "rules".into();
            let digest = index.digest;
            host.follower
                .on_parts(index, &[PartSummary { name, digest }]);
            host.follower.on_part(digest);
            host.checking = Some(index);
        }
    }

    /// Returns the lowest version in force on the other hosts.
    fn floor_for(&self, number: usize) -> u64 {
        let others = self.hosts.iter().enumerate().filter(|(n, _)| *n != number);
        let version = |host: &VersionHost| host.in_force.map_or(0, |index| index.version.get());
        others.map(|(_, host)| version(host)).min().unwrap_or(0)
    }

    fn restart(&mut self, number: usize) {
        self.remaining.faults -= 1;
        self.hosts[number] = self.new_host();
        self.hosts[number].floor = self.floor_for(number);
        // Connections end with the process, and messages on them are lost.
        (0..HOSTS).for_each(|from| self.links[from * HOSTS + number] = None);
    }

    fn resume(&mut self, number: usize) {
        self.hosts[number].is_paused = false;
        self.hosts[number].floor = self.floor_for(number);
        let count = self.host_count();
        if self.omitted_rule != Some(VersionRule::WakeRefresh) {
            self.hosts[number].follower.on_resume();
            self.hosts[number].follower.on_host_count(count);
        }
        if self.omitted_rule != Some(VersionRule::FreshReports) {
            (0..HOSTS).for_each(|from| self.links[from * HOSTS + number] = None);
        }
    }

    fn apply(&mut self, event: &VersionEvent) {
        match *event {
            VersionEvent::Publish => {
                self.remaining.versions -= 1;
                let last = self.published.last().map_or(0, |index| index.version.get());
                self.published.push(summary(last + 1, 0));
            }
            VersionEvent::PublishConflicting => {
                self.remaining.twins -= 1;
                let last = self.published.last().map_or(0, |index| index.version.get());
                self.published.push(summary(last, self.published.len()));
            }
            VersionEvent::Read(number, n) => {
                self.remaining.messages -= 1;
                self.deliver_index(number, IndexSource::Platform, self.published[n]);
            }
            VersionEvent::SendVersion(from, to) => {
                self.remaining.messages -= 1;
                self.links[from * HOSTS + to] = self.hosts[from].in_force;
            }
            VersionEvent::ReceiveVersion(from, to) => {
                let (host, zone) = (names::host(from), names::zone(from));
                if let Some(index) = self.links[from * HOSTS + to] {
                    self.deliver_index(to, IndexSource::Peer { host, zone }, index);
                }
            }
            VersionEvent::Fetch(number) => self.fetch(number),
            VersionEvent::Restart(number) => self.restart(number),
            VersionEvent::Pause(number) => {
                self.remaining.faults -= 1;
                self.hosts[number].is_paused = true;
            }
            VersionEvent::Wake(number) => self.resume(number),
            VersionEvent::Fail(number)
            | VersionEvent::Accept(number)
            | VersionEvent::Refuse(number) => {
                self.apply_check_result(event, number);
            }
        }
        for number in 0..HOSTS {
            self.update_host(number);
        }
    }

    fn apply_check_result(&mut self, event: &VersionEvent, number: usize) {
        let host = &mut self.hosts[number];
        if let VersionEvent::Fail(_) = event {
            self.remaining.failures -= 1;
            if let Some(index) = host.follower.next_fetch() {
                host.follower.on_fetch_failed(index, FAILED_AT);
            }
            return;
        }
        let Some(checking) = host.checking.take() else {
            return;
        };
        let outcome = match event {
            VersionEvent::Accept(_) => host.follower.accept(checking),
            _ => {
                self.remaining.failures -= 1;
                host.follower.refuse(checking)
            }
        };
        if let Err(error) = outcome {
            self.recorded_violation = Some(format!(
                "h{number} lost the version that it checks: {error}"
            ));
        }
    }

    /// Updates the version in force on a host and whether it serves, and records a reverted version.
    fn update_host(&mut self, number: usize) {
        if self.hosts[number].is_paused {
            return;
        }
        let accepted = self.hosts[number].follower.accepted();
        let next = accepted.and_then(|presented| self.published_index(presented));
        let host = &mut self.hosts[number];
        if let (Some(before), Some(after)) = (host.in_force, next) {
            let is_lower = after.version < before.version;
            if is_lower || (after.version == before.version && after != before) {
                let (old, new) = (before.version, after.version);
                self.recorded_violation = Some(match is_lower {
                    true => format!("I13: h{number} goes from version {old} back to {new}"),
                    false => format!("I13: h{number} changes within version {old}"),
                });
            }
        }
        host.in_force = next;
        let is_ready = host.follower.readiness(false) == HostReadiness::Ready;
        let is_early = self.omitted_rule == Some(VersionRule::ReadyFirst) && next.is_some();
        host.is_serving = is_ready || is_early;
    }

    fn events(&self) -> Vec<VersionEvent> {
        let mut events = Vec::new();
        if self.remaining.versions > 0 {
            events.push(VersionEvent::Publish);
        }
        if self.remaining.twins > 0 {
            events.push(VersionEvent::PublishConflicting);
        }
        for (number, host) in self.hosts.iter().enumerate() {
            if host.is_paused {
                events.push(VersionEvent::Wake(number));
                continue;
            }
            if self.remaining.messages > 0 {
                events.extend((0..self.published.len()).map(|n| VersionEvent::Read(number, n)));
            }
            if host.checking.is_some() {
                events.push(VersionEvent::Accept(number));
            }
            if host.follower.next_fetch().is_some() {
                events.push(VersionEvent::Fetch(number));
            }
            // Hosts are symmetric, so only one choice of the first host to fail is explored.
            if self.remaining.faults > 0
                && (number == 0 || self.remaining.faults < self.faults_total)
            {
                events.extend([VersionEvent::Restart(number), VersionEvent::Pause(number)]);
            }
            if self.remaining.failures > 0 && host.checking.is_some() {
                events.push(VersionEvent::Refuse(number));
            }
            if self.remaining.failures > 0 && host.follower.next_fetch().is_some() {
                events.push(VersionEvent::Fail(number));
            }
        }
        for (from, to) in Self::pairs() {
            let is_running = !self.hosts[from].is_paused && self.remaining.messages > 0;
            if is_running && self.hosts[from].in_force.is_some() {
                events.push(VersionEvent::SendVersion(from, to));
            }
            if !self.hosts[to].is_paused && self.links[from * HOSTS + to].is_some() {
                events.push(VersionEvent::ReceiveVersion(from, to));
            }
        }
        events
    }

    fn violation(&self) -> Option<String> {
        let is_behind = |host: &VersionHost| {
            let version = host.in_force.map_or(0, |index| index.version.get());
            host.is_serving && !host.is_paused && version < host.floor
        };
        let behind = self.hosts.iter().position(is_behind).map(|number| {
            let floor = self.hosts[number].floor;
            format!("I13: h{number} serves while all others had version {floor} when it came back")
        });
        self.recorded_violation.clone().or(behind)
    }
}

/// Creates the model within a bound, with all rules or with one omitted.
pub fn version_model(
    bound: VersionBound,
    omitted_rule: Option<VersionRule>,
) -> ProtocolModel<VersionState, VersionEvent> {
    ProtocolModel {
        start: Box::new(move || VersionState::new(bound, omitted_rule)),
        events: VersionState::events,
        copy: Some(VersionState::clone),
        apply: VersionState::apply,
        digest: |state| digest_of(state),
        violation: VersionState::violation,
    }
}
