//! Hosts that read the store and each other in any order, while it comes back from older copies.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use quickcheck::QuickCheck;

const HOSTS: usize = 3;
const TARGETS: u8 = 4;

/// Time from one step to the next, in milliseconds.
const STEP_MILLIS: u64 = 50;

/// Steps after a return of the store until live targets have written again.
const REWRITE_STEPS: usize = 5;

/// Incarnation of a target, by its number and start.
type Incarnation = (u8, u64);

fn id(number: u8) -> TargetId {
    TargetId::new(&format!("t-{number}")).unwrap()
}

fn entry((number, born): Incarnation, sequence: u64, phase: TargetPhase) -> TargetEntry {
    TargetEntry {
        id: id(number),
        service: ServiceId::new("rate").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneId::new("a").unwrap(),
        slots: SlotCount::new(2),
        phase,
        cold_left: Duration::ZERO,
        born,
        sequence,
    }
}

/// What a target is doing.
#[derive(Clone, Copy, Debug)]
struct TargetTruth {
    born: u64,
    sequence: u64,
    is_live: bool,
}

/// A full read or the base of a watch.
#[derive(Clone, Debug)]
struct Reading {
    as_of: StorePosition,
    entries: Vec<TargetEntry>,
}

/// The store and the targets.
#[derive(Debug, Default)]
struct StoreModel {
    era: u64,
    writes: Vec<DirectoryChange>,
    truths: BTreeMap<u8, TargetTruth>,
}

impl StoreModel {
    fn position(&self) -> StorePosition {
        let revision = StoreRevision::new(self.writes.len() as u64);
        StorePosition::new(StoreEra::new(self.era), revision)
    }

    fn reading(&self) -> Reading {
        let mut entries = BTreeMap::new();
        for write in &self.writes {
            match write {
                DirectoryChange::TargetUpdated(entry) => {
                    entries.insert(entry.id.clone(), entry.clone());
                }
                DirectoryChange::TargetRemoved(id) => {
                    entries.remove(id);
                }
                _ => {}
            }
        }
        Reading {
            as_of: self.position(),
            entries: entries.into_values().collect(),
        }
    }

    fn put(&mut self, number: u8, phase: TargetPhase) {
        let truth = self.truths.get_mut(&number).unwrap();
        truth.sequence += 1;
        let entry = entry((number, truth.born), truth.sequence, phase);
        self.writes.push(DirectoryChange::TargetUpdated(entry));
    }

    fn start(&mut self, number: u8) {
        let known = self.truths.get(&number);
        if known.is_some_and(|truth| truth.is_live) {
            return;
        }
        let truth = TargetTruth {
            born: known.map_or(1, |truth| truth.born + 1),
            sequence: 0,
            is_live: true,
        };
        self.truths.insert(number, truth);
        self.put(number, TargetPhase::Ready);
    }

    fn leave(&mut self, number: u8, drains: bool) {
        let truth = self.truths.get_mut(&number).unwrap();
        if !truth.is_live {
            return;
        }
        truth.is_live = false;
        match drains {
            true => self.put(number, TargetPhase::Draining),
            false => {
                let removed = DirectoryChange::TargetRemoved(id(number));
                self.writes.push(removed);
            }
        }
    }

    fn heartbeat_all(&mut self) {
        for number in 0..TARGETS {
            if self.truths[&number].is_live {
                self.put(number, TargetPhase::Ready);
            }
        }
    }

    fn live(&self) -> BTreeSet<Incarnation> {
        let live = self.truths.iter().filter(|(_, truth)| truth.is_live);
        live.map(|(number, truth)| (*number, truth.born)).collect()
    }
}

/// A host with the position that its watch has reached.
#[derive(Debug, Default)]
struct HostModel {
    tracker: DirectoryTracker,
    watched: StorePosition,
    /// Incarnations that had left and that this host has closed.
    closed: BTreeSet<Incarnation>,
}

impl HostModel {
    fn open(&self) -> BTreeSet<Incarnation> {
        let service = ServiceId::new("rate").unwrap();
        let open = self.tracker.directory().open_targets(&service);
        let number = |id: &TargetId| id.as_str()[2..].parse().unwrap();
        open.map(|entry| (number(&entry.id), entry.born)).collect()
    }

    fn read(&mut self, reading: Reading, now: MonoTime) {
        self.tracker.on_contact(now);
        self.tracker
            .replace_targets(reading.entries, reading.as_of, now);
    }

    /// Watches the store from the reached position on, or reads it in full in a later era.
    fn poll(&mut self, store: &StoreModel, now: MonoTime) {
        let as_of = store.position();
        if self.watched.era != as_of.era || self.watched == StorePosition::default() {
            self.read(store.reading(), now);
        } else {
            let after = usize::try_from(self.watched.revision.get()).unwrap();
            let changes = store.writes[after..].to_vec();
            self.tracker.on_contact(now);
            self.tracker.apply(StorePart::Targets, changes, as_of, now);
        }
        self.watched = as_of;
    }

    /// Returns `false` if an incarnation that had left is open again.
    fn check(&mut self, before: &BTreeSet<Incarnation>, live: &BTreeSet<Incarnation>) -> bool {
        let open = self.open();
        let closed = before
            .iter()
            .filter(|incarnation| !live.contains(incarnation) && !open.contains(incarnation));
        self.closed.extend(closed);
        self.closed.is_disjoint(&open)
    }
}

/// Runs steps, each of an action and two numbers. Returns `false` if a rule is broken.
fn run(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut store = StoreModel::default();
    (0..TARGETS).for_each(|number| store.start(number));
    let mut hosts: Vec<HostModel> = (0..HOSTS).map(|_| HostModel::default()).collect();
    let mut answers: Vec<Reading> = Vec::new();
    let mut rewrite_at = None;
    let mut now = MonoTime::START;
    for (step, (action, first, second)) in steps.into_iter().enumerate() {
        now = now.after(Duration::from_millis(STEP_MILLIS));
        if rewrite_at == Some(step) {
            store.heartbeat_all();
        }
        let number = first % TARGETS;
        let host = usize::from(first) % HOSTS;
        let other = usize::from(second) % HOSTS;
        // The end of the time to register does not show that a target has left.
        hosts
            .iter_mut()
            .for_each(|host| host.tracker.drop_lapsed(now));
        let before: Vec<_> = hosts.iter().map(HostModel::open).collect();
        match action % 12 {
            0 | 1 if store.truths[&number].is_live => store.put(number, TargetPhase::Ready),
            2 => store.leave(number, true),
            3 => store.leave(number, false),
            4 => store.start(number),
            5 => {
                let count = store.writes.len();
                let kept = count.saturating_sub(usize::from(second % 8)).max(1);
                store.writes.truncate(kept);
                store.era += 1;
                rewrite_at = Some(step + REWRITE_STEPS);
            }
            6..=8 => hosts[host].poll(&store, now),
            9 => answers.push(store.reading()),
            10 if !answers.is_empty() => {
                let answer = answers[usize::from(second) % answers.len()].clone();
                hosts[host].read(answer, now);
            }
            11 if host != other => {
                let from = &hosts[other].tracker;
                let (directory, positions) = (from.registered(), from.positions());
                let (sighting, span) = (from.era_sighting(now), from.served_span(now));
                let tracker = &mut hosts[host].tracker;
                tracker.on_era_sighting(sighting, now);
                if let Some(span) = span {
                    tracker.on_served(span, now, now);
                    let age = Duration::from_millis(span.last_millis.into());
                    tracker.on_any_contact(ContactAge::new(age), now);
                }
                tracker.adopt((*directory).clone(), positions, second >= 128, now);
            }
            _ => {}
        }
        let live = store.live();
        for (host, before) in hosts.iter_mut().zip(before) {
            if !host.check(&before, &live) {
                return false;
            }
        }
    }
    // The entries of targets that have left lapse, and the others go on writing.
    for number in 0..TARGETS {
        if !store.truths[&number].is_live {
            let removed = DirectoryChange::TargetRemoved(id(number));
            store.writes.push(removed);
        }
    }
    for _ in 0..3 {
        now = now.after(Duration::from_secs(4));
        store.heartbeat_all();
        for host in &mut hosts {
            host.poll(&store, now);
            host.tracker.drop_lapsed(now);
        }
    }
    let live = store.live();
    let content = hosts[0].tracker.directory().content;
    hosts.iter().all(|host| {
        host.open() == live
            && host.closed.is_disjoint(&live)
            && host.tracker.directory().content == content
    })
}

/// Guards against hosts that end with different directories, miss a change or use a target again that has left: reads,
/// watches, late answers and the directories of other hosts arrive in any order, over several eras.
#[test]
fn any_order_of_arrival_ends_in_the_same_directory() {
    QuickCheck::new()
        .tests(5_000)
        .max_tests(5_000)
        .quickcheck(run as fn(Vec<(u8, u8, u8)>) -> bool);
}
