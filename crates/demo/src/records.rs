//! Events recorded by callers and targets.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;
use smol_str::SmolStr;

/// Maximum number of records of one log, so that a faulty run cannot exhaust the memory of the machine.
const RECORDS_MAX: usize = 4_000_000;

/// Records of one team or target, behind their own lock. Clones share the records.
#[derive(Debug)]
pub struct EventLog<T>(Arc<Mutex<Vec<T>>>);

impl<T> Clone for EventLog<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Default for EventLog<T> {
    fn default() -> Self {
        Self(Arc::default())
    }
}

impl<T> EventLog<T> {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a record, unless the log is full.
    pub fn push(&self, record: T) {
        let mut records = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if records.len() < RECORDS_MAX {
            records.push(record);
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Returns `true` if there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes and returns all records.
    pub fn take(&self) -> Vec<T> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The kind of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallKind {
    /// A lookup, which changes nothing.
    Lookup,
    /// A purchase, which must not run twice.
    Purchase,
    /// An upload.
    Upload,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Lookup, Self::Purchase, Self::Upload];

    /// Returns the plural name that the tables use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lookup => "lookups",
            Self::Purchase => "purchases",
            Self::Upload => "uploads",
        }
    }
}

/// The outcome of a request for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The complete answer to this request arrived.
    Answered,
    /// An answer arrived, but to another request.
    WrongAnswer,
    /// The target answered with this error status.
    TargetError(u16),
    /// The fleet refused the request.
    Refused {
        /// Reason given in the answer.
        reason: SmolStr,
        /// Whether the answer states that the request did not run.
        is_not_run: bool,
    },
    /// The connection closed before the complete answer arrived.
    Cut,
    /// The host accepted no connection, so nothing was sent.
    Unreachable,
    /// No complete answer arrived in time.
    TimedOut,
}

/// A request, as recorded by its caller. Times are relative to the start of the run.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Time at which the request was scheduled.
    pub sent: Duration,
    /// Time at which the answer was complete or the request had failed.
    pub ended: Duration,
    /// Kind of the request.
    pub kind: CallKind,
    /// Unique name of the request.
    pub name: SmolStr,
    /// Host that the request was sent to.
    pub host: HostId,
    /// Whether the request used the key that is withdrawn during the run.
    pub has_withdrawn_key: bool,
    /// Outcome of the request.
    pub outcome: CallOutcome,
}

impl CallRecord {
    /// Returns `true` if the request was certainly charged to the team's rate.
    pub fn is_admitted(&self) -> bool {
        match &self.outcome {
            CallOutcome::Answered | CallOutcome::WrongAnswer | CallOutcome::TargetError(_) => true,
            CallOutcome::Refused { reason, .. } => {
                matches!(reason.as_str(), "no-capacity" | "bad-gateway" | "timed-out")
            }
            _ => false,
        }
    }

    /// Returns `true` if the request was refused as over the team's rate.
    pub fn is_over_rate(&self) -> bool {
        matches!(&self.outcome, CallOutcome::Refused { reason, .. } if reason == "over-rate")
    }
}

/// A request, as recorded by its target on arrival.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalRecord {
    /// Time of arrival, from the start of the run.
    pub at: Duration,
    /// Number of requests running at the target, including this one unless it is shed.
    pub concurrent: u32,
    /// Whether the target was cold.
    pub is_cold: bool,
    /// Whether a caller sent the request. Probes are recorded, but not counted as work.
    pub is_call: bool,
}

/// Times of the injected faults, from the start of the run.
#[derive(Clone, Debug, Default)]
pub struct FaultTimes {
    /// Time at which the gray target started to fail.
    pub gray_from: Duration,
    /// Time at which the gray target recovered.
    pub gray_to: Duration,
    /// Start of the booking that takes the zone out.
    pub zone_from: Duration,
    /// End of that booking.
    pub zone_to: Duration,
    /// Time at which the withdrawal of the key was published.
    pub key_withdrawn: Duration,
    /// Time at which the planned stop began.
    pub stop_from: Duration,
    /// Time at which the planned stop ended.
    pub stop_to: Duration,
    /// Whether the stopped host reported that all its requests completed.
    pub is_drained: bool,
    /// Time at which the other host crashed.
    pub crash: Duration,
}
