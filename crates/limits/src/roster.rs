//! Live hosts by zone, and the selection of brokers.

use chicorycroft_core::{
    prelude::*,
    rendezvous, //
};
use indexmap::IndexMap;

/// Live hosts by zone. Hosts may have different rosters; this costs messages but never creates
/// tokens.
#[derive(Clone, Debug, Default)]
pub struct ZoneRoster {
    zones: IndexMap<ZoneId, Vec<HostId>>,
}

impl ZoneRoster {
    /// Creates a roster from hosts and their zones.
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

    /// Returns the number of hosts in all zones.
    pub fn host_count(&self) -> usize {
        self.zones.values().map(Vec::len).sum()
    }

    /// Returns the broker of a team in a zone.
    pub fn broker_of(&self, zone: &ZoneId, team: &TeamId) -> Option<&HostId> {
        rendezvous::first_of(team.as_str(), self.hosts_in(zone), HostId::as_str)
    }

    /// Returns the fleet-wide broker of a team, which pools tokens across zones.
    ///
    /// It is ranked first among all hosts, and hence is also the broker of its own zone.
    pub fn fleet_broker(&self, team: &TeamId) -> Option<&HostId> {
        let hosts = self.zones.values().flatten();
        rendezvous::first_of(team.as_str(), hosts, HostId::as_str)
    }

    /// Returns the other zones with the team's broker in each of them.
    pub fn brokers_outside<'a>(
        &'a self,
        zone: &'a ZoneId,
        team: &'a TeamId,
    ) -> impl Iterator<Item = (&'a ZoneId, &'a HostId)> {
        let others = self.zones.keys().filter(move |other| *other != zone);
        others.filter_map(move |other| Some((other, self.broker_of(other, team)?)))
    }
}
