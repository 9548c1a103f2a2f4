//! The order in which a host asks the zones for a slot, and the zone in which a request waits.
//!
//! Load pattern: one zone has lost targets or gets more requests than the others, so that a request is answered sooner
//! elsewhere. Bytes between zones are priced, and those of uploads are many.

use std::time::Duration;

use chicorycroft_core::{
    define_counter,
    prelude::*, //
};

use crate::zone_loads::ZoneView;

define_counter!(
    /// Length of the body of a request, in bytes.
    BodyLength
);

/// Time that a zone elsewhere must save for a request with a short body.
const LOOKUP_MARGIN: Duration = Duration::from_millis(25);

/// Time that a zone elsewhere must save for a request with a long body.
const UPLOAD_MARGIN: Duration = Duration::from_millis(150);

/// Differences of the expected time below which zones count as equal. If they decided, the targets of the farthest zone
/// would get nothing while the callers of another one need targets of two.
const TIME_STEP: Duration = Duration::from_millis(10);

/// Length from which a body is long.
const UPLOAD_BYTES_MIN: u64 = 32 << 10;

/// Returns the time that a zone elsewhere must save.
pub fn away_margin(length: BodyLength) -> Duration {
    match length.get() < UPLOAD_BYTES_MIN {
        true => LOOKUP_MARGIN,
        false => UPLOAD_MARGIN,
    }
}

/// What the order of zones depends on.
#[derive(Clone, Copy, Debug)]
pub struct OrderTerms<'a> {
    /// Zone of the host.
    pub home: &'a ZoneId,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Length of the request's body.
    pub length: BodyLength,
}

impl OrderTerms<'_> {
    /// Returns the time until an answer from a zone may come, with the margin for zones elsewhere.
    pub fn time_to_answer(&self, view: &ZoneView, expected_wait: Duration) -> Duration {
        let margin = match view.zone == *self.home {
            true => Duration::ZERO,
            false => away_margin(self.length),
        };
        expected_wait + view.way + margin
    }

    /// Orders zones by the expected time to an answer, in steps, the home zone first at equal times and zones that did not
    /// answer last. Zones without a known load go as if they had a slot, and zones of one step stay in their order.
    pub fn order(&self, mut views: Vec<ZoneView>) -> Vec<ZoneView> {
        views.sort_by_cached_key(|view| {
            let time = self.time_to_answer(view, view.expected_wait(self.priority));
            let step = time.as_millis() / TIME_STEP.as_millis();
            (view.is_silent, step, view.zone != *self.home)
        });
        views
    }
}
