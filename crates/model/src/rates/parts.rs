//! A process of a host, and a message on its way.

use chicorycroft_core::prelude::*;
use chicorycroft_limits::prelude::*;

use super::STEP;

/// One process of a host.
#[derive(Debug)]
pub(super) struct RateProcess {
    pub(super) name: usize,
    pub(super) incarnation: u64,
    pub(super) born: u64,
    pub(super) base: u64,
    pub(super) ledger: TokenLedger,
    pub(super) paused_at: Option<u64>,
    pub(super) is_replaced: bool,
}

impl RateProcess {
    pub(super) fn now(&self, at: u64) -> MonoTime {
        MonoTime::from_micros(self.base).after(STEP * (at - self.born) as u32)
    }
}

/// A message between two processes.
#[derive(Clone, Debug)]
pub(super) struct WireMessage {
    pub(super) to: usize,
    pub(super) message: TokenMessage,
    pub(super) is_repeat: bool,
}
