//! A process of a host, and a message in flight.

use chicorycroft_core::prelude::*;
use chicorycroft_limits::prelude::*;

use super::STEP;

/// A process of a host with its token ledger.
#[derive(Debug)]
pub(super) struct RateProcess {
    pub(super) name: usize,
    pub(super) incarnation: u64,
    pub(super) started_step: u64,
    pub(super) clock_base: u64,
    pub(super) ledger: TokenLedger,
    pub(super) paused_at: Option<u64>,
    pub(super) is_replaced: bool,
}

impl RateProcess {
    pub(super) fn now(&self, elapsed_steps: u64) -> MonoTime {
        MonoTime::from_micros(self.clock_base)
            .after(STEP * (elapsed_steps - self.started_step) as u32)
    }
}

/// A message in flight. It is addressed to a name, and reaches the process that runs under the name on arrival.
#[derive(Clone, Debug)]
pub(super) struct InFlightMessage {
    pub(super) to: usize,
    pub(super) message: TokenMessage,
    pub(super) is_repeat: bool,
}
