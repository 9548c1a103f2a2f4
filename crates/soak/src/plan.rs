//! The faults of a run, drawn from a seed.
//!
//! Faults come in series and overlap. The last part of a run has none, so that recovery shows.

use std::{
    fmt,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng,
    seq::IndexedRandom, //
};
use rand_chacha::ChaCha8Rng;

/// Quiet time at the start, in which hosts find each other.
const QUIET_START: Duration = Duration::from_secs(3);

/// Quiet time at the end. The platform grants 15 s for recovery; the fleet's own aim is a third of it, and the
/// rest of this time shows the service that follows.
pub const QUIET_END: Duration = Duration::from_secs(9);

/// Shortest and longest time between the starts of two faults.
const GAP: (f64, f64) = (0.2, 1.6);

/// Shortest and longest time that a fault lasts.
const SPAN: (f64, f64) = (0.4, 4.0);

/// Longest time of a pause and of a silent store: longer than the time after which withdrawn keys must not work.
const LONG_SPAN_MAX: f64 = 9.0;

/// Time from the start of a pause or of a silent store to the withdrawal of a key, of which nobody hears then.
const KEY_CHANGE_DELAY: Duration = Duration::from_millis(300);

/// A host by its number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HostIndex(pub usize);

impl fmt::Display for HostIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "edge-{}", self.0)
    }
}

/// A target by its number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetIndex(pub usize);

impl fmt::Display for TargetIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t-{}", self.0)
    }
}

/// A link that a relay stands in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkKind {
    /// From callers to a host.
    Callers(HostIndex),
    /// From other hosts to a host.
    Peers(HostIndex),
    /// From a host to the store.
    Store(HostIndex),
    /// From all hosts to a target.
    Target(TargetIndex),
}

/// What is done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// A host is told to stop; it starts again when it has ended.
    Stop(HostIndex),
    /// A host is killed; it starts again after the time.
    Kill(HostIndex),
    /// All hosts are killed at once and start again after the time.
    KillAll,
    /// A host is paused.
    Pause(HostIndex),
    /// A host is told that its settings changed.
    Reload(HostIndex),
    /// Bytes on a link come late.
    Delay(LinkKind, Duration),
    /// Nothing passes a link.
    Cut(LinkKind),
    /// Bytes pass a link towards its far end only.
    OneWay(LinkKind),
    /// The open connections of a link go silent for good.
    Silence(LinkKind),
    /// The open connections of a link are reset.
    Reset(LinkKind),
    /// A target refuses connections and drops the open ones.
    TargetDown(TargetIndex),
    /// A target fails all requests.
    TargetFails(TargetIndex),
    /// A target answers none.
    TargetHangs(TargetIndex),
    /// The entry of a target vanishes from the store.
    EntryGone(TargetIndex),
    /// The store answers nobody.
    StoreSilent,
    /// A key is withdrawn and another one given out.
    KeyChange,
}

/// A fault at its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// Time from the start of load.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub span: Duration,
    /// What is done.
    pub kind: FaultKind,
}

/// The faults of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakPlan {
    /// The seed.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// The faults by time.
    pub faults: Vec<PlannedFault>,
}

fn link(random: &mut ChaCha8Rng, hosts: usize, targets: usize) -> LinkKind {
    let host = HostIndex(random.random_range(0..hosts));
    match random.random_range(0..4) {
        0 => LinkKind::Callers(host),
        1 => LinkKind::Peers(host),
        2 => LinkKind::Store(host),
        _ => LinkKind::Target(TargetIndex(random.random_range(0..targets))),
    }
}

fn fault(random: &mut ChaCha8Rng, hosts: usize, targets: usize) -> FaultKind {
    let host = HostIndex(random.random_range(0..hosts));
    let target = TargetIndex(random.random_range(0..targets));
    let link = link(random, hosts, targets);
    let delay = Duration::from_millis(random.random_range(5..400));
    let kinds = [
        FaultKind::Stop(host),
        FaultKind::Kill(host),
        FaultKind::Pause(host),
        FaultKind::Reload(host),
        FaultKind::Delay(link, delay),
        FaultKind::Cut(link),
        FaultKind::OneWay(link),
        FaultKind::Silence(link),
        FaultKind::Reset(link),
        FaultKind::TargetDown(target),
        FaultKind::TargetFails(target),
        FaultKind::TargetHangs(target),
        FaultKind::EntryGone(target),
        FaultKind::StoreSilent,
        FaultKind::KeyChange,
    ];
    match random.random_ratio(1, 25) {
        true => FaultKind::KillAll,
        false => kinds.choose(random).copied().unwrap_or(FaultKind::KillAll),
    }
}

impl SoakPlan {
    /// Draws the faults of a run.
    pub fn new(seed: u64, length: Duration, hosts: usize, targets: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let end = length.saturating_sub(QUIET_END);
        let mut at = QUIET_START;
        let mut faults = Vec::new();
        loop {
            at += Duration::from_secs_f64(random.random_range(GAP.0..GAP.1));
            let kind = fault(&mut random, hosts, targets);
            let longest = match kind {
                FaultKind::Pause(_) | FaultKind::StoreSilent => LONG_SPAN_MAX,
                _ => SPAN.1,
            };
            let span = Duration::from_secs_f64(random.random_range(SPAN.0..longest));
            if at >= end {
                break;
            }
            if at + span >= end {
                continue;
            }
            faults.push(PlannedFault { at, span, kind });
            if span > Duration::from_secs_f64(SPAN.1) {
                faults.push(PlannedFault {
                    at: at + KEY_CHANGE_DELAY,
                    span: Duration::ZERO,
                    kind: FaultKind::KeyChange,
                });
            }
        }
        faults.sort_by_key(|fault| fault.at);
        Self {
            seed,
            length,
            faults,
        }
    }
}
