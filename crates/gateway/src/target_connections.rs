//! Kept connections to targets.
//!
//! A connection serves one request at a time. It is kept only after a whole answer to a whole request,
//! and for less time than its target keeps it, so that a request does not meet the target's close.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;

/// Time for which a connection is kept to a target that states none.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Time between the end of a kept connection here and at its target. It covers a request's way to a
/// target in another zone and a late turn of this process.
const IDLE_MARGIN: Duration = Duration::from_millis(1200);

/// Most idle connections to one target: one for each slot.
const IDLE_COUNT_MAX: usize = 2;

/// An open connection, which closes when it is dropped.
#[derive(Debug)]
pub struct TargetConnection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Where it leads.
    pub address: SocketAddr,
    /// Ends the task that drives the connection.
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
    ends_at: MonoTime,
}

impl IdleConnection {
    fn is_usable(&self, now: MonoTime) -> bool {
        now < self.ends_at && !self.connection.sender.is_closed()
    }
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub struct TargetConnections {
    idle: ShardMap<TargetId, Vec<IdleConnection>>,
}

impl TargetConnections {
    /// Makes a store without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a connection that is still of use.
    pub fn take(
        &self,
        target: &TargetId,
        address: SocketAddr,
        now: MonoTime,
    ) -> Option<TargetConnection> {
        let take = |idle: &mut Vec<IdleConnection>| {
            idle.retain(|kept| kept.is_usable(now) && kept.connection.address == address);
            idle.pop().map(|kept| kept.connection)
        };
        self.idle.with(target, take).flatten()
    }

    /// Keeps a connection for as long as its target says.
    pub fn keep(
        &self,
        target: &TargetId,
        connection: TargetConnection,
        keep_alive: Option<Duration>,
        now: MonoTime,
    ) {
        let idle = keep_alive.unwrap_or(IDLE_DEFAULT);
        let Some(time) = idle.checked_sub(IDLE_MARGIN) else {
            return;
        };
        let kept = IdleConnection {
            connection,
            ends_at: now.after(time),
        };
        self.idle.with_or_insert(target, Vec::new, |idle| {
            if idle.len() < IDLE_COUNT_MAX {
                idle.push(kept);
            }
        });
    }

    /// Returns the targets to which a connection is kept.
    pub fn connected(&self, now: MonoTime) -> Vec<TargetId> {
        let mut connected = Vec::new();
        self.idle.for_each(|target, idle| {
            if idle.iter().any(|kept| kept.is_usable(now)) {
                connected.push(target.clone());
            }
        });
        connected
    }

    /// Closes connections that are no longer of use.
    pub fn sweep(&self, now: MonoTime) {
        self.idle.retain(|_, idle| {
            idle.retain(|kept| kept.is_usable(now));
            !idle.is_empty()
        });
    }
}
