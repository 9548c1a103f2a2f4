//! The part of the fleet that a dispatcher decides for.

use chicorycroft_core::prelude::*;

/// The part of the fleet that a dispatcher decides for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetShare {
    /// Fraction of each team's rate and burst that the dispatcher may use, by the units that hosts have lent to it. Zero if
    /// it has none, as its own is lent to another dispatcher.
    pub fraction: CapacityRatio,
    /// Fraction of the rate that a target states which the dispatcher may use. It is whole only if most hosts of the zone
    /// follow the dispatcher, so that two dispatchers which have not discovered each other use one and a half times the
    /// rate at most, as the platform allows.
    pub zone_fraction: CapacityRatio,
    /// Whether other hosts request their permits from this dispatcher. One without followers sends nothing to cold
    /// targets and to those that state a limit, as another dispatcher may do so already.
    pub is_followed: bool,
}

impl Default for FleetShare {
    /// The share of a dispatcher that decides for the whole fleet.
    fn default() -> Self {
        let whole = CapacityRatio::from_mille(CapacityRatio::MAX_MILLE);
        Self {
            fraction: whole,
            zone_fraction: whole,
            is_followed: true,
        }
    }
}
