//! Distribution of a large configuration.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use indexmap::IndexMap;

const OLD: ConfigVersion = ConfigVersion::new(1);
const NEW: ConfigVersion = ConfigVersion::new(2);

fn host(number: usize) -> HostId {
    HostId::new(&format!("edge-{number:03}")).unwrap()
}

fn source(number: usize, transfers_max: u32) -> ConfigSource {
    ConfigSource {
        host: host(number),
        address: "192.0.2.1:7443".parse().unwrap(),
        transfers_max,
    }
}

fn poll(number: usize, version: ConfigVersion, fetching: Option<ConfigVersion>) -> HolderPoll {
    HolderPoll {
        source: source(number, 2),
        version: Some(version),
        fetching,
    }
}

/// A zone in which each round of transfers takes the same time.
struct SpreadModel {
    spread: ConfigSpread,
    now: MonoTime,
    follower_count: usize,
    holders: Vec<usize>,
    /// Most transfers of each host at a time.
    busiest: IndexMap<HostId, usize>,
}

impl SpreadModel {
    fn new(follower_count: usize, dispatcher_transfers: u32) -> Self {
        let mut model = Self {
            spread: ConfigSpread::new(source(0, dispatcher_transfers)),
            now: MonoTime::START,
            follower_count,
            holders: Vec::new(),
            busiest: IndexMap::new(),
        };
        for number in 1..=follower_count {
            model.spread.on_poll(poll(number, OLD, None), model.now);
        }
        model
    }

    /// Assigns sources to all that wait, and ends all transfers but those from hosts that fail.
    fn play_round(&mut self, failing: &[usize]) {
        let waiting = (1..=self.follower_count).filter(|number| !self.holders.contains(number));
        let waiting: Vec<usize> = waiting.collect();
        let mut assigned = Vec::new();
        for number in waiting {
            if let Some(source) = self.spread.assign(&host(number), NEW, self.now) {
                self.spread.on_poll(poll(number, OLD, Some(NEW)), self.now);
                assigned.push((number, source.host));
            }
        }
        let mut loads: IndexMap<HostId, usize> = IndexMap::new();
        for (_, source) in &assigned {
            *loads.entry(source.clone()).or_default() += 1;
        }
        for (source, load) in loads {
            let busiest = self.busiest.entry(source).or_default();
            *busiest = load.max(*busiest);
        }
        self.now = self.now.after(Duration::from_millis(200));
        for number in &self.holders {
            self.spread.on_poll(poll(*number, NEW, None), self.now);
        }
        for (number, source) in assigned {
            let has_failed = failing.iter().any(|number| host(*number) == source);
            let version = match has_failed {
                true => OLD,
                false => NEW,
            };
            self.spread.on_poll(poll(number, version, None), self.now);
            if !has_failed {
                self.holders.push(number);
            }
        }
    }
}

/// Guards against a configuration that reaches the last host late, or fills the link of a small one: each of forty hosts
/// serves two at a time, so that three, nine and 27 have it after the first rounds.
#[test]
fn number_of_sources_multiplies_with_each_round() {
    let mut model = SpreadModel::new(40, 2);
    for holders in [2, 8, 26, 40] {
        model.play_round(&[]);
        assert_eq!(model.holders.len(), holders);
    }
    assert!(model.busiest.values().all(|load| *load <= 2));
}

/// Guards against a large dispatcher whose link is not used while small hosts wait for each other.
#[test]
fn dispatcher_with_a_large_link_serves_more_hosts_at_a_time() {
    let large = transfers_max(LinkRate::new(200_000));
    assert_eq!(transfers_max(LinkRate::new(10_000)), 2);
    assert!(large > 8, "{large}");
    let mut model = SpreadModel::new(40, large);
    for _ in 0..2 {
        model.play_round(&[]);
    }
    assert_eq!(model.holders.len(), 40);
}

/// Guards against hosts that never get a configuration because they are sent to a host that cannot serve it again and again.
#[test]
fn source_from_which_transfers_fail_is_not_assigned_again_at_once() {
    let mut model = SpreadModel::new(20, 2);
    for _ in 0..7 {
        model.play_round(&[1, 2]);
    }
    assert_eq!(model.holders.len(), 20);
}

/// Guards against a transfer that holds its source for ever after the receiver has ended or lost the offer.
#[test]
fn transfer_that_does_not_end_is_forgotten() {
    let mut spread = ConfigSpread::new(source(0, 1));
    let start = MonoTime::START;
    spread.on_poll(poll(1, OLD, None), start);
    assert!(spread.assign(&host(1), NEW, start).is_some());
    assert!(spread.assign(&host(2), NEW, start).is_none());
    let later = start.after(Duration::from_secs(3));
    assert!(spread.assign(&host(2), NEW, later).is_some());
}

/// Guards against a host that is sent to one with another version, whose changes do not fit.
#[test]
fn source_has_the_version_itself() {
    let mut spread = ConfigSpread::new(source(0, 1));
    let start = MonoTime::START;
    spread.on_poll(poll(1, OLD, None), start);
    spread.on_poll(poll(2, ConfigVersion::new(3), None), start);
    let first = spread.assign(&host(3), NEW, start).unwrap();
    assert_eq!(first.host, host(0));
    assert!(spread.assign(&host(4), NEW, start).is_none());
    assert!(spread.on_poll(poll(1, NEW, None), start));
    let second = spread.assign(&host(4), NEW, start).unwrap();
    assert_eq!(second.host, host(1));
}
