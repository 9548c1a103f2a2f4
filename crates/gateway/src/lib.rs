//! One gateway process: joins the decisions with the edges on the users' platform.
//!
//! A request's path:
//! - [`ingress`]: answers callers: route, key, body, and the answer.
//! - [`request_body`]: reads a whole body into bounded room.
//! - [`request_run`]: the attempts of one request, their order and their end.
//! - `zone_search`: what the zones answer while a request looks for a target.
//! - [`permit_client`]: asks dispatchers for permits and gives them back.
//! - [`exchange`]: one attempt at a target.
//! - [`target_connections`]: kept connections to targets.
//!
//! The dispatcher's path:
//! - [`permit_relay`]: passes requests for permits on to the dispatcher of the zone.
//! - [`permit_service`]: grants permits on this host, and lets requests wait.
//! - [`peer_calls`]: calls to other hosts.
//! - [`peer_service`]: answers the messages of other hosts.
//!
//! The configuration's path:
//! - [`knowledge`]: what this host knows of the store, and how old it is.
//! - [`store_loop`]: reads the store where this host has to.
//! - [`follow_loop`]: follows other hosts.
//! - [`gossip_loop`]: tells and hears of hosts.
//!
//! The process:
//! - [`clock`]: time that goes on during suspension.
//! - [`state`]: what all tasks share.
//! - [`event_log`]: bounded lines of key=value pairs.
//! - [`metrics`]: counters and histograms.
//! - [`ready_service`]: readiness and metrics over HTTP.
//! - [`host`]: starts and stops all of it.

pub mod clock;
pub mod event_log;
pub mod exchange;
pub mod follow_loop;
pub mod gossip_loop;
pub mod host;
pub mod ingress;
pub mod knowledge;
pub mod metrics;
pub mod peer_calls;
pub mod peer_service;
pub mod permit_client;
pub mod permit_relay;
pub mod permit_service;
pub mod ready_service;
pub mod request_body;
pub mod request_run;
pub mod state;
pub mod store_loop;
pub mod target_connections;
mod zone_search;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        clock::GatewayClock,
        event_log::EventLog,
        host::{
            GatewayHost,
            HostError, //
        },
    };
}
