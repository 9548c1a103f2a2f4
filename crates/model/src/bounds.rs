//! The bounds within which the models are explored.

use crate::{
    ownership::OwnerBound,
    rates::RateBound,
    slots::SlotBound,
    versions::VersionBound, //
};

/// The bounds of all models.
#[derive(Clone, Copy, Debug)]
pub struct ModelBounds {
    /// Rate shares.
    pub rates: RateBound,
    /// Configuration versions.
    pub versions: VersionBound,
    /// Ownership, with one fault and enough steps for a whole takeover.
    pub owners: OwnerBound,
    /// Ownership, with two faults and fewer steps.
    pub owner_pairs: OwnerBound,
    /// Slots.
    pub slots: SlotBound,
}

/// The bounds of the example `explore`.
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

/// The bounds of the tests, small enough for an unoptimized build.
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
