//! Whom to send heartbeats to, and which hosts read the platform.
//!
//! Both are computed by rendezvous hashing, so that a change of one host moves few choices.
//!
//! What a node sends, at a heartbeat period of 0.5 s: its heartbeats, and answers to as many. The
//! sizes were measured with the example `exchange_bytes` of the crate `peer`; 104 bytes are added to
//! each message for the headers of two TCP segments.
//!
//! | fleet | heartbeats/s | bytes each | bytes/s |
//! |---|---|---|---|
//! | 3 hosts in 3 zones | 2 x 2 = 4 | 267 + 61 + 208 | 2,144 |
//! | 48 hosts in 3 zones | 15 x 2 + 4 x 0.5 = 32 | 278 + 61 + 208 | 17,504 |
//! | 1,700 hosts in 10 zones | 6 x 2 + 9 x 0.5 = 16.5 | 177 + 62 + 208 | 7,376 |
//!
//! The last row is without load reports. Each fourth heartbeat with the load of 10 targets and 5
//! services (398 bytes) adds 912 bytes/s.

use chicorycroft_core::{
    prelude::*, //
    rendezvous::ranked,
};

use crate::roster::HostEntry;

/// Up to this many others in the own zone, all of them get heartbeats.
pub const MESH_MAX: usize = 16;

/// In a larger zone, this many others get heartbeats. With 8, the traffic at 1,700 hosts would be
/// above the 9 KB/s that a node has for control.
pub const SAMPLE_COUNT: usize = 6;

/// Hosts of each other zone that get heartbeats, while there are at most [`FEW_ZONES`].
pub const OUTSIDE_COUNT: usize = 2;

/// Above this number of other zones, one host of each gets heartbeats.
pub const FEW_ZONES: usize = 3;

/// Hosts of other zones get every so many heartbeats, because they decide nothing that is urgent.
pub const OUTSIDE_EVERY: u64 = 4;

/// Whom a host sends heartbeats to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeartbeatPlan {
    own_zone: Vec<HostId>,
    other_zones: Vec<HostId>,
}

fn names_of<'a>(hosts: impl IntoIterator<Item = &'a HostEntry>) -> Vec<HostId> {
    hosts.into_iter().map(|host| host.id.clone()).collect()
}

impl HeartbeatPlan {
    /// Chooses among the known hosts for the host `own` in the zone `zone`.
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
            ..=FEW_ZONES => OUTSIDE_COUNT,
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

    /// Returns the hosts of the own zone.
    pub fn own_zone(&self) -> &[HostId] {
        &self.own_zone
    }

    /// Returns the hosts of other zones.
    pub fn other_zones(&self) -> &[HostId] {
        &self.other_zones
    }

    /// Tells whether a host gets heartbeats.
    pub fn contains(&self, host: &HostId) -> bool {
        self.own_zone.contains(host) || self.other_zones.contains(host)
    }

    /// Returns the hosts that get a heartbeat in a round.
    pub fn due(&self, round: u64) -> impl Iterator<Item = &HostId> {
        let others = match round % OUTSIDE_EVERY {
            // They are the only hosts that can tell a host alone in its zone from one that is cut off.
            _ if self.own_zone.is_empty() => self.other_zones.as_slice(),
            0 => self.other_zones.as_slice(),
            _ => &[],
        };
        self.own_zone.iter().chain(others)
    }

    /// Returns the average number of heartbeats in a round, rounded up.
    pub fn per_round(&self) -> usize {
        let outside = match self.own_zone.is_empty() {
            true => self.other_zones.len(),
            false => self.other_zones.len().div_ceil(OUTSIDE_EVERY as usize),
        };
        self.own_zone.len() + outside
    }
}

/// Hosts of a zone that read the platform.
pub const READERS_PER_ZONE: usize = 2;

/// Which hosts of a zone read the platform.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReaderChoice {
    readers: Vec<HostId>,
}

impl ReaderChoice {
    /// Chooses among the live hosts of a zone.
    pub fn new<'a>(zone: &ZoneId, hosts: impl IntoIterator<Item = &'a HostId>) -> Self {
        let hosts: Vec<&HostId> = hosts.into_iter().collect();
        let key = format!("readers/{zone}");
        let ranked = ranked(&key, hosts.iter(), |host| host.as_str());
        let readers = ranked.into_iter().take(READERS_PER_ZONE);
        Self {
            readers: readers.map(|host| (*host).clone()).collect(),
        }
    }

    /// Tells whether a host reads the platform.
    pub fn contains(&self, host: &HostId) -> bool {
        self.readers.contains(host)
    }

    /// Returns the readers.
    pub fn readers(&self) -> &[HostId] {
        &self.readers
    }
}
