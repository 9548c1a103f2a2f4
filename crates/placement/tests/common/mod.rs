//! Helpers for tests of ownership.

use chicorycroft_core::prelude::*;
use chicorycroft_placement::prelude::*;

pub(crate) fn host(n: usize) -> HostId {
    HostId::new(&format!("h{n}")).unwrap()
}

pub(crate) fn listed(id: HostId, zone: &str) -> ListedHost {
    ListedHost {
        id,
        zone: ZoneId::new(zone).unwrap(),
        region: RegionId::new("r").unwrap(),
    }
}

pub(crate) fn scope(zone: &str) -> KeyScope {
    KeyScope {
        region: RegionId::new("r").unwrap(),
        zone: Some(ZoneId::new(zone).unwrap()),
    }
}

pub(crate) fn key(name: &str) -> OwnedKey {
    format!("target/{name}").parse().unwrap()
}

pub(crate) fn table_of(own: ListedHost) -> OwnerTable {
    OwnerTable::new(
        own.id,
        own.zone,
        OwnershipTimeouts::default(),
        MonoTime::START,
    )
}
