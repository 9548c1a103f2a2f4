//! What hosts ask a dispatcher and what it answers.

use std::{
    fmt,
    time::Duration, //
};

use chicorycroft_core::{
    define_counter,
    prelude::*, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use crate::evidence::TargetTrust;

define_counter!(
    /// Number of a permit at its dispatcher.
    PermitNumber
);
define_counter!(
    /// Number of a waiting request at its dispatcher.
    TicketNumber
);

/// Returns a time as messages carry it, in milliseconds and limited to the largest value.
pub fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// A host asks for a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmitRequest {
    /// Id of the caller's request, for the logs.
    pub request: SmolStr,
    /// The service.
    pub service: ServiceId,
    /// Zone of the targets; none asks for any zone.
    pub zone: Option<ZoneId>,
    /// Team that pays for the request here; none when it paid already or needs no key.
    pub charged: Option<TeamId>,
    /// Team of the request, for fairness.
    pub team: Option<TeamId>,
    /// Rank of the request; 0 is the highest.
    pub priority: u8,
    /// Whether the request may run twice.
    pub is_idempotent: bool,
    /// Whether the request was sent to a target before.
    pub is_repeat: bool,
    /// Longest time to wait for a slot, in milliseconds.
    pub wait_millis: u32,
    /// Time that the request has left, in milliseconds; its permit ends with it.
    pub left_millis: u32,
    /// Targets to which the host holds an idle connection.
    pub connected: Vec<TargetId>,
    /// Least trust that a target must have.
    pub trust: TargetTrust,
    /// Targets that the request was sent to before.
    pub tried: Vec<TargetId>,
}

impl AdmitRequest {
    /// Returns the longest time to wait.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_millis.into())
    }

    /// Returns the time that the request has left.
    pub fn time_left(&self) -> Duration {
        Duration::from_millis(self.left_millis.into())
    }
}

/// Leave to send one request to one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DispatchGrant {
    /// Number of the permit.
    pub permit: PermitNumber,
    /// The target.
    pub target: TargetId,
    /// Usual time of an answer of the service, in milliseconds.
    pub usual_millis: u32,
    /// How far the target is trusted.
    pub trust: TargetTrust,
}

/// What a dispatcher answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdmitAnswer {
    /// The request may be sent.
    Granted(DispatchGrant),
    /// The team is over its rate.
    OverRate {
        /// Time after which a repeat may pass, in milliseconds.
        retry_millis: u32,
    },
    /// No slot becomes free in time.
    Busy {
        /// Time after which a repeat may pass, in milliseconds.
        retry_millis: u32,
        /// Whether a target of less trust than asked for has a slot.
        has_lesser: bool,
    },
    /// The service has no target here that takes work.
    NoTarget,
    /// The service was sent as many repeats as its budget allows.
    NoBudget,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptResult {
    /// The target answered well.
    Good,
    /// The target answered with a failure of its own.
    Failed,
    /// The target said that it did not run the request.
    Shed,
    /// No connection came about.
    Unreachable,
    /// The answer was cut, spoilt or not the one to the request.
    Broken,
    /// No answer came in time.
    Hung,
    /// Another target has the address.
    Misdirected,
    /// The caller left, or the host gave up for reasons of its own.
    Cancelled,
}

impl fmt::Display for AttemptResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Good => "good",
            Self::Failed => "failed",
            Self::Shed => "shed",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Hung => "hung",
            Self::Misdirected => "misdirected",
            Self::Cancelled => "cancelled",
        })
    }
}

/// A host gives a permit back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseNotice {
    /// The service.
    pub service: ServiceId,
    /// Zone that was asked for.
    pub zone: Option<ZoneId>,
    /// The target.
    pub target: TargetId,
    /// Number of the permit.
    pub permit: PermitNumber,
    /// How the attempt ended.
    pub result: AttemptResult,
    /// Time from sending to the answer, in milliseconds.
    pub elapsed_millis: u32,
}

/// What a dispatcher has let a team spend since its start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamId,
    /// Requests since the start.
    pub spent: u64,
}
