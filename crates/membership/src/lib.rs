//! Membership and failure detection: which hosts exist and which of them are reachable.
//!
//! - [`roster`]: the platform's list of hosts, which lags.
//! - [`rules`]: the time limits of failure detection.
//! - [`peer_state`]: the state machine of one peer.
//! - [`entry`]: the record of one peer.
//! - [`table`]: all peers, with the rules for contact, isolation and live hosts.
//! - [`initiator`]: which host of a pair initiates the heartbeats.
//! - [`beat_digest`]: heartbeat counters of hosts in a short form.
//! - [`host_gossip`]: membership by gossip, for deployments without a published list of hosts.
//! - [`plan`]: which peers get heartbeats, and which hosts read the platform.
//! - [`pause`]: detects pauses of the process or the machine.
//!
//! This crate does not read clocks or send messages; callers pass in times and messages.

pub mod beat_digest;
pub mod entry;
pub mod host_gossip;
pub mod initiator;
pub mod pause;
pub mod peer_state;
pub mod plan;
pub mod roster;
pub mod rules;
pub mod table;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        beat_digest::{
            MemberBeat,
            MemberKey, //
        },
        entry::{
            HeartbeatHeader,
            HeartbeatId,
            HeartbeatOutcome,
            PeerHeartbeat, //
        },
        host_gossip::{
            HostGossip,
            MemberRecord, //
        },
        pause::{
            DetectedPause,
            PauseDetector, //
        },
        peer_state::PeerState,
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
            ContactQuorum,
            LiveHost,
            PeerTable, //
        },
    };
}
