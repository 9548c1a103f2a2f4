//! The recorded history of a run and the checks of the platform's guarantees on it.
//!
//! Times are counted from the start of the load.

use std::{
    fmt,
    time::Duration, //
};

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::plan::HostIndex;

/// Time without faults before a request after which the guarantees with time bounds hold; the platform's
/// `stableS`.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time from the withdrawal of a key until all hosts must refuse it; the platform's `revokeS`.
pub const REVOKE_TIME: Duration = Duration::from_secs(5);

/// Time from the removal of a target's entry until no more requests may reach it; the platform's `drainS`.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time after the route's limit within which an answer must arrive; the platform counts requests as unanswered half a
/// second after the limit.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Smallest number of late answers that counts as a violation; the platform uses the same number.
const LATE_ANSWERS_MIN: usize = 8;

/// Fraction of the requests at the end of a run that must be served, in tenths. The platform rates a service as
/// disrupted if more than a tenth of its requests are not served.
const SERVED_TENTHS_MIN: usize = 9;

/// Time after the last fault within which the service must be restored: a third of the platform's `recoveryS`.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// The outcome of a call for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// An answer arrived.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the answer has the signature of a target.
        is_signed: bool,
        /// Request id that the answer refers to.
        request: SmolStr,
        /// Body of the answer.
        body: String,
    },
    /// The connection ended before or during the answer.
    Cut,
    /// No connection could be opened.
    NoConnection,
    /// No answer arrived while the caller waited.
    Unanswered,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Request id.
    pub id: SmolStr,
    /// Host that the request was sent to.
    pub host: HostIndex,
    /// Whether the request may be executed more than once.
    pub is_idempotent: bool,
    /// Number of the key, or `None` on a public route.
    pub key: Option<usize>,
    /// Time at which the request was sent.
    pub sent_at: Duration,
    /// Time at which the call ended.
    pub ended_at: Duration,
    /// Outcome of the call.
    pub outcome: CallOutcome,
}

/// A request that a target executed.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    /// Request id.
    pub id: SmolStr,
    /// Target that executed the request.
    pub target: SmolStr,
    /// Time at which the request arrived at the target.
    pub at: Duration,
    /// Team in the request's header, which the gateway sets.
    pub team: Option<SmolStr>,
    /// Whether the request contained the caller's key.
    pub has_key: bool,
}

/// A period in which a fault affected one host or the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    /// The affected host, or `None` if all hosts may be affected.
    pub host: Option<HostIndex>,
    /// Start of the period.
    pub from: Duration,
    /// End of the period.
    pub to: Duration,
    /// Whether it is planned maintenance, which must not lose requests.
    pub is_planned: bool,
}

/// A violation of a guarantee.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GuaranteeViolation {
    /// Name of the guarantee.
    pub guarantee: &'static str,
    /// The request or host concerned and what was observed.
    pub detail: String,
}

impl fmt::Display for GuaranteeViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.detail)
    }
}

/// All requests, executions and faults of a run.
#[derive(Clone, Debug, Default)]
pub struct SoakHistory {
    /// Requests of callers.
    pub calls: Vec<CallRecord>,
    /// Requests that targets executed.
    pub executions: Vec<ExecutionRecord>,
    /// Periods in which faults were active.
    pub faults: Vec<FaultSpan>,
    /// Withdrawn keys with the time of their withdrawal.
    pub withdrawn_keys: IndexMap<usize, Duration>,
    /// Targets whose entries were removed, with the times of removal and restoration.
    pub removed_entries: Vec<(SmolStr, Duration, Duration)>,
    /// The team that all keys belong to.
    pub team: SmolStr,
    /// Time limit of the route, within which an answer must be sent.
    pub route_limit: Duration,
    /// Length of the run.
    pub length: Duration,
}

/// Statuses that guarantee that a request was not executed and will not be.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

impl SoakHistory {
    /// Checks all guarantees and returns the violations.
    pub fn violations(&self) -> Vec<GuaranteeViolation> {
        let mut executions: IndexMap<&str, Vec<&ExecutionRecord>> = IndexMap::new();
        for execution in &self.executions {
            executions
                .entry(execution.id.as_str())
                .or_default()
                .push(execution);
        }
        let mut violations = Vec::new();
        for call in &self.calls {
            let of_call = executions
                .get(call.id.as_str())
                .map_or(&[][..], Vec::as_slice);
            violations.extend(self.check_call(call, of_call));
        }
        let calls: IndexMap<&str, &CallRecord> = self
            .calls
            .iter()
            .map(|call| (call.id.as_str(), call))
            .collect();
        for execution in &self.executions {
            violations
                .extend(self.check_execution(execution, calls.get(execution.id.as_str()).copied()));
        }
        violations.extend(self.check_answer_times());
        violations.extend(self.check_recovery());
        violations
    }

    fn check_call(
        &self,
        call: &CallRecord,
        executions: &[&ExecutionRecord],
    ) -> Vec<GuaranteeViolation> {
        let mut violations = Vec::new();
        let mut report = |guarantee, detail: &str| {
            violations.push(GuaranteeViolation {
                guarantee,
                detail: format!(
                    "{} at {} sent at {:?} {detail}",
                    call.id, call.host, call.sent_at
                ),
            });
        };
        if !call.is_idempotent && executions.len() > 1 {
            report(
                "runs once at most",
                &format!("ran {} times", executions.len()),
            );
        }
        if let CallOutcome::Answered {
            status,
            is_signed,
            request,
            body,
        } = &call.outcome
        {
            let is_refused = NOT_RUN_STATUSES.contains(status) && !is_signed;
            if is_refused && !call.is_idempotent && !executions.is_empty() {
                report(
                    "refusals are true",
                    &format!("was answered {status} and ran"),
                );
            }
            if *request != call.id {
                report(
                    "answers belong to their request",
                    &format!("got that of {request}"),
                );
            }
            let is_whole = executions
                .iter()
                .any(|execution| *body == format!("answer of {}", execution.target));
            if (200..300).contains(status) && !(*is_signed && is_whole) {
                report(
                    "answers are the target's",
                    &format!("got {status} with {body:?}"),
                );
            }
        }
        let is_valid = call
            .key
            .is_none_or(|key| !self.withdrawn_keys.contains_key(&key));
        let is_denied = matches!(
            call.outcome,
            CallOutcome::Answered {
                status: 401 | 403 | 404,
                is_signed: false,
                ..
            }
        );
        if is_denied
            && is_valid
            && self.is_undisturbed(call.host, call.sent_at, call.ended_at, false)
        {
            report("what is allowed is not denied", "was denied");
        }
        let is_dropped = matches!(call.outcome, CallOutcome::Cut) && !executions.is_empty();
        if is_dropped && self.is_undisturbed(call.host, call.sent_at, call.ended_at, true) {
            report("planned work loses no request", "ran and was cut");
        }
        violations
    }

    fn check_execution(
        &self,
        execution: &ExecutionRecord,
        call: Option<&CallRecord>,
    ) -> Vec<GuaranteeViolation> {
        let mut violations = Vec::new();
        let mut report = |guarantee, detail: String| {
            violations.push(GuaranteeViolation {
                guarantee,
                detail: format!(
                    "{} at {} at {:?} {detail}",
                    execution.id, execution.target, execution.at
                ),
            });
        };
        let Some(call) = call else {
            report("only what was asked runs", "was never sent".into());
            return violations;
        };
        let team = call.key.map(|_| &self.team);
        if execution.team.as_ref() != team || execution.has_key {
            let detail = format!(
                "ran for team {:?}, with the key: {}",
                execution.team, execution.has_key
            );
            report("targets get the team and no key", detail);
        }
        let withdrawn_at = call.key.and_then(|key| self.withdrawn_keys.get(&key));
        if withdrawn_at.is_some_and(|at| call.sent_at > *at + REVOKE_TIME) {
            report(
                "withdrawn keys do not work",
                format!("was sent at {:?}", call.sent_at),
            );
        }
        let is_removed = |(target, from, to): &&(SmolStr, Duration, Duration)| {
            *target == execution.target && (*from + DRAIN_TIME..*to).contains(&call.sent_at)
        };
        let is_undisturbed = self.is_undisturbed(call.host, call.sent_at, execution.at, false);
        if is_undisturbed && self.removed_entries.iter().any(|entry| is_removed(&entry)) {
            report(
                "targets that left get nothing",
                format!("was sent at {:?}", call.sent_at),
            );
        }
        violations
    }

    /// Returns `true` if no fault affected a host from [`STABLE_TIME`] before `from` until `to`. With
    /// `ignores_planned`, planned maintenance does not count as a fault.
    fn is_undisturbed(
        &self,
        host: HostIndex,
        from: Duration,
        to: Duration,
        ignores_planned: bool,
    ) -> bool {
        !self.faults.iter().any(|fault| {
            let is_on_host = fault.host.is_none_or(|at| at == host);
            let counts = !(ignores_planned && fault.is_planned);
            is_on_host && counts && fault.from <= to && fault.to + STABLE_TIME >= from
        })
    }

    fn check_answer_times(&self) -> Option<GuaranteeViolation> {
        let slow = self.calls.iter().filter(|call| {
            let end = call.sent_at + self.route_limit + ANSWER_MARGIN;
            call.ended_at > call.sent_at + self.route_limit
                && self.is_undisturbed(call.host, call.sent_at, end, false)
        });
        let slow: Vec<_> = slow.collect();
        let late = slow
            .iter()
            .filter(|call| call.ended_at > call.sent_at + self.route_limit + ANSWER_MARGIN);
        let late: Vec<_> = late.collect();
        let is_violated = late.len() >= LATE_ANSWERS_MIN && late.len() * 2 > slow.len();
        is_violated.then(|| GuaranteeViolation {
            guarantee: "answers come in the route's time",
            detail: format!(
                "{} of {} too late, first {}",
                late.len(),
                slow.len(),
                late[0].id
            ),
        })
    }

    fn check_recovery(&self) -> Option<GuaranteeViolation> {
        let end = self.faults.iter().map(|fault| fault.to).max();
        let from = end.unwrap_or_default() + RECOVERY_TIME;
        let is_last = |call: &&CallRecord| {
            call.sent_at > from
                && call.ended_at < self.length
                && call
                    .key
                    .is_none_or(|key| !self.withdrawn_keys.contains_key(&key))
        };
        let last: Vec<_> = self.calls.iter().filter(is_last).collect();
        let is_served =
            |call: &&&CallRecord| matches!(call.outcome, CallOutcome::Answered { status: 200, .. });
        let served = last.iter().filter(is_served).count();
        let is_violated = last.is_empty() || served * 10 < last.len() * SERVED_TENTHS_MIN;
        is_violated.then(|| GuaranteeViolation {
            guarantee: "service is back after faults",
            detail: format!("{served} of {} served from {from:?} on", last.len()),
        })
    }
}
