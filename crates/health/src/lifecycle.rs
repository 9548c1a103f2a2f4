//! State machine of one target.

use std::{
    fmt,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use statig::blocking::{
    InitializedStateMachine,
    IntoStateMachine,
    IntoStateMachineExt,
    Outcome,
    State, //
};

/// Phase of a target at its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPhase {
    /// The target has started, restarted or returned to use, and has not answered since.
    Cold,
    /// The target has answered, and its limit is being raised.
    Warming,
    /// The target has all its slots.
    InUse,
    /// The evidence is against the target; it gets work only when others are full.
    Suspect,
    /// The target gets no work until a time.
    Ejected {
        /// Time at which probes start.
        until: MonoTime,
    },
    /// The target gets only probes.
    Probing {
        /// Consecutive successful probes.
        good: u32,
    },
    /// The target is about to stop and finishes its requests in flight.
    Draining,
    /// The target no longer exists.
    Gone,
}

impl TargetPhase {
    /// Returns `true` if the target may get requests of callers.
    pub fn accepts_requests(self) -> bool {
        matches!(
            self,
            Self::Cold | Self::Warming | Self::InUse | Self::Suspect
        )
    }

    /// Returns `true` if the target is out of use because of an ejection, which needs a permit.
    pub fn is_out(self) -> bool {
        matches!(self, Self::Ejected { .. } | Self::Probing { .. })
    }
}

impl fmt::Display for TargetPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cold => f.write_str("cold"),
            Self::Warming => f.write_str("warming"),
            Self::InUse => f.write_str("in-use"),
            Self::Suspect => f.write_str("suspect"),
            Self::Ejected { until } => write!(f, "ejected-until-{until}"),
            Self::Probing { good } => write!(f, "probing-{good}"),
            Self::Draining => f.write_str("draining"),
            Self::Gone => f.write_str("gone"),
        }
    }
}

/// Event that may change the phase of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifecycleEvent {
    /// The target gave a good answer.
    Answered,
    /// The target has all its slots.
    Warmed,
    /// The evidence is against the target.
    Suspected,
    /// The evidence is in favour of the target again.
    Cleared,
    /// The target is failing, and a permit to eject it was granted.
    PermitGranted,
    /// The permit was not renewed in time or was revoked.
    PermitLost,
    /// Time has passed.
    Ticked,
    /// A probe succeeded.
    ProbeSucceeded,
    /// A probe failed.
    ProbeFailed,
    /// The target has restarted or turned cold.
    Restarted,
    /// The target is about to stop.
    DrainStarted,
    /// Operators no longer list the target.
    Removed,
}

/// Durations of ejections, which grow exponentially with relapses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EjectionBackoff {
    /// Duration of the first ejection.
    pub initial: Duration,
    /// Maximum duration.
    pub max: Duration,
    /// Time without an ejection that cancels one doubling.
    pub decay: Duration,
    /// Consecutive successful probes that end an ejection.
    pub probes_needed: u32,
}

impl Default for EjectionBackoff {
    fn default() -> Self {
        Self {
            initial: Duration::from_secs(5),
            max: Duration::from_secs(160),
            decay: Duration::from_secs(60),
            probes_needed: 3,
        }
    }
}

/// Relapses of a target, which lengthen its next ejection.
#[derive(Debug, Default)]
struct EjectionHistory {
    backoff: EjectionBackoff,
    doublings: u32,
    returned_at: Option<MonoTime>,
}

impl EjectionHistory {
    /// Records an ejection that starts now and returns its end.
    fn record_ejection(&mut self, now: MonoTime) -> MonoTime {
        let healthy_time = self.returned_at.map_or(Duration::ZERO, |at| now.since(at));
        let decay = self.backoff.decay.max(Duration::from_millis(1));
        let cancelled =
            u32::try_from(healthy_time.as_millis() / decay.as_millis()).unwrap_or(u32::MAX);
        self.doublings = self.doublings.saturating_sub(cancelled);
        let factor = 1u32 << self.doublings.min(16);
        self.doublings = (self.doublings + 1).min(16);
        let time = self.backoff.initial.saturating_mul(factor);
        now.after(time.min(self.backoff.max))
    }
}

/// An event and its time.
type TimedEvent = (LifecycleEvent, MonoTime);

impl IntoStateMachine for EjectionHistory {
    type Event<'a> = TimedEvent;
    type Context<'a> = ();
    type State = TargetPhase;
    type Superstate<'a> = ();

    fn initial() -> TargetPhase {
        TargetPhase::Cold
    }
}

impl State<EjectionHistory> for TargetPhase {
    fn call_handler(
        &mut self,
        history: &mut EjectionHistory,
        event: &TimedEvent,
        _context: &mut (),
    ) -> Outcome<Self> {
        use LifecycleEvent::*;
        let (event, now) = *event;
        let next = match (*self, event) {
            (Self::Gone, _) => return Outcome::Handled,
            (_, Removed) => Self::Gone,
            // A target that returns after draining has a new start time.
            (Self::Draining, Restarted) => Self::Cold,
            (Self::Draining, _) => return Outcome::Handled,
            (_, DrainStarted) => Self::Draining,
            (phase, event) if phase.is_out() => {
                return phase.on_event_while_out(history, event, now);
            }
            (_, Restarted) => Self::Cold,
            (_, PermitGranted) => Self::Ejected {
                until: history.record_ejection(now),
            },
            (Self::Cold, Answered) => Self::Warming,
            (Self::Cold | Self::Warming, Warmed) => Self::InUse,
            (_, Suspected) => Self::Suspect,
            (Self::Suspect, Cleared) => Self::InUse,
            _ => return Outcome::Handled,
        };
        Outcome::Transition(next)
    }
}

impl TargetPhase {
    fn on_event_while_out(
        self,
        history: &mut EjectionHistory,
        event: LifecycleEvent,
        now: MonoTime,
    ) -> Outcome<Self> {
        use LifecycleEvent::*;
        let next = match (self, event) {
            // The target must return at once because of the floor, but it may still be failing.
            (_, PermitLost) => {
                history.returned_at = Some(now);
                Self::Cold
            }
            (Self::Ejected { until }, Ticked) if now >= until => Self::Probing { good: 0 },
            (Self::Probing { good }, ProbeSucceeded)
                if good + 1 >= history.backoff.probes_needed =>
            {
                history.returned_at = Some(now);
                Self::Cold
            }
            (Self::Probing { good }, ProbeSucceeded) => Self::Probing { good: good + 1 },
            (Self::Probing { .. }, ProbeFailed) => Self::Ejected {
                until: history.record_ejection(now),
            },
            _ => return Outcome::Handled,
        };
        Outcome::Transition(next)
    }
}

/// Lifecycle of one target at its owner.
pub struct TargetLifecycle {
    machine: InitializedStateMachine<EjectionHistory>,
}

impl fmt::Debug for TargetLifecycle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TargetLifecycle({})", self.phase())
    }
}

impl TargetLifecycle {
    /// Creates the lifecycle of a target that starts cold.
    pub fn new(backoff: EjectionBackoff) -> Self {
        let history = EjectionHistory {
            backoff,
            ..EjectionHistory::default()
        };
        Self {
            machine: history.uninitialized_state_machine().init(),
        }
    }

    /// Applies an event and returns the resulting phase.
    pub fn on_event(&mut self, event: LifecycleEvent, now: MonoTime) -> TargetPhase {
        self.machine.handle(&(event, now));
        self.phase()
    }

    /// Returns the present phase.
    pub fn phase(&self) -> TargetPhase {
        *self.machine.state()
    }
}
