//! Rules, bounds and events of the model.

use std::fmt;

/// A rule of the ledger that a variant of the model does without.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateRule {
    /// A moved token keeps the life that it had left. The variant writes a whole life into each
    /// grant.
    TokenLife,
    /// The giver deducts before it sends. The variant hands the giver its tokens back.
    DeductFirst,
    /// A grant counts once. The variant opens a fresh draw for a doubled grant.
    OneGrant,
    /// A new process holds nothing. The variant dates the start of minting a life back.
    EmptyStart,
    /// A host that slept does nothing before it is told to go on. The variant never ticks the gate.
    SleepGate,
    /// More live hosts than the bound divide the rate further. The variant ignores the fourth one.
    LiveHosts,
}

/// How often things may happen on one path.
#[derive(Clone, Copy, Debug)]
pub struct RateBound {
    /// Steps of time.
    pub steps: u64,
    /// Draws.
    pub draws: u32,
    /// Doubled messages.
    pub doubles: u32,
    /// Crashes, pauses and host lists with a fourth host.
    pub faults: u32,
}

/// What can happen.
#[derive(Clone, Copy, Debug)]
pub enum RateEvent {
    /// Time goes on.
    Step,
    /// A process spends a token.
    Spend(usize),
    /// A process asks another host for a token.
    Draw(usize, usize),
    /// A message arrives. One that never does is lost.
    Deliver(usize),
    /// A message arrives and stays on its way.
    Double(usize),
    /// A process loses its memory and starts again.
    Crash(usize),
    /// A process stops without noticing.
    Pause(usize),
    /// A paused process goes on.
    Wake(usize),
    /// A fresh host list shows a process that slept that it still counts.
    Resume(usize),
    /// A paused process is replaced by one with the same name; it may still wake.
    Replace(usize),
    /// A fourth host starts, and all hosts know.
    Join,
}

impl fmt::Display for RateEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Step => write!(f, "half a second passes"),
            Self::Spend(of) => write!(f, "process {of} spends a token"),
            Self::Draw(of, from) => write!(f, "process {of} draws from host h{from}"),
            Self::Deliver(n) => write!(f, "message {n} arrives"),
            Self::Double(n) => write!(f, "message {n} arrives and will arrive again"),
            Self::Crash(of) => write!(f, "process {of} crashes and starts again"),
            Self::Pause(of) => write!(f, "process {of} pauses"),
            Self::Wake(of) => write!(f, "process {of} wakes"),
            Self::Resume(of) => write!(f, "process {of} sees itself in a fresh host list"),
            Self::Replace(of) => write!(f, "process {of} is replaced by one of the same name"),
            Self::Join => write!(f, "a fourth host joins"),
        }
    }
}
