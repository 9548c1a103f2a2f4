//! Size, duration and outcome of calls, by kind of message.
//!
//! Messages of all kinds share the link of a host. These reports show which kind fills it, and which answers arrive in part
//! and are then given up.

use std::{
    fmt,
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use tokio::time::Instant;

use crate::{
    gateway::{
        GatewayMessage,
        RelayedCall, //
    },
    messages::PeerMessage,
};

/// Kind of a message, as metrics and log lines name it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MessageKind {
    /// Membership records and heartbeat counters.
    Gossip,
    /// Long poll for changes, and its answer.
    Follow,
    /// Request for a permit, and its answer.
    Permit,
    /// Return of a permit.
    Release,
    /// Part of a configuration, and the request for it.
    Config,
    /// Any other message.
    Other,
}

impl MessageKind {
    /// Returns the kind of a message.
    pub fn of(message: &PeerMessage) -> Self {
        let message = match message {
            PeerMessage::Gateway(message) => message,
            PeerMessage::PartsRequest(_) | PeerMessage::PartsAnswer(_) => return Self::Config,
            _ => return Self::Other,
        };
        match message {
            GatewayMessage::Gossip(_) | GatewayMessage::GossipBeats(_) => Self::Gossip,
            GatewayMessage::Follow(_) | GatewayMessage::FollowAnswer(_) => Self::Follow,
            GatewayMessage::Admit(_)
            | GatewayMessage::Admitted(_)
            | GatewayMessage::Relayed(RelayedCall::Admit(_)) => Self::Permit,
            GatewayMessage::Release(_) | GatewayMessage::Relayed(RelayedCall::Release(_)) => {
                Self::Release
            }
        }
    }
}

impl fmt::Display for MessageKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Gossip => "gossip",
            Self::Follow => "follow",
            Self::Permit => "permit",
            Self::Release => "release",
            Self::Config => "config",
            Self::Other => "other",
        })
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The whole answer arrived.
    Answered,
    /// The connection could not be established or broke, or the answer was invalid.
    Failed,
    /// The caller gave up before the whole answer had arrived.
    GivenUp,
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::GivenUp => "given-up",
        })
    }
}

/// A call that has ended, as the calling host saw it.
#[derive(Clone, Copy, Debug)]
pub struct CallReport {
    /// Kind of the request.
    pub kind: MessageKind,
    /// Size of the request.
    pub sent: ByteCount,
    /// Size of the answer as far as it arrived.
    pub received: ByteCount,
    /// Time since the call began.
    pub elapsed: Duration,
    /// How the call ended.
    pub outcome: CallOutcome,
}

/// A message that a host has answered.
#[derive(Clone, Copy, Debug)]
pub struct AnswerReport {
    /// Kind of the request.
    pub kind: MessageKind,
    /// Size of the request.
    pub received: ByteCount,
    /// Size of the answer.
    pub sent: ByteCount,
}

/// Receives reports of one type.
pub struct TrafficObserver<T>(Arc<dyn Fn(&T) + Send + Sync>);

/// Receives the reports of calls.
pub type CallObserver = TrafficObserver<CallReport>;

/// Receives the reports of answers.
pub type AnswerObserver = TrafficObserver<AnswerReport>;

impl<T> TrafficObserver<T> {
    /// Creates an observer that calls a function with each report.
    pub fn new(observe: impl Fn(&T) + Send + Sync + 'static) -> Self {
        Self(Arc::new(observe))
    }

    /// Passes a report on.
    pub(crate) fn observe(&self, report: &T) {
        (self.0)(report);
    }
}

impl<T> Clone for TrafficObserver<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Default for TrafficObserver<T> {
    fn default() -> Self {
        Self::new(|_| {})
    }
}

impl<T> fmt::Debug for TrafficObserver<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TrafficObserver")
    }
}

/// Measures a call and reports it when it ends. A call that is dropped counts as given up.
#[derive(Debug)]
pub(crate) struct CallMeter<'a> {
    observer: &'a CallObserver,
    started_at: Instant,
    kind: MessageKind,
    sent: usize,
    received: usize,
    outcome: CallOutcome,
}

impl<'a> CallMeter<'a> {
    /// Begins to measure a call.
    pub(crate) fn new(observer: &'a CallObserver, message: &PeerMessage, sent: usize) -> Self {
        Self {
            observer,
            started_at: Instant::now(),
            kind: MessageKind::of(message),
            sent,
            received: 0,
            outcome: CallOutcome::GivenUp,
        }
    }

    /// Adds bytes of the answer.
    pub(crate) fn on_received(&mut self, length: usize) {
        self.received += length;
    }

    /// Ends the measurement of a call that was not given up.
    pub(crate) fn finish(mut self, is_answered: bool) {
        self.outcome = match is_answered {
            true => CallOutcome::Answered,
            false => CallOutcome::Failed,
        };
    }
}

impl Drop for CallMeter<'_> {
    fn drop(&mut self) {
        self.observer.observe(&CallReport {
            kind: self.kind,
            sent: ByteCount::of_length(self.sent),
            received: ByteCount::of_length(self.received),
            elapsed: self.started_at.elapsed(),
            outcome: self.outcome,
        });
    }
}
