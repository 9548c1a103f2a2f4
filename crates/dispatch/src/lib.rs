//! Load balancing, queueing and rate limiting of requests.
//!
//! - [`messages`]: requests from hosts to a dispatcher, and its answers.
//! - [`evidence`]: trust in a target, derived from the results of its recent attempts.
//! - [`pacer`]: request rate of a cold target.
//! - [`path_reports`]: failed connections of single hosts to a target.
//! - [`completion_window`]: completion rate of a pool over the last second.
//! - [`failure_window`]: part of the attempts of a pool that failed in the last two seconds.
//! - [`fleet_share`]: the part of the fleet that a dispatcher decides for.
//! - [`excluded_targets`]: targets that one host sends nothing to, although the directory lists them.
//! - [`target_limit`]: the request rate that a target states.
//! - `target_selection`: the target of a request.
//! - [`target_slots`]: the concurrency limit of one target.
//! - [`target_speed`]: the times of a target's answers.
//! - [`waiting_queue`]: requests that wait for a slot.
//! - [`pool_answer`]: the decisions of a pool.
//! - [`service_pool`]: the targets of a service in a zone, and the requests that wait for one.
//! - [`retry_terms`]: the retry budget of one dispatcher.
//! - [`team_bucket`]: the rate and burst of a team over all dispatchers.
//! - [`dispatcher`]: combines pools, buckets and budgets for all services and teams.
//! - [`time_budget`]: deadlines, queue waits and hedging delays.
//!
//! The crate does no I/O and reads no clock: callers pass the current time.

pub mod completion_window;
pub mod dispatcher;
pub mod evidence;
pub mod excluded_targets;
pub mod failure_window;
pub mod fleet_share;
pub mod messages;
pub mod pacer;
pub mod path_reports;
pub mod pool_answer;
pub mod retry_terms;
pub mod service_pool;
pub mod target_limit;
pub(crate) mod target_selection;
pub mod target_slots;
pub mod target_speed;
pub mod team_bucket;
pub mod time_budget;
pub mod waiting_queue;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        dispatcher::ZoneDispatcher,
        evidence::TargetTrust,
        excluded_targets::ExcludedTargets,
        fleet_share::FleetShare,
        messages::{
            AdmitAnswer,
            AdmitRequest,
            AttemptResult,
            DispatchGrant,
            PermitNumber,
            ReleaseNotice,
            TargetChoice,
            TeamUsage,
            TicketNumber,
            whole_millis, //
        },
        pool_answer::{
            PoolAnswer,
            QueueChange, //
        },
        retry_terms::retry_terms,
        target_limit::{
            LimitState,
            StatedLimits,
            TargetLimiter, //
        },
        team_bucket::REPORT_VALID_FOR,
        time_budget::{
            TimeBudget,
            hedge_delay, //
        },
    };
}
