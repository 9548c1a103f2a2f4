//! The bounds within which the models are explored.

use crate::{
    ownership::OwnerBound,
    rates::RateBound,
    slots::SlotBound,
    versions::VersionBound, //
};

/// A bound for each model.
#[derive(Clone, Copy, Debug)]
pub struct ModelBounds {
    /// Rate shares.
    pub rates: RateBound,
    /// Configuration versions.
    pub versions: VersionBound,
    /// Owners, with one fault over a whole takeover.
    pub owners: OwnerBound,
    /// Owners, with two faults over a shorter time.
    pub owner_pairs: OwnerBound,
    /// Slots.
    pub slots: SlotBound,
}

/// The bound of the example `explore`.
pub const FULL: ModelBounds = ModelBounds {
    rates: RateBound {
        steps: 3,
        draws: 1,
        doubles: 1,
        faults: 1,
    },
    versions: VersionBound {
        versions: 1,
        twins: 1,
        messages: 3,
        faults: 1,
        failures: 1,
    },
    owners: OwnerBound {
        steps: 14,
        faults: 1,
        handovers: 1,
    },
    owner_pairs: OwnerBound {
        steps: 5,
        faults: 2,
        handovers: 0,
    },
    slots: SlotBound {
        steps: 4,
        requests: 6,
        faults: 2,
    },
};

/// The bound of the tests, small enough for a build without optimisation.
pub const SMALL: ModelBounds = ModelBounds {
    rates: RateBound {
        steps: 1,
        draws: 1,
        doubles: 1,
        faults: 1,
    },
    versions: VersionBound {
        versions: 1,
        twins: 1,
        messages: 2,
        faults: 1,
        failures: 0,
    },
    owners: OwnerBound {
        steps: 11,
        faults: 1,
        handovers: 0,
    },
    owner_pairs: OwnerBound {
        steps: 2,
        faults: 2,
        handovers: 0,
    },
    slots: SlotBound {
        steps: 3,
        requests: 4,
        faults: 1,
    },
};
