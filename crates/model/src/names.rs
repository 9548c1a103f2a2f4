//! Names for the hosts of a model.

use chicorycroft_core::prelude::*;
use std::sync::LazyLock;

fn valid<T>(name: Result<T, impl std::fmt::Display>) -> T {
    match name {
        Ok(name) => name,
        Err(error) => unreachable!("the names of a model follow the grammar: {error}"),
    }
}

static HOSTS: LazyLock<Vec<HostId>> = LazyLock::new(|| {
    (0..8)
        .map(|n| valid(HostId::new(&format!("h{n}"))))
        .collect()
});

/// Returns the name of a host.
pub(crate) fn host(n: usize) -> HostId {
    HOSTS[n].clone()
}

/// Returns the only team.
pub(crate) fn team() -> TeamId {
    valid(TeamId::new("team"))
}

/// Returns a zone.
pub(crate) fn zone(n: usize) -> ZoneId {
    valid(ZoneId::new(&format!("z{n}")))
}

/// Returns the only region.
pub(crate) fn region() -> RegionId {
    valid(RegionId::new("region"))
}

/// Returns the only target.
pub(crate) fn target() -> TargetId {
    valid(TargetId::new("target"))
}
