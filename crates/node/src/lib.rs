//! One running host: joins the decisions with the edges.
//!
//! - [`clock`]: the clocks of the runtime and of the world.
//! - [`state`]: what all tasks of the host share.
//! - [`decision_log`]: one key=value line for each decision.
//! - [`ingress`]: answers callers: admission, choice of a target, delivery and retries.
//! - [`admission`]: route and key of a request.
//! - [`replay`]: request bodies that can be sent again.
//! - [`delivery`]: brings a request to the owner of its target.
//! - [`owner`]: serves requests for owned targets.
//! - [`slot_waiters`]: requests that wait for a slot.
//! - [`attempt`]: one attempt at a target.
//! - [`delivery_error`]: why a request got no answer from a target.
//! - [`owned`]: the targets that this host owns.
//! - [`handover`]: hands owned targets over at a planned stop.
//! - [`health_registry`]: evidence, life cycle and ejection leases of owned targets.
//! - [`health_loop`]: acts on the evidence.
//! - [`permits`]: asks arbiters for ejection permits, and answers as an arbiter.
//! - [`probe`]: probes a target.
//! - [`member_loop`]: heartbeats, pauses.
//! - [`roster_loop`]: the platform's list of hosts.
//! - [`token_loop`]: moves tokens between hosts.
//! - [`peer_service`]: answers other hosts.
//! - [`config_documents`]: what the host knows of the published configuration.
//! - [`config_watch`]: learns of published versions.
//! - [`config_fetch`]: fetches documents from other hosts or the platform.
//! - [`config_loop`]: adopts versions and applies bookings.
//! - [`status`]: what operators see of the host.
//! - [`status_facts`]: collects the facts for it.
//! - [`metrics`]: counters, gauges and histograms.
//! - [`admin`]: serves both, with health, readiness and planned stops.
//! - [`host_readiness`]: whether callers may be served.
//! - [`host`]: starts and stops all of it.

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
pub mod owned;
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

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::{
        clock::HostClock,
        host::{
            EntryHost,
            HostError, //
        },
    };
}
