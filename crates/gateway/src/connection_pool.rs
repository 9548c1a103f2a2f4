//! Pool of idle connections to targets.
//!
//! A connection serves one request at a time. It is reused only after a complete request and a complete
//! response, and it expires here before the target closes it, so a request does not race with that close.
//!
//! A faulty target may write an earlier refusal once more. Answers are matched by the id of their request, so a
//! connection on which a request was refused never carries another attempt with the same id.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_proxy::prelude::*;
use hyper::client::conn::http1::SendRequest;
use smol_str::SmolStr;
use tokio::{
    task::JoinHandle,
    time::timeout, //
};

use crate::body_blocks::BodyBlocks;

/// Keep-alive time of targets that announce none.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(4);

/// Margin between the expiry of an idle connection here and at its target. It covers the latency of a
/// request to a target in another zone and a scheduling delay of this process.
const IDLE_MARGIN: Duration = Duration::from_millis(1200);

/// Maximum number of idle connections per target: one for each slot.
const IDLE_COUNT_MAX: usize = 2;

/// Maximum number of refused requests that a connection remembers. It is closed after one more.
const REFUSED_COUNT_MAX: usize = 16;

/// An open connection to a target, closed on drop.
#[derive(Debug)]
pub struct TargetConnection {
    /// Sender for requests on this connection.
    pub sender: SendRequest<BodyBlocks>,
    /// Address of the target.
    pub address: SocketAddr,
    /// Counter of the bytes read.
    pub read_meter: ReadMeter,
    /// The task that drives the connection. It returns whether the connection ended without an error.
    task: JoinHandle<bool>,
    /// Ids of the requests that the target refused on this connection.
    refused: Vec<SmolStr>,
}

impl TargetConnection {
    /// Creates a connection on which no request was sent. `task` drives it.
    pub fn new(
        sender: SendRequest<BodyBlocks>,
        address: SocketAddr,
        read_meter: ReadMeter,
        task: JoinHandle<bool>,
    ) -> Self {
        Self {
            sender,
            address,
            read_meter,
            task,
            refused: Vec::new(),
        }
    }

    /// Waits for up to `limit` until a connection that the target has closed has ended. Returns `true` if it did without an
    /// error, so that its request was written completely.
    pub async fn has_ended_cleanly(&mut self, limit: Duration) -> bool {
        matches!(timeout(limit, &mut self.task).await, Ok(Ok(true)))
    }

    /// Records that the target refused a request on this connection.
    pub fn on_refused(&mut self, request: &str) {
        self.refused.push(request.into());
    }

    /// Returns `true` if no earlier attempt with the same id was refused on this connection.
    fn may_carry(&self, request: &str) -> bool {
        !self.refused.iter().any(|refused| refused == request)
    }
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

    /// Removes and returns a usable connection to a target at an address, if there is one on which the request was
    /// not refused before.
    pub fn take(
        &self,
        target: &TargetId,
        address: SocketAddr,
        request: &str,
        now: MonoTime,
    ) -> Option<TargetConnection> {
        let take = |idle: &mut Vec<IdleConnection>| {
            idle.retain(|entry| entry.is_usable(now) && entry.connection.address == address);
            let mut entries = idle.iter();
            let position = entries.rposition(|entry| entry.connection.may_carry(request))?;
            Some(idle.remove(position).connection)
        };
        self.idle.with(target, take).flatten()
    }

    /// Adds a connection to the pool until shortly before the target's keep-alive time ends. Closes it if that
    /// time is too short, the pool already holds enough connections to the target, or too many requests were refused
    /// on it.
    pub fn put(
        &self,
        target: &TargetId,
        connection: TargetConnection,
        keep_alive: Option<Duration>,
        now: MonoTime,
    ) {
        if connection.refused.len() > REFUSED_COUNT_MAX {
            return;
        }
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
