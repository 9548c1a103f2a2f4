//! Fair queueing of the requests that wait for a slot of a service.
//!
//! - [`ticket`]: identifiers of waiting requests and of the teams that they belong to.
//! - [`queue`]: waiting requests of one service, scheduled max-min fair among teams.
//! - [`table`]: the queues of all services.
//! - [`interval`]: mean time between free slots, from which the expected wait follows.
//! - [`refusal`]: reasons why a request may not wait.
//!
//! The crate runs no thread and no timer: the caller asks for the next request when a slot becomes
//! free, and removes expired ones at the time that the queue returns.

pub mod interval;
pub mod queue;
pub mod refusal;
pub mod table;
mod team_queue;
pub mod ticket;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        queue::{
            FairQueue,
            QueueAdmission,
            QueueBounds, //
        },
        refusal::QueueRefusal,
        table::QueueTable,
        ticket::{
            QueueTeam,
            QueueTicket, //
        },
    };
}
