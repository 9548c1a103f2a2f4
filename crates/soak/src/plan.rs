//! The faults of a run, drawn from a seed.
//!
//! Faults follow one another closely and overlap. The last part of a run has none, so that recovery can be checked.

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

/// Fault-free time at the start, in which the hosts discover each other.
const FAULT_FREE_START: Duration = Duration::from_secs(3);

/// Fault-free time at the end. The platform allows 15 s for recovery; the fleet's own limit is a third of that, and
/// in the rest of this time the restored service is checked.
pub const FAULT_FREE_END: Duration = Duration::from_secs(9);

/// Shortest and longest time between the starts of two faults, in seconds.
const FAULT_INTERVAL_SECONDS: (f64, f64) = (0.2, 1.6);

/// Shortest and longest duration of a fault, in seconds.
const FAULT_DURATION_SECONDS: (f64, f64) = (0.4, 4.0);

/// Longest duration of a pause or of an unresponsive store, in seconds. It exceeds the time after which withdrawn keys
/// must be refused, so that runs cover a host that misses a withdrawal.
const LONG_FAULT_SECONDS_MAX: f64 = 9.0;

/// Time from the start of a long pause or store outage to the withdrawal of a key, which the affected hosts cannot
/// receive then.
const KEY_CHANGE_DELAY: Duration = Duration::from_millis(300);

/// Shortest and longest time between two returns of the store from an older copy, in seconds. Some follow each other
/// within the time in which targets register again.
const RESTORE_INTERVAL_SECONDS: (f64, f64) = (1.0, 14.0);

/// Shortest and longest time for which the store is away before it comes back from a copy, in seconds.
const AWAY_SECONDS: (f64, f64) = (0.1, 1.2);

/// Lowest and highest age of the copy, in seconds. A host that starts meanwhile reads the copy: together with the time away
/// it stays below the time after which withdrawn keys must be refused.
const COPY_AGE_SECONDS: (f64, f64) = (0.5, 2.5);

/// Time from the return of the store until operators and targets have written again what was lost.
pub const REWRITE_DELAY: Duration = Duration::from_millis(700);

/// Changes the seed for the returns of the store, which are drawn apart so that the other faults of a seed stay the same.
const RESTORE_SEED: u64 = 0x5e_ed0f_e2a5;

/// Shortest and longest time between two growths of the configuration, in seconds.
const GROWTH_INTERVAL_SECONDS: (f64, f64) = (2.0, 9.0);

/// Lowest and highest number of routes that are added at once.
const ADDED_ROUTES: (u64, u64) = (1, 600);

/// Changes the seed for the growths of the configuration, which are drawn apart, too.
const GROWTH_SEED: u64 = 0x6_7077_ed55;

/// Index of a host, displayed as its name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HostIndex(pub usize);

impl fmt::Display for HostIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "edge-{}", self.0)
    }
}

/// Index of a target, displayed as its name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetIndex(pub usize);

impl fmt::Display for TargetIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t-{}", self.0)
    }
}

/// A link with a relay on it.
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

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// A host is shut down with SIGTERM and restarted after it has ended.
    Stop(HostIndex),
    /// A host is killed with SIGKILL and restarted after the duration.
    Kill(HostIndex),
    /// All hosts are killed at once and restarted after the duration.
    KillAll,
    /// A host is paused with SIGSTOP.
    Pause(HostIndex),
    /// A host reloads its settings on SIGHUP.
    Reload(HostIndex),
    /// Bytes on a link are delayed.
    Delay(LinkKind, Duration),
    /// No bytes pass a link; they are held until the fault ends.
    Cut(LinkKind),
    /// Bytes pass a link towards its far end only.
    OneWay(LinkKind),
    /// The open connections of a link drop all further bytes.
    Silence(LinkKind),
    /// The open connections of a link are reset.
    Reset(LinkKind),
    /// A target refuses connections and drops the open ones.
    TargetDown(TargetIndex),
    /// A target answers all requests with an error.
    TargetFails(TargetIndex),
    /// A target answers no requests.
    TargetHangs(TargetIndex),
    /// The entry of a target is removed from the store.
    EntryGone(TargetIndex),
    /// The store answers no requests.
    StoreSilent,
    /// The store answers no requests and comes back from a copy of this age.
    StoreRestored(Duration),
    /// A key is withdrawn and replaced by a new one.
    KeyChange,
    /// Operators add a number of routes.
    RoutesAdded(u64),
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// Start, counted from the start of the load.
    pub at: Duration,
    /// Duration; ignored for stops, reloads and changes of the configuration.
    pub duration: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// The faults of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakPlan {
    /// Seed that the faults are drawn from.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// The faults, ordered by start.
    pub faults: Vec<PlannedFault>,
}

fn draw_link(random: &mut ChaCha8Rng, hosts: usize, targets: usize) -> LinkKind {
    let host = HostIndex(random.random_range(0..hosts));
    match random.random_range(0..4) {
        0 => LinkKind::Callers(host),
        1 => LinkKind::Peers(host),
        2 => LinkKind::Store(host),
        _ => LinkKind::Target(TargetIndex(random.random_range(0..targets))),
    }
}

fn draw_fault(random: &mut ChaCha8Rng, hosts: usize, targets: usize) -> FaultKind {
    let host = HostIndex(random.random_range(0..hosts));
    let target = TargetIndex(random.random_range(0..targets));
    let link = draw_link(random, hosts, targets);
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

/// Draws the returns of the store that end before a time.
fn draw_restorations(seed: u64, end: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ RESTORE_SEED);
    let mut draw = |(low, high)| Duration::from_secs_f64(random.random_range(low..high));
    let mut at = FAULT_FREE_START;
    let mut restorations = Vec::new();
    loop {
        at += draw(RESTORE_INTERVAL_SECONDS);
        let (duration, copy_age) = (draw(AWAY_SECONDS), draw(COPY_AGE_SECONDS));
        if at + duration + REWRITE_DELAY >= end {
            return restorations;
        }
        restorations.push(PlannedFault {
            at,
            duration,
            kind: FaultKind::StoreRestored(copy_age),
        });
    }
}

/// Draws the growths of the configuration before a time.
fn draw_growths(seed: u64, end: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ GROWTH_SEED);
    let mut at = FAULT_FREE_START;
    let mut growths = Vec::new();
    loop {
        let (low, high) = GROWTH_INTERVAL_SECONDS;
        at += Duration::from_secs_f64(random.random_range(low..high));
        let count = random.random_range(ADDED_ROUTES.0..ADDED_ROUTES.1);
        if at >= end {
            return growths;
        }
        growths.push(PlannedFault {
            at,
            duration: Duration::ZERO,
            kind: FaultKind::RoutesAdded(count),
        });
    }
}

impl SoakPlan {
    /// Draws the faults of a run of `length` for the given numbers of hosts and targets.
    pub fn new(seed: u64, length: Duration, hosts: usize, targets: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let end = length.saturating_sub(FAULT_FREE_END);
        let mut at = FAULT_FREE_START;
        let mut faults = Vec::new();
        loop {
            at += Duration::from_secs_f64(
                random.random_range(FAULT_INTERVAL_SECONDS.0..FAULT_INTERVAL_SECONDS.1),
            );
            let kind = draw_fault(&mut random, hosts, targets);
            let duration_max = match kind {
                FaultKind::Pause(_) | FaultKind::StoreSilent => LONG_FAULT_SECONDS_MAX,
                _ => FAULT_DURATION_SECONDS.1,
            };
            let duration = Duration::from_secs_f64(
                random.random_range(FAULT_DURATION_SECONDS.0..duration_max),
            );
            if at >= end {
                break;
            }
            if at + duration >= end {
                continue;
            }
            faults.push(PlannedFault { at, duration, kind });
            if duration > Duration::from_secs_f64(FAULT_DURATION_SECONDS.1) {
                faults.push(PlannedFault {
                    at: at + KEY_CHANGE_DELAY,
                    duration: Duration::ZERO,
                    kind: FaultKind::KeyChange,
                });
            }
        }
        faults.extend(draw_restorations(seed, end));
        faults.extend(draw_growths(seed, end));
        faults.sort_by_key(|fault| fault.at);
        Self {
            seed,
            length,
            faults,
        }
    }
}
