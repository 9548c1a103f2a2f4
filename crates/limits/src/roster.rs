//! Live hosts by zone, and the brokers that follow from them.

use chicorycroft_core::{
    prelude::*,
    rendezvous, //
};
use indexmap::IndexMap;

/// Live hosts by zone. Hosts may disagree about it; that costs messages and never tokens.
#[derive(Clone, Debug, Default)]
pub struct ZoneRoster {
    zones: IndexMap<ZoneId, Vec<HostId>>,
}

impl ZoneRoster {
    /// Makes a roster of hosts and their zones.
    pub fn new(hosts: impl IntoIterator<Item = (HostId, ZoneId)>) -> Self {
        let mut zones: IndexMap<ZoneId, Vec<HostId>> = IndexMap::new();
        for (host, zone) in hosts {
            zones.entry(zone).or_default().push(host);
        }
        Self { zones }
    }

    /// Returns the hosts of a zone.
    pub fn hosts_in(&self, zone: &ZoneId) -> &[HostId] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Counts the hosts of all zones.
    pub fn host_count(&self) -> usize {
        self.zones.values().map(Vec::len).sum()
    }

    /// Returns the broker of a team in a zone.
    pub fn broker_of(&self, zone: &ZoneId, team: &TeamId) -> Option<&HostId> {
        rendezvous::first_of(team.as_str(), self.hosts_in(zone), HostId::as_str)
    }

    /// Returns the first broker of a team in the fleet, where what moves across zones comes together.
    ///
    /// It is the first of all hosts, and hence the broker of its own zone.
    pub fn home_of(&self, team: &TeamId) -> Option<&HostId> {
        let hosts = self.zones.values().flatten();
        rendezvous::first_of(team.as_str(), hosts, HostId::as_str)
    }

    /// Returns the other zones with the brokers of a team in them.
    pub fn brokers_outside<'a>(
        &'a self,
        zone: &'a ZoneId,
        team: &'a TeamId,
    ) -> impl Iterator<Item = (&'a ZoneId, &'a HostId)> {
        let others = self.zones.keys().filter(move |other| *other != zone);
        others.filter_map(move |other| Some((other, self.broker_of(other, team)?)))
    }
}
