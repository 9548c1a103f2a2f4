//! The runtime of one entry host: connects the decision crates to sockets, timers and the platform.
//!
//! - [`clock`]: monotonic time and Unix time.
//! - [`state`]: the state that all tasks of the host share.
//! - [`decision_log`]: one key=value log line for each decision.
//! - [`ingress`]: serves callers: admission, choice of a target, delivery and retries.
//! - [`admission`]: finds the route of a request and checks its key.
//! - [`replay`]: request bodies that can be sent again.
//! - [`delivery`]: sends a request to the owner of its target.
//! - [`owner`]: serves requests for owned targets.
//! - [`slot_waiters`]: requests that wait for a slot.
//! - [`attempt`]: one attempt at a target.
//! - [`delivery_error`]: why a request got no response from a target.
//! - [`owned_targets`]: the targets that this host owns.
//! - [`handover`]: hands owned targets over at a planned stop.
//! - [`health_registry`]: evidence, lifecycle and ejection leases of owned targets.
//! - [`health_loop`]: probes, suspects and ejects targets based on that evidence.
//! - [`permits`]: requests ejection permits from arbiters, and issues them as an arbiter.
//! - [`probe`]: probes a target.
//! - [`member_loop`]: sends heartbeats and detects pauses of the process.
//! - [`roster_loop`]: reads the platform's list of hosts.
//! - [`token_loop`]: transfers tokens between hosts.
//! - [`peer_service`]: serves messages and forwarded requests of other hosts.
//! - [`config_documents`]: stores configuration documents and the versions of other hosts.
//! - [`config_watch`]: watches the platform and queries other hosts for published versions.
//! - [`config_fetch`]: fetches documents from other hosts or the platform.
//! - [`config_loop`]: adopts versions and applies bookings.
//! - [`status`]: builds the status and explain documents for operators.
//! - [`status_facts`]: collects the facts that they show.
//! - [`metrics`]: counters, gauges and histograms.
//! - [`admin`]: serves status, metrics, health, readiness and planned stops over HTTP.
//! - [`host_readiness`]: whether the host may serve callers.
//! - [`host`]: starts and stops the host.

pub mod admin;
pub mod admission;
pub mod attempt;
pub mod clock;
pub mod config_documents;
pub mod config_fetch;
pub mod config_loop;
pub mod config_watch;
pub mod decision_log;
pub mod delivery;
pub mod delivery_error;
pub mod handover;
pub mod health_loop;
pub mod health_registry;
pub mod host;
pub mod host_readiness;
pub mod ingress;
pub mod member_loop;
pub mod metrics;
pub mod owned_targets;
pub mod owner;
pub mod peer_service;
pub mod permits;
pub mod probe;
pub mod replay;
pub mod roster_loop;
pub mod slot_waiters;
pub mod state;
pub mod status;
pub mod status_facts;
pub mod token_loop;

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        clock::HostClock,
        host::{
            EntryHost,
            HostError, //
        },
    };
}
