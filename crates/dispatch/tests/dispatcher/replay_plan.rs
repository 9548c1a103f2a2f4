//! Plan and log of a replay: targets with their faults, hosts with lossy paths, and how the requests ended.

use std::ops::Range;

/// Times are in milliseconds since the start.
pub(crate) type Span = Range<u64>;

/// Time for which a target is cold after a crash.
pub(crate) const COLD_TIME: u64 = 3000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Answers nothing.
    Hangs,
    /// Fails this many requests in a hundred.
    Fails(u64),
    /// Takes this many times as long.
    Slow(u64),
    /// Accepts no connection, and starts anew and cold at the end.
    Crashed,
}

#[derive(Clone, Debug)]
pub(crate) struct ReplayTarget {
    /// Mean time of an answer.
    pub(crate) mean: u64,
    pub(crate) faults: Vec<(Fault, Span)>,
}

/// Connections of some hosts that are lost in part: an opened one fails, and a request on an idle one is late.
#[derive(Clone, Debug)]
pub(crate) struct LossyPaths {
    pub(crate) hosts: Range<usize>,
    /// Lost tries in a hundred.
    pub(crate) percent: u64,
    pub(crate) span: Span,
}

#[derive(Clone, Debug)]
pub(crate) struct ReplayPlan {
    pub(crate) seed: u64,
    pub(crate) targets: Vec<ReplayTarget>,
    pub(crate) hosts: usize,
    pub(crate) rate: f64,
    /// Requests in a hundred that arrive in each zone.
    pub(crate) zone_percent: [u64; 3],
    pub(crate) idempotent_percent: u64,
    pub(crate) lossy: Vec<LossyPaths>,
    /// Times at which all dispatchers start anew.
    pub(crate) restarts: Vec<u64>,
    pub(crate) objective: u64,
    pub(crate) end: u64,
}

/// How a caller's request ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplayAnswer {
    pub(crate) arrived: u64,
    pub(crate) ended: u64,
    pub(crate) is_good: bool,
    /// Whether it must not run twice, failed, and may have run.
    pub(crate) is_lost: bool,
}

#[derive(Debug, Default)]
pub(crate) struct ReplayLog {
    pub(crate) answers: Vec<ReplayAnswer>,
    /// Requests that reached a target.
    pub(crate) reached: Vec<(u64, usize)>,
}

/// Numbers by splitmix64.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplayRandom(u64);

impl ReplayRandom {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number below `end`.
    pub(crate) fn below(&mut self, end: u64) -> u64 {
        (self.next() * end as f64) as u64
    }

    /// Returns a number from 0 to 1.
    pub(crate) fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl ReplayTarget {
    /// Returns the fault that the target has.
    pub(crate) fn fault(&self, now: u64) -> Option<Fault> {
        let mut faults = self.faults.iter();
        faults
            .find(|(_, span)| span.contains(&now))
            .map(|(fault, _)| *fault)
    }

    /// Returns whether the target has had no fault for two seconds before a span, nor in it.
    pub(crate) fn is_sound(&self, span: &Span) -> bool {
        self.faults.iter().all(|(fault, faulty)| {
            let cold = if *fault == Fault::Crashed {
                COLD_TIME
            } else {
                0
            };
            faulty.start >= span.end || faulty.end + cold + 2000 <= span.start
        })
    }
}
