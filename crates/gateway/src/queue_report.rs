//! Log lines and metrics of the queues of this host's dispatcher.
//!
//! Load pattern: for some seconds most requests are turned away, some hundred each second. A summary of the queues is
//! written once a second while something changes, and the inputs of single decisions for a few requests a second.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;

use crate::state::GatewayState;

/// Most lines about single requests in a second.
const LINES_MAX: u64 = 10;

/// Lines about single requests that were written in the current second.
#[derive(Debug, Default)]
pub struct QueueReport {
    /// Second of the process in the upper half, and lines in the lower half.
    written: AtomicU64,
}

impl QueueReport {
    /// Creates a report without lines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a line, and returns `true` if it may be written.
    pub fn may_write(&self, now: MonoTime) -> bool {
        let second = (now.as_micros() / 1_000_000) << 32;
        let next = |written: u64| match written >> 32 == second >> 32 {
            true if written & u64::from(u32::MAX) >= LINES_MAX => None,
            true => Some(written + 1),
            false => Some(second + 1),
        };
        let order = Ordering::Relaxed;
        self.written.fetch_update(order, order, next).is_ok()
    }
}

/// Logs a request that was turned away, on arrival or after `waited`.
pub fn log_turned_away(
    state: &GatewayState,
    request: &AdmitRequest,
    terms: BusyTerms,
    waited: Duration,
) {
    if request.wait_millis == 0 || !state.queue_report.may_write(state.now()) {
        return;
    }
    let millis = |time: Option<Duration>| {
        let millis = time.map(|time| time.as_millis().to_string());
        millis.unwrap_or_else(|| "-".to_owned())
    };
    log::info!(
        "event=turned_away id={} service={} team={} priority={} waited_ms={} expected_ms={} wait_max_ms={} left_ms={} \
         objective_ms={} return_ms={}",
        request.request,
        request.service,
        request.team.as_ref().map_or("-", TeamId::as_str),
        request.priority,
        waited.as_millis(),
        terms.expected_wait.as_millis(),
        request.wait_millis,
        request.left_millis,
        millis(request.objective_left()),
        millis(terms.return_after)
    );
}

/// Logs the state of the queues if it differs from an earlier one, and returns it.
pub fn log_queues(state: &GatewayState, earlier: QueueTotals) -> QueueTotals {
    let totals = state.dispatcher.queue_totals();
    if totals != earlier {
        let waiting = totals.waiting.iter();
        let waiting: Vec<String> = waiting
            .map(|(priority, count)| format!("{priority}:{count}"))
            .collect();
        log::info!(
            "event=queues waiting={} turned_away={} told_late={} tickets_given={} tickets_kept={} early={}",
            waiting.join(","),
            totals.refused,
            totals.told_late,
            totals.given,
            totals.kept,
            totals.early
        );
    }
    totals
}
