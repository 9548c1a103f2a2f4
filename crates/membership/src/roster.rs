//! The platform's list of hosts, which lags behind the actual fleet.

use std::net::SocketAddr;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

/// An entry in the platform's list of hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostEntry {
    /// Name of the host.
    pub id: HostId,
    /// Zone that the host is in.
    pub zone: ZoneId,
    /// Address that other hosts connect to.
    pub address: SocketAddr,
    /// Whether the host is leaving the fleet.
    pub is_leaving: bool,
}

/// The platform's list of hosts. It lags, so it is only a hint about which hosts exist.
#[derive(Clone, Debug, Default)]
pub struct HostRoster {
    hosts: IndexMap<HostId, HostEntry>,
}

impl HostRoster {
    /// Creates a roster of the given hosts.
    pub fn new(hosts: impl IntoIterator<Item = HostEntry>) -> Self {
        let hosts = hosts.into_iter().map(|host| (host.id.clone(), host));
        Self {
            hosts: hosts.collect(),
        }
    }

    /// Returns the entry of a host.
    pub fn get(&self, id: &HostId) -> Option<&HostEntry> {
        self.hosts.get(id)
    }

    /// Returns all hosts.
    pub fn iter(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.values()
    }

    /// Returns the hosts of a zone.
    pub fn in_zone<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a HostEntry> {
        self.iter().filter(move |host| &host.zone == zone)
    }

    /// Returns the number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns `true` if the list contains no hosts.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
