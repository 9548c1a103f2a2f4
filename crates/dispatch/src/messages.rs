//! Messages between hosts and a dispatcher.
//!
//! They are encoded by position: the order, number and kind of fields and variants are part of the protocol.

use std::{
    fmt,
    time::Duration, //
};

use chicorycroft_core::{
    define_counter,
    prelude::*, //
};
use chicorycroft_directory::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use crate::{
    evidence::TargetTrust,
    pool_load::PoolLoad,
    target_limit::LimitState, //
};

define_counter!(
    /// Number of a permit, unique within its dispatcher.
    PermitNumber
);
define_counter!(
    /// Number of a waiting request, unique within its dispatcher.
    TicketNumber
);

/// Converts a time to whole milliseconds as messages carry it, saturating at [`u32::MAX`].
pub fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Request of a host for a permit to send one request to a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmitRequest {
    /// Id of the caller's request, for log lines.
    pub request: SmolStr,
    /// Service that the request is for.
    pub service: ServiceId,
    /// Zone of the targets; `None` allows any zone.
    pub zone: Option<ZoneId>,
    /// Team whose rate is charged; `None` if it was charged before or the route needs no key.
    #[serde(rename = "charged")]
    pub charged_team: Option<TeamId>,
    /// Team of the request, for fair queueing.
    pub team: Option<TeamId>,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Whether running the request twice does no harm.
    pub is_idempotent: bool,
    /// Whether the request was sent to a target before.
    pub is_repeat: bool,
    /// Longest time to wait for a slot, in milliseconds; 0 requests an immediate answer.
    pub wait_millis: u32,
    /// Time that the request has left, in milliseconds; its permit expires with it.
    pub left_millis: u32,
    /// Time until the end of the request's latency objective, in milliseconds, and 0 after it; `None` if its route has
    /// none.
    pub objective_millis: Option<u32>,
    /// Targets to which the host holds an idle connection.
    pub connected: Vec<TargetId>,
    /// Least trusted state in which a target is acceptable.
    #[serde(rename = "trust")]
    pub least_trust: TargetTrust,
    /// Targets to exclude: those that the request was sent to before, and those that the host cannot reach.
    pub tried: Vec<TargetId>,
}

impl AdmitRequest {
    /// Returns the longest time to wait for a slot.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_millis.into())
    }

    /// Returns the time until the end of the latency objective; `None` without one.
    pub fn objective_left(&self) -> Option<Duration> {
        let millis = self.objective_millis?;
        Some(Duration::from_millis(millis.into()))
    }

    /// Returns the time at which the request's time is over.
    pub fn ends_at(&self, now: MonoTime) -> MonoTime {
        now.after(self.time_left())
    }

    /// Returns the time that the request has left.
    pub fn time_left(&self) -> Duration {
        Duration::from_millis(self.left_millis.into())
    }
}

/// Permit to send one request to one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DispatchGrant {
    /// Number of the permit, for its release.
    pub permit: PermitNumber,
    /// Target to send to.
    pub target: TargetId,
    /// Mean latency of the service in the zone, in milliseconds; the hedging delay follows from it.
    #[serde(rename = "usual_millis")]
    pub mean_latency_millis: u32,
    /// Trust in the target at the time of the grant.
    pub trust: TargetTrust,
    /// What the dispatcher knows about the rate limit of the target.
    pub limit: LimitState,
    /// Why the target was taken, for the dispatcher's log; not sent.
    #[serde(skip)]
    pub choice: TargetChoice,
}

/// Why a dispatcher took a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetChoice {
    /// Whether the request tries a target that got none for a while.
    pub is_trial: bool,
    /// Mean time of the target's answers.
    pub mean_time: Duration,
    /// Expected time to the answer, with the requests that the target has open.
    pub expected_time: Duration,
}

impl fmt::Display for TargetChoice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.is_trial {
            true => "trial",
            false => "rank",
        })
    }
}

/// Answer of a dispatcher to an [`AdmitRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdmitAnswer {
    /// The request may be sent.
    Granted(DispatchGrant),
    /// The team is over its rate.
    OverRate {
        /// Time after which a retry may pass, in milliseconds.
        retry_millis: u32,
    },
    /// No acceptable target has a slot, and none is expected within the wait.
    Busy {
        /// Expected time until a slot is free, in milliseconds.
        retry_millis: u32,
        /// Time after which the caller may return and has a place kept, in milliseconds; `None` if a return has no use.
        return_millis: Option<u32>,
        /// Whether a target below the requested trust has a slot.
        #[serde(rename = "has_lesser")]
        has_less_trusted: bool,
    },
    /// The service has no target in the zone that accepts new requests.
    NoTarget,
    /// The retry budget of the service is used up.
    NoBudget,
}

/// Answer of a dispatcher with the load of the pool that it decided for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitReply {
    /// The answer.
    pub answer: AdmitAnswer,
    /// Load after the answer; `None` from a dispatcher of an earlier format version, or without a pool.
    pub load: Option<PoolLoad>,
}

impl From<AdmitAnswer> for PermitReply {
    /// Creates a reply without a load.
    fn from(answer: AdmitAnswer) -> Self {
        Self { answer, load: None }
    }
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptResult {
    /// The target answered without an error.
    Good,
    /// The target answered with a server error.
    Failed,
    /// The target rejected the request without running it.
    Shed,
    /// No connection could be opened.
    Unreachable,
    /// The answer was truncated, malformed or not the one to the request.
    Broken,
    /// No answer arrived in time, or the target stopped the request at its deadline.
    Hung,
    /// The address now belongs to another target.
    Misdirected,
    /// The caller disconnected, or the host gave up for a reason that does not concern the target.
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

/// Release of a permit by its host, with the result of the attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseNotice {
    /// Service of the request.
    pub service: ServiceId,
    /// Zone of the [`AdmitRequest`].
    pub zone: Option<ZoneId>,
    /// Target of the attempt.
    pub target: TargetId,
    /// Number of the permit.
    pub permit: PermitNumber,
    /// Result of the attempt.
    pub result: AttemptResult,
    /// Time from sending the request to the answer, in milliseconds.
    pub elapsed_millis: u32,
    /// What the target said about itself; `None` without an answer.
    pub signals: Option<TargetSignals>,
    /// Host that made the attempt; `None` if it speaks an earlier format version.
    pub host: Option<HostId>,
}

/// Requests that a dispatcher has charged to a team since its start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamUsage {
    /// Team that was charged.
    pub team: TeamId,
    /// Number of requests.
    pub spent: u64,
}

/// Tokens of a team: those that it lacks, those that are given, or the level of its bucket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamTokens {
    /// The team.
    pub team: TeamId,
    /// Number of tokens.
    pub tokens: TokenAmount,
}

/// The buckets of a dispatcher, for the hosts that would take over from it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BucketLevels {
    /// Share of the team rates that the dispatcher uses.
    pub share: CapacityRatio,
    /// Buckets below their capacity, with their tokens above a debt of one.
    pub teams: Vec<TeamTokens>,
}
