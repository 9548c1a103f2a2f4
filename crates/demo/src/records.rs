//! What callers and targets saw.

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

/// Most records of one log, so that a run that goes wrong does not take the memory of the machine.
const RECORDS_MAX: usize = 4_000_000;

/// Records of one team or target, under their own lock. Clones share them.
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
    /// Makes an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a record.
    pub fn push(&self, record: T) {
        let mut records = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if records.len() < RECORDS_MAX {
            records.push(record);
        }
    }

    /// Counts the records.
    pub fn len(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Tells whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes all records out.
    pub fn take(&self) -> Vec<T> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// What a request asks for.
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

    /// Returns the name for the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lookup => "lookups",
            Self::Purchase => "purchases",
            Self::Upload => "uploads",
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The whole answer to this request came.
    Answered,
    /// An answer came, but not the one to this request.
    Foreign,
    /// The target answered with this error.
    TargetError(u16),
    /// The fleet refused it.
    Refused {
        /// Why, as the answer says.
        reason: SmolStr,
        /// Whether the answer says that the request did not run.
        is_not_run: bool,
    },
    /// The connection ended before the whole answer.
    Cut,
    /// The host took no connection, so that nothing was sent.
    Unreachable,
    /// No whole answer came in time.
    TimedOut,
}

/// One request as its caller saw it. Times count from the start of the run.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// When it was due.
    pub sent: Duration,
    /// When the answer was whole or the failure certain.
    pub ended: Duration,
    /// What it asked for.
    pub kind: CallKind,
    /// Its own name.
    pub name: SmolStr,
    /// The host that it was sent to.
    pub host: HostId,
    /// Whether it came with the key that is withdrawn in the run.
    pub has_old_key: bool,
    /// How it ended.
    pub end: CallEnd,
}

impl CallRecord {
    /// Tells whether the fleet certainly charged the team for it.
    pub fn is_admitted(&self) -> bool {
        match &self.end {
            CallEnd::Answered | CallEnd::Foreign | CallEnd::TargetError(_) => true,
            CallEnd::Refused { reason, .. } => {
                matches!(reason.as_str(), "no-capacity" | "bad-gateway" | "timed-out")
            }
            _ => false,
        }
    }

    /// Tells whether the fleet refused it as above the team's rate.
    pub fn is_over_rate(&self) -> bool {
        matches!(&self.end, CallEnd::Refused { reason, .. } if reason == "over-rate")
    }
}

/// One request as its target saw it come.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalRecord {
    /// When it came, from the start of the run.
    pub at: Duration,
    /// Requests that ran at the target, this one included.
    pub at_once: u32,
    /// Whether the target was cold.
    pub is_cold: bool,
    /// Whether a caller sent it; probes are not counted as work.
    pub is_call: bool,
}

/// What was done to the fleet, and when. Times count from the start of the run.
#[derive(Clone, Debug, Default)]
pub struct FaultTimes {
    /// First moment at which the gray target failed.
    pub gray_from: Duration,
    /// Moment at which it was well again.
    pub gray_to: Duration,
    /// Start of the booking that takes the zone out.
    pub zone_from: Duration,
    /// End of that booking.
    pub zone_to: Duration,
    /// When the withdrawal of the key was published.
    pub key_withdrawn: Duration,
    /// When the planned stop began.
    pub stop_from: Duration,
    /// When the planned stop had ended.
    pub stop_to: Duration,
    /// Whether the stopped host says that all its requests ended.
    pub is_drained: bool,
    /// When the other host crashed.
    pub crash: Duration,
}
