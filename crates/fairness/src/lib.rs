//! Who gets the next slot of a service.
//!
//! - [`ticket`]: names of waiting requests and of those that they belong to.
//! - [`queue`]: waiting requests of one service, served max-min fair among teams.
//! - [`table`]: the queues of all services.
//! - [`pace`]: how often a slot comes free, from which the expected wait follows.
//! - [`refusal`]: why a request does not wait.
//!
//! No thread or timer runs here: the caller asks for the next request when a slot comes free, and
//! removes expired ones at the time that the queue names.

mod lane;
pub mod pace;
pub mod queue;
pub mod refusal;
pub mod table;
pub mod ticket;

/// The names that most users of the crate need.
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
