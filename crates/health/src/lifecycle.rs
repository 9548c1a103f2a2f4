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
    /// It has just started here and has not answered yet.
    Cold,
    /// It has answered and earns its slots.
    Warming,
    /// It has all its slots.
    InUse,
    /// The evidence is against it; it gets work when others are full.
    Suspect,
    /// It gets no work until a time.
    Ejected {
        /// When probes start.
        until: MonoTime,
    },
    /// It gets probes only.
    Probing {
        /// Good probes in a row.
        good: u32,
    },
    /// It is about to stop and finishes its work.
    Draining,
    /// It no longer exists.
    Gone,
}

impl TargetPhase {
    /// Tells whether the target may get requests of callers.
    pub fn takes_work(self) -> bool {
        matches!(
            self,
            Self::Cold | Self::Warming | Self::InUse | Self::Suspect
        )
    }

    /// Tells whether the target is out by ejection and so needs a permit.
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

/// What happens to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifecycleEvent {
    /// It gave a good answer.
    Answered,
    /// It has all its slots.
    Warmed,
    /// The evidence is against it.
    Suspected,
    /// The evidence is in its favour again.
    Cleared,
    /// It is failing, and a permit to eject it has come.
    PermitGranted,
    /// The permit was not renewed in time or was withdrawn.
    PermitLost,
    /// Time has passed.
    Ticked,
    /// A probe succeeded.
    ProbeGood,
    /// A probe failed.
    ProbeBad,
    /// It started anew or turned cold.
    Restarted,
    /// It is about to stop.
    Drained,
    /// Operators no longer list it.
    Removed,
}

/// Times of ejection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EjectTimes {
    /// Length of the first ejection.
    pub shortest: Duration,
    /// Length that doubling does not exceed.
    pub longest: Duration,
    /// Time of good behaviour that takes one doubling back.
    pub decay: Duration,
    /// Good probes in a row that end an ejection.
    pub probes: u32,
}

impl Default for EjectTimes {
    fn default() -> Self {
        Self {
            shortest: Duration::from_secs(5),
            longest: Duration::from_secs(160),
            decay: Duration::from_secs(60),
            probes: 3,
        }
    }
}

/// Relapses of a target, which lengthen its next ejection.
#[derive(Debug, Default)]
struct EjectCount {
    times: EjectTimes,
    doublings: u32,
    returned_at: Option<MonoTime>,
}

impl EjectCount {
    /// Returns the end of an ejection that starts now.
    fn eject(&mut self, now: MonoTime) -> MonoTime {
        let calm = self.returned_at.map_or(Duration::ZERO, |at| now.since(at));
        let decay = self.times.decay.max(Duration::from_millis(1));
        let taken_back = u32::try_from(calm.as_millis() / decay.as_millis()).unwrap_or(u32::MAX);
        self.doublings = self.doublings.saturating_sub(taken_back);
        let factor = 1u32 << self.doublings.min(16);
        self.doublings = (self.doublings + 1).min(16);
        let time = self.times.shortest.saturating_mul(factor);
        now.after(time.min(self.times.longest))
    }
}

/// An event and its time.
type TimedEvent = (LifecycleEvent, MonoTime);

impl IntoStateMachine for EjectCount {
    type Event<'a> = TimedEvent;
    type Context<'a> = ();
    type State = TargetPhase;
    type Superstate<'a> = ();

    fn initial() -> TargetPhase {
        TargetPhase::Cold
    }
}

impl State<EjectCount> for TargetPhase {
    fn call_handler(
        &mut self,
        count: &mut EjectCount,
        event: &TimedEvent,
        _context: &mut (),
    ) -> Outcome<Self> {
        use LifecycleEvent::*;
        let (event, now) = *event;
        let next = match (*self, event) {
            (Self::Gone, _) => return Outcome::Handled,
            (_, Removed) => Self::Gone,
            // A target that comes back after draining has a new start time.
            (Self::Draining, Restarted) => Self::Cold,
            (Self::Draining, _) => return Outcome::Handled,
            (_, Drained) => Self::Draining,
            (phase, event) if phase.is_out() => return phase.on_event_while_out(count, event, now),
            (_, Restarted) => Self::Cold,
            (_, PermitGranted) => Self::Ejected {
                until: count.eject(now),
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
        count: &mut EjectCount,
        event: LifecycleEvent,
        now: MonoTime,
    ) -> Outcome<Self> {
        use LifecycleEvent::*;
        let next = match (self, event) {
            // The floor needs the target back at once, but it has not shown that it is well.
            (_, PermitLost) => {
                count.returned_at = Some(now);
                Self::Cold
            }
            (Self::Ejected { until }, Ticked) if now >= until => Self::Probing { good: 0 },
            (Self::Probing { good }, ProbeGood) if good + 1 >= count.times.probes => {
                count.returned_at = Some(now);
                Self::Cold
            }
            (Self::Probing { good }, ProbeGood) => Self::Probing { good: good + 1 },
            (Self::Probing { .. }, ProbeBad) => Self::Ejected {
                until: count.eject(now),
            },
            _ => return Outcome::Handled,
        };
        Outcome::Transition(next)
    }
}

/// Life cycle of one target at its owner.
pub struct TargetLifecycle {
    machine: InitializedStateMachine<EjectCount>,
}

impl fmt::Debug for TargetLifecycle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TargetLifecycle({})", self.phase())
    }
}

impl TargetLifecycle {
    /// Makes the life cycle of a target that starts cold.
    pub fn new(times: EjectTimes) -> Self {
        let count = EjectCount {
            times,
            ..EjectCount::default()
        };
        Self {
            machine: count.uninitialized_state_machine().init(),
        }
    }

    /// Applies an event and returns the phase after it.
    pub fn on_event(&mut self, event: LifecycleEvent, now: MonoTime) -> TargetPhase {
        self.machine.handle(&(event, now));
        self.phase()
    }

    /// Returns the phase.
    pub fn phase(&self) -> TargetPhase {
        *self.machine.state()
    }
}
