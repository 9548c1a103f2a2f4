//! Whom to send heartbeats to, and which hosts read the platform.
//!
//! Both are computed by rendezvous hashing, so that a change of one host moves few choices.

use chicorycroft_core::{
    prelude::*, //
    rendezvous::ranked,
};

use crate::roster::HostEntry;

/// Up to this many others in the own zone, all of them get heartbeats.
pub const MESH_MAX: usize = 16;

/// In a larger zone, this many others get heartbeats. With messages of 126 bytes and the answers to
/// as many peers, this stays under the 9 KB/s of control traffic that a node has in a fleet of
/// 1,700 hosts.
pub const SAMPLE_COUNT: usize = 8;

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

    /// Returns the average number of heartbeats in four rounds, divided by four, rounded up.
    pub fn per_round(&self) -> usize {
        let every = usize::try_from(OUTSIDE_EVERY).unwrap_or(1);
        self.own_zone.len() + self.other_zones.len().div_ceil(every)
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
