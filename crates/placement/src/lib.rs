//! Where a request goes: the owner of each target, its slots and the choice among targets.
//!
//! - [`slots`]: how many requests each owned target works on, and how many it may.

pub mod slots;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::slots::{
        AttemptOutcome,
        SlotPermit,
        SlotPool,
        SlotRefusal, //
    };
}
