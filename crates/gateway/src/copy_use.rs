//! Records how old this host's copy of the store is when a decision uses it.
//!
//! A change must be in use on every host within a bound. A copy that is older than half of it when it is used shows
//! that the bound is close, before a request goes to a target that has left.

use std::fmt;

use chicorycroft_directory::prelude::*;

use crate::state::GatewayState;

/// A decision that uses the copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyUse {
    /// A dispatcher grants a permit for a target.
    Grant,
    /// A host sends a request to a target.
    Send,
}

impl fmt::Display for CopyUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Grant => "grant",
            Self::Send => "send",
        })
    }
}

/// Records the age of each part of the copy, and logs when it passes half of the bound or falls below it again.
pub fn record_copy_use(state: &GatewayState, copy_use: CopyUse, request: &str) {
    let (now, bound) = (state.now(), state.settings.change_bound);
    for part in StorePart::ALL {
        let contact = state.store_cache.contact(part);
        let (Some(age), Some(source)) = (contact.age(now), contact.source()) else {
            continue;
        };
        state.metrics.on_copy_use(copy_use, part, source, age.get());
        let is_late = age.get() > bound / 2;
        if state.store_cache.set_late(part, is_late) != is_late {
            log::info!(
                "event=copy_age_changed id={request} use={copy_use} part={part} late={is_late} age={age} \
                 source={source} bound_ms={}",
                bound.as_millis()
            );
        }
    }
}
