//! Model checking of the core protocols on their real transition functions.
//!
//! - [`search`]: breadth-first search for the shortest path to a state that violates an invariant.
//! - [`bounds`]: the bounds of the exploration.
//! - [`digest`]: digests of states.
//! - [`rates`]: rate shares and their transfer (I5).
//! - [`versions`]: adoption of configuration versions (I13).
//! - [`ownership`]: exclusive ownership of a target, and the contact times that it depends on (I6).
//! - [`slots`]: the number of requests that an owner sends to a cold target (I6).
//!
//! `docs/specification.md` describes the states, the events, the bounds and the simplifications.

pub mod bounds;
pub mod digest;
mod names;
pub mod ownership;
pub mod rates;
pub mod search;
pub mod slots;
pub mod versions;
