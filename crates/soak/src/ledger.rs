//! What callers and targets saw, and which promises it breaks.
//!
//! Times are counted from the start of load.

use std::{
    fmt,
    time::Duration, //
};

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::plan::HostIndex;

/// Time without faults before a request after which the promises with time bounds hold; the platform's
/// `stableS`.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time from the withdrawal of a key until it must not work anywhere; the platform's `revokeS`.
pub const REVOKE_TIME: Duration = Duration::from_secs(5);

/// Time from the end of a target's entry until nothing reaches it; the platform's `drainS`.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time beyond the route's limit in which an answer must come; the platform counts requests that are
/// unanswered half a second after it.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Fewest unanswered requests that tell something, as the platform counts them.
const LATE_MIN: usize = 8;

/// Part of the requests at the end of a run that must be served, in tenths: the platform takes a service with
/// more than a tenth of its requests unserved as troubled.
const SERVED_TENTHS: usize = 9;

/// Time after the last fault within which the service must be back: a third of the platform's `recoveryS`.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// How a call ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// An answer came.
    Answered {
        /// Its status.
        status: u16,
        /// Whether a target signed it.
        is_signed: bool,
        /// Id of the request that the answer names.
        request: SmolStr,
        /// Its body.
        body: String,
    },
    /// The connection ended without an answer, or in the middle of one.
    Cut,
    /// No connection came about.
    NoConnection,
    /// No answer came in the caller's time.
    Unanswered,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Its id.
    pub id: SmolStr,
    /// The host.
    pub host: HostIndex,
    /// Whether it may run twice.
    pub is_idempotent: bool,
    /// Its key; none on a public route.
    pub key: Option<usize>,
    /// When it was sent.
    pub sent_at: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// How it ended.
    pub end: CallEnd,
}

/// A request that a target ran.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Its id.
    pub id: SmolStr,
    /// The target.
    pub target: SmolStr,
    /// When it arrived.
    pub at: Duration,
    /// Team that the gateway named.
    pub team: Option<SmolStr>,
    /// Whether the caller's key came with it.
    pub has_key: bool,
}

/// A time in which a host, or the whole fleet, was disturbed.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    /// The host; none for all.
    pub host: Option<HostIndex>,
    /// Start.
    pub from: Duration,
    /// End.
    pub to: Duration,
    /// Whether it is planned work, which excuses no lost request.
    pub is_planned: bool,
}

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrokenPromise {
    /// Name of the promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct SoakLedger {
    /// Requests of callers.
    pub calls: Vec<CallRecord>,
    /// Runs at targets.
    pub runs: Vec<RunRecord>,
    /// Disturbances.
    pub faults: Vec<FaultSpan>,
    /// When keys were withdrawn.
    pub withdrawn: IndexMap<usize, Duration>,
    /// When entries of targets vanished, and when they came back.
    pub gone: Vec<(SmolStr, Duration, Duration)>,
    /// The team that all keys belong to.
    pub team: SmolStr,
    /// Longest time that the operators want a caller kept waiting.
    pub route_limit: Duration,
    /// Length of the run.
    pub length: Duration,
}

/// Statuses that promise that a request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

impl SoakLedger {
    /// Checks all promises.
    pub fn broken(&self) -> Vec<BrokenPromise> {
        let mut runs: IndexMap<&str, Vec<&RunRecord>> = IndexMap::new();
        for run in &self.runs {
            runs.entry(run.id.as_str()).or_default().push(run);
        }
        let mut broken = Vec::new();
        for call in &self.calls {
            let own = runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
            broken.extend(self.check_call(call, own));
        }
        let known: IndexMap<&str, &CallRecord> = self
            .calls
            .iter()
            .map(|call| (call.id.as_str(), call))
            .collect();
        for run in &self.runs {
            broken.extend(self.check_run(run, known.get(run.id.as_str()).copied()));
        }
        broken.extend(self.check_answer_times());
        broken.extend(self.check_recovery());
        broken
    }

    fn check_call(&self, call: &CallRecord, runs: &[&RunRecord]) -> Vec<BrokenPromise> {
        let mut broken = Vec::new();
        let mut say = |promise, seen: &str| {
            broken.push(BrokenPromise {
                promise,
                seen: format!(
                    "{} at {} sent at {:?} {seen}",
                    call.id, call.host, call.sent_at
                ),
            });
        };
        if !call.is_idempotent && runs.len() > 1 {
            say("runs once at most", &format!("ran {} times", runs.len()));
        }
        if let CallEnd::Answered {
            status,
            is_signed,
            request,
            body,
        } = &call.end
        {
            let is_refused = NOT_RUN.contains(status) && !is_signed;
            if is_refused && !call.is_idempotent && !runs.is_empty() {
                say(
                    "refusals are true",
                    &format!("was answered {status} and ran"),
                );
            }
            if *request != call.id {
                say(
                    "answers belong to their request",
                    &format!("got that of {request}"),
                );
            }
            let is_whole = runs
                .iter()
                .any(|run| *body == format!("answer of {}", run.target));
            if (200..300).contains(status) && !(*is_signed && is_whole) {
                say(
                    "answers are the target's",
                    &format!("got {status} with {body:?}"),
                );
            }
        }
        let is_valid = call
            .key
            .is_none_or(|key| !self.withdrawn.contains_key(&key));
        let is_denied = matches!(
            call.end,
            CallEnd::Answered {
                status: 401 | 403 | 404,
                is_signed: false,
                ..
            }
        );
        if is_denied && is_valid && self.is_calm(call.host, call.sent_at, call.ended_at, false) {
            say("what is allowed is not denied", "was denied");
        }
        let is_dropped = matches!(call.end, CallEnd::Cut) && !runs.is_empty();
        if is_dropped && self.is_calm(call.host, call.sent_at, call.ended_at, true) {
            say("planned work loses no request", "ran and was cut");
        }
        broken
    }

    fn check_run(&self, run: &RunRecord, call: Option<&CallRecord>) -> Vec<BrokenPromise> {
        let mut broken = Vec::new();
        let mut say = |promise, seen: String| {
            broken.push(BrokenPromise {
                promise,
                seen: format!("{} at {} at {:?} {seen}", run.id, run.target, run.at),
            });
        };
        let Some(call) = call else {
            say("only what was asked runs", "was never sent".into());
            return broken;
        };
        let team = call.key.map(|_| &self.team);
        if run.team.as_ref() != team || run.has_key {
            let seen = format!("ran for team {:?}, with the key: {}", run.team, run.has_key);
            say("targets get the team and no key", seen);
        }
        let withdrawn = call.key.and_then(|key| self.withdrawn.get(&key));
        if withdrawn.is_some_and(|at| call.sent_at > *at + REVOKE_TIME) {
            say(
                "withdrawn keys do not work",
                format!("was sent at {:?}", call.sent_at),
            );
        }
        let is_gone = |(target, from, to): &&(SmolStr, Duration, Duration)| {
            *target == run.target && (*from + DRAIN_TIME..*to).contains(&call.sent_at)
        };
        let is_calm = self.is_calm(call.host, call.sent_at, run.at, false);
        if is_calm && self.gone.iter().any(|gone| is_gone(&gone)) {
            say(
                "targets that left get nothing",
                format!("was sent at {:?}", call.sent_at),
            );
        }
        broken
    }

    /// Tells whether a host was free of faults over a time and before it.
    fn is_calm(&self, host: HostIndex, from: Duration, to: Duration, with_planned: bool) -> bool {
        !self.faults.iter().any(|fault| {
            let is_here = fault.host.is_none_or(|at| at == host);
            let is_excuse = !(with_planned && fault.is_planned);
            is_here && is_excuse && fault.from <= to && fault.to + STABLE_TIME >= from
        })
    }

    fn check_answer_times(&self) -> Option<BrokenPromise> {
        let long = self.calls.iter().filter(|call| {
            let end = call.sent_at + self.route_limit + ANSWER_MARGIN;
            call.ended_at > call.sent_at + self.route_limit
                && self.is_calm(call.host, call.sent_at, end, false)
        });
        let long: Vec<_> = long.collect();
        let late = long
            .iter()
            .filter(|call| call.ended_at > call.sent_at + self.route_limit + ANSWER_MARGIN);
        let late: Vec<_> = late.collect();
        let is_broken = late.len() >= LATE_MIN && late.len() * 2 > long.len();
        is_broken.then(|| BrokenPromise {
            promise: "answers come in the route's time",
            seen: format!(
                "{} of {} too late, first {}",
                late.len(),
                long.len(),
                late[0].id
            ),
        })
    }

    fn check_recovery(&self) -> Option<BrokenPromise> {
        let end = self.faults.iter().map(|fault| fault.to).max();
        let from = end.unwrap_or_default() + RECOVERY_TIME;
        let is_last = |call: &&CallRecord| {
            call.sent_at > from
                && call.ended_at < self.length
                && call
                    .key
                    .is_none_or(|key| !self.withdrawn.contains_key(&key))
        };
        let last: Vec<_> = self.calls.iter().filter(is_last).collect();
        let is_served =
            |call: &&&CallRecord| matches!(call.end, CallEnd::Answered { status: 200, .. });
        let served = last.iter().filter(is_served).count();
        let is_broken = last.is_empty() || served * 10 < last.len() * SERVED_TENTHS;
        is_broken.then(|| BrokenPromise {
            promise: "service is back after faults",
            seen: format!("{served} of {} served from {from:?} on", last.len()),
        })
    }
}
