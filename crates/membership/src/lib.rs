//! Which hosts exist and which are reachable.
//!
//! - [`roster`]: the platform's lagging list of hosts.
//! - [`rules`]: the times that membership goes by.
//! - [`contact`]: the state machine of one peer.
//! - [`entry`]: what is kept about one peer.
//! - [`table`]: all peers; contact, isolation and who was last heard.
//! - [`turns`]: which host of a pair sends the heartbeats.
//! - [`host_gossip`]: what hosts tell each other where no list of hosts is published.
//! - [`plan`]: whom to send heartbeats to, and which hosts read the platform.
//! - [`wake`]: recognises that the process or the machine was paused.
//!
//! Nothing here reads a clock or sends a message.

pub mod contact;
pub mod entry;
pub mod host_gossip;
pub mod plan;
pub mod roster;
pub mod rules;
pub mod table;
pub mod turns;
pub mod wake;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        contact::PeerStanding,
        entry::{
            HeartbeatOutcome,
            HeartbeatTicket,
            PeerHeartbeat,
            SequenceMark, //
        },
        host_gossip::{
            HostGossip,
            MemberRecord, //
        },
        plan::{
            HeartbeatPlan,
            ReaderChoice, //
        },
        roster::{
            HostEntry,
            HostRoster, //
        },
        rules::MembershipRules,
        table::{
            ContactRule,
            LiveHost,
            PeerTable, //
        },
        wake::{
            WakeDetector,
            WakeGap, //
        },
    };
}
