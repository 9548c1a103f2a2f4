//! Where a request goes: the owner of each target, its slots and the choice among targets.
//!
//! - [`owner_rules`]: keys, times and errors of ownership.
//! - [`owners`]: which host owns each target and may serve it.
//! - [`slots`]: how many requests each owned target works on, and how many it may.
//! - [`chooser`]: which target gets a request.

pub mod chooser;
mod contact;
pub mod owner_rules;
pub mod owners;
pub mod slots;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        chooser::{
            PassReason,
            TargetCandidate,
            TargetChoice,
            TargetChooser, //
        },
        owner_rules::{
            KeyHome,
            ListedHost,
            OwnedKey,
            OwnerHandover,
            OwnerTimes,
            OwnershipError,
            contact_basis, //
        },
        owners::OwnerTable,
        slots::{
            AttemptOutcome,
            SlotPermit,
            SlotPool,
            SlotRefusal,
            SlotUsage,
            TargetNotice, //
        },
    };
}
