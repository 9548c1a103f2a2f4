//! Whether a request may be sent again.
//!
//! - [`proof`]: what is known about whether an attempt ran.

pub mod proof;

/// The names that most users of the crate need.
pub mod prelude {
    pub use crate::proof::RunProof;
}
