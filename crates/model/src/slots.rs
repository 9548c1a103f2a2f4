//! Specification of the slots of a target that its owner has just taken over, over [`SlotPool`].
//!
//! The target has two slots and warms up by one good answer. The specification counts the requests
//! that the target really works on and how many it can take.

use std::{
    fmt,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_placement::prelude::*;

use crate::{
    digest::digest_of,
    names,
    search::ProtocolModel, //
};

const SLOTS: usize = 2;
const STEP: Duration = Duration::from_secs(1);
/// Steps until a request ends by its deadline at the latest.
const PATIENCE: u64 = 2;

/// A rule of the pool that a variant of the model does without.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotRule {
    /// A new owner starts a target cold. The variant leaves that call out after the first time.
    ColdStart,
    /// Permits from before a cold start keep their slots. The variant makes a new pool.
    OldPermits,
    /// A permit that was never released counts until its deadline. The variant claims a deadline of
    /// now.
    DeadlineCounts,
    /// A target that restarted is cold. The variant does not pass its notice on.
    RestartNotice,
}

/// How often things may happen on one path.
#[derive(Clone, Copy, Debug)]
pub struct SlotBound {
    /// Steps of time.
    pub steps: u64,
    /// Requests.
    pub requests: u32,
    /// Losses of ownership and restarts of the target.
    pub faults: u32,
}

/// What can happen.
#[derive(Clone, Copy, Debug)]
pub enum SlotEvent {
    /// Time goes on; a request past its deadline ends at the target.
    Step,
    /// A request is sent if the pool permits it.
    Send,
    /// A request ends with a good answer.
    Answer(usize),
    /// A request ends with a failure.
    Fail(usize),
    /// The caller's task ends without releasing the permit; the target still works on the request.
    Forget(usize),
    /// The host loses the target to another one, which leaves it cold.
    Lose,
    /// The host owns the target again.
    Gain,
    /// The target restarts and says so in its next answer.
    Restart,
}

impl fmt::Display for SlotEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Step => write!(f, "a second passes"),
            Self::Send => write!(f, "the owner sends a request if the pool permits it"),
            Self::Answer(n) => write!(f, "request {n} has a good answer"),
            Self::Fail(n) => write!(f, "request {n} fails"),
            Self::Forget(n) => write!(f, "the permit of request {n} is forgotten"),
            Self::Lose => write!(f, "the host loses the target"),
            Self::Gain => write!(f, "the host owns the target again"),
            Self::Restart => write!(f, "the target restarts and tells the owner"),
        }
    }
}

#[derive(Debug)]
struct RunningRequest {
    permit: Option<SlotPermit>,
    ends_at: u64,
    is_of_this_turn: bool,
}

/// A state of the model.
#[derive(Debug)]
pub struct SlotWorld {
    without: Option<SlotRule>,
    left: SlotBound,
    at: u64,
    pool: SlotPool,
    is_owner: bool,
    starts: u64,
    /// Requests that the target can take at once.
    can_take: usize,
    running: Vec<RunningRequest>,
    is_overloaded: bool,
}

impl SlotWorld {
    fn new(bound: SlotBound, without: Option<SlotRule>) -> Self {
        let world = Self {
            without,
            left: bound,
            at: 0,
            pool: SlotPool::new(),
            is_owner: true,
            starts: 1,
            can_take: 1,
            running: Vec::new(),
            is_overloaded: false,
        };
        world.start_cold();
        world.notice();
        world
    }

    fn now(&self) -> MonoTime {
        MonoTime::START.after(STEP * self.at as u32)
    }

    fn start_cold(&self) {
        self.pool
            .start_cold(&names::target(), SlotCount::new(SLOTS as u16), 1);
    }

    fn notice(&self) {
        let notice = TargetNotice {
            started_at: Some(self.starts.to_string().into()),
            ..TargetNotice::default()
        };
        self.pool.on_notice(&names::target(), &notice);
    }

    fn send(&mut self) {
        self.left.requests -= 1;
        let ends_at = self.at + PATIENCE;
        let deadline = match self.without {
            Some(SlotRule::DeadlineCounts) => MonoTime::START,
            _ => MonoTime::START.after(STEP * ends_at as u32),
        };
        let permit = self
            .pool
            .try_acquire(&names::target(), deadline, self.now());
        if let Ok(permit) = permit {
            self.running.push(RunningRequest {
                permit: Some(permit),
                ends_at,
                is_of_this_turn: true,
            });
            self.is_overloaded |= self.running.len() > self.can_take;
        }
    }

    fn end(&mut self, n: usize, outcome: AttemptOutcome) {
        let request = self.running.remove(n);
        if let (AttemptOutcome::Good, true) = (outcome, request.is_of_this_turn) {
            self.can_take = SLOTS;
        }
        if let Some(permit) = request.permit {
            self.pool.release(permit, outcome, self.now());
        }
    }

    fn turn_cold(&mut self) {
        self.can_take = 1;
        for request in &mut self.running {
            request.is_of_this_turn = false;
        }
    }

    fn gain(&mut self) {
        self.is_owner = true;
        match self.without {
            Some(SlotRule::ColdStart) => return,
            Some(SlotRule::OldPermits) => self.pool = SlotPool::new(),
            _ => {}
        }
        self.start_cold();
    }

    fn apply(&mut self, event: &SlotEvent) {
        match *event {
            SlotEvent::Step => {
                self.left.steps -= 1;
                self.at += 1;
                // The target is told the deadline and gives the request up.
                let at = self.at;
                self.running
                    .retain(|request| request.ends_at > at || request.permit.is_some());
            }
            SlotEvent::Send => self.send(),
            SlotEvent::Answer(n) => self.end(n, AttemptOutcome::Good),
            SlotEvent::Fail(n) => self.end(n, AttemptOutcome::TimedOut),
            SlotEvent::Forget(n) => self.running[n].permit = None,
            SlotEvent::Lose => {
                self.left.faults -= 1;
                self.is_owner = false;
                self.turn_cold();
            }
            SlotEvent::Gain => self.gain(),
            SlotEvent::Restart => {
                self.left.faults -= 1;
                self.starts += 1;
                self.turn_cold();
                // A restart ends what ran before; the attempts at it are told so later.
                if self.without != Some(SlotRule::RestartNotice) {
                    self.notice();
                }
            }
        }
    }

    fn events(&self) -> Vec<SlotEvent> {
        let mut events = Vec::new();
        let is_late = |request: &RunningRequest| request.ends_at <= self.at;
        if self.left.steps > 0 && !self.running.iter().any(is_late) {
            events.push(SlotEvent::Step);
        }
        for (n, request) in self.running.iter().enumerate() {
            if request.permit.is_some() {
                events.extend([SlotEvent::Answer(n), SlotEvent::Fail(n)]);
                events.extend((!is_late(request)).then_some(SlotEvent::Forget(n)));
            }
        }
        if !self.is_owner {
            events.push(SlotEvent::Gain);
            return events;
        }
        if self.left.requests > 0 {
            events.push(SlotEvent::Send);
        }
        if self.left.faults > 0 {
            events.extend([SlotEvent::Lose, SlotEvent::Restart]);
        }
        events
    }

    fn breach(&self) -> Option<String> {
        let (running, can_take) = (self.running.len(), self.can_take);
        let text = || format!("I6: {running} requests at a target that can take {can_take}");
        self.is_overloaded.then(text)
    }
}

/// Makes the model within a bound, whole or without one rule.
pub fn slot_model(
    bound: SlotBound,
    without: Option<SlotRule>,
) -> ProtocolModel<SlotWorld, SlotEvent> {
    ProtocolModel {
        start: Box::new(move || SlotWorld::new(bound, without)),
        events: SlotWorld::events,
        copy: None,
        apply: SlotWorld::apply,
        digest: |world| digest_of(world),
        breach: SlotWorld::breach,
    }
}
