//! The gateway process: connects request dispatch with the network interfaces of the users' platform.
//!
//! Request path:
//! - [`ingress`]: routes and authenticates requests from callers and returns the responses.
//! - [`body_blocks`]: the bytes of a body in blocks.
//! - [`body_buffer`]: buffers the bodies of requests and answers within a memory limit.
//! - [`request_attempts`]: runs the attempts of one request, including retries and hedges.
//! - `target_search`: search of a request for a target with a free slot.
//! - `load_view`: uses the loads that dispatchers return.
//! - `zone_search`: collects the answers of the zones while a request looks for a target.
//! - [`permit_client`]: obtains permits from dispatchers and releases them.
//! - [`exchange`]: sends one attempt to a target and reads the response.
//! - `target_signals`: records what targets say about themselves.
//! - `answer_body`: refuses answers that consist mostly of framing.
//! - [`connection_pool`]: idle connections to targets.
//!
//! Dispatch path:
//! - `late_permit`: calls for permits, and the return of late ones.
//! - [`permit_relay`]: forwards permit requests to the dispatcher of the zone.
//! - [`permit_service`]: grants permits on this host and queues requests that have to wait.
//! - [`queue_report`]: log lines of the queues.
//! - [`peer_calls`]: calls to other hosts.
//! - [`peer_service`]: handles messages from other hosts.
//!
//! Configuration path:
//! - [`store_cache`]: this host's copy of the store's contents, and the age of that copy.
//! - [`refused_documents`]: documents of the store that could not be decoded.
//! - [`copy_use`]: records the age of that copy at each decision that uses it.
//! - [`store_loop`]: reads the store directly when this host is responsible for it.
//! - [`store_reader`]: reads and watches one part of the store.
//! - [`config_images`]: encoded changes of the configuration, for other hosts.
//! - [`config_fetch`]: fetches a large configuration from another host.
//! - [`follow_loop`]: receives updates of the store's contents from other hosts.
//! - [`gossip_loop`]: exchanges membership records with other hosts.
//!
//! Process:
//! - [`clock`]: a monotonic clock that includes time spent suspended.
//! - [`state`]: state that all tasks share.
//! - [`event_log`]: non-blocking log of key=value lines.
//! - [`metrics`]: counters and histograms.
//! - [`traffic_metrics`]: bytes and times of messages between hosts and of the store's answers.
//! - [`ready_service`]: readiness and metrics over HTTP.
//! - [`task_supervisor`]: restarts background tasks that end.
//! - [`host`]: starts and stops the process.

mod answer_body;
pub mod body_blocks;
pub mod body_buffer;
pub mod clock;
pub mod config_fetch;
pub mod config_images;
pub mod connection_pool;
pub mod copy_use;
pub mod event_log;
pub mod exchange;
pub mod follow_loop;
pub mod gossip_loop;
pub mod host;
pub mod ingress;
mod late_permit;
mod load_view;
pub mod metrics;
pub mod peer_calls;
pub mod peer_service;
pub mod permit_client;
pub mod permit_relay;
pub mod permit_service;
pub mod queue_report;
pub mod rate_shares;
pub mod ready_service;
pub mod refused_documents;
pub mod request_attempts;
pub mod state;
pub mod store_cache;
pub mod store_loop;
pub mod store_reader;
mod target_search;
mod target_signals;
pub mod task_supervisor;
pub mod traffic_metrics;
mod zone_search;

/// The most commonly used items of this crate.
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
