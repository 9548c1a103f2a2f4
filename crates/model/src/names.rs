//! Names of the hosts, zones, teams and targets of the models.

use chicorycroft_core::prelude::*;
use std::sync::LazyLock;

fn valid<T>(name: Result<T, impl std::fmt::Display>) -> T {
    match name {
        Ok(name) => name,
        Err(error) => unreachable!("the names of the models are valid: {error}"),
    }
}

static HOSTS: LazyLock<Vec<HostId>> = LazyLock::new(|| {
    (0..8)
        .map(|n| valid(HostId::new(&format!("h{n}"))))
        .collect()
});

/// Returns the id of the `n`-th host.
pub(crate) fn host(n: usize) -> HostId {
    HOSTS[n].clone()
}

/// Returns the id of the only team.
pub(crate) fn team() -> TeamId {
    valid(TeamId::new("team"))
}

/// Returns the id of the `n`-th zone.
pub(crate) fn zone(n: usize) -> ZoneId {
    valid(ZoneId::new(&format!("z{n}")))
}

/// Returns the id of the only region.
pub(crate) fn region() -> RegionId {
    valid(RegionId::new("region"))
}

/// Returns the id of the only target.
pub(crate) fn target() -> TargetId {
    valid(TargetId::new("target"))
}
