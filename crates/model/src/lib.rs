//! Model checking of the core protocol over its real transition functions.
//!
//! - [`search`]: breadth-first search for the shortest path to a state that breaks an invariant.
//! - [`bounds`]: the bounds of the exploration.
//! - [`digest`]: digests of states.
//! - [`rates`]: rate shares and their transfer (I5).
//! - [`versions`]: adoption of configuration versions (I13).
//! - [`ownership`]: who serves a target, and the contact that this rests on (I6).
//! - [`slots`]: how much an owner sends to a target that is cold (I6).
//!
//! `docs/specification.md` describes the states, the events, the bounds and what is left out.

pub mod bounds;
pub mod digest;
mod names;
pub mod ownership;
pub mod rates;
pub mod search;
pub mod slots;
pub mod versions;
