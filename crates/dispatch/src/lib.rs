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
//! - [`priority_line`]: requests of one priority that wait.
//! - [`team_turns`]: fair queueing over teams.
//! - [`return_schedule`]: return times of refused requests, and the tickets that keep their places.
//! - [`wait_estimate`]: expected time until a slot is free.
//! - [`pool_queue`]: which requests wait, and which are turned away.
//! - [`pool_answer`]: the decisions of a pool.
//! - [`pool_load`]: the load of a pool.
//! - [`service_pool`]: the targets of a service in a zone, and the requests that wait for one.
//! - [`retry_terms`]: the retry budget of one dispatcher.
//! - [`rate_lease`]: which host lends its unit of the team rates to which dispatcher.
//! - [`fleet_roster`]: the number of hosts among which the team rates are divided.
//! - [`rate_share`]: the share of the team rates that a dispatcher may spend, and its history.
//! - [`team_bucket`]: the tokens of a team at one dispatcher.
//! - [`team_tokens`]: the buckets of all teams at one dispatcher.
//! - [`dispatcher`]: combines pools, buckets and budgets for all services and teams.
//! - [`time_budget`]: deadlines, queue waits and hedging delays.
//! - [`zone_loads`]: the loads of all pools as one host knows them.
//! - [`wait_choice`]: the zone in which a request waits.
//! - [`zone_order`]: the order in which a host asks the zones.
//! - [`zone_door`]: refusal of requests that no zone could serve in time.
//!
//! The crate does no I/O and reads no clock: callers pass the current time.

pub mod completion_window;
pub mod dispatcher;
pub mod evidence;
pub mod excluded_targets;
pub mod failure_window;
pub mod fleet_roster;
pub mod fleet_share;
pub mod messages;
pub mod pacer;
pub mod path_reports;
pub mod pool_answer;
pub mod pool_load;
pub mod pool_queue;
pub mod priority_line;
pub mod rate_lease;
pub mod rate_share;
pub mod retry_terms;
pub mod return_schedule;
pub mod service_pool;
pub mod target_limit;
pub(crate) mod target_selection;
pub mod target_slots;
pub mod target_speed;
pub mod team_bucket;
pub mod team_tokens;
pub mod team_turns;
pub mod time_budget;
pub mod wait_choice;
pub mod wait_estimate;
pub mod waiting_queue;
pub mod zone_door;
pub mod zone_loads;
pub mod zone_order;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        dispatcher::ZoneDispatcher,
        evidence::TargetTrust,
        excluded_targets::ExcludedTargets,
        fleet_roster::{
            FleetCount,
            FleetRoster,
            STARTUP_PERIOD,
            size_assumed, //
        },
        fleet_share::FleetShare,
        messages::{
            AdmitAnswer,
            AdmitRequest,
            AttemptResult,
            BucketLevels,
            DispatchGrant,
            PermitNumber,
            PermitReply,
            ReleaseNotice,
            TargetChoice,
            TeamTokens,
            TeamUsage,
            TicketNumber,
            whole_millis, //
        },
        pool_answer::{
            BusyTerms,
            PoolAnswer,
            QueueChange,
            QueueTotals, //
        },
        pool_load::{
            PoolLoad,
            PriorityWait,
            SlotTotal,
            WaitingCount, //
        },
        rate_lease::{
            LEASE_TERM,
            LeaseBook,
            LeaseBorrower,
            LeaseHolder, //
        },
        rate_share::{
            StandbyCopy,
            share_of_units, //
        },
        retry_terms::retry_terms,
        target_limit::{
            LimitState,
            StatedLimits,
            TargetLimiter, //
        },
        team_bucket::TeamLimit,
        team_tokens::TeamBuckets,
        time_budget::{
            TimeBudget,
            hedge_delay,
            wait_after, //
        },
        wait_choice::WaitChoice,
        zone_door::{
            DoorAnswer,
            DoorRefusal,
            DoorRequest,
            body_time, //
        },
        zone_loads::{
            ORDER_PERIOD,
            REFUSAL_PERIOD,
            ZoneLoads,
            ZoneView, //
        },
        zone_order::{
            BodyLength,
            OrderTerms,
            away_margin, //
        },
    };
}
