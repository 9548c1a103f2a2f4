//! Specification of the slots of a target that its owner has just taken over, over [`SlotPool`].
//!
//! The target has two slots and is warm after one good answer. The specification compares the number of
//! requests that the target is processing with its current capacity.

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
/// Steps from the sending of a request to its deadline.
const DEADLINE_STEPS: u64 = 2;

/// A rule of the pool that a variant of the model omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotRule {
    /// A new owner starts a target cold. The variant does so only the first time.
    ColdStart,
    /// Permits from before a cold start keep their slots. The variant creates a new pool.
    OldPermits,
    /// A permit that was never released occupies its slot until its deadline. The variant sets a
    /// deadline that is reached at once.
    DeadlineCounts,
    /// A target that restarted is cold. The variant drops its notice of the restart.
    RestartNotice,
}

/// Limits on the number of events on one path.
#[derive(Clone, Copy, Debug)]
pub struct SlotBound {
    /// Time steps.
    pub steps: u64,
    /// Requests.
    pub requests: u32,
    /// Losses of ownership and restarts of the target.
    pub faults: u32,
}

/// An event of the model.
#[derive(Clone, Copy, Debug)]
pub enum SlotEvent {
    /// A second passes. Requests past their deadlines end at the target.
    Step,
    /// The owner sends a request if the pool grants a permit.
    Send,
    /// A request ends with a good answer.
    Answer(usize),
    /// A request ends with a timeout.
    Fail(usize),
    /// The task of a request ends without releasing its permit. The target still processes the request.
    LeakPermit(usize),
    /// The host loses the target to another host, and the target becomes cold.
    LoseOwnership,
    /// The host owns the target again.
    RegainOwnership,
    /// The target restarts and reports its new start time to the owner.
    Restart,
}

impl fmt::Display for SlotEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Step => write!(f, "a second passes"),
            Self::Send => write!(f, "the owner sends a request if the pool permits it"),
            Self::Answer(n) => write!(f, "request {n} has a good answer"),
            Self::Fail(n) => write!(f, "request {n} fails"),
            Self::LeakPermit(n) => write!(f, "the permit of request {n} is forgotten"),
            Self::LoseOwnership => write!(f, "the host loses the target"),
            Self::RegainOwnership => write!(f, "the host owns the target again"),
            Self::Restart => write!(f, "the target restarts and tells the owner"),
        }
    }
}

#[derive(Debug)]
struct RunningRequest {
    permit: Option<SlotPermit>,
    ends_at: u64,
    is_since_cold_start: bool,
}

/// A state of the slot model.
#[derive(Debug)]
pub struct SlotState {
    omitted_rule: Option<SlotRule>,
    remaining: SlotBound,
    elapsed_steps: u64,
    pool: SlotPool,
    is_owner: bool,
    start_count: u64,
    /// Number of requests that the target can process at once.
    capacity: usize,
    running: Vec<RunningRequest>,
    is_overloaded: bool,
}

impl SlotState {
    fn new(bound: SlotBound, omitted_rule: Option<SlotRule>) -> Self {
        let state = Self {
            omitted_rule,
            remaining: bound,
            elapsed_steps: 0,
            pool: SlotPool::new(),
            is_owner: true,
            start_count: 1,
            capacity: 1,
            running: Vec::new(),
            is_overloaded: false,
        };
        state.start_cold();
        state.report_start();
        state
    }

    fn now(&self) -> MonoTime {
        MonoTime::START.after(STEP * self.elapsed_steps as u32)
    }

    fn start_cold(&self) {
        self.pool
            .start_cold(&names::target(), SlotCount::new(SLOTS as u16), 1);
    }

    fn report_start(&self) {
        let notice = TargetNotice {
            started_at: Some(self.start_count.to_string().into()),
            ..TargetNotice::default()
        };
        self.pool.on_notice(&names::target(), &notice);
    }

    fn send(&mut self) {
        self.remaining.requests -= 1;
        let ends_at = self.elapsed_steps + DEADLINE_STEPS;
        let deadline = match self.omitted_rule {
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
                is_since_cold_start: true,
            });
            self.is_overloaded |= self.running.len() > self.capacity;
        }
    }

    fn end(&mut self, n: usize, outcome: AttemptOutcome) {
        let request = self.running.remove(n);
        if let (AttemptOutcome::Good, true) = (outcome, request.is_since_cold_start) {
            self.capacity = SLOTS;
        }
        if let Some(permit) = request.permit {
            self.pool.release(permit, outcome, self.now());
        }
    }

    fn reset_target(&mut self) {
        self.capacity = 1;
        for request in &mut self.running {
            request.is_since_cold_start = false;
        }
    }

    fn regain_ownership(&mut self) {
        self.is_owner = true;
        match self.omitted_rule {
            Some(SlotRule::ColdStart) => return,
            Some(SlotRule::OldPermits) => self.pool = SlotPool::new(),
            _ => {}
        }
        self.start_cold();
    }

    fn apply(&mut self, event: &SlotEvent) {
        match *event {
            SlotEvent::Step => {
                self.remaining.steps -= 1;
                self.elapsed_steps += 1;
                // Requests carry their deadline, and the target aborts those that have passed it.
                let elapsed_steps = self.elapsed_steps;
                self.running
                    .retain(|request| request.ends_at > elapsed_steps || request.permit.is_some());
            }
            SlotEvent::Send => self.send(),
            SlotEvent::Answer(n) => self.end(n, AttemptOutcome::Good),
            SlotEvent::Fail(n) => self.end(n, AttemptOutcome::TimedOut),
            SlotEvent::LeakPermit(n) => self.running[n].permit = None,
            SlotEvent::LoseOwnership => {
                self.remaining.faults -= 1;
                self.is_owner = false;
                self.reset_target();
            }
            SlotEvent::RegainOwnership => self.regain_ownership(),
            SlotEvent::Restart => {
                self.remaining.faults -= 1;
                self.start_count += 1;
                self.reset_target();
                // A restart ends the requests before it. Their attempts end in later events.
                if self.omitted_rule != Some(SlotRule::RestartNotice) {
                    self.report_start();
                }
            }
        }
    }

    fn events(&self) -> Vec<SlotEvent> {
        let mut events = Vec::new();
        let is_past_deadline = |request: &RunningRequest| request.ends_at <= self.elapsed_steps;
        if self.remaining.steps > 0 && !self.running.iter().any(is_past_deadline) {
            events.push(SlotEvent::Step);
        }
        for (n, request) in self.running.iter().enumerate() {
            if request.permit.is_some() {
                events.extend([SlotEvent::Answer(n), SlotEvent::Fail(n)]);
                events.extend((!is_past_deadline(request)).then_some(SlotEvent::LeakPermit(n)));
            }
        }
        if !self.is_owner {
            events.push(SlotEvent::RegainOwnership);
            return events;
        }
        if self.remaining.requests > 0 {
            events.push(SlotEvent::Send);
        }
        if self.remaining.faults > 0 {
            events.extend([SlotEvent::LoseOwnership, SlotEvent::Restart]);
        }
        events
    }

    fn violation(&self) -> Option<String> {
        let (running, capacity) = (self.running.len(), self.capacity);
        let text = || format!("I6: {running} requests at a target that can take {capacity}");
        self.is_overloaded.then(text)
    }
}

/// Creates the model within a bound, with all rules or with one omitted.
pub fn slot_model(
    bound: SlotBound,
    omitted_rule: Option<SlotRule>,
) -> ProtocolModel<SlotState, SlotEvent> {
    ProtocolModel {
        start: Box::new(move || SlotState::new(bound, omitted_rule)),
        events: SlotState::events,
        copy: None,
        apply: SlotState::apply,
        digest: |state| digest_of(state),
        violation: SlotState::violation,
    }
}
