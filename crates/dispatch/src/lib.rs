//! Which request goes to which target, which one waits, and which one is refused.
//!
//! - [`messages`]: what hosts ask a dispatcher and what it answers.
//! - [`evidence`]: what the answers of a target say about it.
//! - [`pacer`]: how often a cold target gets a request.
//! - [`ended_requests`]: how often requests of a pool ended lately.
//! - [`path_memory`]: targets that one host could not reach.
//! - [`target_slots`]: the slots of one target.
//! - [`waiting_queue`]: requests that wait for a slot.
//! - [`service_pool`]: the targets of a service in a zone, and the choice among them.
//! - [`team_bucket`]: the rate and burst of a team over all dispatchers.
//! - [`dispatcher`]: joins them for all services and teams.
//! - [`conduct`]: how long a host waits, when it repeats and when it gives up.
//!
//! Nothing here does I/O or reads a clock.

pub mod conduct;
pub mod dispatcher;
pub mod ended_requests;
pub mod evidence;
pub mod messages;
pub mod pacer;
pub mod path_memory;
pub mod service_pool;
pub mod target_slots;
pub mod team_bucket;
pub mod waiting_queue;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        conduct::{
            RequestBudget,
            hedge_delay, //
        },
        dispatcher::{
            FleetShare,
            ZoneDispatcher, //
        },
        evidence::TargetTrust,
        messages::{
            AdmitAnswer,
            AdmitRequest,
            AttemptResult,
            DispatchGrant,
            PermitNumber,
            ReleaseNotice,
            TeamUsage,
            TicketNumber, //
            whole_millis,
        },
        path_memory::PathMemory,
        service_pool::{
            PoolAnswer, //
            QueueChange,
        },
        team_bucket::REPORT_FOR,
    };
}
