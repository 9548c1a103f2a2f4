//! The platform's lagging list of hosts.

use std::net::SocketAddr;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

/// A host as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostEntry {
    /// Name of the host.
    pub id: HostId,
    /// Zone that the host is in.
    pub zone: ZoneId,
    /// Address for the other hosts.
    pub address: SocketAddr,
    /// Whether the host is about to leave.
    pub is_leaving: bool,
}

/// The platform's list of hosts. It lags, so that it is a hint and not a fact.
#[derive(Clone, Debug, Default)]
pub struct HostRoster {
    hosts: IndexMap<HostId, HostEntry>,
}

impl HostRoster {
    /// Makes a roster of the given hosts.
    pub fn new(hosts: impl IntoIterator<Item = HostEntry>) -> Self {
        let hosts = hosts.into_iter().map(|host| (host.id.clone(), host));
        Self {
            hosts: hosts.collect(),
        }
    }

    /// Returns a host.
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

    /// Counts the hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Tells whether there is no host.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
