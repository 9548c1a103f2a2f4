//! Placement of requests: the owner of each target, its slots and the selection among targets.
//!
//! - [`ownership`]: keys, timeouts and errors of ownership.
//! - [`owners`]: owner of each target, and whether this host may serve it.
//! - [`slots`]: concurrency limits of the owned targets.
//! - [`chooser`]: selection of the target for a request.

pub mod chooser;
mod contact;
pub mod owners;
pub mod ownership;
pub mod slots;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        chooser::{
            SkipReason,
            TargetCandidate,
            TargetChoice,
            TargetChooser, //
        },
        owners::OwnerTable,
        ownership::{
            KeyScope,
            ListedHost,
            OwnedKey,
            OwnerHandover,
            OwnershipError,
            OwnershipTimeouts,
            majority_contact, //
        },
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
