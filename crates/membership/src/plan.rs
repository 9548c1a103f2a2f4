//! Which peers get heartbeats, and which hosts read the platform.
//!
//! Both are chosen by rendezvous hashing, so that adding or removing one host changes few choices.
//!
//! In a zone where all hosts exchange heartbeats, one host of each pair initiates them and the other one answers
//! with its own heartbeat, so that one exchange acknowledges both directions. Hosts of other zones, and those of
//! a sample, answer with a short acknowledgement.
//!
//! The table shows the traffic that a host sends at a heartbeat period of 0.5 s. The sizes are the output of the
//! example `exchange_bytes` of the crate `peer`, plus 208 bytes per exchange for the headers of four TCP
//! segments. A host sends half of the bytes of an exchange with each host of its zone.
//!
//! | fleet | exchanges/s | bytes each | bytes/s |
//! |---|---|---|---|
//! | 3 hosts in 3 zones | 2 x 2 = 4 | 233 + 60 + 208 | 2,004 |
//! | 48 hosts in 3 zones, own zone | 15 x 2 / 2 = 15 | 199 + 186 + 208 | 8,895 |
//! | 48 hosts in 3 zones, other zones | 4 x 0.5 = 2 | 235 + 60 + 208 | 1,006 |
//! | 1,700 hosts in 10 zones | 6 x 2 + 9 x 0.5 = 16.5 | 177 + 60 + 208 | 7,343 |
//!
//! The rows for 48 hosts include the load of 2 targets and no service counters. Counters of 2 services in each
//! heartbeat add 1,406 bytes/s. The last row is without load reports; if every fourth heartbeat contains the load
//! of 10 targets and 5 services (398 bytes), that adds 912 bytes/s.

use chicorycroft_core::{
    prelude::*, //
    rendezvous::{
        ranked,
        weight_of, //
    },
};

use crate::roster::HostEntry;

/// Largest number of other hosts in the own zone with which all of them get heartbeats.
pub const MESH_MAX: usize = 16;

/// Number of other hosts that get heartbeats in a larger zone. With 8, the traffic at 1,700 hosts would exceed
/// the budget of 9 KB/s for a host's control messages.
pub const SAMPLE_COUNT: usize = 6;

/// Number of hosts of each other zone that get heartbeats, if there are at most [`FEW_ZONES_MAX`] other zones.
pub const OTHER_ZONE_PEERS: usize = 2;

/// Number of other zones above which only one host of each gets heartbeats.
pub const FEW_ZONES_MAX: usize = 3;

/// Rounds between two heartbeats to a host of another zone. It is longer than in the own zone, because no urgent
/// decision depends on these heartbeats.
pub const OTHER_ZONE_INTERVAL: u64 = 4;

/// Returns `true` if the host `own` is the initiator of heartbeats in its pair with `peer`, which answers them
/// with its own. Each host is the initiator in about half of its pairs.
pub fn is_initiator(own: &HostId, peer: &HostId) -> bool {
    let (low, high) = (own.min(peer), own.max(peer));
    let is_low = weight_of(low.as_str(), high.as_str()).is_multiple_of(2);
    is_low == (own == low)
}

/// The peers that a host sends heartbeats to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeartbeatPlan {
    own_zone: Vec<HostId>,
    other_zones: Vec<HostId>,
}

fn names_of<'a>(hosts: impl IntoIterator<Item = &'a HostEntry>) -> Vec<HostId> {
    hosts.into_iter().map(|host| host.id.clone()).collect()
}

impl HeartbeatPlan {
    /// Chooses the peers of the host `own` in the zone `zone` from the known hosts.
    pub fn new<'a>(
        own: &HostId,
        zone: &ZoneId,
        hosts: impl IntoIterator<Item = &'a HostEntry>,
    ) -> Self {
        let others = hosts.into_iter().filter(|host| &host.id != own);
        let (inside, outside): (Vec<_>, Vec<_>) = others.partition(|host| &host.zone == zone);
        let count = match inside.len() {
            ..=MESH_MAX => MESH_MAX,
            _ => SAMPLE_COUNT,
        };
        let rank = |hosts: Vec<&'a HostEntry>| {
            let ranked = ranked(own.as_str(), hosts.iter(), |host| host.id.as_str());
            ranked.into_iter().copied().collect::<Vec<_>>()
        };
        let own_zone = names_of(rank(inside).into_iter().take(count));
        let mut zones = indexmap::IndexMap::<&ZoneId, Vec<&HostEntry>>::new();
        for host in outside {
            zones.entry(&host.zone).or_default().push(host);
        }
        let per_zone = match zones.len() {
            ..=FEW_ZONES_MAX => OTHER_ZONE_PEERS,
            _ => 1,
        };
        let other_zones = zones.into_values().flat_map(|hosts| {
            let ranked = rank(hosts);
            names_of(ranked.into_iter().take(per_zone))
        });
        Self {
            own_zone,
            other_zones: other_zones.collect(),
        }
    }

    /// Returns the peers in the own zone.
    pub fn own_zone(&self) -> &[HostId] {
        &self.own_zone
    }

    /// Returns the peers in other zones.
    pub fn other_zones(&self) -> &[HostId] {
        &self.other_zones
    }

    /// Returns all peers.
    pub fn all(&self) -> impl Iterator<Item = &HostId> {
        self.own_zone.iter().chain(&self.other_zones)
    }

    /// Returns `true` if the host gets heartbeats.
    pub fn contains(&self, host: &HostId) -> bool {
        self.own_zone.contains(host) || self.other_zones.contains(host)
    }

    /// Returns the peers that get a heartbeat in the given round.
    pub fn due(&self, round: u64) -> impl Iterator<Item = &HostId> {
        let others = match round % OTHER_ZONE_INTERVAL {
            // For a host that is alone in its zone, only they show whether it is partitioned from the fleet.
            _ if self.own_zone.is_empty() => self.other_zones.as_slice(),
            0 => self.other_zones.as_slice(),
            _ => &[],
        };
        self.own_zone.iter().chain(others)
    }

    /// Returns the average number of heartbeats per round, rounded up.
    pub fn per_round(&self) -> usize {
        let outside = match self.own_zone.is_empty() {
            true => self.other_zones.len(),
            false => self
                .other_zones
                .len()
                .div_ceil(OTHER_ZONE_INTERVAL as usize),
        };
        self.own_zone.len() + outside
    }
}

/// Number of hosts per zone that read the platform.
pub const READERS_PER_ZONE: usize = 2;

/// The hosts of a zone that read the platform.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReaderChoice {
    readers: Vec<HostId>,
}

impl ReaderChoice {
    /// Chooses the readers from the live hosts of a zone.
    pub fn new<'a>(zone: &ZoneId, hosts: impl IntoIterator<Item = &'a HostId>) -> Self {
        let hosts: Vec<&HostId> = hosts.into_iter().collect();
        let key = format!("readers/{zone}");
        let ranked = ranked(&key, hosts.iter(), |host| host.as_str());
        let readers = ranked.into_iter().take(READERS_PER_ZONE);
        Self {
            readers: readers.map(|host| (*host).clone()).collect(),
        }
    }

    /// Returns `true` if the host is a reader.
    pub fn contains(&self, host: &HostId) -> bool {
        self.readers.contains(host)
    }

    /// Returns the readers.
    pub fn readers(&self) -> &[HostId] {
        &self.readers
    }
}
