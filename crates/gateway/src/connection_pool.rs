//! Pool of idle connections to targets.
//!
//! A connection serves one request at a time. It is reused only after a complete request and a complete
//! response, and it expires here before the target closes it, so a request does not race with that close.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;

/// Keep-alive time of targets that announce none.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(4);

/// Margin between the expiry of an idle connection here and at its target. It covers the latency of a
/// request to a target in another zone and a scheduling delay of this process.
const IDLE_MARGIN: Duration = Duration::from_millis(1200);

/// Maximum number of idle connections per target: one for each slot.
const IDLE_COUNT_MAX: usize = 2;

/// An open connection to a target, closed on drop.
#[derive(Debug)]
pub struct TargetConnection {
    /// Sender for requests on this connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Address of the target.
    pub address: SocketAddr,
    /// Handle that aborts the task driving the connection.
    pub task: AbortHandle,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    expires_at: MonoTime,
}

impl IdleConnection {
    fn is_usable(&self, now: MonoTime) -> bool {
        now < self.expires_at && !self.connection.sender.is_closed()
    }
}

/// Idle connections, by target.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: ShardMap<TargetId, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes and returns a usable connection to a target at an address, if there is one.
    pub fn take(
        &self,
        target: &TargetId,
        address: SocketAddr,
        now: MonoTime,
    ) -> Option<TargetConnection> {
        let take = |idle: &mut Vec<IdleConnection>| {
            idle.retain(|entry| entry.is_usable(now) && entry.connection.address == address);
            idle.pop().map(|entry| entry.connection)
        };
        self.idle.with(target, take).flatten()
    }

    /// Adds a connection to the pool until shortly before the target's keep-alive time ends. Closes it if that
    /// time is too short or the pool already holds enough connections to the target.
    pub fn put(
        &self,
        target: &TargetId,
        connection: TargetConnection,
        keep_alive: Option<Duration>,
        now: MonoTime,
    ) {
        let timeout = keep_alive.unwrap_or(KEEP_ALIVE_DEFAULT);
        let Some(time) = timeout.checked_sub(IDLE_MARGIN) else {
            return;
        };
        let entry = IdleConnection {
            connection,
            expires_at: now.after(time),
        };
        self.idle.with_or_insert(target, Vec::new, |idle| {
            if idle.len() < IDLE_COUNT_MAX {
                idle.push(entry);
            }
        });
    }

    /// Returns the targets with a usable idle connection.
    pub fn connected_targets(&self, now: MonoTime) -> Vec<TargetId> {
        let mut connected = Vec::new();
        self.idle.for_each(|target, idle| {
            if idle.iter().any(|entry| entry.is_usable(now)) {
                connected.push(target.clone());
            }
        });
        connected
    }

    /// Closes connections that have expired or were closed by their target.
    pub fn sweep(&self, now: MonoTime) {
        self.idle.retain(|_, idle| {
            idle.retain(|entry| entry.is_usable(now));
            !idle.is_empty()
        });
    }
}
