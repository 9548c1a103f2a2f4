//! Rules, bounds and events of the rate model.

use std::fmt;

/// A rule of the ledger that a variant of the model omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateRule {
    /// A transferred token keeps its remaining lifetime. The variant sets the full lifetime in each
    /// grant.
    TokenLife,
    /// The sender of a grant deducts the tokens first. The variant restores them after the deduction.
    DeductFirst,
    /// A grant is accepted once. The variant opens a new transfer request for a duplicate
    /// grant.
    OneGrant,
    /// A new process starts without tokens. The variant starts minting one token lifetime in the past.
    EmptyStart,
    /// A host that was paused spends nothing before `resume` is called. The variant does not detect
    /// pauses.
    SleepGate,
    /// Live hosts beyond the host bound reduce the share of each. The variant ignores the fourth host.
    LiveHosts,
}

/// Limits on the number of events on one path.
#[derive(Clone, Copy, Debug)]
pub struct RateBound {
    /// Time steps.
    pub steps: u64,
    /// Transfer requests.
    pub draws: u32,
    /// Duplicated messages.
    pub doubles: u32,
    /// Crashes, pauses and joins of a fourth host.
    pub faults: u32,
}

/// An event of the model.
#[derive(Clone, Copy, Debug)]
pub enum RateEvent {
    /// Half a second passes.
    Step,
    /// A process spends a token.
    Spend(usize),
    /// A process asks another host for a token.
    RequestTransfer(usize, usize),
    /// A message arrives. Messages that are not delivered on a path count as lost.
    Deliver(usize),
    /// A message arrives and remains in flight, to arrive again.
    Duplicate(usize),
    /// A process crashes and restarts without its state.
    Crash(usize),
    /// A process is paused while its clock continues.
    Pause(usize),
    /// A paused process resumes execution.
    Wake(usize),
    /// A process that was paused finds itself in a new list of the platform's hosts and may spend again.
    Resume(usize),
    /// A paused process is replaced by a new one with the same name. It may still resume.
    Replace(usize),
    /// A fourth host starts, and all hosts have it in their rosters.
    Join,
}

impl fmt::Display for RateEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Step => write!(f, "half a second passes"),
            Self::Spend(number) => write!(f, "process {number} spends a token"),
            Self::RequestTransfer(number, from) => {
                write!(f, "process {number} draws from host h{from}")
            }
            Self::Deliver(n) => write!(f, "message {n} arrives"),
            Self::Duplicate(n) => write!(f, "message {n} arrives and will arrive again"),
            Self::Crash(number) => write!(f, "process {number} crashes and starts again"),
            Self::Pause(number) => write!(f, "process {number} pauses"),
            Self::Wake(number) => write!(f, "process {number} wakes"),
            Self::Resume(number) => {
                write!(f, "process {number} finds itself in a new list of hosts")
            }
            Self::Replace(number) => {
                write!(f, "process {number} is replaced by one of the same name")
            }
            Self::Join => write!(f, "a fourth host joins"),
        }
    }
}
